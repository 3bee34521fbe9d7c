//! Passes the events of a stream on as they come, whole events only, and goes on at another upstream
//! where the kind of request permits that.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use foldhaven_core::opaque::event_sequence::EventSequenceChecker;
use foldhaven_core::opaque::queue_rank::QueueRank;
use foldhaven_wire::sse::{SseEventBuffer, event_ids};
use http::StatusCode;
use http_body::{Body, Frame};
use hyper::body::Incoming;

use crate::answer::Refusal;
use crate::attempts::{ExpectedFirst, PlacedAnswer, RequestDriver};
use crate::call::ConnectionLease;
use crate::clock::{BootInstant, BootSleep};
use crate::destinations::RequestDestination;
use crate::metrics::RequestEnd;
use crate::shared::InFlightGuard;
use crate::upstream::{GuestSeat, LoadSeat, Upstream};

/// A stream that can be resumed is resumed elsewhere after a silence of this many wanted pauses.
const STALL_GAPS: u32 = 3;
/// The same at least; shorter silences are usual when an upstream reads a long prompt.
const LEAST_STALL: Duration = Duration::from_millis(1_200);

/// An upstream was heard from at the last event of the stream itself, which is noted a moment later.
const HEARD_MARGIN: Duration = Duration::from_millis(20);

/// The stream ended before its last event
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub struct RelayBroken;

type Resumption =
    Pin<Box<dyn Future<Output = (RequestDriver, Result<PlacedAnswer, Refusal>)> + Send>>;

enum RelayState {
    /// Events of an upstream are passed on.
    Reading(Box<ReadingState>),
    /// Another upstream is looked for.
    Resuming(Resumption),
    /// The caller has everything that it will get.
    Ended,
}

struct ReadingState {
    body: Incoming,
    lease: ConnectionLease,
    place: RequestDestination,
    seat: LoadSeat,
    guest: Option<GuestSeat>,
    expected: ExpectedFirst,
    sent: BootInstant,
    has_begun: bool,
    /// When its first event came, and how many had been passed on before.
    begun: Option<(BootInstant, u32)>,
    /// The requests that its upstream had at each of its events, and how often that was looked at.
    loads: (u64, u32),
    /// The prompt tokens that its upstream had to read at its last event.
    unread_before: u32,
}

impl ReadingState {
    fn of(placed: PlacedAnswer) -> Box<Self> {
        let PlacedAnswer { answer, place, seat, guest, expected, sent } = placed;
        let (_, body, lease) = answer.into_parts();
        Box::new(Self {
            body,
            lease,
            place,
            seat,
            guest,
            expected,
            sent,
            has_begun: false,
            begun: None,
            loads: (0, 0),
            unread_before: 0,
        })
    }
}

/// What a poll of the upstream gave.
enum RelayStep {
    /// Whole events.
    Events(Bytes),
    /// No whole event yet.
    Nothing,
    /// The end of the stream, after a whole event.
    Whole,
    /// A failure, with its cause.
    Broken(&'static str),
}

/// The body of a streamed answer.
pub struct EventRelay {
    state: RelayState,
    /// Absent while it looks for another upstream.
    driver: Option<RequestDriver>,
    blocks: SseEventBuffer,
    /// Whether events are missing, by their ids.
    order: EventSequenceChecker,
    timer: Pin<Box<BootSleep>>,
    /// When the upstream sent anything last.
    last_news: BootInstant,
    /// The silence after which the stream is resumed elsewhere; absent where that is not permitted.
    stall: Option<Duration>,
    deadline: BootInstant,
    /// Whether the caller has got an event.
    has_first: bool,
    _in_flight: InFlightGuard,
}

impl EventRelay {
    /// Passes on an answer whose head was taken already.
    pub fn new(mut driver: RequestDriver, placed: PlacedAnswer, in_flight: InFlightGuard) -> Self {
        driver.job.is_begun = true;
        let route = &driver.job.route;
        let stall = route.repeat.is_repeatable().then(|| {
            let gaps = route.event_gap.unwrap_or_default() * STALL_GAPS;
            gaps.max(LEAST_STALL)
        });
        let deadline = driver.job.deadline;
        let order = driver.event_order();
        let now = BootInstant::now();
        let wake = stall.map_or(deadline, |stall| deadline.min(now + stall));
        Self {
            state: RelayState::Reading(ReadingState::of(placed)),
            driver: Some(driver),
            blocks: SseEventBuffer::default(),
            order,
            timer: Box::pin(BootSleep::until(wake)),
            last_news: now,
            stall,
            deadline,
            has_first: false,
            _in_flight: in_flight,
        }
    }

    /// The next events.
    pub fn poll_events(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayBroken>>> {
        loop {
            match &mut self.state {
                RelayState::Ended => return Poll::Ready(None),
                RelayState::Resuming(resumption) => {
                    let Poll::Ready((driver, result)) = resumption.as_mut().poll(context) else {
                        ready!(self.poll_deadline(context));
                        return self.cut("the time for it has passed");
                    };
                    if let Err(cause) = self.take_resumed(driver, result) {
                        return self.cut(cause);
                    }
                }
                RelayState::Reading(_) => match self.poll_reading(context) {
                    Poll::Ready(RelayStep::Events(events)) => {
                        return Poll::Ready(Some(Ok(Frame::data(events))));
                    }
                    Poll::Ready(RelayStep::Nothing) => {}
                    Poll::Ready(RelayStep::Whole) => return self.finish(),
                    Poll::Ready(RelayStep::Broken(cause)) => {
                        self.note_broken(cause);
                        self.driver.iter_mut().for_each(RequestDriver::count_break);
                        if !self.resume(cause) {
                            return self.cut(cause);
                        }
                    }
                    Poll::Pending => match ready!(self.poll_silence(context)) {
                        Some(cause) if BootInstant::now() >= self.deadline => {
                            return self.cut(cause);
                        }
                        Some(cause) if !self.leave_silent(cause) => return self.cut(cause),
                        Some(_) => {}
                        None => {}
                    },
                },
            }
        }
    }

    fn poll_reading(&mut self, context: &mut Context<'_>) -> Poll<RelayStep> {
        let RelayState::Reading(reading) = &mut self.state else {
            return Poll::Ready(RelayStep::Nothing);
        };
        let frame = ready!(Pin::new(&mut reading.body).poll_frame(context));
        Poll::Ready(match frame {
            None if self.blocks.is_at_boundary() => RelayStep::Whole,
            None => RelayStep::Broken("it ended within an event"),
            Some(Err(_)) => RelayStep::Broken("its connection broke"),
            Some(Ok(frame)) => match frame.into_data() {
                Err(_) => RelayStep::Nothing,
                Ok(bytes) => self.take_bytes(bytes),
            },
        })
    }

    /// Takes in bytes of the upstream, and gives the events that they complete.
    fn take_bytes(&mut self, bytes: Bytes) -> RelayStep {
        self.note_pause();
        self.last_news = BootInstant::now();
        self.note_heard();
        let passed_on = self.blocks.last_id().map(str::to_owned);
        match self.blocks.push(bytes) {
            Ok(events) if events.is_empty() => RelayStep::Nothing,
            Ok(events) if self.has_gap(&events) => {
                self.blocks.rewind_last_id(passed_on);
                RelayStep::Broken("an event was missing")
            }
            Ok(events) => {
                self.note_first();
                self.note_load();
                RelayStep::Events(events)
            }
            Err(_) => RelayStep::Broken("an event was too large"),
        }
    }

    /// Whether an event is missing before or among these. None of them is passed on then: a caller cannot be told later.
    fn has_gap(&mut self, events: &[u8]) -> bool {
        // An order that found a gap is not used again: the stream goes on elsewhere with what was passed on before.
        let mut order = self.order;
        let is_whole = event_ids(events).all(|id| order.check(id).is_ok());
        match is_whole {
            true => self.order = order,
            false => self.driver.iter().for_each(RequestDriver::note_event_gap),
        }
        !is_whole
    }

    /// Goes on with the answer of another upstream, or says why that is not possible.
    fn take_resumed(
        &mut self,
        driver: RequestDriver,
        result: Result<PlacedAnswer, Refusal>,
    ) -> Result<(), &'static str> {
        self.driver = Some(driver);
        let placed = result.map_err(Refusal::label)?;
        if placed.answer.head.status != StatusCode::OK {
            return Err("it could not be resumed");
        }
        self.last_news = BootInstant::now();
        self.state = RelayState::Reading(ReadingState::of(placed));
        Ok(())
    }

    /// Notes that something was received from the upstream.
    fn note_heard(&self) {
        if let Some((driver, upstream)) = self.reading_from() {
            upstream.note_heard(driver.shared.now());
        }
    }

    /// Notes the first event: of this upstream, and of the whole stream.
    fn note_first(&mut self) {
        let (RelayState::Reading(reading), Some(driver)) = (&mut self.state, &mut self.driver)
        else {
            return;
        };
        if !std::mem::replace(&mut reading.has_begun, true) {
            reading.seat.note_answered();
            driver.note_first(&reading.place, reading.expected, reading.sent);
        }
        if !std::mem::replace(&mut self.has_first, true) {
            let took = driver.job.note_first();
            driver.shared.metrics.note_first(&driver.job.route.name, took);
        }
    }

    /// Notes whether the pause that ends now was longer than wanted.
    fn note_pause(&mut self) {
        let (RelayState::Reading(reading), Some(driver)) = (&mut self.state, &self.driver) else {
            return;
        };
        if let (RequestDestination::Upstream(upstream), Some(wanted), true) =
            (&reading.place, driver.job.route.event_gap, reading.has_begun)
        {
            let is_long = self.last_news.elapsed() > wanted;
            if is_long {
                reading.seat.note_late();
            }
            upstream.pace.lock().record_pause(is_long, driver.shared.now());
            // A prompt that came within the pause stretched it as much as one that was there before.
            let unread_now = upstream.queue().prefill_backlog.ahead_of(QueueRank::Timely);
            let unread = reading.unread_before.max(unread_now);
            driver.shared.note_pause(&driver.job.service, unread, is_long);
        }
    }

    /// Notes how many requests the upstream has.
    fn note_load(&mut self) {
        let RelayState::Reading(reading) = &mut self.state else { return };
        let RequestDestination::Upstream(upstream) = &reading.place else { return };
        reading.begun.get_or_insert_with(|| (BootInstant::now(), self.blocks.count()));
        let queue = upstream.queue();
        reading.loads.0 += u64::from(queue.in_flight);
        reading.loads.1 += 1;
        reading.unread_before = queue.prefill_backlog.ahead_of(QueueRank::Timely);
    }

    /// Waits until the deadline has passed.
    fn poll_deadline(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.timer.as_mut().poll(context));
            if BootInstant::now() >= self.deadline {
                return Poll::Ready(());
            }
            self.timer.reset(self.deadline);
        }
    }

    /// Acts on a long silence. An upstream from which other requests hear is busy, and the stream waits on
    /// for it; so does one that cannot be resumed. A forwarded stream whose upstream is silent for all is
    /// given back to its origin, which may resume it. Returns whether the stream goes on.
    fn leave_silent(&mut self, cause: &'static str) -> bool {
        if !self.is_upstream_dark() {
            self.last_news = BootInstant::now();
            return true;
        }
        if self.driver.as_ref().is_some_and(|driver| driver.job.is_forwarded) {
            return false;
        }
        if let Some((driver, upstream)) = self.reading_from() {
            driver.note_failure(upstream);
        }
        if !self.resume(cause) {
            self.stall = None;
        }
        true
    }

    /// The upstream that events are read from.
    fn reading_from(&self) -> Option<(&RequestDriver, &Arc<Upstream>)> {
        let RelayState::Reading(reading) = &self.state else { return None };
        let RequestDestination::Upstream(upstream) = &reading.place else { return None };
        Some((self.driver.as_ref()?, upstream))
    }

    /// Notes that the connection to the upstream ended before the stream did.
    fn note_broken(&self, cause: &'static str) {
        if let Some((driver, upstream)) = self.reading_from() {
            driver.note_broken(upstream, cause);
        }
    }

    /// Whether this VM has heard nothing at all from the stream's upstream since its last event.
    fn is_upstream_dark(&self) -> bool {
        let Some((driver, upstream)) = self.reading_from() else { return false };
        let last_news = driver.shared.now() - self.last_news.elapsed();
        upstream.is_silent_since(last_news + HEARD_MARGIN)
    }

    /// Waits for the deadline or a long silence; gives which of them it was.
    fn poll_silence(&mut self, context: &mut Context<'_>) -> Poll<Option<&'static str>> {
        loop {
            ready!(self.timer.as_mut().poll(context));
            let now = BootInstant::now();
            if now >= self.deadline {
                return Poll::Ready(Some("the time for it has passed"));
            }
            let silent_until = self.stall.map(|stall| self.last_news + stall);
            if silent_until.is_some_and(|until| now >= until) {
                return Poll::Ready(Some("it was silent for too long"));
            }
            let wake = silent_until.map_or(self.deadline, |until| until.min(self.deadline));
            self.timer.reset(wake);
        }
    }

    /// Goes on at another upstream, if the request permits that. The connection to the earlier one
    /// is closed first, so that it stops.
    fn resume(&mut self, cause: &'static str) -> bool {
        let Some(mut driver) = self.driver.take() else { return false };
        driver.may_have_run = true;
        driver.last_fault = Some(cause.to_owned());
        if !driver.may_repeat() {
            self.driver = Some(driver);
            return false;
        }
        self.blocks.discard_partial_event();
        let after = self.blocks.last_id().map(str::to_owned);
        let resumption = async move {
            let result = driver.open(after.as_deref()).await;
            (driver, result)
        };
        self.state = RelayState::Resuming(Box::pin(resumption));
        true
    }

    /// Ends a whole stream, and keeps the connection to its upstream.
    fn finish(&mut self) -> Poll<Option<Result<Frame<Bytes>, RelayBroken>>> {
        if let RelayState::Reading(mut reading) =
            std::mem::replace(&mut self.state, RelayState::Ended)
        {
            if let Some(driver) = &mut self.driver {
                driver.note_answered(reading.guest.as_mut());
                driver.note_event_order(&self.order);
                driver.note_success(&reading.place, reading.sent);
                if let (Some((begun, before)), (load, looks)) = (reading.begun, reading.loads) {
                    // The first event that came at `begun` is among those before.
                    let events = self.blocks.count() - before + 1;
                    let load = load as f64 / f64::from(looks.max(1));
                    driver.note_stream(events, self.last_news - begun, load);
                }
            }
            reading.lease.give_back(reading.place.pool());
        }
        self.note_end(RequestEnd::Served);
        Poll::Ready(None)
    }

    /// Ends a stream that is not whole, by closing the connection to the caller.
    fn cut(&mut self, cause: &'static str) -> Poll<Option<Result<Frame<Bytes>, RelayBroken>>> {
        self.state = RelayState::Ended;
        if let Some(driver) = &mut self.driver {
            driver.last_fault = Some(cause.to_owned());
        }
        self.note_end(RequestEnd::Cut);
        Poll::Ready(Some(Err(RelayBroken)))
    }

    fn note_end(&mut self, end: RequestEnd) {
        if let Some(driver) = self.driver.take() {
            driver.note_end(end);
        }
    }
}

impl Drop for EventRelay {
    fn drop(&mut self) {
        self.note_end(RequestEnd::CallerLeft);
    }
}
