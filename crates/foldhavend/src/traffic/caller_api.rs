//! The HTTP API for callers: completions, services, entry VMs and health.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use foldhaven_core::attempt::RequestOutcome;
use foldhaven_core::headers;
use foldhaven_core::ids::AccountName;
use foldhaven_core::refusal::{RefusalAnswer, RefusalReason};
use foldhaven_wire::operator::DaemonState;
use futures::StreamExt;
use http::Method;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use warp::reply::Response;

use super::TrafficContext;
use super::answer::{AnswerWriter, ERROR_EVENT_FLUSH_TIME, error_event};
use super::api::{ApiHandler, ApiRequest, serve_api};
use super::call::AnswerPart;
use super::entries::list_entries;
use super::origin::{JobEvent, ModelRouter};
use super::paths::CALLER_SERVICE;
use super::reply::{event_stream_reply, json_reply, refusal_reply, set_header};
use super::request::{AnswerShape, ModelJob, bad_request, read_model_job};
use super::service::{RawRequest, ServiceHandler};

/// Maximum number of answer parts that are buffered for a slow caller.
const PART_QUEUE_LEN: usize = 64;
/// Maximum number of tickets issued for one request for entry VMs.
const MAX_TICKETS: usize = 64;

/// Serves callers until `stop` becomes true, then finishes the requests in flight.
pub async fn serve_callers(
    listener: TcpListener,
    context: TrafficContext,
    stop: watch::Receiver<bool>,
) {
    let api = CallerApi {
        router: ModelRouter::new(context.clone()),
        service_handler: ServiceHandler { context: context.clone() },
        context,
    };
    serve_api(listener, Arc::new(api), stop).await;
}

struct CallerApi {
    router: ModelRouter,
    service_handler: ServiceHandler,
    context: TrafficContext,
}

#[async_trait]
impl ApiHandler for CallerApi {
    async fn answer(&self, request: ApiRequest) -> Response {
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/healthz") => self.health(),
            (&Method::GET, "/v1/entries") => self.entries(&request),
            (&Method::GET, "/v1/models") => self.models(),
            (&Method::POST, "/v1/completions") => self.model(AnswerShape::Text, request).await,
            (&Method::POST, "/v1/chat/completions") => self.model(AnswerShape::Chat, request).await,
            (_, path) if path.starts_with(CALLER_SERVICE) => self.service(request).await,
            _ => request.unknown_path(),
        }
    }
}

impl CallerApi {
    fn health(&self) -> Response {
        let shared = &self.context.shared;
        let (status, state) = match (shared.is_leaving(), shared.view()) {
            (true, _) => (503, DaemonState::Leaving),
            (false, Ok(_)) => (200, DaemonState::Serving),
            (false, Err(_)) => (503, DaemonState::NoDescription),
        };
        json_reply(status, &serde_json::json!({ "state": state }))
    }

    /// Returns the entry VMs that a caller should use, with the requested number of tickets but at
    /// most [`MAX_TICKETS`].
    fn entries(&self, request: &ApiRequest) -> Response {
        let shared = &self.context.shared;
        let view = match shared.view() {
            Ok(view) => view,
            Err(refusal) => return refusal_reply(&refusal),
        };
        let query = request.query_fields();
        let account = query.get("account").and_then(|name| name.parse::<AccountName>().ok());
        let account = account.and_then(|name| view.route.index.account(&name));
        let mut answer = list_entries(shared, &view, account.map(|account| &account.home));
        let tickets = query.get("tickets").and_then(|count| count.parse().ok()).unwrap_or(0);
        let issued =
            (0..tickets.min(MAX_TICKETS)).map_while(|_| self.service_handler.issue_ticket());
        answer.tickets = issued.map(|ticket| ticket.to_string()).collect();
        json_reply(200, &answer)
    }

    fn models(&self) -> Response {
        let view = match self.context.shared.view() {
            Ok(view) => view,
            Err(refusal) => return refusal_reply(&refusal),
        };
        let model = |model: &foldhaven_core::description::ModelConfig| {
            let owner = &view.route.index.description.name;
            serde_json::json!({ "id": model.name, "object": "model", "owned_by": owner })
        };
        let data: Vec<_> = view.route.index.description.models.iter().map(model).collect();
        json_reply(200, &serde_json::json!({ "object": "list", "data": data }))
    }

    /// Returns a redirect to another VM if this one is leaving, or a refusal if no other VM is
    /// known. `None` if this VM is not leaving.
    fn redirect(&self, path: &str) -> Option<Response> {
        let shared = &self.context.shared;
        if !shared.is_leaving() {
            return None;
        }
        let refusal = RefusalAnswer::not_run(
            "taking new work",
            RefusalReason::Leaving,
            "this VM is leaving; other entry VMs take the request",
        );
        let refusal = refusal.with_retry_after(Duration::from_millis(50));
        let mut response = refusal_reply(&refusal);
        let view = shared.view().ok();
        let entries = view.map(|view| list_entries(shared, &view, None).entries);
        if let Some(other) = entries.and_then(|entries| entries.into_iter().next()) {
            *response.status_mut() = http::StatusCode::TEMPORARY_REDIRECT;
            let location = format!("http://{}{path}", other.address);
            set_header(response.headers_mut(), http::header::LOCATION, &location);
        }
        Some(response)
    }

    async fn service(&self, request: ApiRequest) -> Response {
        let path = request.path_and_query();
        let is_ticketed = request.headers.contains_key(headers::TICKET);
        if let Some(redirect) = self.redirect(&path).filter(|_| !is_ticketed) {
            return redirect;
        }
        let (method, headers) = (request.method.clone(), request.headers.clone());
        match request.read_body(&self.context.shared).await {
            Ok(body) => {
                let raw = RawRequest { method, path, headers, body };
                self.service_handler.answer_caller(raw).await
            }
            Err(refusal) => refusal_reply(&refusal),
        }
    }

    async fn model(&self, shape: AnswerShape, request: ApiRequest) -> Response {
        if let Some(redirect) = self.redirect(&request.path) {
            return redirect;
        }
        let job = match self.read_job(shape, request).await {
            Ok(job) => job,
            Err(refusal) => {
                self.context.shared.metrics.count_reason(refusal.reason.code());
                return refusal_reply(&refusal);
            }
        };
        let (sender, receiver) = mpsc::channel(PART_QUEUE_LEN);
        tokio::spawn(self.router.clone().run_job(job.clone(), sender));
        match job.is_stream {
            true => stream_answer(&job, receiver).await,
            false => whole_answer(&job, receiver).await,
        }
    }

    async fn read_job(
        &self,
        shape: AnswerShape,
        request: ApiRequest,
    ) -> Result<ModelJob, RefusalAnswer> {
        let shared = &self.context.shared;
        let started = shared.now();
        let headers = request.headers.clone();
        let body = request.read_body(shared).await?;
        let view = shared.view()?;
        let new_id = || shared.new_request_id();
        let job = read_model_job(shape, &headers, &body, &view.route.index, new_id, started)?;
        match job.prompt.is_empty() {
            true => Err(bad_request("prompt: expected some text")),
            false => Ok(job),
        }
    }
}

/// Answers with one object after the last part arrived.
async fn whole_answer(job: &ModelJob, mut parts: mpsc::Receiver<JobEvent>) -> Response {
    let writer = AnswerWriter::new(job, 0);
    let mut whole = String::new();
    while let Some(event) = parts.recv().await {
        match event {
            JobEvent::Part(AnswerPart::Tokens { text, .. }, _) => whole.push_str(&text),
            JobEvent::Part(AnswerPart::End { finish_reason, usage }, served_by) => {
                let answer = writer.whole(whole, finish_reason, usage);
                let mut response = json_reply(200, &answer);
                let map = response.headers_mut();
                set_header(map, headers::OUTCOME, &RequestOutcome::Complete.to_string());
                set_header(map, headers::SERVED_BY, &served_by);
                return response;
            }
            JobEvent::Failed(answer) => return refusal_reply(&answer),
        }
    }
    refusal_reply(&lost_job())
}

/// Streams the parts as events. A refusal before the first part is a plain response. A failure
/// after it is reported by an error event, after which the connection is aborted.
async fn stream_answer(job: &ModelJob, mut parts: mpsc::Receiver<JobEvent>) -> Response {
    let first = parts.recv().await.unwrap_or_else(|| JobEvent::Failed(lost_job()));
    let served_by = match &first {
        JobEvent::Part(_, served_by) => served_by.clone(),
        JobEvent::Failed(answer) => return refusal_reply(answer),
    };
    let mut writer = AnswerWriter::new(job, 0);
    let rest = ReceiverStream::new(parts);
    let events = futures::stream::iter([first]).chain(rest).flat_map(move |event| {
        let (piece, broken): (String, Option<io::Error>) = match event {
            JobEvent::Part(part, _) => (writer.event(&part), None),
            JobEvent::Failed(answer) => {
                (error_event(&answer), Some(io::Error::other(answer.to_string())))
            }
        };
        let broken = futures::stream::iter(broken).then(|broken| async move {
            // Gives the error event time to be sent before the connection is aborted.
            tokio::time::sleep(ERROR_EVENT_FLUSH_TIME).await;
            Err(broken)
        });
        futures::stream::iter([Ok(Bytes::from(piece))]).chain(broken)
    });
    let mut response = event_stream_reply(events);
    set_header(response.headers_mut(), headers::SERVED_BY, &served_by);
    set_header(response.headers_mut(), headers::REQUEST_ID, job.head.request.as_str());
    response
}

fn lost_job() -> RefusalAnswer {
    let detail = "the request ended without an answer";
    RefusalAnswer::not_run("answering", RefusalReason::AnswerBroken, detail)
        .with_outcome(RequestOutcome::Unknown)
}
