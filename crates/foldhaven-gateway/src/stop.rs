//! Planned stop: announces that this VM is leaving, and finishes the requests in flight within the
//! grace time.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{sleep, timeout};

use crate::shared::{GatewayShared, StopStage};

/// How long new requests are accepted after the stop was announced, since callers use cached
/// addresses for some seconds. The platform tolerates requests aborted by the end of the grace time
/// only if they were sent up to three seconds after the signal.
const LEAVING_TIME: Duration = Duration::from_millis(2_900);
/// How long before the end of the platform's grace time the process exits, so that it is not
/// killed.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Time for the last answers to reach their callers.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// Waits for SIGTERM or SIGINT, then performs a planned stop.
///
/// # Errors
///
/// If the signal handlers cannot be installed.
pub async fn stop_on_signal(shared: Arc<GatewayShared>) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
    _ = terminate.recv() => {}
    _ = interrupt.recv() => {}
    }
    let grace = Duration::from_secs_f64(shared.settings.grace_s).saturating_sub(EXIT_MARGIN);
    tracing::info!(vm = %shared.settings.vm, in_flight = shared.in_flight(), "leaving");
    shared.enter_stage(StopStage::Leaving);
    let leaving = LEAVING_TIME.min(grace / 2);
    sleep(leaving).await;
    shared.enter_stage(StopStage::Closing);
    if timeout(grace - leaving, shared.wait_idle()).await.is_err() {
        tracing::warn!(
            in_flight = shared.in_flight(),
            "requests are aborted at the end of the grace time"
        );
    }
    sleep(FLUSH_TIME).await;
    tracing::info!(vm = %shared.settings.vm, "ended after a planned stop");
    Ok(())
}
