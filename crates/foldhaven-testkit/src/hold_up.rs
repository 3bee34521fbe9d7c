//! Notes for how long this process was held up: links, callers and checks share it, so what it measures of others is late by as
//! much.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::task::JoinHandle;
use tokio::time::Instant;

const TICK: Duration = Duration::from_millis(20);
/// What is shorter than this is not noted.
const LEAST_HOLD_UP: Duration = Duration::from_millis(100);

/// A time for which a task that was due did not run.
#[derive(Debug, Clone, Copy)]
pub struct HoldUp {
    /// When it went on.
    pub until: Instant,
    /// How late it was.
    pub late: Duration,
}

/// Watches the runtime that it was started on, until it is dropped.
pub struct HoldUpMeter {
    noted: Arc<Mutex<Vec<HoldUp>>>,
    task: JoinHandle<()>,
}

impl HoldUpMeter {
    /// Starts to watch.
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

    /// What was noted so far.
    pub fn noted(&self) -> Vec<HoldUp> {
        self.noted.lock().clone()
    }
}

impl Drop for HoldUpMeter {
    fn drop(&mut self) {
        self.task.abort();
    }
}
