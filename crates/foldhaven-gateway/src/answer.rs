//! The bodies of answers, and the refusals that the gateway sends itself.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use foldhaven_core::opaque::admission::AdmissionError;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{HeaderValue, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};

use crate::events::{EventRelay, TruncatedStream};

/// Retry delay for a request whose residency rules permit no region. A retry fails until operators
/// have changed the rules.
const NO_REGION_RETRY_DELAY: Duration = Duration::from_secs(5);

/// The body of an answer.
pub enum AnswerBody {
    /// A complete body. `None` once it was sent.
    Complete(Option<Bytes>),
    /// Events that are relayed as they arrive.
    Events(Box<EventRelay>),
}

impl AnswerBody {
    /// Creates a body from bytes.
    pub fn from_bytes(bytes: impl Into<Bytes>) -> Self {
        Self::Complete(Some(bytes.into()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = TruncatedStream;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedStream>>> {
        match self.get_mut() {
            Self::Complete(bytes) => {
                let taken = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(taken.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Events(relay) => relay.poll_events(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Events(_) => SizeHint::default(),
        }
    }
}

/// Minimum retry delay while all upstreams are throttled.
const MIN_THROTTLED_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Range over which these retries are spread.
const THROTTLED_RETRY_SPREAD: Duration = Duration::from_millis(500);

/// An answer to a request.
pub type Answer = Response<AnswerBody>;

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
    /// the upstreams are full
    Full,
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
    /// nobody knows at which software version the stream began
    UnknownOrigin,
    /// this VM is leaving
    Leaving,
    /// not permitted here
    NotPermitted,
    /// an upstream may have run it but gave no whole answer
    Broken,
    /// the time for it has passed and it may have run
    TimedOut,
    /// the time for it has passed before it was sent to any upstream
    NotReached,
}

impl Refusal {
    /// Returns the status of the answer. 408, 421, 429 and 503 guarantee that the request did not
    /// run.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::OverLimit { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::NoDescription
            | Self::Outdated
            | Self::NoUpstream
            | Self::Throttled { .. }
            | Self::Full
            | Self::Overloaded { .. }
            | Self::Quarantined { .. }
            | Self::UnknownOrigin
            | Self::Leaving
            | Self::NotPermitted
            | Self::NoPermittedRegion
            | Self::NotReached => StatusCode::SERVICE_UNAVAILABLE,
            Self::Broken => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Whether the status guarantees that the request did not run.
    pub fn guarantees_not_run(self) -> bool {
        matches!(self.status().as_u16(), 408 | 421 | 429 | 503)
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
            Self::Full => "full",
            Self::Overloaded { cause: AdmissionError::TooLate, .. } => "overloaded",
            Self::Overloaded { cause: AdmissionError::TooMuchInterference, .. } => "too_harmful",
            Self::Overloaded { cause: AdmissionError::Full, .. } => "known_full",
            Self::Overloaded { cause: AdmissionError::TooManyDeferred, .. } => "crowded",
            Self::Quarantined { .. } => "suspect",
            Self::UnknownOrigin => "unknown_origin",
            Self::Leaving => "leaving",
            Self::NotPermitted => "not_permitted",
            Self::Broken => "broken",
            Self::TimedOut => "timed_out",
            Self::NotReached => "not_reached",
        }
    }

    /// Returns the delay after which the caller should retry, spread over callers by `draw` in
    /// 0..1. `None` if a retry is of no use.
    fn retry_after(self, draw: f64) -> Option<Duration> {
        let shortest = match self {
            Self::NoDescription | Self::Outdated | Self::NoUpstream | Self::UnknownOrigin => {
                Duration::from_millis(400)
            }
            Self::Full => Duration::from_millis(250),
            // The end of the back-off is known, so callers are spread by a fixed range only.
            Self::Throttled { wait } => {
                return Some(
                    wait.max(MIN_THROTTLED_RETRY_DELAY) + THROTTLED_RETRY_SPREAD.mul_f64(draw),
                );
            }
            Self::Overloaded { wait, .. } => wait.max(Duration::from_millis(250)),
            Self::Quarantined { wait } | Self::OverLimit { wait } => wait,
            Self::NoPermittedRegion => NO_REGION_RETRY_DELAY,
            Self::Leaving | Self::NotReached | Self::NotPermitted => Duration::from_millis(50),
            _ => return None,
        };
        Some(shortest.mul_f64(1.0 + draw))
    }

    /// Returns the answer for the caller.
    pub fn answer(self) -> Answer {
        let mut answer = Response::new(AnswerBody::from_bytes(self.to_string()));
        *answer.status_mut() = self.status();
        let headers = answer.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if self == Self::NoKey {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        if let Some(span) = self.retry_after(rand::random()) {
            let text = format!("{:.2}", span.as_secs_f64());
            headers.insert(RETRY_AFTER, HeaderValue::from_str(&text).expect("digits and a dot"));
        }
        answer
    }
}

/// Asks the caller to close the connection after this answer.
pub fn close_after(answer: &mut Answer) {
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Creates an answer with a body of the given content type.
pub fn body_answer(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Answer {
    let mut answer = Response::new(AnswerBody::from_bytes(body));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    answer
}
