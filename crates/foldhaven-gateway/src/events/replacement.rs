//! Opens another upstream for a stream that is lost, whose upstream sends nothing, or which may lack
//! an event. An upstream that may go on is given up only once the other one has answered.

use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use foldhaven_core::opaque::refusal::Refusal;
use http::StatusCode;

use super::reading::BodyFrame;
use super::stalls::is_stall_notice;
use super::{BrokenPlace, EventRelay, RelayState};
use crate::attempts::{DestinationAnswer, LoggedAttempt, RequestDriver, SendTime};
use crate::clock::BootInstant;
use crate::destinations::RequestDestination;
use crate::upstream_exits::start_exit_check;

/// The cause of replacing an upstream that sends nothing.
const SILENT: &str = "it was silent for too long";
/// The cause of replacing an upstream whose connection may have lost events.
const SUSPECTED: &str = "an event may be missing";

/// How long a silent upstream stays connected after the stream was sent to another one, which has
/// not answered either. Afterwards only the other one works on the request.
const MAX_OVERLAP: Duration = Duration::from_millis(300);
/// Interval at which the end of the overlap is checked.
const OVERLAP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A request driver that is opening another upstream.
pub(super) struct Resumption {
    opening: Pin<Box<dyn Future<Output = (RequestDriver, OpenResult)> + Send>>,
    is_cancelled: Arc<AtomicBool>,
    /// When the attempt that is under way was sent.
    sent: Arc<SendTime>,
    /// The attempt that is replaced, for the log.
    replaced: LoggedAttempt,
}

/// The answer of the other upstream.
type OpenResult = Result<DestinationAnswer, Refusal>;

impl Resumption {
    /// Starts to open another upstream, which continues after the event of that id.
    fn start(mut driver: RequestDriver, after: Option<String>) -> Self {
        let replaced = driver.logged_attempt();
        let sent = driver.watch_sending();
        let is_cancelled = Arc::new(AtomicBool::new(false));
        let cancelled = is_cancelled.clone();
        let opening = async move {
            let opened = {
                let mut opening = pin!(driver.open(after.as_deref()));
                let until_cancelled = poll_fn(|context| match cancelled.load(Ordering::Relaxed) {
                    true => Poll::Ready(Err(Refusal::Broken)),
                    false => opening.as_mut().poll(context),
                });
                until_cancelled.await
            };
            (driver, opened)
        };
        Self { opening: Box::pin(opening), is_cancelled, sent, replaced }
    }

    /// Polls until the other upstream has answered, or there is none.
    pub(super) fn poll(&mut self, context: &mut Context<'_>) -> Poll<(RequestDriver, OpenResult)> {
        self.opening.as_mut().poll(context)
    }

    /// Whether the other upstream has had the stream for as long as two may have it.
    fn is_overlap_over(&self) -> bool {
        self.sent.elapsed().is_some_and(|elapsed| elapsed >= MAX_OVERLAP)
    }

    /// Stops opening another upstream, and returns the driver.
    fn cancel(mut self, context: &mut Context<'_>) -> Option<RequestDriver> {
        self.is_cancelled.store(true, Ordering::Relaxed);
        match self.poll(context) {
            Poll::Ready((mut driver, _)) => {
                driver.return_to(self.replaced);
                Some(driver)
            }
            Poll::Pending => None,
        }
    }
}

/// Whether a frame holds only notices of a stalled stream.
fn is_notice(frame: &BodyFrame) -> bool {
    let Some(Ok(frame)) = frame else { return false };
    frame.data_ref().is_some_and(|bytes| is_stall_notice(bytes))
}

impl EventRelay {
    /// Starts to open another upstream, if the request permits that.
    fn start_resumption(&mut self, cause: &'static str) -> Option<Resumption> {
        let mut driver = self.driver.take()?;
        driver.last_fault = Some(cause.to_owned());
        if !driver.may_repeat() {
            self.driver = Some(driver);
            return None;
        }
        let (place, software) = (driver.last_destination.clone(), driver.last_software.clone());
        self.broken_place =
            place.zip(software).map(|(place, software)| BrokenPlace { place, software });
        let after = self.blocks.last_id().map(str::to_owned);
        Some(Resumption::start(driver, after))
    }

    /// Resumes a lost stream at another upstream, if the request permits that. The connection to
    /// the earlier upstream is closed first, so that it stops working on the request.
    pub(super) fn resume(&mut self, cause: &'static str) -> bool {
        if let Some(driver) = &mut self.driver {
            driver.avoid_tried(false);
        }
        let Some(resumption) = self.start_resumption(cause) else { return false };
        self.blocks.discard_partial_event();
        self.state = RelayState::Resuming(resumption);
        true
    }

    /// Looks for another upstream while the present one sends nothing, if the request permits that.
    pub(super) fn replace_silent(&mut self) -> bool {
        if let Some(driver) = &mut self.driver {
            driver.avoid_tried(true);
        }
        self.replace(SILENT)
    }

    /// Looks for another upstream, or opens the present one again, while events are held back after a
    /// suspected gap, if the request permits that.
    pub(super) fn replace_suspected(&mut self) -> bool {
        if let Some(driver) = &mut self.driver {
            driver.avoid_tried(false);
        }
        self.replace(SUSPECTED)
    }

    /// Opens another upstream beside the present one.
    fn replace(&mut self, cause: &'static str) -> bool {
        if !matches!(self.state, RelayState::Reading(_)) {
            return false;
        }
        let Some(resumption) = self.start_resumption(cause) else { return false };
        match std::mem::replace(&mut self.state, RelayState::Ended) {
            RelayState::Reading(reading) => {
                self.state = RelayState::Replacing(reading, resumption);
            }
            other => self.state = other,
        }
        true
    }

    /// Polls the present upstream and the one that is being opened, until one of them goes on or
    /// there is no other one.
    pub(super) fn poll_replacing(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.is_hold_over(context) {
            self.cancel_replacement(context);
            return Poll::Ready(());
        }
        while let Poll::Ready(frame) = self.poll_replaced(context) {
            if is_notice(&frame) {
                continue;
            }
            if self.is_lost(&frame) {
                self.lose_replaced();
            } else if self.held.is_none() {
                self.keep_silent(frame, context);
            } else if self.hold_frame(frame) {
                continue;
            } else {
                self.lose_replaced();
            }
            return Poll::Ready(());
        }
        let RelayState::Replacing(_, resumption) = &mut self.state else {
            return Poll::Ready(());
        };
        match resumption.poll(context) {
            Poll::Ready((driver, opened)) => self.end_replacement(driver, opened),
            Poll::Pending if resumption.is_overlap_over() => self.lose_replaced(),
            Poll::Pending => {
                ready!(self.poll_overlap(context));
            }
        }
        Poll::Ready(())
    }

    /// Polls the upstream that is replaced for its next frame, up to the end of its answer.
    fn poll_replaced(&mut self, context: &mut Context<'_>) -> Poll<BodyFrame> {
        match &mut self.state {
            RelayState::Replacing(reading, _) if !reading.is_at_end() => {
                reading.poll_frame(context)
            }
            _ => Poll::Pending,
        }
    }

    /// Polls until the overlap has to be checked again.
    fn poll_overlap(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let next = BootInstant::now() + OVERLAP_POLL_INTERVAL;
        self.timer.reset(next.min(self.deadline));
        self.timer.as_mut().poll(context)
    }

    /// Goes on with the other upstream, or with the present one if there is no other one.
    fn end_replacement(&mut self, mut driver: RequestDriver, opened: OpenResult) {
        let replaced = std::mem::replace(&mut self.state, RelayState::Ended);
        let RelayState::Replacing(reading, resumption) = replaced else { return };
        match opened {
            Ok(opened) if opened.answer.head.status == StatusCode::OK => {
                // Closes the connection, so that the earlier upstream stops working on the request.
                drop(reading);
                self.discard_held();
                self.blocks.discard_partial_event();
                // Only other statuses are errors.
                let _ = self.apply_resumption(driver, Ok(opened));
            }
            _ => {
                driver.return_to(resumption.replaced);
                self.driver = Some(driver);
                self.state = RelayState::Reading(reading);
                if self.held.is_none() {
                    self.log_stall("no_replacement");
                }
                self.last_received = BootInstant::now();
                self.reset_timer();
            }
        }
    }

    /// Whether a frame shows that the stream of the replaced upstream is lost.
    fn is_lost(&self, frame: &BodyFrame) -> bool {
        let RelayState::Replacing(reading, _) = &self.state else { return false };
        match frame {
            Some(Ok(_)) => false,
            Some(Err(_)) => true,
            None => !self.blocks.is_at_boundary() || reading.is_empty_without_framing(),
        }
    }

    /// Goes on with the upstream that is being opened, after the present one was lost or given up.
    fn lose_replaced(&mut self) {
        let replaced = std::mem::replace(&mut self.state, RelayState::Ended);
        let RelayState::Replacing(reading, resumption) = replaced else { return };
        self.discard_held();
        if let RequestDestination::Upstream(upstream) = &reading.destination {
            start_exit_check(&self.shared, upstream);
        }
        self.has_lost_silent = true;
        self.blocks.discard_partial_event();
        self.state = RelayState::Resuming(resumption);
    }

    /// Goes on with the silent upstream, which has sent a frame.
    fn keep_silent(&mut self, frame: BodyFrame, context: &mut Context<'_>) {
        self.cancel_replacement(context);
        self.log_stall("went_on");
        if let RelayState::Reading(reading) = &mut self.state {
            reading.put_back(frame);
        }
    }

    /// Stops opening another upstream, and goes on reading the present one, if there is one.
    pub(super) fn cancel_replacement(&mut self, context: &mut Context<'_>) {
        self.state = match std::mem::replace(&mut self.state, RelayState::Ended) {
            RelayState::Replacing(reading, resumption) => {
                self.driver = resumption.cancel(context);
                self.last_received = BootInstant::now();
                self.reset_timer();
                RelayState::Reading(reading)
            }
            RelayState::Resuming(resumption) => {
                self.driver = resumption.cancel(context);
                RelayState::Ended
            }
            other => other,
        };
    }
}
