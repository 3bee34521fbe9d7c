//! Accepts HTTP connections at an address and serves them until a planned stop.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Version};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::timeout;

use crate::answer::{Answer, AnswerBody, TruncatedStream, close_after};
use crate::connection::configure_socket;
use crate::pending_answer::{ConnectionFailure, PendingAnswer};
use crate::served_connections::{ClosingAnswer, ConnectionGuard, RequestGuard};
use crate::served_stream::ServedStream;
use crate::shared::{GatewayShared, StopStage};
use crate::silent_peers::SILENCE_TIMEOUT;
use crate::watched_stream::{PeerFault, WatchedStream};

/// Default limit for the idle time of a connection and the receipt of a request head, together.
const HEAD_LIMIT: Duration = Duration::from_secs(20);
/// Maximum size of a request head, in bytes. The handlers check smaller limits.
const MAX_HEAD_BYTES: usize = 128 << 10;
/// Delay after a failed accept, for example if no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How long a closing connection waits for the rest of a request head.
const CLOSING_HEAD_LIMIT: Duration = Duration::from_secs(1);

/// Handles the requests at one listening address.
#[async_trait]
pub trait FrontHandler: Send + Sync + 'static {
    /// Answers a request.
    async fn handle(&self, request: Request<Incoming>) -> Answer;

    /// Returns the attempt id of a request, for logs.
    fn attempt_of<'a>(&self, _headers: &'a HeaderMap) -> Option<&'a HeaderValue> {
        None
    }

    /// Returns for how long a peer may read nothing if that cannot be told from silence.
    fn unread_limit(&self) -> Duration {
        SILENCE_TIMEOUT
    }

    /// Records that a connection failed.
    fn record_failure(&self, _failure: ConnectionFailure) {}

    /// Returns the limit for the idle time of a new connection and the receipt of a request head,
    /// together.
    fn head_limit(&self) -> Duration {
        HEAD_LIMIT
    }

    /// Records that a connection was given up because of its peer.
    fn record_fault(&self, _fault: &PeerFault) {}
}

/// Serves connections until the daemon closes. Open connections then finish their current request.
pub async fn serve_front(
    listener: TcpListener,
    handler: Arc<dyn FrontHandler>,
    shared: Arc<GatewayShared>,
) {
    let mut stage = shared.stage.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stage.wait_for(|stage| *stage == StopStage::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = shared.connections.open();
                let (handler, shared) = (handler.clone(), shared.clone());
                tokio::spawn(serve_connection(stream, handler, connection, shared));
            }
            Err(error) => {
                tracing::warn!(error = %error, "accepting a connection failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves a connection until it is closed and, during a planned stop, its peer has received the last
/// answer.
async fn serve_connection(
    stream: TcpStream,
    handler: Arc<dyn FrontHandler>,
    guard: ConnectionGuard,
    shared: Arc<GatewayShared>,
) {
    if configure_socket(&stream, handler.unread_limit()).is_err() {
        // The peer has already disconnected.
        return;
    }
    let mut stage = shared.stage.subscribe();
    let head_limit = handler.head_limit();
    // A peer that reads nothing is as idle as one that sends nothing.
    let stream = WatchedStream::with_stall_limit(stream, head_limit);
    let stream = ServedStream::new(stream, guard.activity.clone(), shared.clone());
    let activity = guard.activity.clone();
    let pending = PendingAnswer::default();
    let observer = ConnectionObserver { handler: handler.clone(), pending: pending.clone() };
    let service = service_fn(move |request: Request<Incoming>| {
        let attempt = handler.attempt_of(request.headers());
        // Such a caller reads no chunks: a body of unknown length ends with the connection.
        let lacks_chunks = request.version() == Version::HTTP_10;
        let has_body = request.method() != Method::HEAD;
        let request_guard =
            activity.start_request(attempt.map(HeaderValue::as_bytes).unwrap_or_default());
        pending.begin(attempt.cloned());
        let (handler, shared, pending) = (handler.clone(), shared.clone(), pending.clone());
        let activity = activity.clone();
        async move {
            let mut answer = handler.handle(request).await;
            pending.finish();
            if shared.is_leaving() {
                close_after(&mut answer);
            }
            let lacks_length = lacks_chunks && answer.body().size_hint().exact().is_none();
            let is_closing = has_body && (lacks_length || answer.version() == Version::HTTP_10);
            let closing = is_closing.then(|| activity.start_closing_answer());
            Ok::<_, Infallible>(answer.map(|body| TrackedBody {
                body,
                closing,
                _guard: request_guard,
            }))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_limit)
        .max_buf_size(MAX_HEAD_BYTES)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        ended = connection.as_mut() => return observer.record(ended),
        _ = stage.wait_for(|stage| *stage == StopStage::Closing) => {}
    }
    // The next request may have been received, but not read yet.
    tokio::select! {
        biased;
        ended = connection.as_mut() => return observer.record(ended),
        () = yield_now() => {}
    }
    tokio::select! {
        ended = connection.as_mut() => return observer.record(ended),
        arrived = timeout(CLOSING_HEAD_LIMIT, guard.activity.wait_request()) => {
            if arrived.is_err() {
                return;
            }
        }
    }
    connection.as_mut().graceful_shutdown();
    observer.record(connection.await);
}

/// Records how a connection ended.
struct ConnectionObserver {
    handler: Arc<dyn FrontHandler>,
    pending: PendingAnswer,
}

impl ConnectionObserver {
    fn record(&self, ended: hyper::Result<()>) {
        if let Err(error) = ended {
            if let Some(fault) = PeerFault::find(&error) {
                self.handler.record_fault(fault);
            }
            let pending = self.pending.take();
            self.handler.record_failure(ConnectionFailure { error, pending });
        }
    }
}

/// The body of an answer, with the guard of its request.
struct TrackedBody {
    body: AnswerBody,
    /// `None` unless the answer is incomplete and ends with its connection.
    closing: Option<ClosingAnswer>,
    _guard: RequestGuard,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = TruncatedStream;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedStream>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if matches!(frame, Poll::Ready(None)) || self.body.is_end_stream() {
            self.closing.take().into_iter().for_each(ClosingAnswer::complete);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.closing {
            // With a length, it would not end with the connection.
            Some(_) => SizeHint::default(),
            None => self.body.size_hint(),
        }
    }
}
