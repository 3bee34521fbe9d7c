//! Sends a request to one destination after another, within the limits of its route, its deadline
//! and the retry budget. Only the VM that received the request from its caller retries.

mod logged;
mod outcomes;
mod requests;
mod retries;
mod sending;
mod suspicion;
mod waiting;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foldhaven_core::ids::UpstreamName;
use foldhaven_core::opaque::peer_table::LEARNING_TIME;
use foldhaven_core::opaque::performance::QueueState;
use foldhaven_core::opaque::queue_rank::QueueRank;
use foldhaven_core::opaque::refusal::Refusal;
use foldhaven_core::opaque::software::SoftwareTag;
use foldhaven_core::opaque::suspects::SuspectKeys;
use http::header::CONTENT_TYPE;
use http::response::Parts;
use http::{HeaderValue, StatusCode};
use parking_lot::Mutex;
use tokio::time::sleep;

use crate::call::{AnswerEnd, CallFault, OpenAnswer, read_complete};
use crate::clock::BootInstant;
use crate::credential::{KeyState, key_state};
use crate::destinations::{
    DestinationChoice, Placement, RequestDestination, TriedDestinations, choose_destination,
};
use crate::job::GatewayJob;
use crate::load_counter::LoadGuard;
use crate::shared::GatewayShared;
use crate::slot_queues::SlotTicket;
use crate::upstream::UpstreamRequestGuard;
use crate::view::GatewayView;
use crate::waiting_rooms::WaitingTicket;

pub use self::logged::{LoggedAttempt, LoggedChoice};
pub use self::sending::SendTime;

/// Time after its first description by which a process usually knows the live VMs. Seeds answer
/// within one round trip between regions, and are asked again every 100 ms.
const PEER_DISCOVERY_TIME: Duration = Duration::from_millis(600);
/// Interval at which a request that waits for a destination tries again to choose one.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Interval at which a request that waits for room looks whether it is its turn.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a request that waits for a slot of a brittle upstream looks for one.
const SLOT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The content type of an event stream.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// The estimate for the first response of a destination, made when the request was sent.
#[derive(Debug, Clone, Copy)]
pub struct FirstResponseEstimate {
    /// The expected time to the answer, or to its first event.
    pub time: Duration,
    /// The rank of the request at the destination.
    pub rank: QueueRank,
    /// The queue of the destination.
    pub queue: QueueState,
    /// The prompt tokens to prefill before the answer, if prefill accounts for the whole time.
    pub prefill_before_answer: Option<u32>,
}

/// An answer whose body is being read, with the destination that sends it.
pub struct DestinationAnswer {
    pub answer: OpenAnswer,
    pub destination: RequestDestination,
    /// The software of the upstream. `None` if another VM passes the answer on and does not say it.
    pub software: Option<SoftwareTag>,
    /// Counts the request at its destination until the answer ends.
    pub load_guard: LoadGuard,
    /// Registers the request at its upstream. `None` if the destination is another VM.
    pub request_guard: Option<UpstreamRequestGuard>,
    /// The estimate for the destination when the request was sent.
    pub expected: FirstResponseEstimate,
    /// When the request was sent.
    pub sent: BootInstant,
}

impl DestinationAnswer {
    fn is_event_stream(&self) -> bool {
        let head = &self.answer.head;
        let content_type = head.headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
        let is_events = content_type.is_some_and(|value| value.starts_with(EVENT_STREAM));
        head.status == StatusCode::OK && is_events
    }
}

/// An answer of an upstream with its complete body.
pub struct CompleteAnswer {
    pub head: Parts,
    pub body: Bytes,
    /// What the end of the answer shows.
    pub end: AnswerEnd,
}

impl CompleteAnswer {
    /// Whether the upstream reports a failure (a 5xx status).
    pub fn is_failure(&self) -> bool {
        self.head.status.is_server_error()
    }
}

/// How a request was answered.
pub enum AnswerStart {
    /// An event stream, of which no event was read yet.
    Events(Box<DestinationAnswer>),
    /// A complete answer. On a streaming route it reports a failure or a bad request.
    Complete(CompleteAnswer),
}

/// How to go on after an attempt whose answer was read.
enum AttemptOutcome {
    /// Pass this answer to the caller.
    Answered(CompleteAnswer),
    /// Refuse the request, unless an earlier attempt got an answer.
    Refused(Refusal),
    /// Retry. The answer is that of the failed attempt, if there was one; it reports a failure.
    Retry(Option<CompleteAnswer>),
}

/// What a request does next.
enum NextStep {
    /// It is sent to this destination.
    Send(Box<DestinationChoice>),
    /// It looks for a destination again after this time.
    Pause(Duration),
}

/// Runs one request through its attempts.
pub struct RequestDriver {
    pub shared: Arc<GatewayShared>,
    pub job: GatewayJob,
    /// The fingerprints by which the request is suspected of crashing upstreams.
    keys: SuspectKeys,
    tried: TriedDestinations,
    /// The upstreams at which other VMs have tried the request, as their answers name them.
    remote_upstreams: Arc<Mutex<Vec<UpstreamName>>>,
    /// Whether the next attempt must not go to an upstream that was tried, since it may still work on
    /// the request.
    avoids_tried: bool,
    /// When the attempt that is under way was sent.
    sent: Arc<SendTime>,
    /// The destination of the next attempt, for which a retry was taken. `None` unless the upstream
    /// of the present one is silent.
    alternative: Option<Box<DestinationChoice>>,
    /// The number of attempts that may have reached an upstream or another VM.
    pub delivered_attempts: u32,
    /// The number of attempts whose connection broke.
    broken_connections: u32,
    /// Its place in the waiting room. `None` unless it waits for room.
    ticket: Option<WaitingTicket>,
    /// Its place in the queue for slots of brittle upstreams. `None` unless it waits for one.
    slot_ticket: Option<SlotTicket>,
    /// How long it has waited for room, for the log.
    held: Duration,
    /// Whether its arrival was recorded.
    has_arrived: bool,
    /// Whether the request is under suspicion and is sent once as a probe, to test the suspicion.
    is_probe: bool,
    /// Whether an upstream may have received the probe.
    is_probe_sent: bool,
    /// Whether any attempt may have run.
    pub may_have_run: bool,
    /// What the end of the last answer shows, for the log. `None` if there was no answer.
    pub last_end: Option<AnswerEnd>,
    /// The fault of the last failed attempt, for the log.
    pub last_fault: Option<String>,
    /// The destination of the last attempt, for the log.
    pub last_destination: Option<String>,
    /// The software version of that destination, for the log.
    pub last_software: Option<String>,
    /// The properties of that destination when it was chosen, for the log.
    pub last_choice: Option<LoggedChoice>,
    /// The candidates when no destination could be chosen, for the log.
    pub candidates_summary: Option<String>,
}

impl RequestDriver {
    pub fn new(shared: Arc<GatewayShared>, job: GatewayJob) -> Self {
        let keys = job.suspect_keys();
        let upstreams = job.tried_upstreams.clone();
        Self {
            shared,
            job,
            keys,
            tried: TriedDestinations { upstreams, ..TriedDestinations::default() },
            remote_upstreams: Arc::default(),
            avoids_tried: false,
            sent: Arc::default(),
            alternative: None,
            delivered_attempts: 0,
            broken_connections: 0,
            ticket: None,
            slot_ticket: None,
            held: Duration::ZERO,
            has_arrived: false,
            is_probe: false,
            is_probe_sent: false,
            may_have_run: false,
            last_end: None,
            last_fault: None,
            last_destination: None,
            last_software: None,
            last_choice: None,
            candidates_summary: None,
        }
    }

    /// Runs the request until an upstream has sent a complete answer or, on a streaming route, the
    /// head of an event stream.
    pub async fn run(&mut self) -> Result<AnswerStart, Refusal> {
        let mut failed: Option<CompleteAnswer> = None;
        loop {
            let opened = match self.open(None).await {
                Ok(opened) if self.is_relayed(&opened) => {
                    return Ok(AnswerStart::Events(Box::new(opened)));
                }
                Ok(opened) => opened,
                // An answer that reports a failure tells the caller more than a refusal.
                Err(refusal) => return failed.map(AnswerStart::Complete).ok_or(refusal),
            };
            match self.finish(opened).await {
                AttemptOutcome::Answered(complete) => return Ok(AnswerStart::Complete(complete)),
                AttemptOutcome::Refused(refusal) => {
                    return failed.map(AnswerStart::Complete).ok_or(refusal);
                }
                AttemptOutcome::Retry(answer) => failed = answer.or(failed),
            }
        }
    }

    /// Whether the events of an answer are relayed as they arrive.
    fn is_relayed(&self, opened: &DestinationAnswer) -> bool {
        self.job.route.repeat.is_stream() && opened.is_event_stream()
    }

    /// Whether an answer that ended with its connection is a success which lacks what every whole one
    /// has: a body, or on a streaming route, the type of its events. Its head was cut, or nothing
    /// followed it.
    fn is_cut(&self, head: &Parts, body: &Bytes, end: AnswerEnd) -> bool {
        let lacks_part = body.is_empty() || self.job.route.repeat.is_stream();
        end == AnswerEnd::Connection && head.status.is_success() && lacks_part
    }

    /// Reads an answer to its end, and records the outcome for its destination.
    async fn finish(&mut self, opened: DestinationAnswer) -> AttemptOutcome {
        let DestinationAnswer {
            answer,
            destination,
            software: _,
            load_guard,
            request_guard,
            expected,
            sent,
        } = opened;
        let end = answer.end;
        self.last_end = Some(end);
        let (pool, memory) = (destination.pool(), &self.shared.held_memory);
        let read = read_complete(answer, pool, memory, self.job.deadline).await;
        let read = read.and_then(|(head, body)| match self.is_cut(&head, &body, end) {
            true => {
                Err(CallFault::Broken("it ended with its connection before its body".to_owned()))
            }
            false => Ok((head, body)),
        });
        drop(load_guard);
        match &read {
            Ok((head, _)) => self.record_answered(request_guard, end, head.status.is_success()),
            Err(_) => drop(request_guard),
        }
        let (head, body) = match read {
            Ok(complete) => complete,
            Err(fault) => {
                self.record_fault(&destination, &fault);
                let refusal = self.final_refusal(&fault);
                return refusal.map_or(AttemptOutcome::Retry(None), AttemptOutcome::Refused);
            }
        };
        self.may_have_run = true;
        let complete = CompleteAnswer { head, body, end };
        if complete.is_failure() {
            self.record_failed_answer(&destination, complete.head.status);
            return match self.may_repeat() {
                true => AttemptOutcome::Retry(Some(complete)),
                false => AttemptOutcome::Answered(complete),
            };
        }
        // Only an answer of the kind that the route expects counts as a success of its destination.
        if !self.job.route.repeat.is_stream() {
            self.record_time_to_first(&destination, expected, sent);
            self.record_success(&destination, expected, sent);
        }
        AttemptOutcome::Answered(complete)
    }

    /// Sends the request until a destination starts to answer. With `resume_after`, the stream
    /// continues after the event of that id.
    pub async fn open(&mut self, resume_after: Option<&str>) -> Result<DestinationAnswer, Refusal> {
        loop {
            if BootInstant::now() >= self.job.deadline {
                return Err(self.deadline_refusal());
            }
            let chosen = match self.choose()? {
                NextStep::Send(chosen) => *chosen,
                NextStep::Pause(pause) => {
                    sleep(pause).await;
                    continue;
                }
            };
            self.end_wait();
            let destination = chosen.destination.clone();
            match self.call(chosen, resume_after).await {
                Ok(opened) => return Ok(opened),
                Err(fault) => {
                    self.record_fault(&destination, &fault);
                    if let Some(refusal) = self.final_refusal(&fault) {
                        return Err(refusal);
                    }
                }
            }
        }
    }

    /// Chooses and records the destination of the next attempt. Pauses while there is no room for
    /// the request, while a VM that could run it may still be discovered, or while the platform
    /// state may be outdated after a suspension.
    fn choose(&mut self) -> Result<NextStep, Refusal> {
        if !self.shared.is_awake() {
            return Ok(NextStep::Pause(PEER_POLL_INTERVAL));
        }
        let Some(view) = self.shared.view() else { return Err(Refusal::NoDescription) };
        self.check_key(&view).map_err(|refusal| self.refusal_after_attempts(refusal))?;
        self.check_suspicion().map_err(|refusal| self.refusal_after_attempts(refusal))?;
        if let Some(chosen) = self.alternative.take() {
            return self.send_to(chosen);
        }
        if !self.may_look_for_slot(&view)? {
            return Ok(NextStep::Pause(SLOT_POLL_INTERVAL));
        }
        let rule = self.room_rule(&view).map_err(|refusal| self.refusal_after_attempts(refusal))?;
        let Some(rule) = rule else { return Ok(NextStep::Pause(ROOM_POLL_INTERVAL)) };
        let chosen = match choose_destination(&self.shared, &view, &self.job, &self.tried, rule) {
            Ok(Placement::Chosen(chosen))
                if self.avoids_tried && self.tried.has_upstream(&chosen.destination) =>
            {
                return Err(self.refusal_after_attempts(Refusal::NoUpstream));
            }
            Ok(Placement::Chosen(chosen)) => chosen,
            Ok(Placement::NoRoom) if self.job.class().is_none() => {
                self.wait_for_slot(&view)?;
                return Ok(NextStep::Pause(SLOT_POLL_INTERVAL));
            }
            Ok(Placement::NoRoom) => {
                self.wait_for_room(&view)
                    .map_err(|refusal| self.refusal_after_attempts(refusal))?;
                return Ok(NextStep::Pause(ROOM_POLL_INTERVAL));
            }
            Err(Refusal::NoUpstream | Refusal::Throttled { .. }) if self.awaits_peers(&view) => {
                return Ok(NextStep::Pause(PEER_POLL_INTERVAL));
            }
            Err(refusal) => {
                self.summarize_candidates();
                return Err(self.refusal_after_attempts(refusal));
            }
        };
        self.send_to(chosen)
    }

    /// Records the destination of the next attempt.
    fn send_to(&mut self, chosen: Box<DestinationChoice>) -> Result<NextStep, Refusal> {
        self.begin_probe(&chosen.destination)
            .map_err(|refusal| self.refusal_after_attempts(refusal))?;
        self.tried.record(&chosen.destination);
        self.last_destination = Some(chosen.destination.name().to_owned());
        self.last_software = Some(chosen.destination.software_label().to_owned());
        self.last_choice = Some(LoggedChoice::of(&chosen));
        Ok(NextStep::Send(chosen))
    }

    /// Checks that the key of the request still belongs to its account. No attempt starts with a
    /// revoked key.
    fn check_key(&self, view: &GatewayView) -> Result<(), Refusal> {
        match key_state(&view.routes, &self.job.route, self.job.account.as_ref()) {
            KeyState::Valid => Ok(()),
            KeyState::Reassigned => Err(Refusal::Outdated),
            KeyState::Revoked => Err(Refusal::NoKey),
        }
    }

    /// Whether this process started recently and may still discover a VM of another region that can
    /// run the request. After a loss of all VMs, callers retry within the first tenths of a second.
    /// A region of which no VM is known yet is not taken for one without VMs.
    fn awaits_peers(&self, view: &GatewayView) -> bool {
        if self.job.is_forwarded {
            return false;
        }
        let own_region = self.shared.settings.region();
        let services =
            view.expected_waits.keys().filter(|(_, service)| *service == self.job.service);
        let regions = services.map(|(region, _)| region);
        let mut elsewhere =
            regions.filter(|region| *region != own_region && self.job.permits(region)).peekable();
        if self.shared.time_since_first_view() < PEER_DISCOVERY_TIME {
            return elsewhere.peek().is_some();
        }
        self.shared.uptime() < LEARNING_TIME
            && elsewhere.any(|region| !view.members.regions.contains_key(region))
    }
}
