//! Why a request is refused, and what the caller is told of it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::attempt::RequestOutcome;

/// Why a request is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, displaydoc::Display)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// no description has been adopted yet
    NoDescription,
    /// the request is malformed
    BadRequest,
    /// the body is larger than permitted
    BodyTooLarge,
    /// the body did not arrive in time
    BodyTooSlow,
    /// the content type is not supported
    ContentType,
    /// the account is not known
    UnknownAccount,
    /// the class is not known
    UnknownClass,
    /// the model is not known
    UnknownModel,
    /// the service is not known
    UnknownService,
    /// the path is not known
    UnknownPath,
    /// a request that is not repeatable needs a ticket
    TicketRequired,
    /// the ticket is not valid
    TicketInvalid,
    /// the ticket was used for another request
    TicketReused,
    /// the owner of the ticket cannot be asked
    TicketOwner,
    /// no permitted region can serve the request
    Residency,
    /// the forwarded request has no valid path
    ForwardPath,
    /// the deadline cannot be met
    Deadline,
    /// capacity is short and goes to requests of more worth
    Capacity,
    /// no upstream holds what the request needs
    NoUpstream,
    /// this VM is leaving
    Leaving,
    /// the upstream failed
    UpstreamFailed,
    /// the peer failed
    PeerFailed,
    /// the answer was not whole
    AnswerBroken,
    /// this process slept and does not know whether its view still holds
    Paused,
}

impl RefusalReason {
    /// The name used in error bodies and metrics.
    pub fn code(self) -> String {
        let value = serde_json::to_value(self).expect("a reason is a string");
        value.as_str().unwrap_or_default().to_owned()
    }

    /// The HTTP status that goes with the reason.
    pub fn status(self) -> u16 {
        use RefusalReason::*;
        match self {
            BadRequest | ForwardPath => 400,
            UnknownAccount => 401,
            Residency => 403,
            UnknownClass | UnknownModel | UnknownService | UnknownPath => 404,
            BodyTooSlow => 408,
            TicketInvalid | TicketReused => 409,
            BodyTooLarge => 413,
            ContentType => 415,
            TicketRequired => 428,
            Capacity | Deadline => 429,
            UpstreamFailed | PeerFailed | AnswerBroken | TicketOwner => 502,
            NoDescription | NoUpstream | Leaving | Paused => 503,
        }
    }

    /// The reason that a caller is given when a peer refused its request for this one.
    ///
    /// Residency and the path are judged by the peer for its own data centre. They say nothing of other places.
    pub fn for_caller(self) -> Self {
        match self {
            Self::Residency | Self::ForwardPath => Self::NoUpstream,
            other => other,
        }
    }

    /// Whether asking again later, or elsewhere, may succeed without a change of the request.
    pub fn is_transient(self) -> bool {
        matches!(self.status(), 429 | 502 | 503)
    }
}

/// {step} at {peer}: {reason}: {detail}
///
/// The final answer to a request that is not served whole.
#[derive(Debug, Clone, PartialEq, displaydoc::Display, thiserror::Error)]
#[ignore_extra_doc_attributes]
pub struct RefusalAnswer {
    /// What was being done.
    pub step: &'static str,
    /// Whom it was done with; `-` for nobody.
    pub peer: String,
    /// Why it is refused.
    pub reason: RefusalReason,
    /// What was expected and what was found.
    pub detail: String,
    /// Whether any of the request may have run.
    pub outcome: RequestOutcome,
    /// When the caller should come back; absent when that would not help.
    pub retry_after: Option<Duration>,
}

impl RefusalAnswer {
    /// A refusal of a request of which nothing has run.
    pub fn not_run(step: &'static str, reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            step,
            peer: "-".to_owned(),
            reason,
            detail: detail.into(),
            outcome: RequestOutcome::NotRun,
            retry_after: None,
        }
    }

    /// The HTTP status of the answer. 429 and 503 promise that nothing has run, so that callers repeat the request
    /// elsewhere; where some of it may have, the status says that the answer was lost instead.
    pub fn status(&self) -> u16 {
        const LOST: u16 = 502;
        const LOST_TO_TIME: u16 = 504;
        match (self.reason.status(), self.outcome) {
            (status, RequestOutcome::NotRun) => status,
            (429, _) if self.reason == RefusalReason::Deadline => LOST_TO_TIME,
            (429 | 503, _) => LOST,
            (status, _) => status,
        }
    }

    /// The same, met at a peer.
    pub fn at_peer(self, name: impl Into<String>) -> Self {
        Self { peer: name.into(), ..self }
    }

    /// The same with another outcome.
    pub fn with_outcome(self, outcome: RequestOutcome) -> Self {
        Self { outcome, ..self }
    }

    /// The same with a time to come back.
    pub fn with_retry_after(self, span: Duration) -> Self {
        Self { retry_after: Some(span), ..self }
    }
}

/// Spreads a time to come back over 100% to 150% of the computed one, so that callers who were
/// refused together do not come back together. `draw` is uniform in 0..1.
///
/// ```
/// use std::time::Duration;
/// use foldhaven_core::refusal::jittered_return;
/// assert_eq!(jittered_return(Duration::from_secs(2), 0.5), Duration::from_millis(2500));
/// ```
pub fn jittered_retry_delay(wait: Duration, draw: f64) -> Duration {
    const SHORTEST: Duration = Duration::from_millis(50);
    const LONGEST: Duration = Duration::from_secs(60);
    wait.clamp(SHORTEST, LONGEST).mul_f64(1.0 + 0.5 * draw.clamp(0.0, 1.0))
}
