//! In which order an upstream takes up requests, and the prompts that it has not read yet by that order.

use serde::{Deserialize, Serialize};

/// The place of a request in the order of an upstream, which admits all timely ones before any other, and
/// those of one rank as they come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueRank {
    /// It can still be answered within its target.
    Timely,
    /// It cannot, and goes behind all others.
    Deferred,
}

impl QueueRank {
    /// The name in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Timely => "timely",
            Self::Deferred => "behind",
        }
    }
}

/// The prompt tokens of requests that were not answered yet, by rank.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillBacklog {
    /// Of timely requests.
    pub timely: u32,
    /// Of those that go behind them.
    #[serde(rename = "behind")]
    pub deferred: u32,
}

impl PrefillBacklog {
    /// These and others.
    pub fn plus(self, other: Self) -> Self {
        Self {
            timely: self.timely.saturating_add(other.timely),
            deferred: self.deferred.saturating_add(other.deferred),
        }
    }

    /// These times a factor.
    pub fn times(self, factor: f64) -> Self {
        let times = |tokens| (f64::from(tokens) * factor) as u32;
        Self { timely: times(self.timely), deferred: times(self.deferred) }
    }

    /// The tokens that are read before those of one more request of a rank.
    pub fn ahead_of(self, rank: QueueRank) -> u32 {
        match rank {
            QueueRank::Timely => self.timely,
            QueueRank::Deferred => self.timely.saturating_add(self.deferred),
        }
    }
}
