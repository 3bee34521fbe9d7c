//! Suspicion of upstreams and data centres by the calls made to them, and slow return.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::MonoTime;

/// After how many failures in a row a target gets nothing for a while.
pub const FAILURES_TO_EJECT: u32 = 3;

const SHORTEST_EJECTION: Duration = Duration::from_millis(500);
const LONGEST_EJECTION: Duration = Duration::from_secs(20);

/// The failures of one target.
#[derive(Debug, Clone, Copy, Default)]
pub struct TargetHealth {
    failures: u32,
    until: MonoTime,
}

impl TargetHealth {
    /// Notes a failed call. `severe` ejects at once: the connection was refused or cut.
    ///
    /// Each further failure doubles the time; when it has run out, one failure ejects again.
    pub fn record_failure(&mut self, severe: bool, now: MonoTime) {
        self.failures = (self.failures + 1).max(if severe { FAILURES_TO_EJECT } else { 0 });
        if self.failures < FAILURES_TO_EJECT {
            return;
        }
        let doublings = (self.failures - FAILURES_TO_EJECT).min(6);
        let span = (SHORTEST_EJECTION * 2u32.pow(doublings)).min(LONGEST_EJECTION);
        self.until = now + span;
    }

    /// Notes a call that went well: the target is trusted again at once.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Whether the target gets nothing now.
    pub fn is_ejected(&self, now: MonoTime) -> bool {
        now < self.until
    }
}

/// The targets that failed lately.
#[derive(Debug, Default)]
pub struct HealthTracker {
    targets: BTreeMap<String, TargetHealth>,
}

impl HealthTracker {
    /// Notes a call that went well: the target is trusted again at once.
    pub fn record_success(&mut self, target: &str) {
        self.targets.remove(target);
    }

    /// Notes a failed call, as [`TargetHealth::record_failure`].
    pub fn record_failure(&mut self, target: &str, severe: bool, now: MonoTime) {
        self.targets.entry(target.to_owned()).or_default().record_failure(severe, now);
    }

    /// Whether the target gets nothing now.
    pub fn is_ejected(&self, target: &str, now: MonoTime) -> bool {
        self.targets.get(target).is_some_and(|health| health.is_ejected(now))
    }
}
