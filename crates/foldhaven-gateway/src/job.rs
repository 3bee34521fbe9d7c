//! Reads and checks the requests of callers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foldhaven_core::ids::{RegionName, ServiceName, UpstreamName};
use foldhaven_core::opaque::account_demand::AccountTag;
use foldhaven_core::opaque::affinity::{PromptOutline, PromptSegment};
use foldhaven_core::opaque::choice::{DEFAULT_SIZE, OUTPUT_WEIGHT};
use foldhaven_core::opaque::held_memory::HeldKind;
use foldhaven_core::opaque::priority_level::PriorityLevel;
use foldhaven_core::opaque::refusal::Refusal;
use foldhaven_core::opaque::request_class::{CallerWait, RequestClass, RoomNeed};
use foldhaven_core::opaque::request_fingerprint::{FingerprintParts, RequestFingerprint};
use foldhaven_core::opaque::route_history::RouteHistory;
use foldhaven_core::opaque::route_table::{CallerLimits, OpaqueRoute, RouteTable};
use foldhaven_core::opaque::software::SoftwareTag;
use foldhaven_core::opaque::suspects::SuspectKeys;
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};
use hyper::body::Incoming;

use crate::body_reader::{BodyFault, BodyReader, discard};
use crate::clock::{BootInstant, timeout_at};
use crate::credential::JobAccount;
use crate::names::HeaderNames;
use crate::shared::GatewayShared;
use crate::upstream::Upstream;
use crate::view::GatewayView;

/// The time a request is given if its caller names none.
const DEFAULT_REMAINING: Duration = Duration::from_secs(30);
/// Maximum time that a caller may ask for.
const MAX_REMAINING: Duration = Duration::from_secs(600);
/// Maximum number of segments of a prompt that a request is suspected by.
const MAX_SEGMENTS: usize = 64;
/// Minimum remaining time sent to an upstream, in milliseconds. 0 would mean that the deadline has
/// passed.
const MIN_REMAINING_MS: u128 = 1;
/// How long a body waits for memory before its request is refused.
const MEMORY_PATIENCE: Duration = Duration::from_millis(500);

/// A request to run.
#[derive(Clone)]
pub struct GatewayJob {
    /// The id of the caller's attempt. Upstreams repeat it in their answers.
    pub attempt: HeaderValue,
    /// The fingerprint of the request, equal for all copies of the same request.
    pub fingerprint: RequestFingerprint,
    /// The fingerprints of those segments of its prompt that other requests may share.
    pub segments: Arc<[RequestFingerprint]>,
    pub route: Arc<OpaqueRoute>,
    /// The account that sent the request. `None` if the route needs none and no known key was sent.
    pub account: Option<JobAccount>,
    pub service: ServiceName,
    /// The priority level. `None` if the requests of the service do not differ in priority.
    pub level: Option<PriorityLevel>,
    pub method: Method,
    pub target: Uri,
    /// The headers for upstreams, without those that are specific to an attempt.
    pub headers: HeaderMap,
    pub body: Bytes,
    pub started: BootInstant,
    /// How long the caller had waited before this request, estimated from the remaining time it
    /// names.
    pub waited_before: Duration,
    /// The part of `waited_before` that passed before the present try of the caller.
    pub earlier_tries: Duration,
    /// How long the caller had waited when it got the answer or its first event. Further waiting
    /// does not count against the latency target. `None` until then.
    pub time_to_first: Option<Duration>,
    /// Whether the caller has received the beginning of an answer. The request then continues at
    /// any cost, since the answer would otherwise be truncated.
    pub has_partial_answer: bool,
    /// When the caller gives up or the timeout of the route ends, whichever is first.
    pub deadline: BootInstant,
    /// The segments of the prompt. `None` unless the caller names them and the route uses them.
    pub outline: Option<PromptOutline>,
    /// The maximum length of the answer in tokens. 0 if the caller names none.
    pub output_tokens: u32,
    /// The length of the answer in tokens that the caller expects. `None` if it names none.
    pub length_hint: Option<u32>,
    /// The length of the answer in tokens that is expected from its route and the caller's hint.
    pub expected_output: u32,
    /// Whether another VM forwarded the request. It then runs in this region or not at all.
    pub is_forwarded: bool,
    /// Whether the VM that forwarded the request reads the notice of a stalled stream.
    pub origin_reads_stalls: bool,
    /// The upstreams at which other VMs have tried the request before it was forwarded.
    pub tried_upstreams: Vec<UpstreamName>,
    /// Whether the VM that forwarded the request can't send it again.
    pub is_last_attempt: bool,
    /// Whether the VM that forwarded the request reads the events of its answer in frames.
    pub origin_reads_frames: bool,
    /// The software at which the stream goes on. `None` if it has not begun.
    pub software: Option<SoftwareTag>,
}

impl GatewayJob {
    /// Returns the remaining time as a header value for upstreams.
    pub fn remaining_ms(&self) -> HeaderValue {
        let left = self.deadline.saturating_duration_since(BootInstant::now()).as_millis();
        let left = u64::try_from(left.max(MIN_REMAINING_MS)).unwrap_or(u64::MAX);
        HeaderValue::from(left)
    }

    /// Returns how long the caller has waited for a first response. Zero once it has got one.
    pub fn waited(&self) -> Duration {
        match self.time_to_first {
            Some(_) => Duration::ZERO,
            None => self.waited_before + self.started.elapsed(),
        }
    }

    /// Returns how long the caller has waited for a first response.
    pub fn caller_wait(&self) -> CallerWait {
        CallerWait { total: self.waited(), earlier_tries: self.earlier_tries }
    }

    /// Returns how much of the time to its target the request has used. Without a priority level,
    /// it counts from the first try.
    pub fn spent(&self) -> Duration {
        let wait = self.caller_wait();
        if self.level.is_some() { wait.spent() } else { wait.total }
    }

    /// Records that the caller gets the answer or its first event now. Returns how long this VM
    /// took.
    pub fn record_time_to_first(&mut self) -> Duration {
        let took = self.started.elapsed();
        self.time_to_first = Some(self.waited_before + took);
        took
    }

    /// Returns the segments of the prompt that other requests may share.
    pub fn shared_segments(&self) -> &[PromptSegment] {
        self.outline.as_ref().map_or(&[], |outline| &outline.shared)
    }

    /// Returns the number of prompt tokens that belong to this request alone.
    pub fn unshared_tokens(&self) -> u32 {
        self.outline.as_ref().map_or(0, |outline| outline.unshared_tokens)
    }

    /// Returns the time that is left to start the answer before the caller leaves.
    pub fn time_to_start(&self) -> Duration {
        let remaining = self.deadline.saturating_duration_since(BootInstant::now());
        let patience = self.route.caller_patience().unwrap_or(remaining);
        remaining.min(patience.saturating_sub(self.started.elapsed()))
    }

    /// Returns the fingerprints by which the request is suspected of crashing upstreams.
    pub fn suspect_keys(&self) -> SuspectKeys {
        SuspectKeys { request: self.fingerprint, segments: self.segments.clone() }
    }

    /// Returns the work of the request in tokens. Its worth is proportional to this.
    pub fn size(&self) -> u32 {
        let Some(outline) = &self.outline else { return DEFAULT_SIZE };
        let prompt = outline.shared_tokens() + outline.unshared_tokens;
        prompt.saturating_add(self.output_tokens.saturating_mul(OUTPUT_WEIGHT)).max(1)
    }

    /// Returns the tokens that the request will hold in memory when it ends.
    pub fn memory_tokens(&self) -> u32 {
        self.unshared_tokens().saturating_add(self.expected_output)
    }

    /// Sets the expected length of the answer from the earlier ones of its route.
    pub fn expect_length(&mut self, history: &RouteHistory) {
        self.expected_output = history.expected_tokens(self.length_hint, self.output_tokens);
    }

    /// Returns the room that the request needs.
    pub fn need(&self) -> RoomNeed {
        RoomNeed { prefill_tokens: self.unshared_tokens(), memory_tokens: self.memory_tokens() }
    }

    /// Returns what the admission and the order of the request depend on. `None` if the requests of
    /// its service do not differ in priority.
    pub fn class(&self) -> Option<RequestClass> {
        let account = self.account.as_ref().map(|it| AccountTag::of(&it.account.name));
        let by_account = self.account.as_ref().is_some_and(|it| !it.account.homes.is_empty());
        let is_bound = by_account || !self.route.homes.is_empty();
        self.level.map(|level| RequestClass { level, account, need: self.need(), is_bound })
    }

    /// Whether the request may run in a region, by the rules of its route and of its account.
    pub fn permits(&self, region: &RegionName) -> bool {
        let by_account = self.account.as_ref().is_none_or(|account| account.permits(region));
        by_account && self.route.permits(region)
    }

    /// Whether the stream may go on at an upstream. A stream that has not begun may start at any.
    pub fn fits(&self, upstream: &Upstream) -> bool {
        self.software.is_none_or(|software| software == upstream.software)
    }

    /// Returns the declared priority of the account, or else of the route, for logs. 0 goes first.
    pub fn priority(&self) -> u8 {
        let by_account = self.account.as_ref().and_then(|it| it.account.priority);
        by_account.unwrap_or(self.route.priority)
    }

    /// Whether the request is answered as a whole, has no prompt and no priority level.
    pub fn is_plain(&self) -> bool {
        self.level.is_none() && self.outline.is_none() && !self.route.repeat.is_stream()
    }

    /// Returns the priority level for logs, `-` if there is none.
    pub fn level_label(&self) -> String {
        self.level.map_or_else(|| "-".to_owned(), |level| level.to_string())
    }

    /// Returns the name of the account for logs, `-` if there is none.
    pub fn account_label(&self) -> &str {
        self.account.as_ref().map_or("-", |it| it.account.name.as_str())
    }

    /// Returns the attempt that brought the first event of the stream, if the caller resumes it.
    pub fn resumed_attempt(&self, names: &HeaderNames) -> Option<&str> {
        self.headers.get(&names.resumes)?.to_str().ok()
    }

    /// Returns the attempt id for logs.
    pub fn id(&self) -> &str {
        self.attempt.to_str().unwrap_or("unreadable")
    }
}

/// The route, service and account of a request.
pub struct RouteMatch {
    pub route: Arc<OpaqueRoute>,
    pub service: ServiceName,
    pub account: Option<JobAccount>,
}

impl RouteMatch {
    /// Returns the priority level of the request.
    pub fn level(&self, routes: &RouteTable) -> Option<PriorityLevel> {
        let account = self.account.as_ref().and_then(|it| it.account.priority);
        routes.level(&self.service, account, &self.route)
    }
}

/// A request with its complete body.
pub struct ReadRequest {
    pub head: Parts,
    pub body: Bytes,
    pub started: BootInstant,
}

impl ReadRequest {
    /// Creates the job for a request of a caller.
    pub fn into_job(
        self,
        route_match: RouteMatch,
        terms: CallerTerms,
        names: &HeaderNames,
        routes: &RouteTable,
    ) -> GatewayJob {
        let Self { head, body, started } = self;
        let level = route_match.level(routes);
        let RouteMatch { route, service, account } = route_match;
        let output_tokens = read_output_tokens(&head, names);
        GatewayJob {
            attempt: terms.attempt,
            fingerprint: fingerprint_of(&head, &body),
            segments: read_segments(&head, &service, names),
            outline: read_outline(&head, &route, names),
            output_tokens,
            expected_output: output_tokens,
            length_hint: read_length_hint(&head, names),
            route,
            service,
            level,
            method: head.method,
            target: head.uri,
            headers: forwarded_headers(head.headers, account.as_ref(), names),
            account,
            body,
            started,
            waited_before: terms.waited,
            earlier_tries: terms.earlier_tries,
            time_to_first: None,
            has_partial_answer: false,
            deadline: started + terms.remaining,
            is_forwarded: false,
            origin_reads_stalls: false,
            tried_upstreams: Vec::new(),
            is_last_attempt: false,
            origin_reads_frames: false,
            software: None,
        }
    }
}

/// Returns the fingerprint of a request.
fn fingerprint_of(head: &Parts, body: &[u8]) -> RequestFingerprint {
    RequestFingerprint::of(&FingerprintParts {
        host: host_of(head).unwrap_or_default(),
        method: head.method.as_str(),
        target: head.uri.path_and_query().map_or("/", |target| target.as_str()),
        body,
    })
}

/// Returns the host of a request, from its URI or its `Host` header.
pub fn host_of(head: &Parts) -> Option<&str> {
    if let Some(host) = head.uri.host() {
        return Some(host);
    }
    head.headers.get(HOST)?.to_str().ok()
}

/// Checks the head of a request before its body is read.
pub fn check_head(head: &Parts, limits: &CallerLimits) -> Result<(), Refusal> {
    let size: usize =
        head.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    if size > limits.header_bytes {
        return Err(Refusal::HeadTooLarge);
    }
    if head.headers.get_all(HOST).iter().count() > 1 {
        return Err(Refusal::Malformed);
    }
    let length = head.headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    match length.and_then(|text| text.parse::<usize>().ok()) {
        Some(length) if length > limits.body_bytes => Err(Refusal::BodyTooLarge),
        _ => Ok(()),
    }
}

/// Reads the complete body, if it arrives while the caller waits.
pub async fn read_body(
    shared: &GatewayShared,
    head: &Parts,
    body: &mut Incoming,
    view: &GatewayView,
) -> Result<Bytes, Refusal> {
    let reader = BodyReader {
        memory: &shared.held_memory,
        kind: HeldKind::Body,
        max_bytes: view.routes.description().limits.body_bytes,
        patience: MEMORY_PATIENCE,
    };
    let deadline = BootInstant::now() + arrival_limit(head, view, &shared.names);
    let read = timeout_at(deadline, reader.read(body)).await;
    read.map_err(|_| Refusal::NotReached)?.map_err(|fault| match fault {
        BodyFault::TooLong => Refusal::BodyTooLarge,
        BodyFault::NoMemory => Refusal::NoMemory,
        BodyFault::Broken(_) => Refusal::Malformed,
    })
}

/// Reads and drops what is left of the body of a refused request, so that the caller gets the
/// refusal and may keep the connection.
pub fn discard_refused(shared: &GatewayShared, body: Incoming) {
    let limits = shared.view().map(|view| view.routes.description().limits);
    discard(body, limits.map_or(0, |limits| limits.body_bytes));
}

/// Returns how long the body of a request may take to arrive.
fn arrival_limit(head: &Parts, view: &GatewayView, names: &HeaderNames) -> Duration {
    let remaining = read_terms(head, names).map_or(DEFAULT_REMAINING, |terms| terms.remaining);
    let route = host_of(head).and_then(|host| view.routes.find(host, head.uri.path()));
    route.map_or(remaining, |route| remaining.min(route.timeout))
}

/// The attempt id of a request and the waiting time of its caller.
pub struct CallerTerms {
    pub attempt: HeaderValue,
    pub remaining: Duration,
    /// How long the caller has waited already.
    pub waited: Duration,
    /// The part of that time which passed before the present try.
    pub earlier_tries: Duration,
}

/// Reads the attempt id and the remaining time of a request. Leaves the times that the caller
/// has waited at zero, for the caller of this function to set.
pub fn read_terms(head: &Parts, names: &HeaderNames) -> Result<CallerTerms, Refusal> {
    let attempt = head.headers.get(&names.attempt).ok_or(Refusal::Malformed)?.clone();
    let remaining = match head.headers.get(&names.remaining_ms) {
        None => DEFAULT_REMAINING,
        Some(value) => {
            let millis = value.to_str().ok().and_then(|text| text.trim().parse().ok());
            Duration::from_millis(millis.ok_or(Refusal::Malformed)?)
        }
    };
    Ok(CallerTerms {
        attempt,
        remaining: remaining.min(MAX_REMAINING),
        waited: Duration::ZERO,
        earlier_tries: Duration::ZERO,
    })
}

/// Reads the outline of the prompt, if the route sends requests with a shared prompt to the same
/// upstream.
fn read_outline(head: &Parts, route: &OpaqueRoute, names: &HeaderNames) -> Option<PromptOutline> {
    if !route.affinity {
        return None;
    }
    PromptOutline::parse(head.headers.get(&names.prompt_outline)?.to_str().ok()?)
}

/// Returns the fingerprints of the segments of the prompt that other requests may share, on any
/// route.
fn read_segments(
    head: &Parts,
    service: &ServiceName,
    names: &HeaderNames,
) -> Arc<[RequestFingerprint]> {
    let outline = head.headers.get(&names.prompt_outline).and_then(|value| value.to_str().ok());
    let ids = outline.into_iter().flat_map(PromptOutline::shared_ids).take(MAX_SEGMENTS);
    let mut segments: Vec<RequestFingerprint> =
        ids.map(|id| RequestFingerprint::of_segment(service, id)).collect();
    segments.sort_unstable();
    segments.dedup();
    segments.into()
}

/// Reads the sum of the prompt tokens and the maximum answer tokens that a caller names. `None` if
/// it names none.
pub fn read_total_tokens(head: &Parts, names: &HeaderNames) -> Option<u64> {
    let named = head.headers.get(&names.token_counts)?.to_str().ok()?;
    let (prompt, output) = named.split_once(',')?;
    let prompt: u32 = prompt.trim().parse().ok()?;
    let output: u32 = output.trim().parse().ok()?;
    Some(u64::from(prompt) + u64::from(output))
}

/// Reads the maximum answer tokens from the header that names the prompt tokens and the maximum
/// answer tokens. Only the choice of a destination depends on it. 0 if the caller names none.
fn read_output_tokens(head: &Parts, names: &HeaderNames) -> u32 {
    let named = head.headers.get(&names.token_counts).and_then(|value| value.to_str().ok());
    let output = named.and_then(|text| text.split_once(',')).map(|(_, output)| output.trim());
    output.and_then(|output| output.parse().ok()).unwrap_or_default()
}

/// Reads the length of the answer in tokens that the caller expects. `None` if it names none, or no
/// whole number.
fn read_length_hint(head: &Parts, names: &HeaderNames) -> Option<u32> {
    head.headers.get(&names.length_hint)?.to_str().ok()?.trim().parse().ok()
}

/// Reads the tag of the software at which a stream goes on, or began.
pub fn read_software(value: &HeaderValue) -> Option<SoftwareTag> {
    value.to_str().ok()?.parse().ok()
}

/// Returns the headers to pass to an upstream: all except connection headers and reserved ones.
fn forwarded_headers(
    mut headers: HeaderMap,
    account: Option<&JobAccount>,
    names: &HeaderNames,
) -> HeaderMap {
    remove_connection_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
    headers.remove(&names.remaining_ms);
    headers.remove(&names.expected_upstream);
    for name in &names.reserved {
        headers.remove(name);
    }
    headers.remove(&names.account);
    if let Some(account) = account {
        let name = HeaderValue::from_str(account.account.name.as_str());
        headers.insert(&names.account, name.expect("names are plain text"));
    }
    headers
}

/// Removes the headers that apply to one connection only.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    const CONNECTION_HEADERS: [HeaderName; 7] = [
        CONNECTION,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ];
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
