//! Builds the calls of an origin or a receiver: addresses, headers and bodies.

use bytes::Bytes;
use foldhaven_core::headers;
use foldhaven_core::ids::{AttemptId, DataCentreName, UpstreamName};
use foldhaven_core::membership::VmContact;
use foldhaven_core::planner::RouteOption;
use foldhaven_core::time::MonoTime;
use foldhaven_wire::engine::EngineRequest;
use http::{HeaderMap, Method};

use super::call::UpstreamCall;
use super::paths::PEER_COMPLETIONS;
use super::reply::set_header;
use super::request::{ModelJob, RequestHead};
use crate::shared::SharedState;
use crate::views::PublishedView;

/// Factor from worth per slot second to the priority that an engine receives.
const PRIORITY_SCALE: f64 = 100.0;
const MAX_PRIORITY: f64 = 1e6;

/// Returns the call of a job to an engine of this data centre, or `None` if its address is not
/// known.
pub fn engine_call(
    shared: &SharedState,
    job: &ModelJob,
    view: &PublishedView,
    engine: &UpstreamName,
    option: &RouteOption,
    position: u64,
    attempt: &AttemptId,
) -> Option<UpstreamCall> {
    let address = *view.engines.get(engine)?;
    let mut map = base_headers(&job.head, position, attempt, shared.now());
    let density = job.head.worth / option.slot_time.as_secs_f64().max(1e-3);
    let priority = (density * PRIORITY_SCALE).min(MAX_PRIORITY) as u64;
    set_header(&mut map, headers::PRIORITY, &priority.to_string());
    Some(UpstreamCall {
        address,
        method: Method::POST,
        path: "/v1/completions".to_owned(),
        headers: map,
        body: engine_body(job),
        attempt: attempt.to_string(),
    })
}

/// Returns the call of a job to a VM of another data centre, or `None` if no VM there is known.
pub fn peer_call(
    shared: &SharedState,
    job: &ModelJob,
    view: &PublishedView,
    centre: &DataCentreName,
    position: u64,
    attempt: &AttemptId,
) -> Option<UpstreamCall> {
    let peer = pick_peer(view, centre)?;
    let mut map = base_headers(&job.head, position, attempt, shared.now());
    let stamp = view.route.index.stamp.to_string();
    set_header(&mut map, headers::ACCOUNT, job.head.account.as_str());
    set_header(&mut map, headers::CLASS, job.head.class.as_str());
    set_header(&mut map, headers::WORTH, &job.head.worth.to_string());
    set_header(&mut map, headers::VISITED, shared.settings.data_centre.as_str());
    set_header(&mut map, headers::STAMP, &stamp);
    Some(UpstreamCall {
        address: shared.settings.dial_address(peer.addresses.peer),
        method: Method::POST,
        path: PEER_COMPLETIONS.to_owned(),
        headers: map,
        body: engine_body(job),
        attempt: attempt.to_string(),
    })
}

/// Returns a random VM of another data centre, or `None` if no VM there is known.
pub fn pick_peer<'a>(view: &'a PublishedView, centre: &DataCentreName) -> Option<&'a VmContact> {
    let found = view.route.centres.iter().find(|it| it.summary.data_centre == *centre)?;
    let vms = &found.summary.vms;
    let index = rand::random::<u32>() as usize % vms.len().max(1);
    vms.get(index)
}

/// Returns the headers that are sent with every attempt.
pub fn base_headers(
    head: &RequestHead,
    position: u64,
    attempt: &AttemptId,
    now: MonoTime,
) -> HeaderMap {
    let mut map = HeaderMap::new();
    set_header(&mut map, "content-type", "application/json");
    set_header(&mut map, headers::REQUEST_ID, head.request.as_str());
    set_header(&mut map, headers::ATTEMPT_ID, &attempt.to_string());
    let remaining = head.remaining(now).as_millis().max(1);
    set_header(&mut map, headers::DEADLINE_MS, &remaining.to_string());
    if position > 0 {
        set_header(&mut map, headers::RESUME_FROM, &position.to_string());
    }
    map
}

fn engine_body(job: &ModelJob) -> Bytes {
    let request = EngineRequest {
        model: job.model.to_string(),
        prompt: job.prompt.clone(),
        max_tokens: job.max_tokens,
        stream: true,
    };
    serde_json::to_vec(&request).expect("a typed request is JSON").into()
}
