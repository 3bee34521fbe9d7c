//! One call to an upstream or another VM, and what its end says of the work behind it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use foldhaven_core::headers;
use foldhaven_wire::error_text::error_text;
use http::response::Parts;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use crate::clock::{BootInstant, timeout_at};
use crate::connection::{Connection, ConnectionPool};
use crate::names::HeaderNames;

/// The largest answer that is taken whole, in bytes.
const MAX_WHOLE_BYTES: usize = 16 << 20;
/// How much shorter than its peer says a connection is kept, so that both do not act at once.
const KEPT_SHARE: f64 = 0.8;
/// How many kept connections are tried before a new one is opened.
const KEPT_TRIES: usize = 3;

/// How a call failed, by what that says of the work behind it.
#[derive(Debug, Clone, displaydoc::Display, thiserror::Error)]
pub enum CallFault {
    /// not sent: {0}
    NotSent(String),
    /// declined with status {status}
    Declined {
        /// The status of the answer that says so.
        status: StatusCode,
    },
    /// broken after it may have started: {0}
    Broken(String),
    /// nothing at all was heard of the upstream
    Silent,
    /// no answer in time
    TimedOut,
    /// called back, since upstreams ended under it meanwhile
    CalledBack,
}

impl CallFault {
    /// Whether no upstream of the service got the request: nobody did, or another process at the address
    /// of the one that was meant.
    pub fn is_unmet(&self) -> bool {
        matches!(self, Self::NotSent(_)) || self.is_misdirected()
    }

    /// Whether another process at the address of the one that was meant got the request, and declined.
    pub fn is_misdirected(&self) -> bool {
        matches!(self, Self::Declined { status } if *status == StatusCode::MISDIRECTED_REQUEST)
    }

    /// Whether the upstream said that it has as many requests as it takes.
    pub fn is_full(&self) -> bool {
        matches!(self, Self::Declined { status } if *status == StatusCode::SERVICE_UNAVAILABLE)
    }

    /// Whether the work behind the call may have been done.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Broken(_) | Self::Silent | Self::TimedOut | Self::CalledBack)
    }
}

/// Hears the head of each answer that a call brings, whatever becomes of it.
pub trait HeadListener: Send + Sync {
    /// Takes in the head of an answer.
    fn hear(&self, head: &Parts);
}

/// Where a call goes.
pub struct CallTarget<'a> {
    pub address: SocketAddr,
    pub pool: &'a ConnectionPool,
    pub connect_limit: Duration,
    /// Hears what the peer says in its answers.
    pub listener: &'a dyn HeadListener,
}

/// An answer whose head has come and belongs to the request.
pub struct OpenAnswer {
    pub head: Parts,
    pub body: Incoming,
    connection: Connection,
    keep_for: Option<Duration>,
}

impl OpenAnswer {
    /// Splits the answer for passing its body on; the lease gives the connection back.
    pub fn into_parts(self) -> (Parts, Incoming, ConnectionLease) {
        let lease = ConnectionLease { connection: self.connection, keep_for: self.keep_for };
        (self.head, self.body, lease)
    }
}

/// A connection whose answer is being read. Dropping it closes the connection.
pub struct ConnectionLease {
    connection: Connection,
    keep_for: Option<Duration>,
}

impl ConnectionLease {
    /// Keeps the connection for further requests, after the answer was read to its end.
    pub fn give_back(self, pool: &ConnectionPool) {
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
    let opening = send(target, request);
    let (response, connection) =
        timeout_at(deadline, opening).await.map_err(|_| CallFault::TimedOut)??;
    let (head, body) = response.into_parts();
    target.listener.hear(&head);
    judge_head(&head, attempt.as_ref(), names)?;
    let keep_for = keep_time(&head);
    Ok(OpenAnswer { head, body, connection, keep_for })
}

async fn send(
    target: &CallTarget<'_>,
    mut request: Request<Full<Bytes>>,
) -> Result<(http::Response<Incoming>, Connection), CallFault> {
    for _ in 0..KEPT_TRIES {
        let Some(mut connection) = target.pool.take() else { break };
        match connection.sender.try_send_request(request).await {
            Ok(response) => return Ok((response, connection)),
            Err(mut error) => match error.take_message() {
                // The connection had ended before a byte of the request left.
                Some(unsent) => request = unsent,
                None => return Err(CallFault::Broken(error_text(error.error()))),
            },
        }
    }
    let opening = target.pool.open(target.address, target.connect_limit).await;
    let mut connection = opening.map_err(|error| CallFault::NotSent(error.to_string()))?;
    match connection.sender.try_send_request(request).await {
        Ok(response) => Ok((response, connection)),
        Err(mut error) => match error.take_message() {
            Some(_) => Err(CallFault::NotSent(error_text(error.error()))),
            None => Err(CallFault::Broken(error_text(error.error()))),
        },
    }
}

/// Checks that an answer belongs to the request, and whether it says that nothing ran.
fn judge_head(
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
    if is_declined {
        return Err(CallFault::Declined { status: head.status });
    }
    if echoed.is_none() {
        return Err(CallFault::Broken("an answer that names no request".to_owned()));
    }
    Ok(())
}

/// How long the peer keeps the connection, where it says so.
fn keep_time(head: &Parts) -> Option<Duration> {
    let text = head.headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs_f64(seconds.parse::<f64>().ok()? * KEPT_SHARE))
}

/// Reads an answer to its end, and keeps its connection.
pub async fn read_whole(
    answer: OpenAnswer,
    pool: &ConnectionPool,
    deadline: BootInstant,
) -> Result<(Parts, Bytes), CallFault> {
    let (head, body, lease) = answer.into_parts();
    let collecting = Limited::new(body, MAX_WHOLE_BYTES).collect();
    let collected = timeout_at(deadline, collecting).await;
    let collected = collected.map_err(|_| CallFault::TimedOut)?;
    let bytes = collected.map_err(|error| CallFault::Broken(error.to_string()))?.to_bytes();
    lease.give_back(pool);
    Ok((head, bytes))
}
