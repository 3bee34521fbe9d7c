//! Attempt records: the known state of each attempt, and the request outcome that follows from it.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::AttemptId;

/// The outcome reported for a request that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The whole answer was delivered.
    Complete,
    /// No part of the request ran, and none will.
    NotRun,
    /// Part of the request may have run.
    Unknown,
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Complete => "complete",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        })
    }
}

/// A text is not an outcome: `complete`, `not_run` or `unknown` was expected
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct OutcomeError;

impl FromStr for RequestOutcome {
    type Err = OutcomeError;

    fn from_str(text: &str) -> Result<Self, OutcomeError> {
        match text {
            "complete" => Ok(Self::Complete),
            "not_run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err(OutcomeError),
        }
    }
}

/// The known state of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// The target was chosen, and no byte of the request was sent.
    Planned,
    /// A byte of the request may have been sent, and no answer is known.
    Dispatched,
    /// The connection failed before any byte of the request was sent.
    NotSent,
    /// The receiver recorded that it refused this attempt and will not run it.
    Refused,
    /// The attempt failed after a byte may have been sent.
    Broken,
    /// The whole answer arrived and was checked.
    Complete,
}

/// One attempt with its target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptRecord {
    /// The id that the receiver gets for the attempt.
    pub id: AttemptId,
    /// The name of the upstream or peer.
    pub target: String,
    /// The known state.
    pub state: AttemptState,
}

/// All attempts of one request, in order. Only the last one can be in flight.
///
/// While an attempt is in flight, the outcome is `unknown`, never `not_run`. This also holds for a
/// log that is dropped at that point.
#[derive(Debug, Clone, Default)]
pub struct AttemptLog {
    records: Vec<AttemptRecord>,
}

impl AttemptLog {
    /// Adds a planned attempt, of which no byte was sent yet.
    pub fn plan(&mut self, id: AttemptId, target: impl Into<String>) {
        let target = target.into();
        self.records.push(AttemptRecord { id, target, state: AttemptState::Planned });
    }

    /// Records the new state of the last attempt.
    ///
    /// An attempt that ended keeps its state, so that late updates cannot replace it by a more
    /// favourable one: only `Planned` and `Dispatched` change, and `Dispatched` never goes back to
    /// `Planned` or `NotSent`.
    pub fn record(&mut self, state: AttemptState) {
        let Some(last) = self.records.last_mut() else { return };
        let is_permitted = match last.state {
            AttemptState::Planned => true,
            AttemptState::Dispatched => {
                !matches!(state, AttemptState::Planned | AttemptState::NotSent)
            }
            _ => false,
        };
        if is_permitted {
            last.state = state;
        }
    }

    /// Records that the last attempt, which was marked as dispatched, was never sent because no
    /// connection was established. Only the connector knows this.
    pub fn record_not_connected(&mut self) {
        if let Some(last) = self.records.last_mut()
            && last.state == AttemptState::Dispatched
        {
            last.state = AttemptState::NotSent;
        }
    }

    /// Returns the outcome of the request as known now.
    pub fn outcome(&self) -> RequestOutcome {
        if self.records.iter().any(|record| record.state == AttemptState::Complete) {
            return RequestOutcome::Complete;
        }
        let never_ran = |record: &AttemptRecord| {
            use AttemptState::{NotSent, Planned, Refused};
            matches!(record.state, Planned | NotSent | Refused)
        };
        match self.records.iter().all(never_ran) {
            true => RequestOutcome::NotRun,
            false => RequestOutcome::Unknown,
        }
    }

    /// Returns whether another attempt is permitted: always for a repeatable request that is not
    /// complete, and for any other request only while no part of it can have run.
    pub fn may_retry(&self, is_repeatable: bool) -> bool {
        match self.outcome() {
            RequestOutcome::Complete => false,
            RequestOutcome::NotRun => true,
            RequestOutcome::Unknown => is_repeatable,
        }
    }

    /// Returns the attempts so far.
    pub fn records(&self) -> &[AttemptRecord] {
        &self.records
    }
}
