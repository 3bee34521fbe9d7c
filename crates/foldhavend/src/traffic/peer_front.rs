//! The front towards other daemons and operators.

use bytes::Buf;
use foldhaven_core::refusal::{RefusalAnswer, RefusalReason};
use foldhaven_wire::operator::BurnAnswer;
use futures::Stream;
use http::{HeaderMap, Method};
use tokio::net::TcpListener;
use tokio::sync::watch;
use warp::Filter;
use warp::reply::Response;

use super::TrafficContext;
use super::caller_front::{raw_query, read_query};
use super::explain::explain;
use super::origin::RouteDesk;
use super::receiver::{receive_model, refusal_without_attempt};
use super::reply::{body_reply, json_reply, refusal_reply};
use super::request::read_body;
use super::service::{PEER_SERVICE, PEER_TICKETED, RawRequest, ServiceDesk};

/// Serves peers and operators until `stop` changes, then finishes what is under way.
pub async fn serve_peers(
    listener: TcpListener,
    context: TrafficContext,
    mut stop: watch::Receiver<bool>,
) {
    let front = PeerFront {
        routes: RouteDesk::new(context.clone()),
        services: ServiceDesk { context: context.clone() },
        context,
    };
    let stopped = async move {
        // A sender that is gone means the same as a stop.
        let _ = stop.wait_for(|stop| *stop).await;
    };
    warp::serve(peer_routes(front)).incoming(listener).graceful(stopped).run().await;
}

fn peer_routes(
    front: PeerFront,
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

#[derive(Clone)]
struct PeerFront {
    routes: RouteDesk,
    services: ServiceDesk,
    context: TrafficContext,
}

impl PeerFront {
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
            (&Method::GET, "/metrics") => self.metrics(),
            (&Method::GET, "/operator/v1/status") => self.status().await,
            (&Method::GET, "/operator/v1/burn") => self.burn(),
            (&Method::GET, "/operator/v1/description") => self.description(),
            (&Method::GET, "/operator/v1/explain") => {
                match explain(&self.routes, &read_query(query)) {
                    Ok(answer) => json_reply(200, &answer),
                    Err(refusal) => refusal_reply(&refusal),
                }
            }
            _ => self.forwarded(method, path, query, map, body).await,
        }
    }

    async fn forwarded<S, B>(
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
        let body = match self.read(body).await {
            Ok(body) => body,
            Err(refusal) => return refusal_without_attempt(&headers, &refusal),
        };
        if (&method, path) == (&Method::POST, "/peer/v1/completions") {
            return receive_model(self.routes.clone(), headers, body).await;
        }
        let path = match query {
            "" => path.to_owned(),
            query => format!("{path}?{query}"),
        };
        let raw = RawRequest { method, path, headers, body };
        if raw.path.starts_with(PEER_SERVICE) {
            return self.services.answer_forwarded(raw).await;
        }
        if raw.path.starts_with(PEER_TICKETED) {
            return self.services.answer_ticketed(raw).await;
        }
        let detail = format!("nothing answers {} {}", raw.method, raw.path);
        let reason = RefusalReason::UnknownPath;
        refusal_reply(&RefusalAnswer::not_run("finding the path", reason, detail))
    }

    async fn read<S, B>(&self, body: S) -> Result<bytes::Bytes, RefusalAnswer>
    where
        S: Stream<Item = Result<B, warp::Error>>,
        B: Buf,
    {
        let limits = self.context.shared.view()?.route.index.description.limits.clone();
        read_body(body, limits.body.0, limits.body_pause.0).await
    }

    fn metrics(&self) -> Response {
        let shared = &self.context.shared;
        let mut page = shared.metrics.page();
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

    /// The whole description in force here, as JSON.
    fn description(&self) -> Response {
        match self.context.shared.view() {
            Ok(view) => json_reply(200, &view.route.index.description),
            Err(refusal) => refusal_reply(&refusal),
        }
    }
}
