//! Tracks by which description each waiting request was last checked, to determine the description
//! that a VM may report as in force.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::description::DescriptionStamp;
use crate::time::MonoTime;

/// Time that the cancellation of an abandoned call may take to reach its upstream. Until the
/// upstream has closed the connection, a request that waits in its queue can still start.
pub const CANCEL_GRACE: Duration = Duration::from_millis(100);

/// Counts waiting requests by the description by which they were last checked.
///
/// A description is adopted at once, but requests that wait at upstreams were routed by the
/// previous one. A description is reported as in force only once no such request is left, so that
/// operators can rely on its rules. The reported description never goes back, since requests enter
/// with the newest one.
#[derive(Debug, Default)]
pub struct WaitLedger {
    newest: Option<DescriptionStamp>,
    /// Number of waiting requests by the stamp by which they were last checked.
    waiting: BTreeMap<Option<DescriptionStamp>, u32>,
    /// When the last request left, by the stamp by which it was last checked.
    last_left: BTreeMap<Option<DescriptionStamp>, MonoTime>,
}

impl WaitLedger {
    /// Records a description by which requests are routed from now on.
    pub fn adopt(&mut self, stamp: DescriptionStamp) {
        self.newest = self.newest.max(Some(stamp));
    }

    /// Adds a request that is about to be routed, and returns the stamp by which it counts as
    /// checked.
    ///
    /// The request must be routed by a view that is read after this call.
    pub fn enter(&mut self) -> Option<DescriptionStamp> {
        *self.waiting.entry(self.newest).or_default() += 1;
        self.newest
    }

    /// Records that a waiting request is also permitted by a later description.
    pub fn recheck(&mut self, from: Option<DescriptionStamp>, to: Option<DescriptionStamp>) {
        self.remove(from);
        *self.waiting.entry(to).or_default() += 1;
    }

    /// Removes a request that started, ended or was cancelled.
    pub fn leave(&mut self, checked: Option<DescriptionStamp>, now: MonoTime) {
        self.remove(checked);
        self.last_left.insert(checked, now);
    }

    /// Returns the description that applies to every request that can still start, `None` if there
    /// is none.
    pub fn in_force(&mut self, now: MonoTime) -> Option<DescriptionStamp> {
        self.last_left.retain(|_, at| now.since(*at) < CANCEL_GRACE);
        let oldest_waiting = self.waiting.keys().next().copied();
        let oldest_left = self.last_left.keys().next().copied();
        [oldest_waiting, oldest_left].into_iter().flatten().fold(self.newest, Ord::min)
    }

    fn remove(&mut self, checked: Option<DescriptionStamp>) {
        if let Some(count) = self.waiting.get_mut(&checked) {
            *count -= 1;
            if *count == 0 {
                self.waiting.remove(&checked);
            }
        }
    }
}
