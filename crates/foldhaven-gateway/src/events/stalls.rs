//! Decides what happens to a stream without data.

use std::task::{Context, Poll, ready};

use bytes::Bytes;

use super::{DEADLINE_PASSED, EventRelay, RECEIVE_MARGIN, RelayState};
use crate::clock::BootInstant;

/// A comment in a stream between two VMs: the upstream sends no data at all, and the origin may look
/// for another one. Callers never get it.
const STALL_NOTICE: &[u8] = b": foldhaven-stalled\n\n";

/// What happens to a stream whose timer has ended.
pub(super) enum StallStep {
    /// It goes on.
    Wait,
    /// These bytes are sent to the VM that forwarded the request.
    Notify(Bytes),
    /// It is aborted, for this cause.
    Abort(&'static str),
}

/// Whether bytes are one or more notices and nothing else.
pub(super) fn is_stall_notice(bytes: &[u8]) -> bool {
    !bytes.is_empty() && bytes.chunks(STALL_NOTICE.len()).all(|chunk| chunk == STALL_NOTICE)
}

/// Removes notices from events that another VM passed on. Returns the other events and whether
/// there was a notice.
pub(super) fn take_stall_notice(events: Bytes) -> (Bytes, bool) {
    let may_have_notice = events.windows(STALL_NOTICE.len()).any(|bytes| bytes == STALL_NOTICE);
    if !may_have_notice {
        return (events, false);
    }
    let mut others = Vec::with_capacity(events.len());
    let mut rest = &events[..];
    while !rest.is_empty() {
        let end = rest.windows(2).position(|pair| pair == b"\n\n").map_or(rest.len(), |at| at + 2);
        let (event, after) = rest.split_at(end);
        if event != STALL_NOTICE {
            others.extend_from_slice(event);
        }
        rest = after;
    }
    let has_notice = others.len() < events.len();
    (Bytes::from(others), has_notice)
}

impl EventRelay {
    /// Polls until the deadline passes or the stream stalls, and handles it.
    pub(super) fn poll_timer(&mut self, context: &mut Context<'_>) -> Poll<StallStep> {
        loop {
            ready!(self.timer.as_mut().poll(context));
            let now = BootInstant::now();
            if now >= self.deadline {
                return Poll::Ready(StallStep::Abort(DEADLINE_PASSED));
            }
            let stalled_at =
                self.stall_timeout.map(|stall_timeout| self.last_received + stall_timeout);
            if stalled_at.is_some_and(|until| now >= until) {
                return Poll::Ready(self.handle_stall());
            }
            let wake = stalled_at.map_or(self.deadline, |until| until.min(self.deadline));
            self.timer.reset(wake);
        }
    }

    /// Sets the timer to the time at which the stream stalls or its deadline passes.
    pub(super) fn reset_timer(&mut self) {
        let stalled_at = self.stall_timeout.map(|stall_timeout| self.last_received + stall_timeout);
        let wake = stalled_at.map_or(self.deadline, |until| until.min(self.deadline));
        self.timer.reset(wake);
    }

    /// Polls until the deadline has passed.
    pub(super) fn poll_deadline(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.timer.as_mut().poll(context));
            if BootInstant::now() >= self.deadline {
                return Poll::Ready(());
            }
            self.timer.reset(self.deadline);
        }
    }

    /// Handles a stalled stream. If other requests receive data from the upstream, it is busy, and
    /// the stream waits. Otherwise, another upstream is opened beside it, by the VM that the caller
    /// uses: a forwarded stream informs its origin.
    fn handle_stall(&mut self) -> StallStep {
        if !self.is_upstream_unresponsive() {
            self.log_stall("upstream_busy");
            self.last_received = BootInstant::now();
            return StallStep::Wait;
        }
        if let (Some((driver, upstream)), 0) = (self.reading_from(), self.stall_count) {
            driver.record_failure(upstream);
            upstream.record_unreachable(driver.shared.now());
        }
        self.stall_count += 1;
        if let Some(job) = self.driver.as_ref().map(|driver| &driver.job)
            && job.is_forwarded
        {
            let reads_stalls = job.origin_reads_stalls;
            self.log_stall(if reads_stalls { "origin_informed" } else { "aborted" });
            self.last_received = BootInstant::now();
            return match reads_stalls {
                true => StallStep::Notify(Bytes::from_static(STALL_NOTICE)),
                false => StallStep::Abort("it was silent for too long"),
            };
        }
        if !self.replace_silent() {
            self.log_stall("waits");
            self.last_received = BootInstant::now();
        }
        StallStep::Wait
    }

    /// Whether this VM has received no data at all from the upstream since the last data of the
    /// stream.
    fn is_upstream_unresponsive(&self) -> bool {
        let Some((driver, upstream)) = self.reading_from() else { return false };
        let last_received = driver.shared.now() - self.last_received.elapsed();
        upstream.is_unresponsive_since(last_received + RECEIVE_MARGIN)
    }

    /// Logs how this VM handles a stream without data.
    pub(super) fn log_stall(&self, decision: &'static str) {
        let (RelayState::Reading(reading), Some(driver)) = (&self.state, &self.driver) else {
            return;
        };
        driver.shared.metrics.count_event("stream_stalled");
        if !driver.shared.quota.take(false) {
            return;
        }
        tracing::info!(
            request = driver.job.id(),
            place = reading.destination.name(),
            decision,
            silent_ms = self.last_received.elapsed().as_millis() as u64,
            upstream_silent = self.is_upstream_unresponsive(),
            after = self.blocks.last_id().unwrap_or("-"),
            tries = driver.delivered_attempts,
            forwarded = driver.job.is_forwarded,
            "no data of a stream"
        );
    }
}
