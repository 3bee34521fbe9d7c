//! Decides whether a request is sent to its best destination or refused immediately.

use std::time::Duration;

use crate::opaque::choice::{
    CostBreakdown, DEFERRAL_PROBABILITY, LATE_VALUE_LOSS, lateness_probability,
};
use crate::opaque::performance::QueueState;
use crate::opaque::queue_rank::QueueRank;

/// The risk of a full queue up to which a late request without a priority level is admitted. It is
/// that of a queue that is two thirds full. The rest is left for requests that can be in time: about
/// as many as arrive between two load reports.
const MAX_LATE_OVERFLOW: f64 = 0.1;

/// The estimates for the best destination of a request.
#[derive(Debug, Clone, Copy)]
pub struct DestinationEstimate {
    /// The expected time to the answer, or to its first event.
    pub time_to_first: Duration,
    /// The expected cost by cause.
    pub breakdown: CostBreakdown,
    /// The rank of the request in the destination's queue.
    pub rank: QueueRank,
    /// The requests at the destination.
    pub queue: QueueState,
    /// Whether the destination probably refuses further requests because its queue is full.
    pub is_full: bool,
}

/// The time limits of a request.
#[derive(Debug, Clone, Copy)]
pub struct TimeLimits {
    /// The target time to the answer, or to its first event.
    pub target: Duration,
    /// The time that the caller had already waited when the request arrived.
    pub waited: Duration,
    /// The time that the caller continues to wait.
    pub remaining: Duration,
}

/// The reason why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionError {
    /// The caller would give up before the answer begins.
    TooLate,
    /// The request would cost the other requests at the destination more than its answer is worth.
    TooMuchInterference,
    /// The queues of all destinations are full.
    Full,
    /// The request cannot be answered within its target, and the destination already has at least
    /// as many unanswered deferred requests as slots, or a queue that is two thirds full if
    /// requests run in order of arrival.
    TooManyDeferred,
}

/// Decides whether a request is sent to its best destination.
///
/// # Errors
///
/// Returns the reason if the request should be refused.
pub fn admit(estimate: &DestinationEstimate, limits: TimeLimits) -> Result<(), AdmissionError> {
    if estimate.time_to_first > limits.remaining {
        return Err(AdmissionError::TooLate);
    }
    if estimate.is_full {
        return Err(AdmissionError::Full);
    }
    if estimate.rank == QueueRank::Deferred && estimate.queue.deferred >= estimate.queue.slots {
        return Err(AdmissionError::TooManyDeferred);
    }
    let late = lateness_probability(limits.waited + estimate.time_to_first, limits.target);
    if late > DEFERRAL_PROBABILITY && estimate.breakdown.overflow > MAX_LATE_OVERFLOW {
        return Err(AdmissionError::TooManyDeferred);
    }
    let value = 1.0 - LATE_VALUE_LOSS * late;
    match estimate.breakdown.interference() > value {
        true => Err(AdmissionError::TooMuchInterference),
        false => Ok(()),
    }
}

/// The part of a full queue that has to be worked off before it has room for those that come again.
const QUEUE_PART: f64 = 0.2;
/// The minimum of this time. Callers that come again sooner find the same queue.
const MIN_QUEUE_WAIT: Duration = Duration::from_millis(80);

/// Returns the time after which a full queue of plain requests probably has room. It is short
/// against their targets, so that a caller who comes again then can still be answered in time.
pub fn queue_wait(time_to_first: Duration) -> Duration {
    time_to_first.mul_f64(QUEUE_PART).max(MIN_QUEUE_WAIT)
}

/// Returns the time after which the destination could probably answer a refused request within its
/// target if no other requests arrived.
pub fn retry_after(estimate: &DestinationEstimate, limits: TimeLimits) -> Duration {
    estimate.time_to_first.saturating_sub(limits.target)
}
