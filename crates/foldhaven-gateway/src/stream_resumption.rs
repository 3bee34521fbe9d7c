//! Finds the software at which a stream that its caller resumes goes on.

use std::time::Duration;

use foldhaven_core::ids::ServiceName;
use foldhaven_core::opaque::peer_table::ServiceTag;
use foldhaven_core::opaque::refusal::Refusal;
use foldhaven_core::opaque::route_table::{OpaqueRoute, RepeatKind};
use foldhaven_core::opaque::software::SoftwareTag;
use foldhaven_core::opaque::stream_origins::{AttemptTag, StreamOrigin};
use http::{HeaderMap, HeaderValue};
use tokio::time::sleep;

use crate::clock::{BootInstant, timeout};
use crate::origin_tracker::LookupLimits;
use crate::shared::GatewayShared;
use crate::view::GatewayView;

/// Maximum time to wait for VMs that may know where a stream began: a round trip between regions,
/// with some margin.
const LOOKUP_LIMIT: Duration = Duration::from_millis(250);
/// Time after which the answers of most VMs are enough if only one software version has served for
/// long: a round trip within a region, with some margin. Another VM may know of a second version
/// before this one.
const CONFIRMATION_LIMIT: Duration = Duration::from_millis(40);

/// A stream that its caller resumes.
pub struct ResumedStream {
    /// The service that began it. `None` if it is the only one of the route.
    pub service: Option<ServiceName>,
    /// The software at which it goes on.
    pub software: SoftwareTag,
}

/// Returns the origin of the stream that a request resumes. `None` if it starts a new one.
///
/// # Errors
///
/// [`Refusal::UnknownOrigin`] if it is not known where the stream began, or the route no longer uses
/// the service that began it.
pub async fn find_resumed_stream(
    shared: &GatewayShared,
    view: &GatewayView,
    route: &OpaqueRoute,
    headers: &HeaderMap,
) -> Result<Option<ResumedStream>, Refusal> {
    let names = &shared.names;
    let resumes = headers.get(&names.resumes);
    let is_resumed = resumes.is_some() || headers.contains_key(&names.last_event);
    if route.repeat != RepeatKind::ResumableStream || !is_resumed {
        return Ok(None);
    }
    let started = BootInstant::now();
    let sole = sole_software(shared, view, route);
    let attempt = match resumes {
        Some(attempt) => AttemptTag::of(attempt.as_bytes()),
        // Nobody knows it, but the VMs that are asked tell which versions they know.
        None => AttemptTag(rand::random()),
    };
    let (stream, known_by) = find_origin(shared, route, attempt, sole).await;
    let resumption = LoggedResumption { stream: stream.as_ref(), known_by, started };
    resumption.log(shared, view, route, headers);
    stream.map(Some).ok_or(Refusal::UnknownOrigin)
}

/// Returns the only software that streams of a route may have begun at. `None` if this VM may lack
/// news of another one, with which a VM that it does not hear has begun streams.
fn sole_software(
    shared: &GatewayShared,
    view: &GatewayView,
    route: &OpaqueRoute,
) -> Option<SoftwareTag> {
    if shared.is_possibly_outdated() {
        return None;
    }
    // Two services with equal versions need not have the same software.
    let [only] = route.services.as_slice() else { return None };
    view.software.sole_software(&only.service, shared.now())
}

fn of_any_service(software: SoftwareTag) -> ResumedStream {
    ResumedStream { service: None, software }
}

/// Returns where the stream of an attempt began, and by what it is known.
async fn find_origin(
    shared: &GatewayShared,
    route: &OpaqueRoute,
    attempt: AttemptTag,
    sole: Option<SoftwareTag>,
) -> (Option<ResumedStream>, &'static str) {
    let (origin, known_by) = match shared.origins.find(attempt, shared.now()) {
        Some(origin) => (Some(origin), "own"),
        None => match look_up(shared, attempt, sole.is_some()).await {
            Lookup::Found(origin) => (Some(origin), "told"),
            Lookup::NobodyKnows => (None, "sole"),
            Lookup::Unanswered => return (None, "nobody"),
        },
    };
    let Some(origin) = origin else {
        // The VMs that were asked may have told of another version, or for how long there was none.
        let view = shared.view();
        let sole = view.and_then(|view| sole_software(shared, &view, route));
        return (sole.map(of_any_service), "sole");
    };
    let services = route.services.iter().map(|weighted| &weighted.service);
    let service = services.into_iter().find(|it| ServiceTag::of(it) == origin.service);
    let stream = service
        .cloned()
        .map(|service| ResumedStream { service: Some(service), software: origin.software });
    (stream, known_by)
}

/// The result of looking for the origin of a stream elsewhere.
enum Lookup {
    Found(StreamOrigin),
    /// What this VM knows of versions holds for all that began before the look-up.
    NobodyKnows,
    /// Nobody has answered, which shows nothing: another version may have come unnoticed.
    Unanswered,
}

/// Asks other VMs for an origin. If too few of them answer, the platform is called, which shows
/// whether another version has come since it was last read.
async fn look_up(shared: &GatewayShared, attempt: AttemptTag, has_sole: bool) -> Lookup {
    let started = BootInstant::now();
    let settled_after = if has_sole { CONFIRMATION_LIMIT } else { LOOKUP_LIMIT };
    let limits = LookupLimits { settled_after, given_up_after: LOOKUP_LIMIT };
    let asking = async {
        let result = shared.origins.look_up(attempt, &shared.clock, limits).await;
        match result.origin {
            Some(origin) => Lookup::Found(origin),
            None if result.has_quorum => Lookup::NobodyKnows,
            None if !has_sole => Lookup::Unanswered,
            None => std::future::pending().await,
        }
    };
    let calling = async {
        if !has_sole {
            std::future::pending::<()>().await;
        }
        sleep(CONFIRMATION_LIMIT).await;
        shared.await_state_of(started).await;
        Lookup::NobodyKnows
    };
    let both = async {
        tokio::select! {
            biased;
            found = asking => found,
            found = calling => found,
        }
    };
    timeout(LOOKUP_LIMIT, both).await.unwrap_or(Lookup::Unanswered)
}

/// How it was decided where a stream goes on, for the log.
struct LoggedResumption<'a> {
    /// `None` if it is not known where the stream began.
    stream: Option<&'a ResumedStream>,
    known_by: &'static str,
    started: BootInstant,
}

impl LoggedResumption<'_> {
    fn log(
        &self,
        shared: &GatewayShared,
        view: &GatewayView,
        route: &OpaqueRoute,
        headers: &HeaderMap,
    ) {
        let known_by = if self.stream.is_some() { self.known_by } else { "nobody" };
        shared.metrics.count_event("stream_resumed_by_caller");
        if self.stream.is_none() {
            shared.metrics.count_event("stream_origin_unknown");
        }
        if !shared.quota.take(false) {
            return;
        }
        let text = |name| headers.get(name).and_then(|it: &HeaderValue| it.to_str().ok());
        let versions = route.services.iter().map(|weighted| {
            let service = &weighted.service;
            format!("{service}: {}", view.software.describe(service, shared.now()))
        });
        tracing::info!(
            request = text(&shared.names.attempt).unwrap_or("unreadable"),
            resumes = text(&shared.names.resumes).unwrap_or("-"),
            after = text(&shared.names.last_event).unwrap_or("-"),
            software = self.stream.map(|it| it.software.to_string()).as_deref().unwrap_or("-"),
            known_by,
            versions = versions.collect::<Vec<String>>().join("; "),
            known_ms = view.software.known_span(shared.now()).as_millis() as u64,
            uptime_ms = shared.uptime().as_millis() as u64,
            news_ms = shared.staleness().as_millis() as u64,
            waited_ms = self.started.elapsed().as_millis() as u64,
            "a caller resumes a stream"
        );
    }
}
