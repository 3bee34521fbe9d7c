//! The front towards callers: completions, services, entry VMs and health.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::time::Duration;

use bytes::{Buf, Bytes};
use foldhaven_core::attempt::RequestOutcome;
use foldhaven_core::headers;
use foldhaven_core::ids::AccountName;
use foldhaven_core::refusal::{RefusalAnswer, RefusalReason};
use foldhaven_wire::operator::DaemonState;
use futures::{Stream, StreamExt};
use http::{HeaderMap, Method};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use warp::Filter;
use warp::reply::Response;

use super::TrafficContext;
use super::answer::{AnswerWriter, error_event};
use super::call::AnswerPart;
use super::entries::list_entries;
use super::origin::{JobEvent, RouteDesk};
use super::reply::{event_stream_reply, json_reply, refusal_reply, set_header};
use super::request::{AnswerShape, ModelJob, bad_request, read_body, read_model_job};
use super::service::{CALLER_SERVICE, RawRequest, ServiceDesk};

/// How many parts of an answer wait for a slow caller.
const PART_QUEUE: usize = 64;
const MAX_TICKETS: usize = 64;
/// The time that the last event of a broken answer is given to leave.
const LAST_EVENT_TIME: Duration = Duration::from_millis(20);

/// Serves callers until `stop` changes, then finishes what is under way.
pub async fn serve_callers(
    listener: TcpListener,
    context: TrafficContext,
    mut stop: watch::Receiver<bool>,
) {
    let front = CallerFront {
        routes: RouteDesk::new(context.clone()),
        services: ServiceDesk { context: context.clone() },
        context,
    };
    let stopped = async move {
        // A sender that is gone means the same as a stop.
        let _ = stop.wait_for(|stop| *stop).await;
    };
    warp::serve(caller_routes(front)).incoming(listener).graceful(stopped).run().await;
}

/// A filter for the query, empty when there is none.
pub fn raw_query() -> impl Filter<Extract = (String,), Error = Infallible> + Clone {
    warp::query::raw().or(warp::any().map(String::new)).unify()
}

fn caller_routes(
    front: CallerFront,
) -> impl Filter<Extract = (Response,), Error = warp::Rejection> + Clone {
    warp::method()
        .and(warp::path::full())
        .and(raw_query())
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(move |method, path: warp::path::FullPath, query: String, headers, body| {
            let front = front.clone();
            async move { front.answer(method, path.as_str(), &query, headers, body).await }
        })
}

/// The fields of a query. A field without a value has an empty one.
pub fn read_query(query: &str) -> BTreeMap<String, String> {
    let pairs = query.split('&').filter(|pair| !pair.is_empty());
    pairs
        .map(|pair| pair.split_once('=').unwrap_or((pair, "")))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

#[derive(Clone)]
struct CallerFront {
    routes: RouteDesk,
    services: ServiceDesk,
    context: TrafficContext,
}

impl CallerFront {
    async fn answer<S, B>(
        &self,
        method: Method,
        path: &str,
        query: &str,
        map: HeaderMap,
        body: S,
    ) -> Response
    where
        S: Stream<Item = Result<B, warp::Error>>,
        B: Buf,
    {
        match (&method, path) {
            (&Method::GET, "/healthz") => self.health(),
            (&Method::GET, "/v1/entries") => self.entries(query),
            (&Method::GET, "/v1/models") => self.models(),
            (&Method::POST, "/v1/completions") => self.model(AnswerShape::Text, map, body).await,
            (&Method::POST, "/v1/chat/completions") => {
                self.model(AnswerShape::Chat, map, body).await
            }
            (_, path) if path.starts_with(CALLER_SERVICE) => {
                self.service(method, path, query, map, body).await
            }
            _ => {
                let detail = format!("nothing answers {method} {path}");
                let reason = RefusalReason::UnknownPath;
                refusal_reply(&RefusalAnswer::not_run("finding the path", reason, detail))
            }
        }
    }

    fn health(&self) -> Response {
        let shared = &self.context.shared;
        let (status, state) = match (shared.is_leaving(), shared.view()) {
            (true, _) => (503, DaemonState::Leaving),
            (false, Ok(_)) => (200, DaemonState::Serving),
            (false, Err(_)) => (503, DaemonState::NoDescription),
        };
        json_reply(status, &serde_json::json!({ "state": state }))
    }

    /// Tells a caller which entry VMs to use, with as many tickets as it asked for.
    fn entries(&self, query: &str) -> Response {
        let shared = &self.context.shared;
        let view = match shared.view() {
            Ok(view) => view,
            Err(refusal) => return refusal_reply(&refusal),
        };
        let query = read_query(query);
        let account = query.get("account").and_then(|name| name.parse::<AccountName>().ok());
        let account = account.and_then(|name| view.route.index.account(&name));
        let mut answer = list_entries(shared, &view, account.map(|account| &account.home));
        let tickets = query.get("tickets").and_then(|count| count.parse().ok()).unwrap_or(0);
        let issued = (0..tickets.min(MAX_TICKETS)).map_while(|_| self.services.issue_ticket());
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

    /// Sends a caller on to another VM, when this one is leaving.
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

    async fn read<S, B>(&self, body: S) -> Result<Bytes, RefusalAnswer>
    where
        S: Stream<Item = Result<B, warp::Error>>,
        B: Buf,
    {
        let limits = self.context.shared.view()?.route.index.description.limits.clone();
        read_body(body, limits.body.0, limits.body_pause.0).await
    }

    async fn service<S, B>(
        &self,
        method: Method,
        path: &str,
        query: &str,
        headers: HeaderMap,
        body: S,
    ) -> Response
    where
        S: Stream<Item = Result<B, warp::Error>>,
        B: Buf,
    {
        let path = match query {
            "" => path.to_owned(),
            query => format!("{path}?{query}"),
        };
        let is_ticketed = headers.contains_key(headers::TICKET);
        if let Some(redirect) = self.redirect(&path).filter(|_| !is_ticketed) {
            return redirect;
        }
        match self.read(body).await {
            Ok(body) => {
                let raw = RawRequest { method, path, headers, body };
                self.services.answer_caller(raw).await
            }
            Err(refusal) => refusal_reply(&refusal),
        }
    }

    async fn model<S, B>(&self, shape: AnswerShape, map: HeaderMap, body: S) -> Response
    where
        S: Stream<Item = Result<B, warp::Error>>,
        B: Buf,
    {
        let path = match shape {
            AnswerShape::Text => "/v1/completions",
            AnswerShape::Chat => "/v1/chat/completions",
        };
        if let Some(redirect) = self.redirect(path) {
            return redirect;
        }
        let job = match self.read_job(shape, &map, body).await {
            Ok(job) => job,
            Err(refusal) => {
                self.context.shared.metrics.count_reason(refusal.reason.code());
                return refusal_reply(&refusal);
            }
        };
        let (sender, receiver) = mpsc::channel(PART_QUEUE);
        tokio::spawn(self.routes.clone().run_job(job.clone(), sender));
        match job.is_stream {
            true => stream_answer(&job, receiver).await,
            false => whole_answer(&job, receiver).await,
        }
    }

    async fn read_job<S, B>(
        &self,
        shape: AnswerShape,
        map: &HeaderMap,
        body: S,
    ) -> Result<ModelJob, RefusalAnswer>
    where
        S: Stream<Item = Result<B, warp::Error>>,
        B: Buf,
    {
        let shared = &self.context.shared;
        let started = shared.now();
        let body = self.read(body).await?;
        let view = shared.view()?;
        let new_id = || shared.new_request_id();
        let job = read_model_job(shape, map, &body, &view.route.index, new_id, started)?;
        match job.prompt.is_empty() {
            true => Err(bad_request("prompt: expected some text")),
            false => Ok(job),
        }
    }
}

/// Answers with one object, once every part is there.
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

/// Answers with events as the parts come. A refusal before the first part is a plain answer; a
/// failure after it is an error event and a broken connection.
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
            // The event has to leave before the connection is broken.
            tokio::time::sleep(LAST_EVENT_TIME).await;
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
