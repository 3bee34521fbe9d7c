//! Why the gateway refuses a request, and when the caller may come again.

use std::time::Duration;

use crate::opaque::admission::AdmissionError;

/// Retry delay for a request whose residency rules permit no region. A retry fails until operators
/// have changed the rules.
const NO_REGION_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Retry delay for a body that found no memory. Long bodies take about a second to arrive.
const NO_MEMORY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The maximum retry delay that a caller over its limit, or of an overloaded service, is told.
pub const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// The factor by which the spread prolongs a retry delay at most.
const MAX_SPREAD: u32 = 2;

/// Minimum retry delay while the upstreams are overloaded.
pub const MIN_OVERLOAD_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Minimum retry delay while all upstreams are throttled.
const MIN_THROTTLED_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Range over which these retries are spread.
const THROTTLED_RETRY_SPREAD: Duration = Duration::from_millis(500);

/// Why the gateway refuses a request. The text of each variant is the body of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum Refusal {
    /// no description yet
    NoDescription,
    /// malformed request
    Malformed,
    /// the head is too large
    HeadTooLarge,
    /// the body is too large
    BodyTooLarge,
    /// no such route
    NoRoute,
    /// a key of an account is needed
    NoKey,
    /// the account is over its limit
    OverLimit {
        /// The time until the account is probably below its limit.
        wait: Duration,
    },
    /// its homes leave no region to run in
    NoPermittedRegion,
    /// others know a newer description
    Outdated,
    /// no upstream can take it
    NoUpstream,
    /// the upstreams want nothing more for now
    Throttled {
        /// The time until one of them probably accepts requests.
        wait: Duration,
    },
    /// no memory for the body
    NoMemory,
    /// the upstreams are full
    Full,
    /// the queues of the upstreams are full
    QueueFull {
        /// The time until one of them probably has room.
        wait: Duration,
    },
    /// the upstreams are overloaded
    Overloaded {
        /// Why the request was not sent to the best of them.
        cause: AdmissionError,
        /// The time until it probably can be.
        wait: Duration,
    },
    /// upstreams ended under this request
    Quarantined {
        /// The time until the request may be sent here.
        wait: Duration,
    },
    /// nobody knows at which software version the stream began, so it can only begin anew
    UnknownOrigin,
    /// this VM is leaving
    Leaving,
    /// not permitted here
    NotPermitted,
    /// an upstream may have run it but gave no whole answer
    Broken,
    /// this VM ends before the answer, and an upstream may have run it
    Interrupted,
    /// the time for it has passed and it may have run
    TimedOut,
    /// the time for it has passed before it was sent to any upstream
    NotReached,
}

impl Refusal {
    /// Returns the HTTP status of the answer. 408, 421, 429 and 503 guarantee that the request did not
    /// run.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::NoKey => 401,
            Self::NoRoute => 404,
            Self::BodyTooLarge => 413,
            Self::OverLimit { .. } => 429,
            Self::HeadTooLarge => 431,
            Self::NoDescription
            | Self::Outdated
            | Self::NoUpstream
            | Self::Throttled { .. }
            | Self::NoMemory
            | Self::Full
            | Self::QueueFull { .. }
            | Self::Overloaded { .. }
            | Self::Quarantined { .. }
            | Self::UnknownOrigin
            | Self::Leaving
            | Self::NotPermitted
            | Self::NoPermittedRegion
            | Self::NotReached => 503,
            Self::Broken | Self::Interrupted => 502,
            Self::TimedOut => 504,
        }
    }

    /// Whether the status guarantees that the request did not run.
    pub fn guarantees_not_run(self) -> bool {
        matches!(self.status(), 408 | 421 | 429 | 503)
    }

    /// Returns the name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoDescription => "no_description",
            Self::Malformed => "malformed",
            Self::HeadTooLarge => "head_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::OverLimit { .. } => "over_limit",
            Self::NoPermittedRegion => "no_home",
            Self::Outdated => "behind",
            Self::NoUpstream => "no_upstream",
            Self::Throttled { .. } => "held_back",
            Self::NoMemory => "no_memory",
            Self::Full => "full",
            Self::QueueFull { .. } => "queue_full",
            Self::Overloaded { cause: AdmissionError::TooLate, .. } => "overloaded",
            Self::Overloaded { cause: AdmissionError::TooMuchInterference, .. } => "too_harmful",
            Self::Overloaded { cause: AdmissionError::Full, .. } => "known_full",
            Self::Overloaded { cause: AdmissionError::TooManyDeferred, .. } => "crowded",
            Self::Quarantined { .. } => "suspect",
            Self::UnknownOrigin => "unknown_origin",
            Self::Leaving => "leaving",
            Self::NotPermitted => "not_permitted",
            Self::Broken => "broken",
            Self::Interrupted => "interrupted",
            Self::TimedOut => "timed_out",
            Self::NotReached => "not_reached",
        }
    }

    /// Returns the delay after which the caller should retry, spread over callers by `draw` in
    /// 0..1. `None` if a retry is of no use.
    pub fn retry_after(self, draw: f64) -> Option<Duration> {
        let shortest = match self {
            Self::NoDescription | Self::Outdated | Self::NoUpstream | Self::UnknownOrigin => {
                Duration::from_millis(400)
            }
            Self::Full => Duration::from_millis(250),
            Self::NoMemory => NO_MEMORY_RETRY_DELAY,
            // The end of the back-off is known, so callers are spread by a fixed range only.
            Self::Throttled { wait } => {
                return Some(
                    wait.max(MIN_THROTTLED_RETRY_DELAY) + THROTTLED_RETRY_SPREAD.mul_f64(draw),
                );
            }
            Self::Overloaded { wait, .. } => {
                wait.clamp(MIN_OVERLOAD_RETRY_DELAY, MAX_RETRY_DELAY / MAX_SPREAD)
            }
            Self::OverLimit { wait } => wait.min(MAX_RETRY_DELAY / MAX_SPREAD),
            Self::QueueFull { wait } | Self::Quarantined { wait } => wait,
            Self::NoPermittedRegion => NO_REGION_RETRY_DELAY,
            Self::Leaving | Self::NotReached | Self::NotPermitted => Duration::from_millis(50),
            _ => return None,
        };
        Some(shortest.mul_f64(1.0 + draw))
    }
}
