//! Relays the events of a stream as they arrive, complete events only, and resumes the stream at
//! another upstream if the route permits that.

mod ended_answer;
mod held_events;
mod measurements;
mod numbering;
mod reading;
mod replacement;
mod stalls;

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use bytes::Bytes;
use foldhaven_core::opaque::refusal::Refusal;
use foldhaven_core::opaque::software::SoftwareTag;
use foldhaven_wire::sse::{SseError, SseEventBuffer};
use http::StatusCode;
use http::response::Parts;
use http_body::Frame;

use self::ended_answer::ExitCheck;
use self::held_events::HeldEvents;
use self::numbering::{NumberingCheck, SequenceVerdict};
use self::reading::{ReadFault, ReadingState};
use self::replacement::Resumption;
use self::stalls::{StallStep, take_stall_notice};
use crate::answer::{EventSource, TruncatedStream};
use crate::attempts::{DestinationAnswer, RequestDriver};
use crate::call::AnswerEnd;
use crate::clock::{BootInstant, BootSleep};
use crate::destinations::RequestDestination;
use crate::metrics::RequestEnd;
use crate::shared::{GatewayShared, InFlightGuard};
use crate::upstream::Upstream;

/// A resumable stream is resumed at another upstream when no data has arrived for this many times
/// the target event gap of its route.
const STALL_GAPS: u32 = 3;
/// Minimum of that time. Shorter pauses are usual while an upstream prefills a long prompt.
const MIN_STALL: Duration = Duration::from_millis(1_200);

/// Why a stream that ended with its connection does not count as complete.
const EXITED: &str = "its upstream exited";
/// Why a stream is aborted at its deadline.
const DEADLINE_PASSED: &str = "the time for it has passed";

/// Tolerance when checking whether other requests received data from the upstream. The data of the
/// stream itself is recorded for the upstream slightly later than for the stream.
const RECEIVE_MARGIN: Duration = Duration::from_millis(20);

enum RelayState {
    /// Events of an upstream are relayed.
    Reading(Box<ReadingState>),
    /// The upstream sends nothing, or may have lost events, and another one is being opened. The first
    /// of them that goes on is read.
    Replacing(Box<ReadingState>, Resumption),
    /// The upstream is lost, and another one is being opened.
    Resuming(Resumption),
    /// The stream to the caller has ended.
    Ended,
}

/// The destination at which a stream broke, for the log.
struct BrokenPlace {
    place: String,
    /// The software version of the upstream.
    software: String,
}

/// The result of polling the upstream.
enum RelayStep {
    /// Complete events.
    Events(Bytes),
    /// No complete event yet.
    NoEvent,
    /// The end of the stream, after a complete event.
    End,
    /// A failure, with its cause.
    Broken(&'static str),
}

/// The head of a streamed answer.
pub struct StreamHead {
    pub parts: Parts,
    /// What the end of the answer shows.
    pub end: AnswerEnd,
    /// The software of the upstream. `None` if another VM passes the answer on and does not say it.
    pub software: Option<SoftwareTag>,
    /// The name of the upstream or of the other VM.
    pub place: String,
}

/// The body of a streamed answer.
pub struct EventRelay {
    shared: Arc<GatewayShared>,
    state: RelayState,
    /// `None` while another upstream is being opened.
    driver: Option<RequestDriver>,
    blocks: SseEventBuffer,
    /// Detects missing events by their ids.
    numbering: NumberingCheck,
    /// The events after a suspected gap. `None` if no gap is suspected.
    held: Option<HeldEvents>,
    timer: Pin<Box<BootSleep>>,
    /// The check of an answer that has ended with its connection. `None` unless it is under way.
    exit_check: Option<ExitCheck>,
    /// How many times in a row the stream has stalled, without data in between.
    stall_count: u32,
    /// Whether a silent upstream was lost or given up before another one had answered.
    has_lost_silent: bool,
    /// When data was last received from the upstream.
    last_received: BootInstant,
    /// The time without data after which the stream is resumed elsewhere. `None` if that is not
    /// permitted.
    stall_timeout: Option<Duration>,
    deadline: BootInstant,
    /// Whether the caller was sent an event.
    has_sent_event: bool,
    /// The head of the answer that sends the first event. `None` before the
    /// first answer, and after it was taken.
    head: Option<StreamHead>,
    /// The first bytes of the answer. `None` once they were returned.
    first: Option<Bytes>,
    /// Whether the answer to the caller has started, so that a failure can only be shown by aborting
    /// it.
    has_started: bool,
    /// The failure of an answer that has not started.
    failure: Option<Refusal>,
    /// Where the stream broke last, for the log.
    broken_place: Option<BrokenPlace>,
    /// The number of upstreams that have answered before the first event.
    upstream_number: u8,
    _in_flight: InFlightGuard,
}

impl EventSource for EventRelay {
    fn poll_events(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedStream>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        loop {
            match &mut self.state {
                RelayState::Ended => return Poll::Ready(None),
                RelayState::Resuming(resumption) => {
                    let Poll::Ready((driver, opened)) = resumption.poll(context) else {
                        ready!(self.poll_deadline(context));
                        self.cancel_replacement(context);
                        return self.abort(DEADLINE_PASSED);
                    };
                    if let Err(cause) = self.apply_resumption(driver, opened) {
                        return self.abort(cause);
                    }
                }
                RelayState::Replacing(..) => {
                    ready!(self.poll_replacing(context));
                    if BootInstant::now() >= self.deadline {
                        self.cancel_replacement(context);
                        return self.abort(DEADLINE_PASSED);
                    }
                }
                RelayState::Reading(_) => match self.poll_reading(context) {
                    Poll::Ready(RelayStep::Events(events)) => {
                        return Poll::Ready(Some(Ok(Frame::data(events))));
                    }
                    Poll::Ready(RelayStep::NoEvent) => {}
                    Poll::Ready(RelayStep::End) => match ready!(self.poll_exit_check(context)) {
                        false => return self.finish(),
                        true if self.go_on_elsewhere(EXITED) => {}
                        true => return self.abort(EXITED),
                    },
                    Poll::Ready(RelayStep::Broken(cause)) => {
                        if !self.go_on_elsewhere(cause) {
                            return self.abort(cause);
                        }
                    }
                    Poll::Pending if let Poll::Ready(events) = self.poll_held(context) => {
                        return Poll::Ready(Some(Ok(Frame::data(events))));
                    }
                    Poll::Pending => match ready!(self.poll_timer(context)) {
                        StallStep::Wait => {}
                        StallStep::Notify(notice) => {
                            return Poll::Ready(Some(Ok(Frame::data(notice))));
                        }
                        StallStep::Abort(cause) => return self.abort(cause),
                    },
                },
            }
        }
    }
}

impl EventRelay {
    /// Creates the relay for an answer whose head was received.
    pub fn new(
        mut driver: RequestDriver,
        opened: DestinationAnswer,
        in_flight: InFlightGuard,
    ) -> Self {
        driver.job.has_partial_answer = true;
        driver.may_have_run = true;
        let route = &driver.job.route;
        let stall_timeout = route.repeat.is_repeatable().then(|| {
            let gaps = route.event_gap.unwrap_or_default() * STALL_GAPS;
            gaps.max(MIN_STALL)
        });
        let deadline = driver.job.deadline;
        let software = opened.software.unwrap_or(SoftwareTag::UNKNOWN);
        let numbering = NumberingCheck::new(&driver, software);
        let now = BootInstant::now();
        let wake =
            stall_timeout.map_or(deadline, |stall_timeout| deadline.min(now + stall_timeout));
        let mut relay = Self {
            shared: driver.shared.clone(),
            state: RelayState::Ended,
            driver: Some(driver),
            blocks: SseEventBuffer::default(),
            numbering,
            held: None,
            timer: Box::pin(BootSleep::until(wake)),
            exit_check: None,
            stall_count: 0,
            has_lost_silent: false,
            last_received: now,
            stall_timeout,
            deadline,
            has_sent_event: false,
            head: None,
            first: None,
            has_started: false,
            failure: None,
            broken_place: None,
            upstream_number: 0,
            _in_flight: in_flight,
        };
        relay.start_reading(opened);
        relay
    }

    /// Waits for the first bytes of the answer, and returns its head. Until then, another upstream may
    /// answer instead.
    ///
    /// # Errors
    ///
    /// If the stream failed before its first event.
    pub async fn start(&mut self) -> Result<StreamHead, Refusal> {
        let first = poll_fn(|context| self.poll_events(context)).await;
        self.has_started = true;
        self.first = match first {
            Some(Ok(frame)) => frame.into_data().ok(),
            Some(Err(TruncatedStream)) => return Err(self.failure.unwrap_or(Refusal::Broken)),
            None => None,
        };
        let head = self.head.take().ok_or(Refusal::Broken)?;
        if let (Some(driver), Some(software)) = (&mut self.driver, head.software) {
            // The head tells another VM this software, also if no event has followed yet.
            driver.job.software.get_or_insert(software);
        }
        Ok(head)
    }

    /// Starts to read the answer of an upstream.
    fn start_reading(&mut self, opened: DestinationAnswer) {
        let software = opened.software;
        let (parts, reading) = ReadingState::of(opened);
        if let Some(driver) = &mut self.driver {
            driver.last_end = Some(reading.end);
        }
        if !self.has_started {
            let place = reading.destination.name().to_owned();
            self.head = Some(StreamHead { parts, end: reading.end, software, place });
        }
        self.record_origin(reading.software);
        self.state = RelayState::Reading(reading);
        self.stall_count = 0;
        self.reset_timer();
    }

    fn poll_reading(&mut self, context: &mut Context<'_>) -> Poll<RelayStep> {
        let RelayState::Reading(reading) = &mut self.state else {
            return Poll::Ready(RelayStep::NoEvent);
        };
        let frame = ready!(reading.poll_frame(context));
        Poll::Ready(match frame {
            None if !self.blocks.is_at_boundary() => RelayStep::Broken("it ended within an event"),
            None if self.held.is_some() => {
                reading.put_back(None);
                self.release_held().map_or(RelayStep::NoEvent, RelayStep::Events)
            }
            None if reading.is_empty_without_framing() => {
                RelayStep::Broken("it ended before its first event")
            }
            None => RelayStep::End,
            Some(Err(fault)) => {
                if fault == ReadFault::MissingBytes {
                    self.shared.metrics.count_event("peer_bytes_missing");
                }
                RelayStep::Broken(fault.cause())
            }
            Some(Ok(frame)) => match frame.into_data() {
                Err(_) => RelayStep::NoEvent,
                Ok(bytes) => self.push_bytes(bytes),
            },
        })
    }

    /// Processes bytes of the upstream, and returns the events that they complete.
    fn push_bytes(&mut self, bytes: Bytes) -> RelayStep {
        self.record_pause();
        self.last_received = BootInstant::now();
        self.stall_count = 0;
        self.record_received();
        let passed_on = self.blocks.last_id().map(str::to_owned);
        let pushed = self.blocks.push(bytes);
        let (pushed, is_peer_stalled) = match pushed {
            Ok(events) if self.reads_from_peer() => {
                let (events, is_stalled) = take_stall_notice(events);
                (Ok(events), is_stalled)
            }
            pushed => (pushed, false),
        };
        let step = self.check_events(pushed, passed_on);
        if is_peer_stalled && !matches!(step, RelayStep::Broken(_)) {
            self.replace_silent();
        }
        step
    }

    /// Checks complete events that were received.
    fn check_events(
        &mut self,
        pushed: Result<Bytes, SseError>,
        passed_on: Option<String>,
    ) -> RelayStep {
        let Ok(events) = pushed else { return RelayStep::Broken("an event was too large") };
        if events.is_empty() {
            return RelayStep::NoEvent;
        }
        let is_verified = matches!(&self.state,
            RelayState::Reading(reading) if reading.is_verified());
        let verdict = self.numbering.check(&events, is_verified);
        if verdict == SequenceVerdict::Repeated {
            self.blocks.set_last_id(passed_on);
            return RelayStep::Broken("an event was repeated");
        }
        let events = self.pass_or_hold(events, verdict, passed_on);
        if events.is_empty() {
            return RelayStep::NoEvent;
        }
        self.record_time_to_first();
        self.sample_load();
        RelayStep::Events(events)
    }

    /// Continues with the answer of another upstream, or returns why that is not possible.
    fn apply_resumption(
        &mut self,
        driver: RequestDriver,
        opened: Result<DestinationAnswer, Refusal>,
    ) -> Result<(), &'static str> {
        let driver = self.driver.insert(driver);
        if std::mem::take(&mut self.has_lost_silent) {
            driver.record_broken_connection();
        }
        let opened = opened.map_err(Refusal::label)?;
        if opened.answer.head.status != StatusCode::OK {
            return Err("it could not be resumed");
        }
        self.last_received = BootInstant::now();
        self.log_resumed(&opened.destination);
        if let Some(driver) = self.driver.as_ref().filter(|_| !self.has_sent_event) {
            self.numbering.restart(driver, opened.software.unwrap_or(SoftwareTag::UNKNOWN));
        }
        self.start_reading(opened);
        Ok(())
    }

    /// Logs that the stream goes on at another destination, or at the same one again.
    fn log_resumed(&self, destination: &RequestDestination) {
        let Some(driver) = &self.driver else { return };
        let broken = self.broken_place.as_ref();
        driver.shared.metrics.count_event("stream_resumed");
        if driver.shared.quota.take(false) {
            tracing::info!(
                request = driver.job.id(),
                service = %driver.job.service,
                from = broken.map_or("-", |it| it.place.as_str()),
                from_software = broken.map_or("-", |it| it.software.as_str()),
                place = destination.name(),
                software = destination.software_label(),
                after = self.blocks.last_id().unwrap_or("-"),
                cause = driver.last_fault.as_deref().unwrap_or("-"),
                ms = driver.job.started.elapsed().as_millis() as u64,
                "stream resumed"
            );
        }
    }

    /// Returns the driver and the upstream that events are read from. `None` for another VM.
    fn reading_from(&self) -> Option<(&RequestDriver, &Arc<Upstream>)> {
        let RelayState::Reading(reading) = &self.state else { return None };
        let RequestDestination::Upstream(upstream) = &reading.destination else { return None };
        Some((self.driver.as_ref()?, upstream))
    }

    /// Whether the events come through another VM.
    fn reads_from_peer(&self) -> bool {
        matches!(&self.state, RelayState::Reading(reading)
            if matches!(reading.destination, RequestDestination::Peer(_)))
    }

    /// Records that the stream from the upstream broke, and resumes it at another one. Returns whether
    /// that is permitted.
    fn go_on_elsewhere(&mut self, cause: &'static str) -> bool {
        self.discard_held();
        self.record_broken(cause);
        self.driver.iter_mut().for_each(RequestDriver::record_broken_connection);
        self.resume(cause)
    }

    /// Records that the stream from the upstream broke.
    fn record_broken(&self, cause: &'static str) {
        if let Some((driver, upstream)) = self.reading_from() {
            driver.record_broken(upstream, cause);
        }
    }

    /// Ends a complete stream, and returns the connection to its pool.
    fn finish(&mut self) -> Poll<Option<Result<Frame<Bytes>, TruncatedStream>>> {
        if let RelayState::Reading(mut reading) =
            std::mem::replace(&mut self.state, RelayState::Ended)
        {
            if let Some(driver) = &mut self.driver {
                driver.record_answered(reading.request_guard.take(), reading.end, true);
                self.numbering.record_complete();
                driver.record_success(&reading.destination, reading.expected, reading.sent);
                if let (Some((first_event, before)), (load, samples)) =
                    (reading.first_event, reading.load_samples)
                {
                    // `before` already counts the event that arrived at `first_event`.
                    let events = self.blocks.count() - before + 1;
                    let load = load as f64 / f64::from(samples.max(1));
                    let time = self.last_received - first_event;
                    driver.record_complete_stream(&reading.destination, events, time, load);
                }
            }
            reading.lease.return_to_pool(reading.destination.pool());
        }
        self.record_end(RequestEnd::Served);
        Poll::Ready(None)
    }

    /// Aborts an incomplete stream: by a failure if the answer has not started, else by closing the
    /// connection to the caller.
    fn abort(
        &mut self,
        cause: &'static str,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedStream>>> {
        self.state = RelayState::Ended;
        if let Some(driver) = &mut self.driver {
            driver.last_fault = Some(cause.to_owned());
        }
        let failure = match BootInstant::now() >= self.deadline {
            true => Refusal::TimedOut,
            false => Refusal::Broken,
        };
        self.failure = Some(failure);
        self.record_end(match self.has_started {
            true => RequestEnd::Cut,
            false => RequestEnd::Refused(failure.label()),
        });
        Poll::Ready(Some(Err(TruncatedStream)))
    }

    fn record_end(&mut self, end: RequestEnd) {
        if let Some(driver) = self.driver.take() {
            driver.record_end(end);
        }
    }
}

impl Drop for EventRelay {
    fn drop(&mut self) {
        // A resumption that panicked must not be polled again.
        if !std::thread::panicking() {
            self.cancel_replacement(&mut Context::from_waker(Waker::noop()));
        }
        self.record_end(RequestEnd::CallerLeft);
    }
}
