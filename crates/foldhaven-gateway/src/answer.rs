//! The answers for callers: their bodies, and those of refused requests.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use foldhaven_core::opaque::refusal::Refusal;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{HeaderValue, Response, StatusCode, Version};
use http_body::{Body, Frame, SizeHint};

/// The stream ended before its last event
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub struct TruncatedStream;

/// Relays the events of a stream to a caller.
pub trait EventSource: Send {
    /// Returns the next events as soon as there are some, `None` after the last ones.
    ///
    /// # Errors
    ///
    /// The stream ends before its last event.
    fn poll_events(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedStream>>>;
}

/// The body of an answer.
pub enum AnswerBody {
    /// A complete body. `None` once it was sent.
    Complete(Option<Bytes>),
    /// Events that are relayed as they arrive.
    Events(Box<dyn EventSource>),
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

/// An answer to a request.
pub type Answer = Response<AnswerBody>;

/// Returns the answer for the caller of a refused request.
pub fn refuse(refusal: Refusal) -> Answer {
    refuse_until(refusal, refusal.retry_after(rand::random()))
}

/// Returns the answer for the caller of a refused request who should come again after `delay`.
/// `None` if a retry is of no use.
pub fn refuse_until(refusal: Refusal, delay: Option<Duration>) -> Answer {
    let mut answer = Response::new(AnswerBody::from_bytes(refusal.to_string()));
    let status = StatusCode::from_u16(refusal.status());
    *answer.status_mut() = status.expect("refusals have valid statuses");
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if refusal == Refusal::NoKey {
        headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    if let Some(delay) = delay {
        let text = format!("{:.2}", delay.as_secs_f64());
        headers.insert(RETRY_AFTER, HeaderValue::from_str(&text).expect("digits and a dot"));
    }
    answer
}

/// Asks the caller to close the connection after this answer.
pub fn close_after(answer: &mut Answer) {
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Sends an answer without a length or chunks, so that only the end of the connection ends it. In
/// HTTP/1.1, a server that is asked for an answer of HTTP/1.0 sends it in this way.
pub fn end_with_connection(answer: &mut Answer) {
    *answer.version_mut() = Version::HTTP_10;
    close_after(answer);
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
