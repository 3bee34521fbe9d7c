//! Passive health checks: targets whose calls fail are ejected for increasing periods.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::MonoTime;

/// Number of consecutive failures after which a target is ejected.
pub const FAILURES_TO_EJECT: u32 = 3;

const SHORTEST_EJECTION: Duration = Duration::from_millis(500);
const LONGEST_EJECTION: Duration = Duration::from_secs(20);

/// The health of one target.
#[derive(Debug, Clone, Copy, Default)]
pub struct TargetHealth {
    /// Number of consecutive failures.
    failures: u32,
    ejected_until: MonoTime,
}

impl TargetHealth {
    /// Records a failed call. A severe failure, a refused or broken connection, ejects the target
    /// at once.
    ///
    /// Each further failure doubles the ejection time. After an ejection, a single failure ejects
    /// the target again.
    pub fn record_failure(&mut self, is_severe: bool, now: MonoTime) {
        self.failures = (self.failures + 1).max(if is_severe { FAILURES_TO_EJECT } else { 0 });
        if self.failures < FAILURES_TO_EJECT {
            return;
        }
        let doublings = (self.failures - FAILURES_TO_EJECT).min(6);
        let span = (SHORTEST_EJECTION * 2u32.pow(doublings)).min(LONGEST_EJECTION);
        self.ejected_until = now + span;
    }

    /// Records a successful call, which makes the target healthy at once.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Returns whether the target is ejected: it gets no requests for now.
    pub fn is_ejected(&self, now: MonoTime) -> bool {
        now < self.ejected_until
    }

    /// Returns whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }
}

/// The health of all targets, by name. A target without an entry is healthy.
#[derive(Debug, Default)]
pub struct HealthTracker {
    targets: BTreeMap<String, TargetHealth>,
}

impl HealthTracker {
    /// Records a successful call, which makes the target healthy at once.
    pub fn record_success(&mut self, target: &str) {
        self.targets.remove(target);
    }

    /// Records a failed call, see [`TargetHealth::record_failure`].
    pub fn record_failure(&mut self, target: &str, is_severe: bool, now: MonoTime) {
        self.targets.entry(target.to_owned()).or_default().record_failure(is_severe, now);
    }

    /// Returns whether the target is ejected: it gets no requests for now.
    pub fn is_ejected(&self, target: &str, now: MonoTime) -> bool {
        self.targets.get(target).is_some_and(|health| health.is_ejected(now))
    }
}
