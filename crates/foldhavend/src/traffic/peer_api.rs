//! The HTTP API for other daemons and operators.

use std::sync::Arc;

use async_trait::async_trait;
use foldhaven_wire::operator::BurnAnswer;
use http::Method;
use tokio::net::TcpListener;
use tokio::sync::watch;
use warp::reply::Response;

use super::TrafficContext;
use super::api::{ApiHandler, ApiRequest, serve_api};
use super::explain::explain;
use super::origin::ModelRouter;
use super::paths::{PEER_COMPLETIONS, PEER_SERVICE, PEER_TICKETED};
use super::receiver::{receive_model, refusal_without_attempt};
use super::reply::{body_reply, json_reply, refusal_reply};
use super::service::{RawRequest, ServiceHandler};

/// Path prefix of all requests that other daemons forward.
const PEER_PREFIX: &str = "/peer/v1/";

/// Serves peers and operators until `stop` becomes true, then finishes the requests in flight.
pub async fn serve_peers(
    listener: TcpListener,
    context: TrafficContext,
    stop: watch::Receiver<bool>,
) {
    let api = PeerApi {
        router: ModelRouter::new(context.clone()),
        service_handler: ServiceHandler { context: context.clone() },
        context,
    };
    serve_api(listener, Arc::new(api), stop).await;
}

struct PeerApi {
    router: ModelRouter,
    service_handler: ServiceHandler,
    context: TrafficContext,
}

#[async_trait]
impl ApiHandler for PeerApi {
    async fn answer(&self, request: ApiRequest) -> Response {
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/metrics") => self.metrics(),
            (&Method::GET, "/operator/v1/status") => self.status().await,
            (&Method::GET, "/operator/v1/burn") => self.burn(),
            (&Method::GET, "/operator/v1/description") => self.description(),
            (&Method::GET, "/operator/v1/explain") => {
                match explain(&self.router, &request.query_fields()) {
                    Ok(answer) => json_reply(200, &answer),
                    Err(refusal) => refusal_reply(&refusal),
                }
            }
            (_, path) if path.starts_with(PEER_PREFIX) => self.forwarded(request).await,
            _ => request.unknown_path(),
        }
    }
}

impl PeerApi {
    /// Answers a request that another daemon forwarded.
    async fn forwarded(&self, request: ApiRequest) -> Response {
        let (method, headers) = (request.method.clone(), request.headers.clone());
        let path = request.path_and_query();
        let is_known = path == PEER_COMPLETIONS
            || path.starts_with(PEER_SERVICE)
            || path.starts_with(PEER_TICKETED);
        if !is_known {
            return request.unknown_path();
        }
        let body = match request.read_body(&self.context.shared).await {
            Ok(body) => body,
            Err(refusal) => return refusal_without_attempt(&headers, &refusal),
        };
        if path == PEER_COMPLETIONS {
            return receive_model(self.router.clone(), headers, body).await;
        }
        let raw = RawRequest { method, path, headers, body };
        match raw.path.starts_with(PEER_SERVICE) {
            true => self.service_handler.answer_forwarded(raw).await,
            false => self.service_handler.answer_ticketed(raw).await,
        }
    }

    fn metrics(&self) -> Response {
        let shared = &self.context.shared;
        let mut page = shared.metrics.render();
        let bytes = &shared.control_bytes;
        let lines = [
            ("foldhaven_in_flight", u64::from(shared.in_flight())),
            ("foldhaven_tickets_live", shared.tickets.live() as u64),
            ("foldhaven_control_received_bytes_total", bytes.received()),
            ("foldhaven_control_sent_bytes_total", bytes.sent()),
        ];
        for (name, value) in lines {
            page.push_str(&format!("{name} {value}\n"));
        }
        body_reply(200, "text/plain; version=0.0.4", page)
    }

    async fn status(&self) -> Response {
        let status = match self.context.shared.control.get() {
            Some(control) => control.status().await,
            None => None,
        };
        match status {
            Some(status) => json_reply(200, &status),
            None => body_reply(503, "text/plain", "the control thread does not answer\n"),
        }
    }

    fn burn(&self) -> Response {
        let shared = &self.context.shared;
        let view = match shared.view() {
            Ok(view) => view,
            Err(refusal) => return refusal_reply(&refusal),
        };
        let classes = &view.route.index.description.classes;
        let target = |class: &foldhaven_core::description::ClassConfig| {
            (class.name.to_string(), class.target.0)
        };
        json_reply(
            200,
            &BurnAnswer {
                vm: shared.settings.vm.clone(),
                data_centre: shared.settings.data_centre.clone(),
                rows: shared.burn.lock().rows(shared.now()),
                targets: classes.iter().map(target).collect(),
            },
        )
    }

    /// Returns the whole adopted description as JSON.
    fn description(&self) -> Response {
        match self.context.shared.view() {
            Ok(view) => json_reply(200, &view.route.index.description),
            Err(refusal) => refusal_reply(&refusal),
        }
    }
}
