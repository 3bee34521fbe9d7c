//! Tries a request at one place after another, as far as its kind, its time and the retry budget
//! permit. Only the VM that took the request from its caller tries again.

mod notes;
mod requests;
mod retries;
mod suspicion;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foldhaven_core::opaque::queue_rank::QueueRank;
use http::header::CONTENT_TYPE;
use http::response::Parts;
use http::{HeaderValue, StatusCode};
use tokio::time::sleep;

use crate::answer::Refusal;
use crate::call::{OpenAnswer, read_whole};
use crate::clock::BootInstant;
use crate::credential::{KeyState, key_state};
use crate::destinations::{
    DestinationChoice, RequestDestination, TriedDestinations, choose_destination,
    describe_candidates,
};
use crate::job::GatewayJob;
use crate::shared::GatewayShared;
use crate::upstream::{GuestSeat, LoadSeat};
use crate::view::GatewayView;

/// So long after its first description a process has heard of the VMs that live: seeds answer within one
/// round trip between regions, and are asked again every 100 ms.
const PEERS_KNOWN_AFTER: Duration = Duration::from_millis(600);
/// How often it is looked whether a VM of another region was heard.
const PEER_POLL: Duration = Duration::from_millis(40);
/// The content type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// What was expected of a place until its first answer.
#[derive(Debug, Clone, Copy)]
pub struct ExpectedFirst {
    pub time: Duration,
    /// The rank that it had there.
    pub rank: QueueRank,
    /// The prompt tokens that it had to read until then, where nothing but reading takes time.
    pub prefill_before_answer: Option<u32>,
}

/// What the log tells of the choice of a place.
#[derive(Debug, Clone, Copy)]
pub struct LoggedChoice {
    /// The expected time to the first answer, in milliseconds.
    pub first_ms: u64,
    /// The prompt tokens that were to be read.
    pub read_tokens: u32,
    /// The requests that the place had.
    pub load: u32,
    /// Its rank there.
    pub rank: QueueRank,
}

impl LoggedChoice {
    fn of(chosen: &DestinationChoice) -> Self {
        Self {
            first_ms: chosen.time_to_first.as_millis() as u64,
            read_tokens: chosen.prefill_tokens,
            load: chosen.queue.in_flight,
            rank: chosen.rank,
        }
    }
}

/// An answer that is being read, with the place that gives it.
pub struct PlacedAnswer {
    pub answer: OpenAnswer,
    pub place: RequestDestination,
    /// Counts the request at its place until the answer ends.
    pub seat: LoadSeat,
    /// Notes it at its upstream, where it is at one.
    pub guest: Option<GuestSeat>,
    /// What was expected of the place when the request was sent.
    pub expected: ExpectedFirst,
    /// When the request was sent.
    pub sent: BootInstant,
}

impl PlacedAnswer {
    fn is_event_stream(&self) -> bool {
        let head = &self.answer.head;
        let content_type = head.headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
        let is_events = content_type.is_some_and(|value| value.starts_with(EVENT_STREAM));
        head.status == StatusCode::OK && is_events
    }
}

/// A whole answer of an upstream.
pub struct WholeAnswer {
    pub head: Parts,
    pub body: Bytes,
}

impl WholeAnswer {
    /// Whether the upstream says that it failed.
    pub fn is_failure(&self) -> bool {
        self.head.status.is_server_error()
    }
}

/// How a request was answered.
pub enum AnswerStart {
    /// With events, of which the first are yet to come.
    Events(PlacedAnswer),
    /// With a whole answer; where events were due, it tells of a failure or of a bad request.
    Whole(WholeAnswer),
}

/// What follows a try whose answer was read.
enum TryEnd {
    /// The caller gets this answer.
    Answered(WholeAnswer),
    /// The caller is refused, unless an earlier try gave an answer.
    Refused(Refusal),
    /// Another try, in place of an answer that tells of a failure or of none.
    Repeat(Option<WholeAnswer>),
}

/// Drives one request.
pub struct RequestDriver {
    pub shared: Arc<GatewayShared>,
    pub job: GatewayJob,
    tried: TriedDestinations,
    /// How many tries may have reached an upstream or another VM.
    pub arrivals: u32,
    /// How many tries ended with their connection.
    breaks: u32,
    /// Whether the request is suspected, and sent on once to see whether it is rightly.
    is_trial: bool,
    /// Whether an upstream may have got it on trial.
    is_trial_sent: bool,
    /// Whether any of it may have run.
    pub may_have_run: bool,
    /// The last fault, for the log.
    pub last_fault: Option<String>,
    /// The place of the last try, for the log.
    pub last_place: Option<String>,
    /// What was expected of it, for the log.
    pub last_expected: Option<LoggedChoice>,
    /// What there was to choose among when no place was found, for the log.
    pub weighed: Option<String>,
}

impl RequestDriver {
    pub fn new(shared: Arc<GatewayShared>, job: GatewayJob) -> Self {
        Self {
            shared,
            job,
            tried: TriedDestinations::default(),
            arrivals: 0,
            breaks: 0,
            is_trial: false,
            is_trial_sent: false,
            may_have_run: false,
            last_fault: None,
            last_place: None,
            last_expected: None,
            weighed: None,
        }
    }

    /// Runs the request until an upstream has answered: with a whole answer, or for a streaming route
    /// with the beginning of its events.
    pub async fn run(&mut self) -> Result<AnswerStart, Refusal> {
        let mut failed: Option<WholeAnswer> = None;
        loop {
            let placed = match self.open(None).await {
                Ok(placed) if self.is_relayed(&placed) => return Ok(AnswerStart::Events(placed)),
                Ok(placed) => placed,
                // An answer that tells of a failure is better than none.
                Err(refusal) => return failed.map(AnswerStart::Whole).ok_or(refusal),
            };
            match self.finish(placed).await {
                TryEnd::Answered(whole) => return Ok(AnswerStart::Whole(whole)),
                TryEnd::Refused(refusal) => {
                    return failed.map(AnswerStart::Whole).ok_or(refusal);
                }
                TryEnd::Repeat(answer) => failed = answer.or(failed),
            }
        }
    }

    /// Whether an answer's events are passed on as they come.
    fn is_relayed(&self, placed: &PlacedAnswer) -> bool {
        self.job.route.repeat.is_stream() && placed.is_event_stream()
    }

    /// Reads an answer to its end, and notes what it says of its place.
    async fn finish(&mut self, placed: PlacedAnswer) -> TryEnd {
        let PlacedAnswer { answer, place, seat, mut guest, expected, sent } = placed;
        let read = read_whole(answer, place.pool(), self.job.deadline).await;
        drop(seat);
        if read.is_ok() {
            self.note_answered(guest.as_mut());
        }
        drop(guest);
        let (head, body) = match read {
            Ok(whole) => whole,
            Err(fault) => {
                self.note_fault(&place, &fault);
                let end = self.end_of_tries(&fault);
                return end.map_or(TryEnd::Repeat(None), TryEnd::Refused);
            }
        };
        self.may_have_run = true;
        let whole = WholeAnswer { head, body };
        if whole.is_failure() {
            self.note_failed_answer(&place, whole.head.status);
            return match self.may_repeat() {
                true => TryEnd::Repeat(Some(whole)),
                false => TryEnd::Answered(whole),
            };
        }
        // Only an answer of the kind that the route expects counts as a success of its place.
        if !self.job.route.repeat.is_stream() {
            self.note_first(&place, expected, sent);
            self.note_success(&place, sent);
        }
        TryEnd::Answered(whole)
    }

    /// Opens an answer at some place. With `resume_after` it goes on after that event.
    pub async fn open(&mut self, resume_after: Option<&str>) -> Result<PlacedAnswer, Refusal> {
        loop {
            if BootInstant::now() >= self.job.deadline {
                return Err(self.out_of_time());
            }
            let Some(chosen) = self.choose()? else {
                sleep(PEER_POLL).await;
                continue;
            };
            let place = chosen.destination.clone();
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

    /// Chooses the place of the next try, and notes it; nothing while a VM that could run the request may
    /// still be heard of, or what is believed is not of now.
    fn choose(&mut self) -> Result<Option<DestinationChoice>, Refusal> {
        if !self.shared.is_awake() {
            return Ok(None);
        }
        let Some(view) = self.shared.view() else { return Err(Refusal::NoDescription) };
        self.check_key(&view).map_err(|refusal| self.after_tries(refusal))?;
        self.check_suspicion().map_err(|refusal| self.after_tries(refusal))?;
        let chosen = match choose_destination(&self.shared, &view, &self.job, &self.tried) {
            Ok(chosen) => chosen,
            Err(Refusal::NoUpstream | Refusal::HeldBack { .. }) if self.awaits_peers(&view) => {
                return Ok(None);
            }
            Err(refusal) => {
                self.weighed = Some(describe_candidates(&self.shared, &view, &self.job));
                return Err(self.after_tries(refusal));
            }
        };
        self.begin_trial(&chosen.destination).map_err(|refusal| self.after_tries(refusal))?;
        self.tried.record(&chosen.destination);
        self.last_place = Some(chosen.destination.name().to_owned());
        self.last_expected = Some(LoggedChoice::of(&chosen));
        Ok(Some(chosen))
    }

    /// Whether the request still is of the account that it came under: no try begins under a key that is gone.
    fn check_key(&self, view: &GatewayView) -> Result<(), Refusal> {
        match key_state(&view.routes, &self.job.route, self.job.account.as_ref()) {
            KeyState::InForce => Ok(()),
            KeyState::Moved => Err(Refusal::Behind),
            KeyState::Gone => Err(Refusal::NoKey),
        }
    }

    /// Whether this process has just started and may still hear of a VM of a region that can run the
    /// request. After a loss of all VMs their callers come back in the first tenths of a second.
    fn awaits_peers(&self, view: &GatewayView) -> bool {
        let own_region = self.shared.settings.region();
        let is_elsewhere = view.expected_waits.keys().any(|(region, service)| {
            *service == self.job.service && region != own_region && self.job.permits(region)
        });
        is_elsewhere
            && !self.job.is_forwarded
            && self.shared.time_since_first_view() < PEERS_KNOWN_AFTER
    }
}
