//! Detects stalls of this process. Links, callers and checks run in it, so a stall delays all of
//! them and distorts what they measure.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Interval at which the detector checks whether it wakes up on time.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum length of a stall. Shorter delays are ignored.
const MIN_STALL: Duration = Duration::from_millis(100);

/// A time span during which a task was due but did not run.
#[derive(Debug, Clone, Copy)]
pub struct Stall {
    /// End of the stall.
    pub ended_at: Instant,
    /// Length of the stall.
    pub duration: Duration,
}

/// Monitors the runtime on which it was started, until it is dropped.
pub struct StallDetector {
    stalls: Arc<Mutex<Vec<Stall>>>,
    task: JoinHandle<()>,
}

impl StallDetector {
    /// Starts to monitor the current runtime.
    pub fn start() -> Self {
        let stalls: Arc<Mutex<Vec<Stall>>> = Arc::default();
        let shared = stalls.clone();
        let task = tokio::spawn(async move {
            loop {
                let due = Instant::now() + CHECK_INTERVAL;
                tokio::time::sleep_until(due).await;
                let ended_at = Instant::now();
                let duration = ended_at.duration_since(due);
                if duration >= MIN_STALL {
                    shared.lock().push(Stall { ended_at, duration });
                }
            }
        });
        Self { stalls, task }
    }

    /// Returns the stalls detected so far.
    pub fn stalls(&self) -> Vec<Stall> {
        self.stalls.lock().clone()
    }
}

impl Drop for StallDetector {
    fn drop(&mut self) {
        self.task.abort();
    }
}
