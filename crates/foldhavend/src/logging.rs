//! Writes logs as JSON lines to standard error.

use tracing_subscriber::EnvFilter;

/// Starts logging this crate's events at `level` and above, and those of other crates from `warn`
/// on. A second call in one process has no effect.
pub fn start_logging(level: &str) {
    let filter = EnvFilter::try_new(format!("warn,foldhavend={level}"))
        .unwrap_or_else(|_| EnvFilter::new("info"));
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .finish();
    // A process that has a subscriber already keeps it.
    let _ = tracing::subscriber::set_global_default(subscriber);
}
