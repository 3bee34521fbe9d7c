//! Whether a request is sent to the best place that was found for it, or refused at once.

use std::time::Duration;

use crate::opaque::choice::{CostParts, LATE_LOSS, chance_of_lateness};
use crate::opaque::pace::QueueFacts;
use crate::opaque::queue_rank::QueueRank;

/// The best place for a request.
#[derive(Debug, Clone, Copy)]
pub struct PlaceOffer {
    /// The expected time to the answer, or to its first event.
    pub first: Duration,
    /// What it would cost.
    pub parts: CostParts,
    /// Its rank there.
    pub rank: QueueRank,
    /// The requests there.
    pub queue: QueueFacts,
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
pub enum Unservable {
    /// Its caller would have left before it began to be answered.
    TooLate,
    /// It would take more from the requests there than its own answer is worth.
    TooHarmful,
    /// All places have as many requests as they take.
    Full,
    /// It cannot be answered within its target, and as many others of which that is so wait already as the place
    /// runs at once.
    Crowded,
}

/// Decides on a request whose best place is known.
///
/// # Errors
///
/// When it is better refused.
pub fn admit(offer: &PlaceOffer, limits: TimeLimits) -> Result<(), Unservable> {
    if offer.first > limits.remaining {
        return Err(Unservable::TooLate);
    }
    if offer.is_full {
        return Err(Unservable::Full);
    }
    if offer.rank == QueueRank::Behind && offer.queue.behind >= offer.queue.slots {
        return Err(Unservable::Crowded);
    }
    let late = chance_of_lateness(limits.waited + offer.first, limits.target);
    let value = 1.0 - LATE_LOSS * late;
    match offer.parts.harm() > value {
        true => Err(Unservable::TooHarmful),
        false => Ok(()),
    }
}

/// After which time a place like the best one could probably answer a refused request within its target, if
/// nothing else came.
pub fn come_back_after(offer: &PlaceOffer, limits: TimeLimits) -> Duration {
    offer.first.saturating_sub(limits.target)
}
