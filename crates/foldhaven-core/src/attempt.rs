//! Attempt records: what is known of each try, and what may truthfully be said of the request.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::AttemptId;

/// What may be said of a request when it has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The whole answer was handed over.
    Complete,
    /// Nothing of the request ran, and nothing of it will.
    NotRun,
    /// Some of the request may have run.
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

/// What is known of one try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// Chosen; no byte of it has left.
    Planned,
    /// A byte of it may have left, and no more is known.
    Dispatched,
    /// The connection was refused before any byte of the request left.
    NotSent,
    /// The receiver recorded that it refused this attempt and will not run it.
    Refused,
    /// It failed after a byte may have left.
    Broken,
    /// Its whole answer arrived and was checked.
    Complete,
}

/// One try with its target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptRecord {
    /// The id under which the receiver knows the try.
    pub id: AttemptId,
    /// The upstream or peer that was tried.
    pub target: String,
    /// What is known of it.
    pub state: AttemptState,
}

/// All tries of one request, in order. Only the last one can be under way.
///
/// A log that is dropped in the middle of a try says `unknown`, never `not_run`.
#[derive(Debug, Clone, Default)]
pub struct AttemptLog {
    records: Vec<AttemptRecord>,
}

impl AttemptLog {
    /// Adds a try of which nothing has left yet.
    pub fn plan(&mut self, id: AttemptId, target: impl Into<String>) {
        let target = target.into();
        self.records.push(AttemptRecord { id, target, state: AttemptState::Planned });
    }

    /// Records what is now known of the last try.
    ///
    /// A try that ended stays as it is, so that late news cannot improve on what was known: only
    /// `Planned` and `Dispatched` change, and `Dispatched` never goes back to `Planned` or to
    /// `NotSent`.
    pub fn record(&mut self, state: AttemptState) {
        let Some(last) = self.records.last_mut() else { return };
        let permitted = match last.state {
            AttemptState::Planned => true,
            AttemptState::Dispatched => {
                !matches!(state, AttemptState::Planned | AttemptState::NotSent)
            }
            _ => false,
        };
        if permitted {
            last.state = state;
        }
    }

    /// Records that the last try, of which a byte may have left, was in fact never sent, as only
    /// the connector can tell: the connection itself was not made.
    pub fn record_not_connected(&mut self) {
        if let Some(last) = self.records.last_mut()
            && last.state == AttemptState::Dispatched
        {
            last.state = AttemptState::NotSent;
        }
    }

    /// What may be said of the request now.
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

    /// Whether another try is permitted: always for a repeatable request that is not complete, and
    /// for any other only while nothing of it can have run.
    pub fn may_retry(&self, repeatable: bool) -> bool {
        match self.outcome() {
            RequestOutcome::Complete => false,
            RequestOutcome::NotRun => true,
            RequestOutcome::Unknown => repeatable,
        }
    }

    /// The tries so far.
    pub fn records(&self) -> &[AttemptRecord] {
        &self.records
    }
}
