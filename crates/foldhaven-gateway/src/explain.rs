//! Explains to operators where an opaque request would be sent, with the same costs as for a real
//! request.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foldhaven_core::opaque::affinity::PromptOutline;
use foldhaven_core::opaque::refusal::Refusal;
use foldhaven_core::opaque::request_fingerprint::{FingerprintParts, RequestFingerprint};
use foldhaven_wire::operator::{DestinationPrice, RouteExplanation};
use http::{HeaderMap, HeaderValue, Method, Uri};

use crate::clock::BootInstant;
use crate::destinations::{REGION_MARGIN, price_destinations};
use crate::job::GatewayJob;
use crate::shared::GatewayShared;

/// Body size if the query names none, in bytes.
const DEFAULT_BODY_BYTES: usize = 1_000;

/// The request to explain.
struct ExplainQuery<'a> {
    host: &'a str,
    path: &'a str,
    /// The segments of the prompt, in the format of the prompt outline header.
    prompt: Option<&'a str>,
    output_tokens: u32,
    body_bytes: usize,
}

impl<'a> ExplainQuery<'a> {
    /// Parses the query. Values are not unescaped, since hosts, paths and outlines need no escapes.
    fn read(query: &'a str) -> Option<Self> {
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let number = |name: &str| field(name).map(str::parse::<u32>).transpose().ok();
        Some(Self {
            host: field("host")?,
            path: field("path")?,
            prompt: field("prompt"),
            output_tokens: number("output_tokens")?.unwrap_or_default(),
            body_bytes: number("body_bytes")?.map_or(DEFAULT_BODY_BYTES, |bytes| bytes as usize),
        })
    }
}

/// Explains the request described by a query.
///
/// # Errors
///
/// If the query cannot be parsed, no description is in force, or no route is found.
pub fn explain(shared: &GatewayShared, query: &str) -> Result<RouteExplanation, Refusal> {
    let query = ExplainQuery::read(query).ok_or(Refusal::Malformed)?;
    let view = shared.view().ok_or(Refusal::NoDescription)?;
    let route = view.routes.find(query.host, query.path).ok_or(Refusal::NoRoute)?.clone();
    let service = route.pick_service(0.0).ok_or(Refusal::NoRoute)?.clone();
    let job = GatewayJob {
        attempt: HeaderValue::from_static("explain"),
        fingerprint: RequestFingerprint::of(&FingerprintParts {
            host: query.host,
            method: "GET",
            target: query.path,
            body: &[],
        }),
        segments: Arc::new([]),
        outline: query.prompt.filter(|_| route.affinity).and_then(PromptOutline::parse),
        output_tokens: query.output_tokens,
        length_hint: None,
        expected_output: shared
            .route_history(&route.name)
            .expected_tokens(None, query.output_tokens),
        level: view.routes.level(&service, None, &route),
        service,
        method: Method::GET,
        target: query.path.parse::<Uri>().map_err(|_| Refusal::Malformed)?,
        headers: HeaderMap::new(),
        body: Bytes::from(vec![0; query.body_bytes]),
        started: BootInstant::now(),
        waited_before: Duration::ZERO,
        earlier_tries: Duration::ZERO,
        time_to_first: None,
        has_partial_answer: false,
        deadline: BootInstant::now() + route.timeout,
        is_forwarded: false,
        origin_reads_stalls: false,
        tried_upstreams: Vec::new(),
        is_last_attempt: false,
        origin_reads_frames: false,
        software: None,
        account: None,
        route,
    };
    let mut destinations: Vec<DestinationPrice> = price_destinations(shared, &view, &job);
    destinations
        .sort_by(|left, right| left.breakdown.total().0.total_cmp(&right.breakdown.total().0));
    Ok(RouteExplanation {
        vm: shared.settings.vm.clone(),
        data_centre: shared.settings.data_centre.clone(),
        version: view.routes.version().0,
        route: job.route.name.to_string(),
        service: job.service.to_string(),
        level: job.level,
        waiting: shared.waiting_rooms.room(&job.service).lock().len(),
        returning: shared.returning_callers.expected(&job.service, shared.now()),
        homes: job.route.homes.iter().map(ToString::to_string).collect(),
        destinations,
        region_margin: REGION_MARGIN.0,
    })
}
