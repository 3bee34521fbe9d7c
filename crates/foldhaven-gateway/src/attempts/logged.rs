//! What is logged of the last attempt of a request.

use foldhaven_core::opaque::prefix_use::PrefixUse;
use foldhaven_core::opaque::queue_rank::QueueRank;

use super::RequestDriver;
use crate::destinations::DestinationChoice;

/// The properties of a chosen destination that are logged.
#[derive(Debug, Clone, Copy)]
pub struct LoggedChoice {
    /// The expected time to the answer, or to its first event, in milliseconds.
    pub time_to_first_ms: u64,
    /// The prompt tokens to prefill.
    pub prefill_tokens: u32,
    /// The requests in flight at the destination.
    pub load: u32,
    /// The rank of the request at the destination.
    pub rank: QueueRank,
    /// The shared segments of the prompt at the destination.
    pub prefix: PrefixUse,
}

impl LoggedChoice {
    pub(super) fn of(chosen: &DestinationChoice) -> Self {
        Self {
            time_to_first_ms: chosen.time_to_first.as_millis() as u64,
            prefill_tokens: chosen.prefill_tokens,
            load: chosen.queue.in_flight,
            rank: chosen.rank,
            prefix: chosen.prefix,
        }
    }
}

/// The destination of an attempt.
#[derive(Debug, Clone)]
pub struct LoggedAttempt {
    destination: Option<String>,
    software: Option<String>,
    choice: Option<LoggedChoice>,
}

impl RequestDriver {
    /// Returns the destination of the last attempt.
    pub fn logged_attempt(&self) -> LoggedAttempt {
        LoggedAttempt {
            destination: self.last_destination.clone(),
            software: self.last_software.clone(),
            choice: self.last_choice,
        }
    }

    /// Goes on with an earlier attempt, after a later one was given up.
    pub fn return_to(&mut self, attempt: LoggedAttempt) {
        self.last_destination = attempt.destination;
        self.last_software = attempt.software;
        self.last_choice = attempt.choice;
        self.slot_ticket = None;
        self.ticket = None;
        self.alternative = None;
    }
}
