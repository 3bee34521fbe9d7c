//! The order in which an upstream starts requests, and its prefill backlog by that order.

use serde::{Deserialize, Serialize};

/// The rank of a request in an upstream's queue. Upstreams start all timely requests before any
/// deferred one, and requests of one rank in order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueRank {
    /// The request can still be answered within its target.
    Timely,
    /// The request cannot be answered within its target and runs after all timely ones.
    Deferred,
}

impl QueueRank {
    /// Returns the name used in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Timely => "timely",
            Self::Deferred => "behind",
        }
    }
}

/// The prompt tokens of requests that have not been answered yet, by rank.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillBacklog {
    /// Tokens of timely requests.
    pub timely: u32,
    /// Tokens of deferred requests.
    #[serde(rename = "behind")]
    pub deferred: u32,
}

impl PrefillBacklog {
    /// Returns the sum of two backlogs.
    pub fn plus(self, other: Self) -> Self {
        Self {
            timely: self.timely.saturating_add(other.timely),
            deferred: self.deferred.saturating_add(other.deferred),
        }
    }

    /// Returns the backlog multiplied by a factor.
    pub fn times(self, factor: f64) -> Self {
        let scale = |tokens| (f64::from(tokens) * factor) as u32;
        Self { timely: scale(self.timely), deferred: scale(self.deferred) }
    }

    /// Returns the number of tokens that are prefilled before a new request of a rank.
    pub fn ahead_of(self, rank: QueueRank) -> u32 {
        match rank {
            QueueRank::Timely => self.timely,
            QueueRank::Deferred => self.timely.saturating_add(self.deferred),
        }
    }
}
