//! A planned stop: others are told, what is under way is finished, and nothing is cut that could
//! still end in time.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{sleep, timeout};

use crate::shared::{GatewayShared, StopStage};

/// How long requests that still come are served after others were told: callers hold the addresses
/// that they were given for some seconds. The platform excuses work that the end of the grace time cuts
/// only for requests sent up to three seconds after the signal.
const LEAVING_TIME: Duration = Duration::from_millis(2_900);
/// How long before the platform ends the process by force it ends by itself.
const MARGIN: Duration = Duration::from_millis(400);
/// For the last answers to reach their callers.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// Waits for the signal to stop, then stops.
///
/// # Errors
///
/// When signals cannot be watched.
pub async fn stop_when_told(shared: Arc<GatewayShared>) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let grace = Duration::from_secs_f64(shared.settings.grace_s).saturating_sub(MARGIN);
    tracing::info!(vm = %shared.settings.vm, in_flight = shared.in_flight(), "leaving");
    shared.enter_stage(StopStage::Leaving);
    let leaving = LEAVING_TIME.min(grace / 2);
    sleep(leaving).await;
    shared.enter_stage(StopStage::Closing);
    if timeout(grace - leaving, shared.wait_idle()).await.is_err() {
        tracing::warn!(in_flight = shared.in_flight(), "the end of the grace time cuts requests");
    }
    sleep(FLUSH_TIME).await;
    tracing::info!(vm = %shared.settings.vm, "ended after a planned stop");
    Ok(())
}
