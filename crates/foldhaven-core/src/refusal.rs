//! Refusals: the reason why a request is not served, and the answer that the caller gets.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::attempt::RequestOutcome;

/// The reason why a request is not served.
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
    /// Returns the name used in error bodies and metrics.
    pub fn code(self) -> String {
        let value = serde_json::to_value(self).expect("a reason is a string");
        value.as_str().unwrap_or_default().to_owned()
    }

    /// Returns the HTTP status of the reason.
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

    /// Returns the reason to report to the caller when a peer refused the request for this one.
    ///
    /// A peer checks residency and the forwarding path for its own data centre only. A refusal for
    /// one of these does not rule out other data centres.
    pub fn for_caller(self) -> Self {
        match self {
            Self::Residency | Self::ForwardPath => Self::NoUpstream,
            other => other,
        }
    }

    /// Returns whether the unchanged request may succeed later or at another VM.
    pub fn is_transient(self) -> bool {
        matches!(self.status(), 429 | 502 | 503)
    }
}

/// {step} at {peer}: {reason}: {detail}
///
/// The final answer to a request that is not served completely.
#[derive(Debug, Clone, PartialEq, displaydoc::Display, thiserror::Error)]
#[ignore_extra_doc_attributes]
pub struct RefusalAnswer {
    /// The processing step that failed.
    pub step: &'static str,
    /// The peer or upstream involved, `-` if none.
    pub peer: String,
    /// The reason of the refusal.
    pub reason: RefusalReason,
    /// Details: what was expected and what was found.
    pub detail: String,
    /// Whether part of the request may have run.
    pub outcome: RequestOutcome,
    /// Time after which the caller should retry, `None` if a retry would not help.
    pub retry_after: Option<Duration>,
}

impl RefusalAnswer {
    /// Creates a refusal of a request of which no part ran.
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

    /// Returns the HTTP status of the answer.
    ///
    /// 429 and 503 promise that no part of the request ran, and callers then repeat it elsewhere.
    /// If part of it may have run, the status is 502 or 504 instead: the answer was lost.
    pub fn status(&self) -> u16 {
        const BAD_GATEWAY: u16 = 502;
        const GATEWAY_TIMEOUT: u16 = 504;
        match (self.reason.status(), self.outcome) {
            (status, RequestOutcome::NotRun) => status,
            (429, _) if self.reason == RefusalReason::Deadline => GATEWAY_TIMEOUT,
            (429 | 503, _) => BAD_GATEWAY,
            (status, _) => status,
        }
    }

    /// Returns the refusal with the given peer.
    pub fn at_peer(self, name: impl Into<String>) -> Self {
        Self { peer: name.into(), ..self }
    }

    /// Returns the refusal with the given outcome.
    pub fn with_outcome(self, outcome: RequestOutcome) -> Self {
        Self { outcome, ..self }
    }

    /// Returns the refusal with the given retry delay.
    pub fn with_retry_after(self, delay: Duration) -> Self {
        Self { retry_after: Some(delay), ..self }
    }
}

/// Returns a retry delay jittered to 100% to 150% of the given one, so that callers that were
/// refused together do not retry together. `draw` is a uniform random number in 0..1.
///
/// ```
/// use std::time::Duration;
/// use foldhaven_core::refusal::jittered_retry_delay;
/// assert_eq!(jittered_retry_delay(Duration::from_secs(2), 0.5), Duration::from_millis(2500));
/// ```
pub fn jittered_retry_delay(delay: Duration, draw: f64) -> Duration {
    const MIN_DELAY: Duration = Duration::from_millis(50);
    const MAX_DELAY: Duration = Duration::from_secs(60);
    delay.clamp(MIN_DELAY, MAX_DELAY).mul_f64(1.0 + 0.5 * draw.clamp(0.0, 1.0))
}
