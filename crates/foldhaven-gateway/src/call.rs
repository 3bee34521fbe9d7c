//! Sends one call to an upstream or another VM, and classifies how it ended: whether the request
//! may have run.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use foldhaven_core::headers;
use foldhaven_core::opaque::held_memory::HeldKind;
use foldhaven_wire::error_text::error_text;
use http::header::TRANSFER_ENCODING;
use http::response::Parts;
use http::{HeaderValue, Method, Request, StatusCode};
use http_body::Body;
use http_body_util::Full;
use hyper::body::Incoming;

use crate::body_reader::{BodyFault, BodyReader};
use crate::clock::{BootInstant, timeout_at};
use crate::connection::{Connection, ConnectionPool};
use crate::held_memory::HeldMemory;
use crate::names::HeaderNames;

/// Maximum size of an answer that is read into memory, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Share of the keep-alive timeout of the peer for which a connection is kept. A request sent at
/// the moment at which the peer closes the connection would fail.
const KEEP_ALIVE_SHARE: f64 = 0.8;
/// Maximum number of pooled connections that are tried before a new one is opened.
const MAX_REUSE_ATTEMPTS: usize = 3;

/// How a call failed. The variants differ in whether the request may have run.
#[derive(Debug, Clone, displaydoc::Display, thiserror::Error)]
pub enum CallFault {
    /// not sent: {0}
    NotSent(String),
    /// declined with status {status}
    Declined {
        /// The status of the answer.
        status: StatusCode,
    },
    /// another VM reached no upstream
    Unreached,
    /// broken after it may have started: {0}
    Broken(String),
    /// nothing was received from the upstream
    Unresponsive,
    /// no answer in time
    TimedOut,
    /// withdrawn, since the request was quarantined meanwhile
    Withdrawn,
}

impl CallFault {
    /// Whether no upstream of the service received the request: it was not sent, it reached another
    /// process at the address of the intended one, or another VM could not send it either.
    pub fn is_undelivered(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Unreached) || self.is_misdirected()
    }

    /// Whether the request reached another process at the address of the intended one, which
    /// declined it.
    pub fn is_misdirected(&self) -> bool {
        matches!(self, Self::Declined { status } if *status == StatusCode::MISDIRECTED_REQUEST)
    }

    /// Whether the upstream declined the request because it is full.
    pub fn is_full(&self) -> bool {
        matches!(self, Self::Declined { status } if *status == StatusCode::SERVICE_UNAVAILABLE)
    }

    /// Whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Broken(_) | Self::Unresponsive | Self::TimedOut | Self::Withdrawn)
    }
}

/// Receives the events of a call.
pub trait CallListener: Send + Sync {
    /// Records that a new connection was opened for the call.
    fn on_connected(&self);

    /// Processes the head of the answer, also if the answer is then rejected.
    fn on_head(&self, head: &Parts);
}

/// The target of a call.
pub struct CallTarget<'a> {
    pub address: SocketAddr,
    pub pool: &'a ConnectionPool,
    pub connect_limit: Duration,
    pub listener: &'a dyn CallListener,
}

/// What the end of an answer shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEnd {
    /// It has the length that its head announces, or a last chunk: it is complete.
    Framed,
    /// It ends with its connection, which an upstream that crashes closes as well.
    Connection,
}

impl AnswerEnd {
    /// Returns what the end of an answer with this head and this unread body shows. Another VM
    /// passes on an answer of the second kind with a framing of its own, and says so; earlier
    /// versions of it also say so of answers that have no body by their kind.
    fn of(head: &Parts, body: &Incoming, method: &Method) -> Self {
        let is_head_only = method == Method::HEAD
            || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let is_framed = body.size_hint().exact().is_some() || is_chunked(head);
        match is_head_only || (is_framed && !head.headers.contains_key(headers::UNFRAMED)) {
            true => Self::Framed,
            false => Self::Connection,
        }
    }

    /// Returns the label for logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Framed => "framing",
            Self::Connection => "connection",
        }
    }
}

/// Whether the body of an answer is sent in chunks. With any other encoding last, it is read up to the
/// end of the connection.
fn is_chunked(head: &Parts) -> bool {
    let encodings = head.headers.get_all(TRANSFER_ENCODING).into_iter().next_back();
    let last = encodings.and_then(|value| value.to_str().ok()?.rsplit(',').next());
    last.is_some_and(|name| name.trim().eq_ignore_ascii_case("chunked"))
}

/// An answer whose head was received and checked, with its unread body.
pub struct OpenAnswer {
    pub head: Parts,
    pub body: Incoming,
    connection: Connection,
    keep_for: Option<Duration>,
    /// What the end of the answer shows.
    pub end: AnswerEnd,
}

impl OpenAnswer {
    /// Splits the answer into head, body, and the lease that returns its connection to the pool.
    pub fn into_parts(self) -> (Parts, Incoming, ConnectionLease) {
        let lease = ConnectionLease { connection: self.connection, keep_for: self.keep_for };
        (self.head, self.body, lease)
    }
}

/// A connection whose answer is being read. Dropping the lease closes the connection.
pub struct ConnectionLease {
    connection: Connection,
    keep_for: Option<Duration>,
}

impl ConnectionLease {
    /// Returns the connection to the pool, after the answer was read to its end.
    pub fn return_to_pool(self, pool: &ConnectionPool) {
        pool.put(self.connection, self.keep_for);
    }
}

/// Sends a request and waits for the head of its answer.
pub async fn open_call(
    target: &CallTarget<'_>,
    request: Request<Full<Bytes>>,
    names: &HeaderNames,
    deadline: BootInstant,
) -> Result<OpenAnswer, CallFault> {
    let attempt = request.headers().get(&names.attempt).cloned();
    let method = request.method().clone();
    let opening = send(target, request);
    let (response, connection) =
        timeout_at(deadline, opening).await.map_err(|_| CallFault::TimedOut)??;
    let (head, body) = response.into_parts();
    target.listener.on_head(&head);
    validate_head(&head, attempt.as_ref(), names)?;
    let keep_for = keep_alive_time(&head);
    let end = AnswerEnd::of(&head, &body, &method);
    Ok(OpenAnswer { head, body, connection, keep_for, end })
}

async fn send(
    target: &CallTarget<'_>,
    mut request: Request<Full<Bytes>>,
) -> Result<(http::Response<Incoming>, Connection), CallFault> {
    for _ in 0..MAX_REUSE_ATTEMPTS {
        let Some(mut connection) = target.pool.take() else { break };
        match connection.sender.try_send_request(request).await {
            Ok(response) => return Ok((response, connection)),
            Err(mut error) => match error.take_message() {
                // The connection was closed before any byte of the request was sent.
                Some(unsent) => request = unsent,
                None => return Err(CallFault::Broken(error_text(error.error()))),
            },
        }
    }
    let opening = target.pool.open(target.address, target.connect_limit).await;
    let mut connection = opening.map_err(|error| CallFault::NotSent(error.to_string()))?;
    target.listener.on_connected();
    match connection.sender.try_send_request(request).await {
        Ok(response) => Ok((response, connection)),
        Err(mut error) => match error.take_message() {
            Some(_) => Err(CallFault::NotSent(error_text(error.error()))),
            None => Err(CallFault::Broken(error_text(error.error()))),
        },
    }
}

/// Checks that an answer belongs to the request, does not declare that the request did not run, and is
/// proven if it is a success. The proof is opaque; only its absence shows.
fn validate_head(
    head: &Parts,
    attempt: Option<&HeaderValue>,
    names: &HeaderNames,
) -> Result<(), CallFault> {
    let echoed = head.headers.get(&names.attempt);
    if echoed.is_some() && echoed != attempt {
        return Err(CallFault::Broken("an answer to another request".to_owned()));
    }
    let refused = head.headers.get(headers::REFUSED_ATTEMPT);
    let is_declined = head.headers.contains_key(&names.not_run)
        || head.status == StatusCode::MISDIRECTED_REQUEST
        || (refused.is_some() && refused == attempt);
    if is_declined && head.headers.contains_key(headers::UNREACHED) {
        return Err(CallFault::Unreached);
    }
    if is_declined {
        return Err(CallFault::Declined { status: head.status });
    }
    if echoed.is_none() {
        return Err(CallFault::Broken("an answer that names no request".to_owned()));
    }
    // No upgrade is ever requested.
    if head.status.is_informational() {
        return Err(CallFault::Broken(format!("the status {} ends no request", head.status)));
    }
    let is_proven = head.headers.get(&names.proof).is_some_and(|proof| !proof.is_empty());
    if head.status.is_success() && !is_proven {
        return Err(CallFault::Broken("a success without a proof".to_owned()));
    }
    Ok(())
}

/// Returns how long to keep the connection, by the keep-alive timeout of the peer. `None` if it
/// names none that is a time.
fn keep_alive_time(head: &Parts) -> Option<Duration> {
    let text = head.headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    Duration::try_from_secs_f64(seconds.parse::<f64>().ok()? * KEEP_ALIVE_SHARE).ok()
}

/// Reads an answer to its end, and returns its connection to the pool.
pub async fn read_complete(
    answer: OpenAnswer,
    pool: &ConnectionPool,
    memory: &HeldMemory,
    deadline: BootInstant,
) -> Result<(Parts, Bytes), CallFault> {
    let (head, mut body, lease) = answer.into_parts();
    let reader = BodyReader {
        memory,
        kind: HeldKind::Answer,
        max_bytes: MAX_ANSWER_BYTES,
        patience: deadline.saturating_duration_since(BootInstant::now()),
    };
    let read = timeout_at(deadline, reader.read(&mut body)).await;
    let read = read.map_err(|_| CallFault::TimedOut)?;
    let bytes = read.map_err(|fault| match fault {
        BodyFault::NoMemory => CallFault::TimedOut,
        fault => CallFault::Broken(fault.to_string()),
    })?;
    lease.return_to_pool(pool);
    Ok((head, bytes))
}
