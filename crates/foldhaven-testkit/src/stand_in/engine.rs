//! A stand-in model engine that batches requests, caches prefixes, respects priorities, streams
//! events, resumes streams and handles cancellation.
//!
//! Its tokens are a pure function of the prompt, so a caller can check that it got the complete
//! answer to its own request.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foldhaven_core::headers;
use foldhaven_core::placement::{EngineOrder, OrderAction};
use foldhaven_core::prefix::{block_hashes, prompt_tokens};
use foldhaven_core::refusal::{RefusalAnswer, RefusalReason};
use foldhaven_wire::caller::{CompletionChoice, CompletionChunk, ErrorBody, TokenUsage};
use foldhaven_wire::engine::EngineRequest;
use foldhaven_wire::sse::{DONE, write_event};
use http::HeaderMap;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use warp::reply::Response;
use warp::{Filter, Reply};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::engine_state::{EngineOptions, EngineState, ModelProfile};
use super::ledger::{LedgerEvent, LedgerWriter};
use super::{json_response, serve};

/// Tokens that are decoded within this many seconds are sent as one event.
const EVENT_SECONDS: f64 = 0.010;
/// Maximum number of queued requests per slot. Requests that exceed it are refused.
const MAX_QUEUED_PER_SLOT: u32 = 16;
/// Interval at which the load is recorded.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Settings of a stand-in engine process.
pub struct EngineSettings {
    /// Options of the simulated engine.
    pub options: EngineOptions,
    /// Data centre of the engine.
    pub data_centre: String,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Address of the platform, from which weights are fetched.
    pub platform: SocketAddr,
    /// Path of the ledger file.
    pub ledger: PathBuf,
}

/// Returns the token at `position` of the answer to a prompt.
pub fn token(prompt: &str, position: u64) -> String {
    format!("{:05x} ", xxh3_64_with_seed(prompt.as_bytes(), position) & 0xf_ffff)
}

/// Returns the number of tokens in the answer to a prompt: 70% to 100% of `max`.
pub fn answer_tokens(prompt: &str, max: u64) -> u64 {
    let percent = xxh3_64_with_seed(prompt.as_bytes(), u64::MAX) % 31;
    (max * (70 + percent) / 100).max(1)
}

/// Returns the complete answer to a prompt.
pub fn complete_answer(prompt: &str, max: u64) -> String {
    (0..answer_tokens(prompt, max)).map(|position| token(prompt, position)).collect()
}

/// A fault that a prompt requests, so that tests can check how it is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EngineFault {
    /// Sends an event that is not JSON.
    Garbage,
    /// Sends an event with the id of another request.
    OtherRequest,
    /// Leaves out tokens at the start.
    Gap,
    /// Omits the end marker.
    NoEnd,
    /// Sends the end marker immediately.
    EarlyEnd,
}

impl EngineFault {
    /// Parses `[fault:NAME]` in a prompt. Returns `None` if there is no known fault name.
    fn from_prompt(prompt: &str) -> Option<Self> {
        let name = prompt.split_once("[fault:")?.1.split_once(']')?.0;
        match name {
            "garbage" => Some(Self::Garbage),
            "other-request" => Some(Self::OtherRequest),
            "gap" => Some(Self::Gap),
            "no-end" => Some(Self::NoEnd),
            "early-end" => Some(Self::EarlyEnd),
            _ => None,
        }
    }
}

#[derive(Clone)]
struct Engine {
    state: EngineState,
    ledger: Arc<LedgerWriter>,
    platform: SocketAddr,
    client: reqwest::Client,
}

/// Serves requests until the process ends.
pub async fn run_engine(settings: EngineSettings) -> std::io::Result<()> {
    let name = settings.options.name.clone();
    let engine = Engine {
        state: EngineState::new(settings.options),
        ledger: Arc::new(LedgerWriter::open(&settings.ledger, &name, &settings.data_centre)?),
        platform: settings.platform,
        client: reqwest::Client::new(),
    };
    let state = engine.state.clone();
    tokio::spawn(async move {
        loop {
            state.record_report();
            tokio::time::sleep(REPORT_INTERVAL).await;
        }
    });
    serve(settings.address, routes(engine)).await
}

fn routes(engine: Engine) -> impl Filter<Extract = (Response,), Error = warp::Rejection> + Clone {
    let engine_filter = warp::any().map(move || engine.clone());
    let completions = warp::path!("v1" / "completions")
        .and(engine_filter.clone())
        .and(warp::header::headers_cloned())
        .and(warp::body::json())
        .map(|engine: Engine, header_map, request| engine.complete(&header_map, request));
    let load = warp::path!("load").and(engine_filter.clone()).map(|engine: Engine| {
        match engine.state.report() {
            Some(load) => json_response(200, &load),
            None => json_response(503, &"no report yet"),
        }
    });
    let events = warp::path!("cache-events")
        .and(engine_filter.clone())
        .and(warp::query::<std::collections::BTreeMap<String, u64>>())
        .map(|engine: Engine, query: std::collections::BTreeMap<String, u64>| {
            let after = query.get("after").copied().unwrap_or_default();
            json_response(200, &engine.state.cache_events(after))
        });
    let orders = warp::path!("orders")
        .and(engine_filter.clone())
        .and(warp::body::json())
        .map(|engine: Engine, order| engine.apply_order(order));
    let leave = warp::path!("admin" / "leave").and(engine_filter).map(|engine: Engine| {
        engine.state.set_leaving();
        engine.ledger.write(LedgerEvent::Leaving, "", "", "");
        json_response(200, &"leaving")
    });
    completions.or(load).unify().or(events).unify().or(orders).unify().or(leave).unify()
}

fn header(header_map: &HeaderMap, name: &str) -> String {
    header_map.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

impl Engine {
    fn refuse(&self, header_map: &HeaderMap, model: &str, reason: RefusalReason) -> Response {
        let attempt = header(header_map, headers::ATTEMPT_ID);
        let request = header(header_map, headers::REQUEST_ID);
        self.ledger.write(LedgerEvent::Refuse, &request, &attempt, model);
        let answer = RefusalAnswer::not_run("taking a request", reason, reason.to_string());
        let mut response = json_response(503, &ErrorBody::of(&answer));
        if let Ok(attempt) = attempt.parse() {
            response.headers_mut().insert(headers::REFUSED_ATTEMPT, attempt);
        }
        response
    }

    fn complete(&self, header_map: &HeaderMap, request: EngineRequest) -> Response {
        if self.state.is_leaving() {
            return self.refuse(header_map, &request.model, RefusalReason::Leaving);
        }
        let Some(profile) = self.state.profile(&request.model) else {
            return self.refuse(header_map, &request.model, RefusalReason::NoUpstream);
        };
        let (_, queued) = self.state.request_counts();
        if queued > profile.slots * MAX_QUEUED_PER_SLOT {
            return self.refuse(header_map, &request.model, RefusalReason::Capacity);
        }
        let (sender, receiver) = mpsc::channel::<Result<Bytes, Infallible>>(4);
        let task = RequestTask {
            engine: self.clone(),
            request: header(header_map, headers::REQUEST_ID),
            attempt: header(header_map, headers::ATTEMPT_ID),
            position: header(header_map, headers::RESUME_FROM).parse().unwrap_or_default(),
            priority: header(header_map, headers::PRIORITY).parse().unwrap_or_default(),
            body: request,
            profile,
        };
        task.record(LedgerEvent::Arrive);
        tokio::spawn(task.run(sender));
        let mut response = warp::reply::stream(ReceiverStream::new(receiver)).into_response();
        let events = http::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(http::header::CONTENT_TYPE, events);
        response
    }

    fn apply_order(&self, order: EngineOrder) -> Response {
        if !self.state.accept_fence(order.fence) {
            return json_response(409, &"the fence is older than the last order's");
        }
        match order.action {
            OrderAction::Load { model, version } => {
                if self.state.start_loading(model.as_str(), &version) {
                    tokio::spawn(self.clone().load(model.to_string(), version));
                }
            }
            OrderAction::Unload { model, version } => self.state.unload(model.as_str(), &version),
        }
        json_response(200, &"taken")
    }

    async fn load(self, model: String, version: String) {
        let url = format!("http://{}/v1/weights/{model}/{version}", self.platform);
        let fetched = async {
            let response = self.client.get(url).send().await?.error_for_status()?;
            response.json::<ModelProfile>().await
        };
        self.state.finish_loading(&model, fetched.await.ok());
    }
}

/// A request that is queued or being processed.
struct RequestTask {
    engine: Engine,
    request: String,
    attempt: String,
    position: u64,
    priority: u64,
    body: EngineRequest,
    profile: ModelProfile,
}

type EventSender = mpsc::Sender<Result<Bytes, Infallible>>;

impl RequestTask {
    async fn run(self, sender: EventSender) {
        let tokens = answer_tokens(&self.body.prompt, self.body.max_tokens);
        let blocks = block_hashes(&self.body.model, &self.body.prompt);
        let prompt_length = prompt_tokens(&self.body.prompt);
        let time_per_token = Duration::from_secs_f64(1.0 / self.profile.decode);
        let remaining_tokens = tokens.saturating_sub(self.position) as u32;
        let prefill_time = Duration::from_secs_f64(prompt_length as f64 / self.profile.prefill);
        let slot_request = self
            .engine
            .state
            .acquire_slot(self.priority, prefill_time + time_per_token * remaining_tokens);
        let mut slot = tokio::select! {
            slot = slot_request => slot,
            () = sender.closed() => return self.record(LedgerEvent::Cancel),
        };
        self.record(LedgerEvent::Start);
        let cached = self.engine.state.cache_prompt(&blocks).min(prompt_length);
        let uncached_seconds = (prompt_length - cached) as f64 / self.profile.prefill;
        tokio::time::sleep(Duration::from_secs_f64(uncached_seconds)).await;
        self.engine.state.complete_work(&mut slot, prefill_time);
        let tokens_per_event = (self.profile.decode * EVENT_SECONDS).round().max(1.0) as u64;
        let mut position = self.position;
        let fault = EngineFault::from_prompt(&self.body.prompt);
        if let Some(event) = fault.and_then(|fault| self.faulty_event(fault)) {
            let _ = sender.send(Ok(event.into())).await;
            return self.record(LedgerEvent::Cancel);
        }
        while position < tokens {
            let count = tokens_per_event.min(tokens - position);
            tokio::time::sleep(time_per_token * count as u32).await;
            self.engine.state.complete_work(&mut slot, time_per_token * count as u32);
            let text = (position..position + count).map(|at| token(&self.body.prompt, at));
            let event = self.event(position, count, text.collect(), None);
            position += count;
            if sender.send(Ok(event.into())).await.is_err() {
                return self.record(LedgerEvent::Cancel);
            }
        }
        let usage = TokenUsage {
            prompt_tokens: prompt_length,
            completion_tokens: tokens,
            total_tokens: prompt_length + tokens,
        };
        let end = self.event(position, 0, String::new(), Some(usage)) + &write_event(DONE);
        // Recorded before the last byte is sent, so that whoever has the answer finds the line.
        self.record(LedgerEvent::End);
        let _ = sender.send(Ok(end.into())).await;
    }

    /// Returns the faulty event to send in place of the answer.
    fn faulty_event(&self, fault: EngineFault) -> Option<String> {
        match fault {
            EngineFault::Garbage => Some(write_event("{ not json")),
            EngineFault::OtherRequest => {
                let event = self.event(0, 1, "other".to_owned(), None);
                Some(event.replace(&self.request, "another-request"))
            }
            EngineFault::Gap => Some(self.event(5, 1, "late".to_owned(), None)),
            EngineFault::EarlyEnd => Some(write_event(DONE)),
            EngineFault::NoEnd => Some(self.event(0, 1, "only".to_owned(), None)),
        }
    }

    fn record(&self, event: LedgerEvent) {
        self.engine.ledger.write(event, &self.request, &self.attempt, &self.body.model);
    }

    fn event(&self, position: u64, tokens: u64, text: String, usage: Option<TokenUsage>) -> String {
        let finish_reason = usage.map(|_| "stop".to_owned());
        let text = Some(text);
        let choice = CompletionChoice { index: 0, text, message: None, delta: None, finish_reason };
        let chunk = CompletionChunk {
            id: self.request.clone(),
            object: "text_completion".to_owned(),
            created: 0,
            model: self.body.model.clone(),
            choices: vec![choice],
            position,
            tokens,
            usage,
        };
        write_event(&serde_json::to_string(&chunk).expect("a chunk can be serialized"))
    }
}
