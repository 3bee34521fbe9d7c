//! Serves requests that other VMs forward, and sends them the platform state.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use foldhaven_core::headers;
use foldhaven_core::ids::ServiceName;
use foldhaven_core::opaque::refusal::Refusal;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use hyper::body::Incoming;

use crate::answer::{Answer, body_answer, refuse};
use crate::caller_front::{check_exit, record_peer_fault, run_job};
use crate::clock::BootInstant;
use crate::credential::{find_account, take_forwarded_key};
use crate::front::FrontHandler;
use crate::job::{
    CallerTerms, GatewayJob, ReadRequest, RouteMatch, discard_refused, host_of, read_body,
    read_software, read_terms,
};
use crate::peer_listener::read_upstreams;
use crate::peer_state::{PEER_STATE_PATH, PEER_STATE_REVISION_PREFIX};
use crate::platform_state::{AnswerCache, StateFormat, StateRequest};
use crate::shared::GatewayShared;
use crate::watched_stream::PeerFault;

/// Handles requests of other VMs.
pub struct PeerHandler {
    shared: Arc<GatewayShared>,
    answer_cache: AnswerCache,
}

#[async_trait]
impl FrontHandler for PeerHandler {
    async fn handle(&self, request: Request<Incoming>) -> Answer {
        if request.uri().path() == PEER_STATE_PATH {
            let format = StateFormat {
                accepts_spanning: request.headers().contains_key(headers::SPANS),
                accepts_software: request.headers().contains_key(headers::READS_SOFTWARE),
            };
            return self.state(request.uri().query(), format);
        }
        let attempt = request.headers().get(&self.shared.names.attempt).cloned();
        let (head, mut body) = request.into_parts();
        let answer = match read_forwarded(&self.shared, head, &mut body).await {
            Ok(job) => run_job(self.shared.clone(), job).await,
            Err(refusal) => {
                self.shared.metrics.count_event(refusal.label());
                discard_refused(&self.shared, body);
                refuse(refusal)
            }
        };
        mark_refusal(answer, attempt)
    }

    fn attempt_of<'a>(&self, headers: &'a HeaderMap) -> Option<&'a HeaderValue> {
        headers.get(&self.shared.names.attempt)
    }

    fn record_fault(&self, fault: &PeerFault) {
        record_peer_fault(&self.shared, fault);
    }
}

impl PeerHandler {
    pub fn new(shared: Arc<GatewayShared>) -> Self {
        Self { shared, answer_cache: AnswerCache::default() }
    }

    /// Returns the platform state, or its changes after the revision that the query names.
    fn state(&self, query: Option<&str>, format: StateFormat) -> Answer {
        let Some(view) = self.shared.view() else { return refuse(Refusal::NoDescription) };
        let known_revision = query.and_then(|query| query.strip_prefix(PEER_STATE_REVISION_PREFIX));
        let known_revision = known_revision.and_then(|known_revision| known_revision.parse().ok());
        match self.answer_cache.answer(&view.offer, StateRequest { known_revision, format }) {
            Ok(body) => {
                let (revision, bytes) = (view.offer.revision, body.len());
                self.shared.metrics.count_event("state_told");
                self.shared.metrics.add_events("state_told_bytes", bytes as u64);
                tracing::info!(query, revision, bytes, "platform state sent to a peer");
                let mut answer = body_answer(StatusCode::OK, "application/octet-stream", body);
                answer.headers_mut().insert(headers::REVISION, HeaderValue::from(revision));
                answer
            }
            Err(error) => {
                tracing::error!(error = %error, "serializing the platform state for a peer failed");
                refuse(Refusal::NoDescription)
            }
        }
    }
}

/// Adds the attempt id to a refusal with status 503, so that the origin VM knows that the attempt
/// did not run here.
fn mark_refusal(mut answer: Answer, attempt: Option<HeaderValue>) -> Answer {
    let is_refusal = answer.status() == StatusCode::SERVICE_UNAVAILABLE;
    if let Some(attempt) = attempt.filter(|_| is_refusal) {
        answer.headers_mut().insert(headers::REFUSED_ATTEMPT, attempt);
    }
    answer
}

/// Reads a forwarded request. It must name the data centre that it comes from and the service that
/// the origin VM chose.
async fn read_forwarded(
    shared: &GatewayShared,
    mut head: Parts,
    body: &mut Incoming,
) -> Result<GatewayJob, Refusal> {
    let started = BootInstant::now();
    let view = shared.view().ok_or(Refusal::NoDescription)?;
    if shared.is_too_far_behind() || !shared.is_awake() {
        return Err(Refusal::Outdated);
    }
    head.headers.remove(headers::VISITED).ok_or(Refusal::NotPermitted)?;
    let service = head.headers.remove(headers::SERVICE).ok_or(Refusal::NotPermitted)?;
    let service: ServiceName =
        service.to_str().ok().and_then(|name| name.parse().ok()).ok_or(Refusal::NotPermitted)?;
    let body = read_body(shared, &head, body, &view).await?;
    let host = host_of(&head).ok_or(Refusal::NotPermitted)?;
    let route = view.routes.find(host, head.uri.path()).ok_or(Refusal::NotPermitted)?.clone();
    if !route.services.iter().any(|it| it.service == service) {
        // The two VMs have different descriptions. The origin VM may choose another destination.
        return Err(Refusal::NotPermitted);
    }
    let origin_reads_stalls = head.headers.remove(headers::READS_STALLS).is_some();
    let origin_reads_frames = head.headers.remove(headers::EVENT_FRAMES).is_some();
    let tried_upstreams = read_upstreams(&head.headers).collect();
    head.headers.remove(headers::UPSTREAM);
    let is_last_attempt = head.headers.remove(headers::LAST_ATTEMPT).is_some();
    let has_partial_answer = head.headers.remove(headers::BEGUN).is_some();
    let software = match head.headers.remove(headers::SOFTWARE) {
        None => None,
        Some(value) => Some(read_software(&value).ok_or(Refusal::NotPermitted)?),
    };
    let waited = head.headers.remove(headers::WAITED_MS);
    let waited = waited.and_then(|value| value.to_str().ok()?.parse().ok());
    let waited = Duration::from_millis(waited.ok_or(Refusal::NotPermitted)?);
    let earlier_tries = head.headers.remove(headers::EARLIER_TRIES_MS);
    let earlier_tries = earlier_tries.and_then(|value| value.to_str().ok()?.parse().ok());
    let earlier_tries = Duration::from_millis(earlier_tries.unwrap_or_default());
    let terms = CallerTerms { waited, earlier_tries, ..read_terms(&head, &shared.names)? };
    check_exit(shared, &view, &route, &terms)?;
    let credential = take_forwarded_key(&mut head.headers);
    // The description of this VM may already lack the key, or not have it yet.
    let account = find_account(&view.routes, &route, credential);
    let account = account.map_err(|_| Refusal::NotPermitted)?;
    let request = ReadRequest { head, body, started };
    let route_match = RouteMatch { route, service, account };
    let mut job = request.into_job(route_match, terms, &shared.names, &view.routes);
    job.expect_length(&shared.route_history(&job.route.name));
    if !job.permits(shared.settings.region()) {
        return Err(Refusal::NotPermitted);
    }
    Ok(GatewayJob {
        is_forwarded: true,
        origin_reads_stalls,
        origin_reads_frames,
        tried_upstreams,
        is_last_attempt,
        has_partial_answer,
        software,
        ..job
    })
}
