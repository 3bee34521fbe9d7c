//! Calls to engines, service instances and peers, and the check that an answer is whole and ours.

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

/// The largest answer that is taken whole, in bytes.
const MAX_WHOLE_BYTES: usize = 8 << 20;
/// The largest error answer that is looked into, in bytes.
const MAX_ERROR_BYTES: usize = 64 << 10;
const CONNECT_LIMIT: Duration = Duration::from_millis(1_000);
const IDLE_CONNECTIONS: usize = 256;

/// How a call failed, by what that says of the work behind it.
#[derive(Debug, Clone, PartialEq, displaydoc::Display, thiserror::Error)]
pub enum CallFault {
    /// connection refused: {0}
    NotSent(String),
    /// refused ({reason}): {detail}
    Refused {
        /// Why the receiver refused.
        reason: RefusalReason,
        /// Its words.
        detail: String,
        /// When it can be asked again.
        retry_after: Option<Duration>,
    },
    /// failed at the receiver ({reason}): {detail}
    Failed {
        /// What failed there, after it may have started.
        reason: RefusalReason,
        /// The receiver's words.
        detail: String,
    },
    /// broken after it may have started: {0}
    Broken(String),
}

/// A call to be made.
#[derive(Debug, Clone)]
pub struct UpstreamCall {
    pub address: SocketAddr,
    pub method: Method,
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// The attempt that the receiver knows the call by.
    pub attempt: String,
}

/// A part of a model's answer, checked to belong to its request and to follow the part before.
#[derive(Debug, Clone, PartialEq)]
pub enum AnswerPart {
    /// Some tokens.
    Tokens { count: u64, text: String },
    /// The end: every token before it was given out.
    End { finish_reason: String, usage: TokenUsage },
}

/// The parts of one answer, in order.
#[async_trait]
pub trait PartStream: Send {
    /// The data centre that serves, when the receiver says so.
    fn served_by(&self) -> Option<&str>;

    /// The next part; nothing after [`AnswerPart::End`] was given.
    async fn next_part(&mut self) -> Result<Option<AnswerPart>, CallFault>;
}

/// A whole answer of a service or of a peer on its behalf.
#[derive(Debug, Clone)]
pub struct WholeAnswer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// How upstreams and peers are called.
#[async_trait]
pub trait UpstreamClient: Send + Sync {
    /// Starts a streamed call. `request` is the id that the answer must name and `position` the
    /// one at which it must start.
    async fn open(
        &self,
        call: UpstreamCall,
        request: &str,
        position: u64,
    ) -> Result<Box<dyn PartStream>, CallFault>;

    /// Makes a call and takes its whole answer, whatever its status, unless the receiver recorded
    /// that it refused the attempt.
    async fn exchange(&self, call: UpstreamCall) -> Result<WholeAnswer, CallFault>;
}

/// Calls over HTTP.
pub struct HttpUpstream {
    client: reqwest::Client,
}

impl HttpUpstream {
    /// A client that keeps connections open and never repeats a request by itself.
    ///
    /// # Errors
    ///
    /// When the client library cannot be set up.
    pub fn new() -> reqwest::Result<Self> {
        let client = reqwest::Client::builder()
            .connect_timeout(CONNECT_LIMIT)
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .tcp_nodelay(true)
            .build()?;
        Ok(Self { client })
    }

    async fn send(&self, call: UpstreamCall) -> Result<reqwest::Response, CallFault> {
        let url = format!("http://{}{}", call.address, call.path);
        let request = self.client.request(call.method, url).headers(call.headers).body(call.body);
        let response = request.send().await.map_err(|error| match error.is_connect() {
            true => CallFault::NotSent(error_text(&error)),
            false => CallFault::Broken(error_text(&error)),
        })?;
        let refused = response.headers().get(headers::REFUSED_ATTEMPT);
        if refused.is_some_and(|attempt| attempt.as_bytes() == call.attempt.as_bytes()) {
            return Err(read_refusal(response).await);
        }
        Ok(response)
    }
}

/// Reads why an attempt was refused. That it was refused is certain from the header alone.
async fn read_refusal(response: reqwest::Response) -> CallFault {
    let body = read_limited(response, MAX_ERROR_BYTES).await.unwrap_or_default();
    match serde_json::from_slice::<ErrorBody>(&body) {
        Ok(ErrorBody { error }) => CallFault::Refused {
            reason: error.kind,
            detail: error.message,
            retry_after: error.retry_after_ms.map(Duration::from_millis),
        },
        Err(_) => CallFault::Refused {
            reason: RefusalReason::Capacity,
            detail: "refused without a reason".to_owned(),
            retry_after: None,
        },
    }
}

/// The fault that a peer tells of, when what it sent is an error and not an answer.
fn told_fault(body: &[u8]) -> Option<CallFault> {
    let ErrorBody { error } = serde_json::from_slice(body).ok()?;
    Some(CallFault::Failed { reason: error.kind, detail: error.message })
}

async fn read_limited(mut response: reqwest::Response, limit: usize) -> Result<Bytes, CallFault> {
    let mut body = Vec::new();
    loop {
        let chunk = response.chunk().await;
        let chunk = chunk.map_err(|error| CallFault::Broken(error_text(&error)))?;
        let Some(chunk) = chunk else { return Ok(body.into()) };
        if body.len() + chunk.len() > limit {
            return Err(CallFault::Broken(format!("an answer of more than {limit} bytes")));
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
    ) -> Result<Box<dyn PartStream>, CallFault> {
        let response = self.send(call).await?;
        let status = response.status();
        if status != reqwest::StatusCode::OK {
            let body = read_limited(response, MAX_ERROR_BYTES).await.unwrap_or_default();
            if let Some(fault) = told_fault(&body) {
                return Err(fault);
            }
            let text = String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned();
            return Err(CallFault::Broken(format!("status {status}: {text}")));
        }
        let served_by = response.headers().get(headers::SERVED_BY);
        let served_by = served_by.and_then(|name| name.to_str().ok()).map(str::to_owned);
        Ok(Box::new(EventParts {
            response,
            splitter: SseSplitter::default(),
            ready: Vec::new(),
            request: request.to_owned(),
            position,
            served_by,
            ending: None,
            is_done: false,
        }))
    }

    async fn exchange(&self, call: UpstreamCall) -> Result<WholeAnswer, CallFault> {
        let response = self.send(call).await?;
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let body = read_limited(response, MAX_WHOLE_BYTES).await?;
        Ok(WholeAnswer { status, headers, body })
    }
}

/// The parts of an answer that arrives as server-sent events.
struct EventParts {
    response: reqwest::Response,
    splitter: SseSplitter,
    ready: Vec<String>,
    request: String,
    position: u64,
    served_by: Option<String>,
    ending: Option<AnswerPart>,
    is_done: bool,
}

impl EventParts {
    /// Reads on until at least one event is ready.
    async fn fill(&mut self) -> Result<(), CallFault> {
        while self.ready.is_empty() {
            let chunk = self.response.chunk().await;
            let chunk = chunk.map_err(|error| CallFault::Broken(error_text(&error)))?;
            let Some(chunk) = chunk else {
                return Err(CallFault::Broken("the answer ended before its end marker".to_owned()));
            };
            let events = self.splitter.push(&chunk);
            self.ready = events.map_err(|error| CallFault::Broken(error.to_string()))?;
            self.ready.reverse();
        }
        Ok(())
    }

    /// Checks one event and makes it a part; the end is kept until its marker has come.
    fn read_event(&mut self, data: &str) -> Result<Option<AnswerPart>, CallFault> {
        if data == DONE {
            let ending = self.ending.take().ok_or_else(|| {
                CallFault::Broken("the end marker came before the end".to_owned())
            })?;
            self.is_done = true;
            return Ok(Some(ending));
        }
        if let Some(fault) = told_fault(data.as_bytes()) {
            return Err(fault);
        }
        let chunk: CompletionChunk = serde_json::from_str(data)
            .map_err(|error| CallFault::Broken(format!("a malformed event: {error}")))?;
        if chunk.id != self.request {
            return Err(CallFault::Broken(format!("an answer to another request, {}", chunk.id)));
        }
        if chunk.position != self.position || self.ending.is_some() {
            let (got, expected) = (chunk.position, self.position);
            return Err(CallFault::Broken(format!("token {got} where {expected} was due")));
        }
        self.position += chunk.tokens;
        let Some(choice) = chunk.choices.into_iter().next() else {
            return Err(CallFault::Broken("an event without a choice".to_owned()));
        };
        if let Some(finish_reason) = choice.finish_reason {
            let usage = chunk.usage.unwrap_or_default();
            self.ending = Some(AnswerPart::End { finish_reason, usage });
        }
        let text = choice.text.unwrap_or_default();
        Ok((chunk.tokens > 0).then_some(AnswerPart::Tokens { count: chunk.tokens, text }))
    }
}

#[async_trait]
impl PartStream for EventParts {
    fn served_by(&self) -> Option<&str> {
        self.served_by.as_deref()
    }

    async fn next_part(&mut self) -> Result<Option<AnswerPart>, CallFault> {
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
