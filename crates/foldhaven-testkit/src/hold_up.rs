//! Detects stalls of this process. Links, callers and checks run in it, so a stall delays all of
//! them and distorts what they measure.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Interval at which the detector checks whether it wakes up on time.
const TICK: Duration = Duration::from_millis(20);
/// Minimum length of a stall. Shorter delays are ignored.
const LEAST_HOLD_UP: Duration = Duration::from_millis(100);

/// A time span during which a task was due but did not run.
#[derive(Debug, Clone, Copy)]
pub struct HoldUp {
    /// End of the stall.
    pub until: Instant,
    /// Length of the stall.
    pub late: Duration,
}

/// Monitors the runtime on which it was started, until it is dropped.
pub struct HoldUpMeter {
    noted: Arc<Mutex<Vec<HoldUp>>>,
    task: JoinHandle<()>,
}

impl HoldUpMeter {
    /// Starts to monitor the current runtime.
    pub fn start() -> Self {
        let noted: Arc<Mutex<Vec<HoldUp>>> = Arc::default();
        let notes = noted.clone();
        let task = tokio::spawn(async move {
            loop {
                let due = Instant::now() + TICK;
                tokio::time::sleep_until(due).await;
                let until = Instant::now();
                let late = until.duration_since(due);
                if late >= LEAST_HOLD_UP {
                    notes.lock().push(HoldUp { until, late });
                }
            }
        });
        Self { noted, task }
    }

    /// Returns the stalls detected so far.
    pub fn noted(&self) -> Vec<HoldUp> {
        self.noted.lock().clone()
    }
}

impl Drop for HoldUpMeter {
    fn drop(&mut self) {
        self.task.abort();
    }
}
