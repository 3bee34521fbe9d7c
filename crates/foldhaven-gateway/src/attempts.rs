//! Tries a request at one place after another, as far as its kind, its time and the retry budget
//! permit. Only the VM that took the request from its caller tries again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foldhaven_core::headers;
use foldhaven_core::ids::DataCentreName;
use foldhaven_core::opaque::affinity::PromptPlacement;
use http::header::CONTENT_TYPE;
use http::request::Builder;
use http::response::Parts;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::Full;
use tokio::time::timeout;

use crate::answer::Refusal;
use crate::call::{CallFault, CallTarget, OpenAnswer, open_call, read_whole};
use crate::connection::{FAR_CONNECT_LIMIT, NEAR_CONNECT_LIMIT};
use crate::job::GatewayJob;
use crate::metrics::RequestEnd;
use crate::places::{PlaceChoice, RequestPlace, TOLD_TOKENS, TriedPlaces, choose_place};
use crate::shared::GatewayShared;
use crate::upstream::{LoadSeat, Upstream};

/// How many places are tried at most, those included that could not be reached.
const MAX_TRIES: usize = 4;

/// After this time without an answer it is looked whether anything is heard of an upstream. Answers
/// of a model that reads a long prompt take some hundred milliseconds.
const LEAST_PATIENCE: Duration = Duration::from_millis(600);
/// The same as a multiple of the expected time.
const PATIENCE: u32 = 2;

/// An answer that is being read, with the place that gives it.
pub struct PlacedAnswer {
    pub answer: OpenAnswer,
    pub place: RequestPlace,
    /// Counts the request at its place until the answer ends.
    pub seat: LoadSeat,
    /// What was expected of the place when the request was sent.
    pub expected: Duration,
    /// When the request was sent.
    pub sent: Instant,
}

impl PlacedAnswer {
    fn is_event_stream(&self) -> bool {
        let head = &self.answer.head;
        let content_type = head.headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
        let is_events = content_type.is_some_and(|value| value.starts_with(EVENT_STREAM));
        head.status == StatusCode::OK && is_events
    }
}

const EVENT_STREAM: &[u8] = b"text/event-stream";

/// A whole answer of an upstream.
pub struct WholeAnswer {
    pub head: Parts,
    pub body: Bytes,
}

/// How a stream began.
pub enum StreamStart {
    /// With events.
    Events(PlacedAnswer),
    /// With a whole answer, which tells of a failure or of a bad request.
    Whole(WholeAnswer),
}

/// Drives one request.
pub struct RequestDriver {
    pub shared: Arc<GatewayShared>,
    pub job: GatewayJob,
    tried: TriedPlaces,
    /// How many tries may have reached an upstream or another VM.
    pub arrivals: u32,
    /// Whether any of it may have run.
    pub may_have_run: bool,
    /// The last fault, for the log.
    pub last_fault: Option<String>,
    /// The place of the last try, for the log.
    pub last_place: Option<String>,
}

impl RequestDriver {
    pub fn new(shared: Arc<GatewayShared>, job: GatewayJob) -> Self {
        Self {
            shared,
            job,
            tried: TriedPlaces::default(),
            arrivals: 0,
            may_have_run: false,
            last_fault: None,
            last_place: None,
        }
    }

    /// Runs the request until an upstream has given a whole answer.
    pub async fn run_whole(&mut self) -> Result<WholeAnswer, Refusal> {
        let mut failed: Option<WholeAnswer> = None;
        loop {
            let placed = match self.open(None).await {
                Ok(placed) => placed,
                // An answer that tells of a failure is better than none.
                Err(refusal) => return failed.ok_or(refusal),
            };
            let PlacedAnswer { answer, place, seat, expected, sent } = placed;
            let read = read_whole(answer, place.pool(), self.job.deadline).await;
            drop(seat);
            match read {
                Ok((head, body)) => {
                    let is_failure = head.status.is_server_error();
                    let whole = WholeAnswer { head, body };
                    self.may_have_run = true;
                    if !is_failure {
                        self.note_first(&place, expected, sent);
                        self.note_success(&place, sent);
                        return Ok(whole);
                    }
                    self.note_failed_answer(&place, whole.head.status);
                    if !self.job.route.repeat.is_repeatable() || !self.may_send_again() {
                        return Ok(whole);
                    }
                    failed = Some(whole);
                }
                Err(fault) => {
                    self.note_fault(&place, &fault);
                    if let Some(refusal) = self.end_of_tries(&fault) {
                        return failed.ok_or(refusal);
                    }
                }
            }
        }
    }

    /// Runs the request until an upstream has begun a stream of events, or has answered otherwise.
    pub async fn run_stream(&mut self) -> Result<StreamStart, Refusal> {
        let mut failed: Option<WholeAnswer> = None;
        loop {
            let placed = match self.open(None).await {
                Ok(placed) if placed.is_event_stream() => return Ok(StreamStart::Events(placed)),
                Ok(placed) => placed,
                // An answer that tells of a failure is better than none.
                Err(refusal) => return failed.map(StreamStart::Whole).ok_or(refusal),
            };
            let PlacedAnswer { answer, place, .. } = placed;
            let (head, body) = match read_whole(answer, place.pool(), self.job.deadline).await {
                Ok(whole) => whole,
                Err(fault) => {
                    self.note_fault(&place, &fault);
                    match self.end_of_tries(&fault) {
                        Some(refusal) => return Err(refusal),
                        None => continue,
                    }
                }
            };
            self.may_have_run = true;
            let is_failure = head.status.is_server_error();
            if is_failure {
                self.note_failed_answer(&place, head.status);
            }
            let whole = WholeAnswer { head, body };
            let is_final = !is_failure || !self.job.route.repeat.is_repeatable();
            if is_final || !self.may_send_again() {
                return Ok(StreamStart::Whole(whole));
            }
            failed = Some(whole);
        }
    }

    /// Opens an answer at some place. With `resume_after` it goes on after that event.
    pub async fn open(&mut self, resume_after: Option<&str>) -> Result<PlacedAnswer, Refusal> {
        loop {
            if Instant::now() >= self.job.deadline {
                return Err(self.out_of_time());
            }
            let Some(view) = self.shared.view() else { return Err(Refusal::NoDescription) };
            let chosen = match choose_place(&self.shared, &view, &self.job, &self.tried) {
                Ok(chosen) => chosen,
                Err(refusal) => return Err(self.after_tries(refusal)),
            };
            let place = chosen.place.clone();
            self.tried.note(&place);
            self.last_place = Some(place.name().to_owned());
            match self.call(chosen, resume_after).await {
                Ok(placed) => return Ok(placed),
                Err(fault) => {
                    self.note_fault(&place, &fault);
                    if let Some(refusal) = self.end_of_tries(&fault) {
                        return Err(refusal);
                    }
                }
            }
        }
    }

    async fn call(
        &mut self,
        chosen: PlaceChoice,
        resume_after: Option<&str>,
    ) -> Result<PlacedAnswer, CallFault> {
        let PlaceChoice { place, first, read_tokens, fetch_from } = chosen;
        let mut request = self.make_request(&place, resume_after);
        if let Some(holder) = fetch_from {
            let name = self.shared.names.fetch_from.clone();
            request.headers_mut().insert(name, text_value(&holder.to_string()));
        }
        let seat = place.enter(read_tokens);
        let (address, connect_limit) = match &place {
            RequestPlace::Upstream(upstream) => (upstream.identity.address, NEAR_CONNECT_LIMIT),
            RequestPlace::Peer(peer) => (peer.address, FAR_CONNECT_LIMIT),
        };
        self.note_placement(&place);
        let target = CallTarget { address, pool: place.pool(), connect_limit };
        self.arrivals += 1;
        let sent = Instant::now();
        let opening = open_call(&target, request, &self.shared.names, self.job.deadline);
        let opened = match &place {
            RequestPlace::Upstream(upstream) => self.watch(upstream, first, opening).await,
            RequestPlace::Peer(_) => opening.await,
        };
        if matches!(opened, Err(CallFault::NotSent(_))) {
            self.arrivals -= 1;
        }
        let answer = opened?;
        Ok(PlacedAnswer { answer, place, seat, expected: first, sent })
    }

    /// Waits for the head of an answer, and doubts an upstream of which nothing at all is heard: one
    /// that lost its power or was cut off says nothing. A long queue is no reason for doubt, as the
    /// answers to earlier requests go on.
    async fn watch(
        &self,
        upstream: &Upstream,
        expected: Duration,
        opening: impl Future<Output = Result<OpenAnswer, CallFault>>,
    ) -> Result<OpenAnswer, CallFault> {
        let shared = &self.shared;
        let sent = shared.now();
        let mut opening = std::pin::pin!(opening);
        let patience = LEAST_PATIENCE.max(expected * PATIENCE);
        if let Ok(opened) = timeout(patience, opening.as_mut()).await {
            upstream.note_heard(shared.now());
            return opened;
        }
        if upstream.is_silent_since(sent) {
            upstream.health.lock().fail(true, shared.now());
            upstream.pool.clear();
            shared.metrics.count_event("upstream_silent");
            if self.job.route.repeat.is_repeatable() {
                return Err(CallFault::Silent);
            }
        }
        let opened = opening.await;
        upstream.note_heard(shared.now());
        opened
    }

    /// Remembers, and tells others, where the parts of a prompt will be held.
    fn note_placement(&self, place: &RequestPlace) {
        let (RequestPlace::Upstream(upstream), Some(outline)) = (place, &self.job.outline) else {
            return;
        };
        let placement = PromptPlacement {
            upstream: upstream.tag,
            shared: outline.shared.clone(),
            own_tokens: outline.own_tokens,
        };
        self.shared.hints.lock().note(&placement);
        if outline.shared_tokens() >= TOLD_TOKENS {
            self.shared.placements.lock().push(placement);
        }
    }

    fn make_request(
        &self,
        place: &RequestPlace,
        resume_after: Option<&str>,
    ) -> Request<Full<Bytes>> {
        let job = &self.job;
        let names = &self.shared.names;
        let mut request: Builder = Request::builder().method(&job.method).uri(&job.target);
        let map = request.headers_mut().expect("the parts were read from a request");
        *map = job.headers.clone();
        map.insert(&names.remaining_ms, job.remaining_ms());
        if let Some(event) = resume_after.and_then(|event| HeaderValue::from_str(event).ok()) {
            map.insert(&names.last_event, event);
        }
        match place {
            RequestPlace::Upstream(upstream) => {
                map.insert(&names.expected_upstream, text_value(upstream.name().as_str()));
            }
            RequestPlace::Peer(_) => {
                let centre: &DataCentreName = &self.shared.settings.data_centre;
                map.insert(headers::VISITED, text_value(centre.as_str()));
                map.insert(headers::SERVICE, text_value(job.service.as_str()));
            }
        }
        request.body(Full::new(job.body.clone())).expect("the parts were read from a request")
    }

    /// Notes what a fault says of its place.
    fn note_fault(&mut self, place: &RequestPlace, fault: &CallFault) {
        self.last_fault = Some(fault.to_string());
        let is_open =
            matches!(fault, CallFault::Broken(_) | CallFault::Silent | CallFault::TimedOut);
        self.may_have_run |= is_open;
        let RequestPlace::Upstream(upstream) = place else { return };
        let now = self.shared.now();
        match fault {
            CallFault::NotSent(_) => {
                upstream.health.lock().fail(true, now);
                upstream.pool.clear();
            }
            CallFault::Declined { status } if *status == StatusCode::MISDIRECTED_REQUEST => {
                // Another process has the address now.
                upstream.health.lock().fail(true, now);
                upstream.pool.clear();
            }
            CallFault::Broken(_) | CallFault::Silent | CallFault::TimedOut => {
                upstream.health.lock().fail(false, now);
                upstream.pace.lock().note_failure(now);
            }
            CallFault::Declined { .. } => upstream.pace.lock().note_failure(now),
        }
    }

    /// Notes that a place answered with a failure of its own.
    fn note_failed_answer(&mut self, place: &RequestPlace, status: StatusCode) {
        self.last_fault = Some(format!("the upstream answered {status}"));
        if let RequestPlace::Upstream(upstream) = place {
            let now = self.shared.now();
            upstream.health.lock().fail(false, now);
            upstream.pace.lock().note_failure(now);
        }
    }

    /// Notes that a place has begun its answer.
    pub fn note_first(&self, place: &RequestPlace, expected: Duration, sent: Instant) {
        if let RequestPlace::Upstream(upstream) = place {
            upstream.pace.lock().note_first(expected, sent.elapsed(), self.shared.now());
        }
    }

    /// Notes that a place answered whole.
    pub fn note_success(&self, place: &RequestPlace, sent: Instant) {
        if let RequestPlace::Upstream(upstream) = place {
            upstream.health.lock().succeed();
            self.shared.note_hold(&self.job.service, sent.elapsed());
        }
    }

    /// The refusal with which to end after a fault; nothing when another try may follow.
    fn end_of_tries(&mut self, fault: &CallFault) -> Option<Refusal> {
        if self.job.is_forwarded {
            return Some(self.refusal_for(fault));
        }
        let may_repeat = match fault {
            CallFault::NotSent(_) => self.tried_count() < MAX_TRIES,
            CallFault::Declined { .. } => self.may_send_again(),
            CallFault::Broken(_) | CallFault::Silent | CallFault::TimedOut => {
                self.job.route.repeat.is_repeatable() && self.may_send_again()
            }
        };
        match may_repeat {
            true => None,
            false => Some(self.refusal_for(fault)),
        }
    }

    fn tried_count(&self) -> usize {
        self.tried.upstreams.len() + self.tried.peers.len()
    }

    /// Whether the request may be sent to one more place that counts it as arrived.
    pub fn may_send_again(&mut self) -> bool {
        let is_open = self.arrivals < self.job.route.max_attempts
            && self.tried_count() < MAX_TRIES
            && !self.job.is_forwarded
            && Instant::now() < self.job.deadline;
        if !is_open {
            return false;
        }
        let Some(view) = self.shared.view() else { return false };
        let is_granted = self.shared.take_retry(&self.job.service, &view);
        self.shared.metrics.count_event(if is_granted { "retry" } else { "retry_denied" });
        is_granted
    }

    fn refusal_for(&self, fault: &CallFault) -> Refusal {
        if self.may_have_run {
            return match fault {
                CallFault::TimedOut => Refusal::TimedOut,
                _ => Refusal::Broken,
            };
        }
        match fault {
            CallFault::Declined { status } if *status == StatusCode::SERVICE_UNAVAILABLE => {
                Refusal::Full
            }
            _ => Refusal::NoUpstream,
        }
    }

    /// A refusal is only true while nothing may have run.
    fn after_tries(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run { Refusal::Broken } else { refusal }
    }

    fn out_of_time(&self) -> Refusal {
        if self.may_have_run { Refusal::TimedOut } else { Refusal::NotReached }
    }
}

fn text_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("names are plain text")
}

impl RequestDriver {
    /// Counts and logs how the request ended.
    pub fn note_end(&self, end: RequestEnd) {
        let job = &self.job;
        let shared = &self.shared;
        if !job.is_forwarded {
            shared.metrics.count_end(&job.route.name, end);
        }
        let is_plain = end == RequestEnd::Served && self.arrivals == 1;
        if !shared.quota.take(is_plain) {
            return;
        }
        tracing::info!(
            request = job.id(),
            route = %job.route.name,
            service = %job.service,
            end = end.label(),
            tries = self.arrivals,
            place = self.last_place.as_deref().unwrap_or("-"),
            fault = self.last_fault.as_deref().unwrap_or("-"),
            forwarded = job.is_forwarded,
            version = shared.view().map_or(0, |view| view.routes.version().0),
            ms = job.started.elapsed().as_millis() as u64,
            left_ms = job.deadline.saturating_duration_since(Instant::now()).as_millis() as u64,
            "request ended"
        );
    }
}
