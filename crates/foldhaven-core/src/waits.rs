//! Which description waiting requests were last checked by: what a VM may say is in force.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::description::DescriptionStamp;
use crate::time::MonoTime;

/// How long a call that was given up may take to be cancelled at its upstream: until its connection is
/// closed there, a request that waits in the upstream's queue can still begin.
pub const CANCEL_GRACE: Duration = Duration::from_millis(100);

/// Counts waiting requests by the description that they were last checked by.
///
/// A description is adopted in a moment, but requests that wait at upstreams were placed by the one before.
/// Whoever is told that a rule is in force must be able to rely on it: so it is told only once no such
/// request is left. What is told never goes back, since requests enter with the newest description.
#[derive(Debug, Default)]
pub struct WaitLedger {
    newest: Option<DescriptionStamp>,
    waiting: BTreeMap<Option<DescriptionStamp>, u32>,
    left: BTreeMap<Option<DescriptionStamp>, MonoTime>,
}

impl WaitLedger {
    /// Notes a description by which requests are placed from now on.
    pub fn adopt(&mut self, stamp: DescriptionStamp) {
        self.newest = self.newest.max(Some(stamp));
    }

    /// Counts a request that is about to be placed, and returns what it counts as checked by.
    ///
    /// It must be placed by a view that is read afterwards.
    pub fn enter(&mut self) -> Option<DescriptionStamp> {
        *self.waiting.entry(self.newest).or_default() += 1;
        self.newest
    }

    /// Notes that a waiting request is permitted by a later description as well.
    pub fn recheck(&mut self, from: Option<DescriptionStamp>, to: Option<DescriptionStamp>) {
        self.remove(from);
        *self.waiting.entry(to).or_default() += 1;
    }

    /// Takes out a request that has begun, ended or was called back.
    pub fn leave(&mut self, checked: Option<DescriptionStamp>, now: MonoTime) {
        self.remove(checked);
        self.left.insert(checked, now);
    }

    /// The description that holds for every request that can still begin.
    pub fn in_force(&mut self, now: MonoTime) -> Option<DescriptionStamp> {
        self.left.retain(|_, at| now.since(*at) < CANCEL_GRACE);
        let oldest_waiting = self.waiting.keys().next().copied();
        let oldest_left = self.left.keys().next().copied();
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
