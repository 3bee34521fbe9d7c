//! A stand-in plain service, which also serves calls that must not be repeated.
//!
//! A call is recorded in the ledger when it takes effect. The first segment of the path selects how
//! the call is answered: `ok`, `fail` (runs, then answers 500), `cut` (runs, then truncates the
//! answer at the end of a chunk) or `slow` (runs, then answers after `ms` milliseconds of the
//! query, 500 by default). The answer repeats the request id and the body.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use foldhaven_core::headers;
use foldhaven_core::refusal::{RefusalAnswer, RefusalReason};
use foldhaven_wire::caller::ErrorBody;
use http::HeaderMap;
use warp::reply::Response;
use warp::{Filter, Reply};

use super::ledger::{LedgerEvent, LedgerWriter};
use super::{json_response, serve};

/// Settings of a stand-in service process.
pub struct ServiceSettings {
    /// Name of the service instance.
    pub name: String,
    /// Data centre of the service instance.
    pub data_centre: String,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Path of the ledger file.
    pub ledger: PathBuf,
}

#[derive(Clone)]
struct Service {
    ledger: Arc<LedgerWriter>,
    is_leaving: Arc<AtomicBool>,
}

/// Returns the answer of a service to a request.
pub fn service_answer(request: &str, body: &str) -> String {
    format!("{request}:{body}")
}

/// Serves requests until the process ends.
pub async fn run_service(settings: ServiceSettings) -> std::io::Result<()> {
    let ledger = LedgerWriter::open(&settings.ledger, &settings.name, &settings.data_centre)?;
    let service = Service { ledger: Arc::new(ledger), is_leaving: Arc::default() };
    serve(settings.address, routes(service)).await
}

fn routes(service: Service) -> impl Filter<Extract = (Response,), Error = warp::Rejection> + Clone {
    let service_filter = warp::any().map(move || service.clone());
    let leave =
        warp::path!("admin" / "leave").and(service_filter.clone()).map(|service: Service| {
            service.is_leaving.store(true, Ordering::SeqCst);
            service.ledger.write(LedgerEvent::Leaving, "", "", "");
            json_response(200, &"leaving")
        });
    let calls = warp::path::full()
        .and(service_filter)
        .and(warp::query::raw().or(warp::any().map(String::new)).unify())
        .and(warp::header::headers_cloned())
        .and(warp::body::bytes())
        .then(
            |path: warp::path::FullPath, service: Service, query: String, map, body| async move {
                service.call(path.as_str(), &query, map, body).await
            },
        );
    leave.or(calls).unify()
}

impl Service {
    async fn call(&self, path: &str, query: &str, map: HeaderMap, body: Bytes) -> Response {
        let text = |name: &str| {
            let value = map.get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let (request, attempt) = (text(headers::REQUEST_ID), text(headers::ATTEMPT_ID));
        if self.is_leaving.load(Ordering::SeqCst) {
            self.ledger.write(LedgerEvent::Refuse, &request, &attempt, path);
            let reason = RefusalReason::Leaving;
            let answer = RefusalAnswer::not_run("taking a call", reason, reason.to_string());
            let mut response = json_response(503, &ErrorBody::of(&answer));
            if let Ok(attempt) = attempt.parse() {
                response.headers_mut().insert(headers::REFUSED_ATTEMPT, attempt);
            }
            return response;
        }
        self.ledger.write(LedgerEvent::Arrive, &request, &attempt, path);
        self.ledger.write(LedgerEvent::Start, &request, &attempt, path);
        let body = String::from_utf8_lossy(&body).into_owned();
        let answer = service_answer(&request, &body);
        let response = match path.trim_start_matches('/').split('/').next() {
            Some("fail") => json_response(500, &"it ran, and then it failed"),
            Some("cut") => truncated_response(answer),
            Some("slow") => {
                let ms = query.strip_prefix("ms=").and_then(|ms| ms.parse().ok()).unwrap_or(500);
                tokio::time::sleep(Duration::from_millis(ms)).await;
                Response::new(Bytes::from(answer).into())
            }
            _ => Response::new(Bytes::from(answer).into()),
        };
        self.ledger.write(LedgerEvent::End, &request, &attempt, path);
        response
    }
}

/// Returns a response that is truncated exactly at the end of a chunk.
fn truncated_response(answer: String) -> Response {
    let half = answer.len() / 2;
    let chunks = [
        Ok(Bytes::from(answer[..half].to_owned())),
        Err(std::io::Error::other("cut at the end of a chunk")),
    ];
    warp::reply::stream(futures::stream::iter(chunks)).into_response()
}
