//! HTTP calls to engines, service instances and peers, and the checks that an answer is complete
//! and belongs to its request.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use foldhaven_core::headers;
use foldhaven_core::refusal::RefusalReason;
use foldhaven_wire::caller::{CompletionChunk, ErrorBody, TokenUsage};
use foldhaven_wire::error_text::error_text;
use foldhaven_wire::sse::{DONE, SseSplitter};
use http::{HeaderMap, Method};

/// Maximum size of an answer that is not streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Maximum size of an error answer that is parsed, in bytes.
const MAX_ERROR_BYTES: usize = 64 << 10;
/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of idle connections per host.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// Why a call failed. The variants differ in whether the request may have run.
#[derive(Debug, Clone, PartialEq, displaydoc::Display, thiserror::Error)]
pub enum CallError {
    /// connection refused: {0}
    NotSent(String),
    /// refused ({reason}): {detail}
    Refused {
        /// The reason for the refusal.
        reason: RefusalReason,
        /// The receiver's message.
        detail: String,
        /// The delay after which the call may be retried; `None` if the receiver gave none.
        retry_after: Option<Duration>,
    },
    /// failed at the receiver ({reason}): {detail}
    Failed {
        /// The reason for the failure, after the request may have started.
        reason: RefusalReason,
        /// The receiver's message.
        detail: String,
    },
    /// broken after it may have started: {0}
    Broken(String),
}

/// A call to an upstream or a peer.
#[derive(Debug, Clone)]
pub struct UpstreamCall {
    pub address: SocketAddr,
    pub method: Method,
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// The attempt id that the receiver repeats in a refusal; empty if there is none.
    pub attempt: String,
}

/// A part of a model's answer, checked to belong to its request and to follow the previous part.
#[derive(Debug, Clone, PartialEq)]
pub enum AnswerPart {
    /// One or more tokens.
    Tokens { count: u64, text: String },
    /// The end of the answer, after all its tokens.
    End { finish_reason: String, usage: TokenUsage },
}

/// A stream of the parts of one answer, in order.
#[async_trait]
pub trait AnswerStream: Send {
    /// Returns the data centre that serves the request, or `None` if the receiver does not name it.
    fn served_by(&self) -> Option<&str>;

    /// Returns the next part, or `None` after [`AnswerPart::End`].
    async fn next_part(&mut self) -> Result<Option<AnswerPart>, CallError>;
}

/// An answer that is not streamed, from a service or from a peer on its behalf.
#[derive(Debug, Clone)]
pub struct WholeAnswer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// A client for calls to upstreams and peers.
#[async_trait]
pub trait UpstreamClient: Send + Sync {
    /// Starts a streamed call. `request` is the id that the answer must name, `position` the token
    /// position at which it must start.
    async fn open(
        &self,
        call: UpstreamCall,
        request: &str,
        position: u64,
    ) -> Result<Box<dyn AnswerStream>, CallError>;

    /// Makes a call and returns its whole answer, whatever its status. Fails if the receiver
    /// recorded that it refused the attempt.
    async fn exchange(&self, call: UpstreamCall) -> Result<WholeAnswer, CallError>;
}

/// An [`UpstreamClient`] that calls over HTTP.
pub struct HttpUpstream {
    client: reqwest::Client,
}

impl HttpUpstream {
    /// Creates a client that reuses connections and never repeats a request or follows a redirect.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be created.
    pub fn new() -> reqwest::Result<Self> {
        let client = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .tcp_nodelay(true)
            .build()?;
        Ok(Self { client })
    }

    async fn send(&self, call: UpstreamCall) -> Result<reqwest::Response, CallError> {
        let url = format!("http://{}{}", call.address, call.path);
        let request = self.client.request(call.method, url).headers(call.headers).body(call.body);
        let response = request.send().await.map_err(|error| match error.is_connect() {
            true => CallError::NotSent(error_text(&error)),
            false => CallError::Broken(error_text(&error)),
        })?;
        let refused = response.headers().get(headers::REFUSED_ATTEMPT);
        if refused.is_some_and(|attempt| attempt.as_bytes() == call.attempt.as_bytes()) {
            return Err(read_refusal(response).await);
        }
        Ok(response)
    }
}

/// Reads the reason why an attempt was refused. The header alone proves the refusal, so an
/// unreadable body does not change it.
async fn read_refusal(response: reqwest::Response) -> CallError {
    let body = read_limited(response, MAX_ERROR_BYTES).await.unwrap_or_default();
    match serde_json::from_slice::<ErrorBody>(&body) {
        Ok(ErrorBody { error }) => CallError::Refused {
            reason: error.kind,
            detail: error.message,
            retry_after: error.retry_after_ms.map(Duration::from_millis),
        },
        Err(_) => CallError::Refused {
            reason: RefusalReason::Capacity,
            detail: "refused without a reason".to_owned(),
            retry_after: None,
        },
    }
}

/// Returns the error that a receiver reported, or `None` if the body is not an error body.
fn reported_error(body: &[u8]) -> Option<CallError> {
    let ErrorBody { error } = serde_json::from_slice(body).ok()?;
    Some(CallError::Failed { reason: error.kind, detail: error.message })
}

async fn read_limited(mut response: reqwest::Response, limit: usize) -> Result<Bytes, CallError> {
    let mut body = Vec::new();
    loop {
        let chunk = response.chunk().await;
        let chunk = chunk.map_err(|error| CallError::Broken(error_text(&error)))?;
        let Some(chunk) = chunk else { return Ok(body.into()) };
        if body.len() + chunk.len() > limit {
            return Err(CallError::Broken(format!("an answer of more than {limit} bytes")));
        }
        body.extend_from_slice(&chunk);
    }
}

#[async_trait]
impl UpstreamClient for HttpUpstream {
    async fn open(
        &self,
        call: UpstreamCall,
        request: &str,
        position: u64,
    ) -> Result<Box<dyn AnswerStream>, CallError> {
        let response = self.send(call).await?;
        let status = response.status();
        if status != reqwest::StatusCode::OK {
            let body = read_limited(response, MAX_ERROR_BYTES).await.unwrap_or_default();
            if let Some(error) = reported_error(&body) {
                return Err(error);
            }
            let text = String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned();
            return Err(CallError::Broken(format!("status {status}: {text}")));
        }
        let served_by = response.headers().get(headers::SERVED_BY);
        let served_by = served_by.and_then(|name| name.to_str().ok()).map(str::to_owned);
        Ok(Box::new(SseAnswerStream {
            response,
            splitter: SseSplitter::default(),
            ready: Vec::new(),
            request: request.to_owned(),
            position,
            served_by,
            pending_end: None,
            is_done: false,
        }))
    }

    async fn exchange(&self, call: UpstreamCall) -> Result<WholeAnswer, CallError> {
        let response = self.send(call).await?;
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let body = read_limited(response, MAX_ANSWER_BYTES).await?;
        Ok(WholeAnswer { status, headers, body })
    }
}

/// An answer that arrives as server-sent events.
struct SseAnswerStream {
    response: reqwest::Response,
    splitter: SseSplitter,
    /// Received events that have not been returned, the next one last.
    ready: Vec<String>,
    request: String,
    position: u64,
    served_by: Option<String>,
    /// The end of the answer, until its end marker arrives.
    pending_end: Option<AnswerPart>,
    is_done: bool,
}

impl SseAnswerStream {
    /// Reads from the connection until at least one event is ready.
    async fn fill(&mut self) -> Result<(), CallError> {
        while self.ready.is_empty() {
            let chunk = self.response.chunk().await;
            let chunk = chunk.map_err(|error| CallError::Broken(error_text(&error)))?;
            let Some(chunk) = chunk else {
                return Err(CallError::Broken("the answer ended before its end marker".to_owned()));
            };
            let events = self.splitter.push(&chunk);
            self.ready = events.map_err(|error| CallError::Broken(error.to_string()))?;
            self.ready.reverse();
        }
        Ok(())
    }

    /// Checks one event and converts it to a part. Keeps the end until its marker arrives.
    fn read_event(&mut self, data: &str) -> Result<Option<AnswerPart>, CallError> {
        if data == DONE {
            let pending_end = self.pending_end.take().ok_or_else(|| {
                CallError::Broken("the end marker came before the end".to_owned())
            })?;
            self.is_done = true;
            return Ok(Some(pending_end));
        }
        if let Some(error) = reported_error(data.as_bytes()) {
            return Err(error);
        }
        let chunk: CompletionChunk = serde_json::from_str(data)
            .map_err(|error| CallError::Broken(format!("a malformed event: {error}")))?;
        if chunk.id != self.request {
            return Err(CallError::Broken(format!("an answer to another request, {}", chunk.id)));
        }
        if chunk.position != self.position || self.pending_end.is_some() {
            let (got, expected) = (chunk.position, self.position);
            return Err(CallError::Broken(format!("token {got} where {expected} was due")));
        }
        self.position += chunk.tokens;
        let Some(choice) = chunk.choices.into_iter().next() else {
            return Err(CallError::Broken("an event without a choice".to_owned()));
        };
        if let Some(finish_reason) = choice.finish_reason {
            let usage = chunk.usage.unwrap_or_default();
            self.pending_end = Some(AnswerPart::End { finish_reason, usage });
        }
        let text = choice.text.unwrap_or_default();
        Ok((chunk.tokens > 0).then_some(AnswerPart::Tokens { count: chunk.tokens, text }))
    }
}

#[async_trait]
impl AnswerStream for SseAnswerStream {
    fn served_by(&self) -> Option<&str> {
        self.served_by.as_deref()
    }

    async fn next_part(&mut self) -> Result<Option<AnswerPart>, CallError> {
        while !self.is_done {
            self.fill().await?;
            let Some(data) = self.ready.pop() else { continue };
            if let Some(part) = self.read_event(&data)? {
                return Ok(Some(part));
            }
        }
        Ok(None)
    }
}
