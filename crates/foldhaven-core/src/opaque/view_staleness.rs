//! How stale a VM's view of the platform state is: the time since it was last confirmed that
//! nothing newer was published.
//!
//! Guards against a region whose readers all get no answer from the platform: its VMs hold the same
//! revision, so none is ahead and none asks for changes, and all of them decide on data that is
//! seconds old. Each answer of the platform confirms the revision that its reader holds. Readers
//! send the others this revision and the age of the confirmation, which is valid for every VM that
//! holds the revision or a later one. Each chain of confirmations ends at an answer of the
//! platform. VMs exchange ages instead of times, so clocks are never compared; the message delay is
//! not counted.

use std::time::Duration;

use crate::time::MonoTime;

/// Confirms that nothing after `revision` was published before `at`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RevisionConfirmation {
    /// The revision.
    pub revision: u64,
    /// The time, on the clock of this process.
    pub at: MonoTime,
}

/// The last confirmation that a VM's state is complete.
#[derive(Debug, Clone, Copy, Default)]
pub struct ViewStaleness {
    confirmed_at: Option<MonoTime>,
    /// The newest confirmation of a revision that this VM does not hold yet.
    pending: Option<RevisionConfirmation>,
}

impl ViewStaleness {
    /// Applies a confirmation, where `held` is the revision up to which this VM's state is
    /// complete.
    pub fn apply(&mut self, confirmation: RevisionConfirmation, held: u64) {
        if confirmation.revision <= held {
            self.confirmed_at = self.confirmed_at.max(Some(confirmation.at));
        } else if self.pending.is_none_or(|pending| pending.at < confirmation.at) {
            self.pending = Some(confirmation);
        }
    }

    /// Records that this VM's state is now complete up to revision `held`.
    pub fn advance_to(&mut self, held: u64) {
        if let Some(confirmation) = self.pending.take_if(|pending| pending.revision <= held) {
            self.apply(confirmation, held);
        }
    }

    /// Returns the time of the last confirmation; `None` before the first one.
    pub fn confirmed_at(&self) -> Option<MonoTime> {
        self.confirmed_at
    }

    /// Returns the time since the last confirmation; `None` before the first one.
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        self.confirmed_at.map(|confirmed_at| now.since(confirmed_at))
    }
}
