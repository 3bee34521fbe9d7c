//! How old what a VM believes of the platform is: for how long it has not been proven that nothing else was published.
//!
//! The pattern that it answers: a region of which all readers get no answer. Its VMs hold the same revision, so that nobody is
//! ahead and nobody asks, and all of them decide by what is seconds old. Here each answer of the platform proves what its
//! reader holds. Readers tell the others with which revision and how long ago, and it counts for whoever holds that revision
//! or a later one: a chain that ends at an answer of the platform. Ages cross between VMs and not times, so that no two
//! clocks are compared; the time that a message takes is not counted.

use std::time::Duration;

use crate::time::MonoTime;

/// That nothing after a revision was published by some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RevisionConfirmation {
    /// The revision.
    pub revision: u64,
    /// The time, by the clock of this process.
    pub at: MonoTime,
}

/// The last proof that what is held was all there is.
#[derive(Debug, Clone, Copy, Default)]
pub struct ViewStaleness {
    confirmed_at: Option<MonoTime>,
    /// The newest proof of a revision that is not held yet.
    pending: Option<RevisionConfirmation>,
}

impl ViewStaleness {
    /// Takes in a proof, where `held` is the revision up to which all is known here.
    pub fn apply(&mut self, confirmation: RevisionConfirmation, held: u64) {
        if confirmation.revision <= held {
            self.confirmed_at = self.confirmed_at.max(Some(confirmation.at));
        } else if self.pending.is_none_or(|pending| pending.at < confirmation.at) {
            self.pending = Some(confirmation);
        }
    }

    /// Takes in that all is known here up to a revision.
    pub fn advance_to(&mut self, held: u64) {
        if let Some(confirmation) = self.pending.take_if(|pending| pending.revision <= held) {
            self.apply(confirmation, held);
        }
    }

    /// When what is held was proven last; nothing before the first time.
    pub fn confirmed_at(&self) -> Option<MonoTime> {
        self.confirmed_at
    }

    /// For how long it has not been proven.
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        self.confirmed_at.map(|confirmed_at| now.since(confirmed_at))
    }
}
