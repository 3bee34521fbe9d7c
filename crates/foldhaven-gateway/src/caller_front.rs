//! Handles the requests of callers, and reports to the platform whether this daemon is ready.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use foldhaven_core::headers::{EVENT_FRAMES, SOFTWARE, UNFRAMED, UNREACHED, UPSTREAM};
use foldhaven_core::opaque::refusal::Refusal;
use foldhaven_core::opaque::route_table::OpaqueRoute;
use foldhaven_wire::error_text::error_text;
use http::header::EXPECT;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::answer::{
    Answer, AnswerBody, body_answer, close_after, end_with_connection, refuse, refuse_until,
};
use crate::attempts::{AnswerStart, CompleteAnswer, RequestDriver};
use crate::call::AnswerEnd;
use crate::clock::BootInstant;
use crate::credential::{JobAccount, KeyFault, find_account, take_credential};
use crate::events::{EventRelay, StreamHead};
use crate::framed_events::FramedEvents;
use crate::front::FrontHandler;
use crate::job::{
    CallerTerms, GatewayJob, ReadRequest, RouteMatch, check_head, discard_refused, host_of,
    read_body, read_terms, read_total_tokens, remove_connection_headers,
};
use crate::metrics::RequestEnd;
use crate::names::text_value;
use crate::pending_answer::ConnectionFailure;
use crate::shared::GatewayShared;
use crate::stream_resumption::find_resumed_stream;
use crate::view::GatewayView;
use crate::watched_stream::PeerFault;

/// Idle limit of connections before the first description. Callers that connect that early
/// reconnect.
const HEAD_LIMIT_WITHOUT_DESCRIPTION: Duration = Duration::from_secs(20);

/// Minimum retry delay for a caller over its limit.
const MIN_LIMIT_WAIT: Duration = Duration::from_millis(100);

/// Answers the requests of callers.
pub struct CallerHandler {
    pub shared: Arc<GatewayShared>,
}

#[async_trait]
impl FrontHandler for CallerHandler {
    async fn handle(&self, request: Request<Incoming>) -> Answer {
        let attempt = request.headers().get(&self.shared.names.attempt).cloned();
        let (head, mut body) = request.into_parts();
        let expects_consent = head.headers.contains_key(EXPECT);
        match read_job(&self.shared, head, &mut body).await {
            Ok(job) => {
                self.shared.record_request(&job.service, job.size());
                self.shared.returning_callers.record_arrival(&self.shared, &job);
                run_job(self.shared.clone(), job).await
            }
            Err(refusal) => {
                self.shared.metrics.count_event(refusal.label());
                log_early_refusal(&self.shared, attempt.as_ref(), refusal);
                let mut answer = refuse(refusal);
                if matches!(refusal, Refusal::Malformed | Refusal::BodyTooLarge) {
                    // The next bytes on the connection may belong to the refused request.
                    close_after(&mut answer);
                } else if !expects_consent {
                    discard_refused(&self.shared, body);
                }
                answer
            }
        }
    }

    fn attempt_of<'a>(&self, headers: &'a HeaderMap) -> Option<&'a HeaderValue> {
        headers.get(&self.shared.names.attempt)
    }

    fn record_failure(&self, failure: ConnectionFailure) {
        let Some(pending) = &failure.pending else { return };
        self.shared.metrics.count_event("unanswered");
        if self.shared.quota.take(false) {
            let attempt = pending.attempt.as_ref().and_then(|id| id.to_str().ok());
            tracing::info!(
                request = attempt.unwrap_or("unreadable"),
                error = error_text(&failure.error),
                age_ms = pending.age().as_millis() as u64,
                "the connection of a caller ended before its answer"
            );
        }
    }

    /// A caller may pause while it reads, and nothing depends on noticing soon that it is gone.
    fn unread_limit(&self) -> Duration {
        self.head_limit()
    }

    fn head_limit(&self) -> Duration {
        let described = self.shared.view().map(|view| view.routes.description().limits);
        described
            .map_or(HEAD_LIMIT_WITHOUT_DESCRIPTION, |limits| limits.idle_time + limits.header_time)
    }

    fn record_fault(&self, fault: &PeerFault) {
        record_peer_fault(&self.shared, fault);
    }
}

/// Counts and logs that a connection was given up because of its peer.
pub fn record_peer_fault(shared: &GatewayShared, fault: &PeerFault) {
    match fault {
        PeerFault::Silent { .. } => shared.metrics.count_event("reader_silent"),
        PeerFault::Stalled { .. } => shared.metrics.count_event("reader_stalled"),
    }
    if !shared.quota.take(false) {
        return;
    }
    match fault {
        PeerFault::Silent { peer } => tracing::info!(%peer, "a peer acknowledged nothing"),
        PeerFault::Stalled { peer, unread_bytes } => {
            tracing::info!(%peer, unread_bytes, "a peer did not read what it was sent");
        }
    }
}

/// Logs why a request was refused before a destination was chosen.
fn log_early_refusal(shared: &GatewayShared, attempt: Option<&HeaderValue>, refusal: Refusal) {
    // Requests over the limit of their account are logged separately.
    let is_plain = matches!(refusal, Refusal::NoRoute | Refusal::NoKey);
    if matches!(refusal, Refusal::OverLimit { .. }) || !shared.quota.take(is_plain) {
        return;
    }
    let behind = shared.lag();
    tracing::info!(
        request = attempt.and_then(|id| id.to_str().ok()).unwrap_or("unreadable"),
        refusal = refusal.label(),
        status = refusal.status(),
        described_ms = shared.time_since_first_view().as_millis() as u64,
        awake = shared.is_awake(),
        belief_age_ms = shared.staleness().as_millis() as u64,
        behind_ms = behind.map(|it| shared.now().since(it.since).as_millis() as u64),
        behind_near = behind.map(|it| it.is_local),
        "request refused before a destination was chosen"
    );
}

/// Reads and checks a request of a caller.
async fn read_job(
    shared: &GatewayShared,
    mut head: Parts,
    body: &mut Incoming,
) -> Result<GatewayJob, Refusal> {
    let started = BootInstant::now();
    let view = shared.view().ok_or(Refusal::NoDescription)?;
    let limits = view.routes.description().limits;
    check_head(&head, &limits)?;
    let body = read_body(shared, &head, body, &view).await?;
    if shared.is_too_far_behind() || !shared.is_awake() {
        return Err(Refusal::Outdated);
    }
    // The description may have changed while the body was read.
    let view = shared.view().ok_or(Refusal::NoDescription)?;
    let host = host_of(&head).ok_or(Refusal::Malformed)?;
    let route = view.routes.find(host, head.uri.path());
    let route = route.ok_or_else(|| unknown_route_refusal(shared))?.clone();
    let account = identify_account(shared, &view, &route, &mut head)?;
    let terms = read_terms(&head, &shared.names)?;
    let waited = shared.record_caller_timeout(&route.name, terms.remaining);
    let remaining = terms.remaining.min(route.timeout);
    let terms = CallerTerms { remaining, waited, earlier_tries: waited, ..terms };
    let resumed = find_resumed_stream(shared, &view, &route, &head.headers).await?;
    let service = match resumed.as_ref().and_then(|stream| stream.service.clone()) {
        Some(service) => service,
        None => route.pick_service(rand::random()).ok_or(Refusal::NoRoute)?.clone(),
    };
    check_exit(shared, &view, &route, &terms)?;
    let account = match account {
        Some(account) => Some(charge(shared, account, &head)?),
        None => None,
    };
    let request = ReadRequest { head, body, started };
    let route_match = RouteMatch { route, service, account };
    let mut job = request.into_job(route_match, terms, &shared.names, &view.routes);
    job.expect_length(&shared.route_history(&job.route.name));
    let software = resumed.map(|stream| stream.software);
    // The caller has the beginning of a stream that it resumes.
    Ok(GatewayJob { software, has_partial_answer: software.is_some(), ..job })
}

/// Checks that a request will probably be finished before a planned exit. If no other VM serves, it is
/// tried in any case.
///
/// # Errors
///
/// [`Refusal::Leaving`] if it would probably be interrupted.
pub fn check_exit(
    shared: &GatewayShared,
    view: &GatewayView,
    route: &OpaqueRoute,
    terms: &CallerTerms,
) -> Result<(), Refusal> {
    let Some(left) = shared.exit.time_left() else { return Ok(()) };
    let permitted = terms.remaining.min(route.timeout);
    let longest = shared.route_history(&route.name).longest_duration();
    let expected = longest.map_or(permitted, |longest| longest.min(permitted));
    let has_others = view.members.regions.values().any(|peers| !peers.links.is_empty());
    if expected <= left || !has_others {
        return Ok(());
    }
    if shared.quota.take(false) {
        tracing::info!(
            request = terms.attempt.to_str().unwrap_or("unreadable"),
            route = %route.name,
            expected_ms = expected.as_millis() as u64,
            left_ms = left.as_millis() as u64,
            "request refused, since it would not be finished before the exit"
        );
    }
    Err(Refusal::Leaving)
}

/// Finds the account of a request, and removes the key from its headers. A VM that knows that other
/// VMs have a newer revision, or whose platform state is stale, cannot tell that a key is unknown.
fn identify_account(
    shared: &GatewayShared,
    view: &GatewayView,
    route: &OpaqueRoute,
    head: &mut Parts,
) -> Result<Option<JobAccount>, Refusal> {
    if !view.routes.accounts().is_described() {
        return Ok(None);
    }
    let credential = take_credential(&mut head.headers, &shared.names);
    find_account(&view.routes, route, credential).map_err(|fault| match fault {
        KeyFault::Unknown if shared.is_possibly_outdated() => Refusal::Outdated,
        KeyFault::Unknown | KeyFault::Absent => Refusal::NoKey,
    })
}

/// Charges a request to the limit of its account. A request over the limit is refused at once.
fn charge(
    shared: &GatewayShared,
    account: JobAccount,
    head: &Parts,
) -> Result<JobAccount, Refusal> {
    let Some(limit) = account.account.limit else { return Ok(account) };
    let cost = limit.cost(read_total_tokens(head, &shared.names));
    let asked =
        shared.accounts.try_acquire(&account.account, &limit, cost, shared.started(), shared.now());
    let Err(over) = asked else { return Ok(JobAccount { cost: Some(cost), ..account }) };
    if shared.quota.take(false) {
        let id = head.headers.get(&shared.names.attempt).and_then(|id| id.to_str().ok());
        tracing::info!(
        request = id.unwrap_or("unreadable"),
        account = %account.account.name,
        cost,
        per_s = limit.per_s,
        burst = limit.burst,
        part_per_s = over.share.per_s,
        part_age_ms = over.share_age.as_millis() as u64,
        level = over.level,
        view = ?shared.accounts.view(),
        wait_ms = over.wait.as_millis() as u64,
        "over the limit of its account"
        );
    }
    Err(Refusal::OverLimit { wait: over.wait.max(MIN_LIMIT_WAIT) })
}

/// Returns the refusal for an unknown route. A VM that may lack the route only guarantees that the
/// request did not run.
fn unknown_route_refusal(shared: &GatewayShared) -> Refusal {
    match shared.is_possibly_outdated() {
        true => Refusal::Outdated,
        false => Refusal::NoRoute,
    }
}

/// Runs a request and returns its answer.
pub async fn run_job(shared: Arc<GatewayShared>, job: GatewayJob) -> Answer {
    let in_flight = shared.start_request();
    let mut recorder = EndRecorder { driver: Some(RequestDriver::new(shared.clone(), job)) };
    let ended = tokio::select! {
        biased;
        ended = recorder.get().run() => ended,
        () = shared.exit.reached() => Err(recorder.get().exit_refusal()),
    };
    let opened = match ended {
        Ok(AnswerStart::Events(opened)) => opened,
        Ok(AnswerStart::Complete(complete)) => return recorder.end_answered(complete),
        Err(refusal) => return recorder.end_refused(refusal),
    };
    let job = &recorder.get().job;
    let (is_forwarded, is_in_frames) = (job.is_forwarded, job.origin_reads_frames);
    let relay = EventRelay::new(recorder.release(), *opened, in_flight);
    let answer = relay_events(&shared, relay, is_forwarded).await;
    if is_in_frames { put_in_frames(answer) } else { answer }
}

/// Puts the events of an answer to another VM in frames. Other answers stay as they are.
fn put_in_frames(mut answer: Answer) -> Answer {
    if let AnswerBody::Events(events) =
        std::mem::replace(answer.body_mut(), AnswerBody::Complete(None))
    {
        answer.headers_mut().insert(EVENT_FRAMES, HeaderValue::from_static("1"));
        *answer.body_mut() = AnswerBody::Events(Box::new(FramedEvents::new(events)));
    }
    answer
}

/// Returns the answer that relays a stream, once its first event is there.
async fn relay_events(shared: &GatewayShared, mut relay: EventRelay, is_forwarded: bool) -> Answer {
    let started = tokio::select! {
        biased;
        started = relay.start() => started,
        () = shared.exit.reached() => Err(Refusal::Interrupted),
    };
    let StreamHead { parts, end, software, place } = match started {
        Ok(head) => head,
        Err(refusal) => return refuse(refusal),
    };
    let mut answer = answer_with(parts.status, parts.headers);
    if let Some(software) = software.filter(|_| is_forwarded) {
        answer.headers_mut().insert(SOFTWARE, text_value(&software.to_string()));
    }
    if is_forwarded {
        answer.headers_mut().insert(UPSTREAM, text_value(&place));
    }
    show_end(&mut answer, is_forwarded, end);
    *answer.body_mut() = AnswerBody::Events(Box::new(relay));
    answer
}

/// Passes on an answer whose end does not show that it is complete, without a framing that would
/// claim so: a caller gets it ended by its connection, and another VM is told.
fn show_end(answer: &mut Answer, is_forwarded: bool, end: AnswerEnd) {
    match end {
        AnswerEnd::Framed => {}
        AnswerEnd::Connection if is_forwarded => {
            answer.headers_mut().insert(UNFRAMED, HeaderValue::from_static("1"));
        }
        AnswerEnd::Connection => end_with_connection(answer),
    }
}

fn answer_with(status: StatusCode, mut headers: HeaderMap) -> Answer {
    remove_connection_headers(&mut headers);
    headers.remove(http::header::CONTENT_LENGTH);
    headers.remove(SOFTWARE);
    headers.remove(UNFRAMED);
    headers.remove(EVENT_FRAMES);
    headers.remove(UPSTREAM);
    let mut answer = Response::new(AnswerBody::Complete(None));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// Records the end of a request, also if its caller disconnects and its future is dropped.
struct EndRecorder {
    driver: Option<RequestDriver>,
}

impl EndRecorder {
    fn get(&mut self) -> &mut RequestDriver {
        self.driver.as_mut().expect("the driver was not released")
    }

    fn release(&mut self) -> RequestDriver {
        self.driver.take().expect("the driver was not released before")
    }

    fn end_answered(&mut self, complete: CompleteAnswer) -> Answer {
        let mut driver = self.release();
        let is_failure = complete.is_failure();
        let CompleteAnswer { head, body, end: answer_end } = complete;
        // These statuses guarantee that the request did not run, which only the gateway or a
        // declining upstream can know.
        let claims_not_run = matches!(head.status.as_u16(), 408 | 421 | 429 | 503);
        if claims_not_run {
            driver.record_end(RequestEnd::Refused(Refusal::Broken.label()));
            return refuse(Refusal::Broken);
        }
        let end = match is_failure {
            true => RequestEnd::FailedUpstream,
            false => RequestEnd::Served,
        };
        let took = driver.job.record_time_to_first();
        driver.shared.metrics.record_time_to_first(&driver.job.route.name, took);
        driver.record_end(end);
        let mut answer = answer_with(head.status, head.headers);
        *answer.body_mut() = AnswerBody::from_bytes(body);
        show_end(&mut answer, driver.job.is_forwarded, answer_end);
        answer
    }

    fn end_refused(&mut self, refusal: Refusal) -> Answer {
        let driver = self.release();
        if refusal.guarantees_not_run() {
            refund(&driver);
        }
        driver.record_end(RequestEnd::Refused(refusal.label()));
        // The origin VM may send a plain request to another region, or to its own.
        let may_go_elsewhere = refusal == Refusal::NoUpstream || driver.job.is_plain();
        let is_unreached = may_go_elsewhere && driver.delivered_attempts == 0;
        let RequestDriver { shared, job, .. } = &driver;
        let scheduled = shared.returning_callers.schedule(shared, job, refusal);
        let delay = scheduled.or_else(|| refusal.retry_after(rand::random()));
        let mut answer = refuse_until(refusal, delay);
        if driver.job.is_forwarded && is_unreached && refusal.guarantees_not_run() {
            answer.headers_mut().insert(UNREACHED, HeaderValue::from_static("1"));
        }
        if let Some(upstream) = driver.last_destination.as_deref().filter(|_| job.is_forwarded) {
            answer.headers_mut().insert(UPSTREAM, text_value(upstream));
        }
        answer
    }
}

/// Refunds the cost of a request that did not run to its account.
fn refund(driver: &RequestDriver) {
    let account = driver.job.account.as_ref();
    if let Some((account, cost)) = account.and_then(|it| Some((&it.account.name, it.cost?))) {
        driver.shared.accounts.refund(account, cost);
    }
}

impl Drop for EndRecorder {
    fn drop(&mut self) {
        if let Some(driver) = self.driver.take() {
            driver.record_end(RequestEnd::CallerLeft);
        }
    }
}

/// Reports whether this daemon accepts requests.
pub struct ReadyHandler {
    pub shared: Arc<GatewayShared>,
}

#[async_trait]
impl FrontHandler for ReadyHandler {
    async fn handle(&self, _request: Request<Incoming>) -> Answer {
        let is_ready = self.shared.is_ready() && !self.shared.is_leaving();
        let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        body_answer(status, "text/plain", "")
    }
}
