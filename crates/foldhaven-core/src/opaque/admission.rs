//! Whether a request is sent to the best place that was found for it, or refused at once.

use std::time::Duration;

use crate::opaque::choice::{CostBreakdown, LATE_VALUE_LOSS, lateness_probability};
use crate::opaque::performance::QueueState;
use crate::opaque::queue_rank::QueueRank;

/// The best place for a request.
#[derive(Debug, Clone, Copy)]
pub struct DestinationEstimate {
    /// The expected time to the answer, or to its first event.
    pub time_to_first: Duration,
    /// What it would cost.
    pub breakdown: CostBreakdown,
    /// Its rank there.
    pub rank: QueueRank,
    /// The requests there.
    pub queue: QueueState,
    /// Whether the place takes no more.
    pub is_full: bool,
}

/// The limits within which it is to be answered.
#[derive(Debug, Clone, Copy)]
pub struct TimeLimits {
    /// The time to the first answer that its caller wants.
    pub target: Duration,
    /// How long it had waited when it came.
    pub waited: Duration,
    /// How long its caller still waits.
    pub remaining: Duration,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionError {
    /// Its caller would have left before it began to be answered.
    TooLate,
    /// It would take more from the requests there than its own answer is worth.
    TooMuchInterference,
    /// All places have as many requests as they take.
    Full,
    /// It cannot be answered within its target, and as many others of which that is so wait already as the place
    /// runs at once.
    TooManyDeferred,
}

/// Decides on a request whose best place is known.
///
/// # Errors
///
/// When it is better refused.
pub fn admit(offer: &DestinationEstimate, limits: TimeLimits) -> Result<(), AdmissionError> {
    if offer.time_to_first > limits.remaining {
        return Err(AdmissionError::TooLate);
    }
    if offer.is_full {
        return Err(AdmissionError::Full);
    }
    if offer.rank == QueueRank::Deferred && offer.queue.deferred >= offer.queue.slots {
        return Err(AdmissionError::TooManyDeferred);
    }
    let late = lateness_probability(limits.waited + offer.time_to_first, limits.target);
    let value = 1.0 - LATE_VALUE_LOSS * late;
    match offer.breakdown.interference() > value {
        true => Err(AdmissionError::TooMuchInterference),
        false => Ok(()),
    }
}

/// After which time a place like the best one could probably answer a refused request within its target, if
/// nothing else came.
pub fn retry_after(offer: &DestinationEstimate, limits: TimeLimits) -> Duration {
    offer.time_to_first.saturating_sub(limits.target)
}
