//! Logs as JSON lines on standard error.

use tracing_subscriber::EnvFilter;

/// Starts logging at a level and above. A second call in one process has no effect.
pub fn start_logging(level: &str) {
    let filter = EnvFilter::try_new(format!("warn,foldhavend={level}"))
        .unwrap_or_else(|_| EnvFilter::new("info"));
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .finish();
    // A process that already logs keeps its subscriber.
    let _ = tracing::subscriber::set_global_default(subscriber);
}
