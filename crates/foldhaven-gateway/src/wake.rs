//! Notices that this process stood still, because its machine was suspended or it was stopped itself, and holds requests
//! back until other VMs have told what happened meanwhile.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use foldhaven_core::time::MonoTime;
use parking_lot::Mutex;
use tokio::sync::Notify;

/// A process whose control thread did nothing for so long stood still. What is published is to be in force within
/// three seconds and more; the thread looks four times a second, also on a busy machine.
const STILL_LIMIT: Duration = Duration::from_millis(2_000);
/// So long after waking a process takes requests even if nobody has told it anything: it may be cut off, and then goes on
/// with what it knows.
const ALONE_AFTER: Duration = Duration::from_millis(1_200);

/// Whether what this process believes is of now.
#[derive(Debug, Default)]
pub struct WakeWatch {
    /// When the control thread looked last.
    looked: AtomicU64,
    /// When it was found that the process had stood still, until it knows what happened meanwhile.
    woken: Mutex<Option<MonoTime>>,
    /// Told when that is found.
    found: Notify,
}

impl WakeWatch {
    /// Notes that the control thread looks. Returns for how long the process stood still, if it did.
    pub fn look(&self, now: MonoTime) -> Option<Duration> {
        let looked = MonoTime(self.looked.swap(now.0, Ordering::Relaxed));
        let still = now.since(looked);
        if looked == MonoTime::default() || still <= STILL_LIMIT {
            return None;
        }
        *self.woken.lock() = Some(now);
        self.found.notify_waiters();
        Some(still)
    }

    /// Whether requests may be decided by what is believed. Asked by traffic, which may run before the control thread after
    /// a stand-still.
    pub fn is_awake(&self, now: MonoTime) -> bool {
        let looked = MonoTime(self.looked.load(Ordering::Relaxed));
        let is_looking = looked == MonoTime::default() || now.since(looked) <= STILL_LIMIT;
        is_looking && self.woken.lock().is_none()
    }

    /// Notes whether what happened meanwhile is known. Returns how long that took, once it is.
    pub fn note_known(&self, is_known: bool, now: MonoTime) -> Option<Duration> {
        let mut woken = self.woken.lock();
        let span = now.since((*woken)?);
        if !is_known && span < ALONE_AFTER {
            return None;
        }
        *woken = None;
        Some(span)
    }

    /// Waits until it is found that the process stood still.
    pub async fn await_found(&self) {
        self.found.notified().await;
    }
}
