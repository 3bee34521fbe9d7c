//! Records the outcomes of attempts for their destinations, and how requests ended.

use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::burn::BurnEvent;
use foldhaven_core::opaque::affinity::PromptPlacement;
use foldhaven_core::opaque::performance::QueueState;
use foldhaven_core::opaque::prefix_use::{PrefixCause, PrefixUse};
use foldhaven_core::opaque::queue_rank::QueueRank;
use http::StatusCode;

use super::{FirstResponseEstimate, RequestDriver};
use crate::call::{AnswerEnd, CallFault, OpenAnswer};
use crate::clock::BootInstant;
use crate::destinations::RequestDestination;
use crate::metrics::{RequestBurn, RequestEnd};
use crate::upstream::Upstream;
use crate::upstream_exits::start_exit_check;

/// Minimum number of events of a stream for measuring the interval between events.
const MIN_EVENTS: u32 = 4;

impl RequestDriver {
    /// Records which upstream will cache the segments of the prompt, and queues this for other VMs.
    pub(super) fn record_placement(&self, destination: &RequestDestination) {
        let (RequestDestination::Upstream(upstream), Some(outline)) =
            (destination, &self.job.outline)
        else {
            return;
        };
        let placement = PromptPlacement {
            upstream: upstream.tag,
            shared: outline.shared.clone(),
            unshared_tokens: outline.unshared_tokens,
        };
        self.shared.prefix_caches.lock().record(&placement, upstream.identity.prompt_memory);
        self.shared.placements.lock().push(placement);
    }

    /// Counts the shared tokens of a prompt that was sent, and those of them that are read.
    pub(super) fn count_prefix(&self, prefix: PrefixUse) {
        if prefix.cause == PrefixCause::None {
            return;
        }
        let metrics = &self.shared.metrics;
        metrics.add_events("prefix_tokens", u64::from(prefix.shared_tokens));
        if let Some(event) = prefix.cause.event() {
            metrics.add_events(event, u64::from(prefix.missing_tokens));
        }
    }

    /// Records whether an upstream with the given queue accepted the request.
    pub(super) fn update_queue_capacity(
        &self,
        upstream: &Upstream,
        queue: QueueState,
        opened: &Result<OpenAnswer, CallFault>,
    ) {
        let service = &self.job.service;
        match opened {
            Ok(_) => {
                self.shared.update_queue_capacity(service, |capacity| match self.job.is_plain() {
                    true => capacity.record_plain_accepted(queue),
                    false => capacity.record_accepted(queue),
                });
            }
            Err(fault) if fault.is_full() => {
                let capacity = self
                    .shared
                    .update_queue_capacity(service, |capacity| capacity.record_refused(queue));
                upstream
                    .performance
                    .lock()
                    .record_queue_full(capacity.full_queue_load(queue), self.shared.now());
            }
            Err(_) => {}
        }
    }

    /// Records the time to a first answer for the margin of waiting requests.
    fn record_first_answer(&self, took: Duration) {
        if self.job.level.is_some() {
            let performance = self.shared.measured_performance(&self.job.service);
            let prefill = performance.prefill_time(self.job.unshared_tokens());
            let room = self.shared.waiting_rooms.room(&self.job.service);
            room.lock().record_first_answer(took, prefill);
        }
    }

    /// Records the time to the first response of a destination.
    pub fn record_time_to_first(
        &self,
        destination: &RequestDestination,
        expected: FirstResponseEstimate,
        sent: BootInstant,
    ) {
        if let RequestDestination::Upstream(upstream) = destination
            && expected.rank == QueueRank::Timely
        {
            let took = sent.elapsed();
            self.record_first_answer(took);
            upstream.performance.lock().record_time_to_first(
                expected.time,
                took,
                self.shared.now(),
            );
            if let Some(tokens) = expected.prefill_before_answer {
                self.shared.record_prefill(upstream, tokens, took);
            }
        }
    }

    /// Records that a destination answered completely.
    pub fn record_success(
        &self,
        destination: &RequestDestination,
        expected: FirstResponseEstimate,
        sent: BootInstant,
    ) {
        if let RequestDestination::Upstream(upstream) = destination {
            let usual = self.record_route_end(false);
            upstream.performance.lock().record_end(false, usual, self.shared.now());
            upstream.health.lock().record_success();
            match self.job.is_plain() {
                true => self.shared.record_work(upstream, expected.queue, sent.elapsed()),
                false => self.shared.record_slot_time(upstream, sent.elapsed()),
            }
            if let Some(level) = self.job.level {
                let room = self.shared.waiting_rooms.room(&self.job.service);
                room.lock().record_slot_time(level, sent.elapsed());
            }
        }
    }

    /// Records that a destination answered with a failure status.
    pub(super) fn record_failed_answer(
        &mut self,
        destination: &RequestDestination,
        status: StatusCode,
    ) {
        self.last_fault = Some(format!("the upstream answered {status}"));
        if let RequestDestination::Upstream(upstream) = destination {
            self.record_failure(upstream);
        }
    }

    /// Records that a request failed at an upstream after it may have run.
    pub fn record_failure(&self, upstream: &Upstream) {
        upstream.record_failure(self.record_route_end(true), self.shared.now());
    }

    /// Records that the connection to an upstream broke while the request was in flight.
    pub fn record_broken(&self, upstream: &Arc<Upstream>, cause: &str) {
        self.record_failure(upstream);
        start_exit_check(&self.shared, upstream);
        self.shared.metrics.count_event("connection_broke");
        if self.shared.quota.take(false) {
            tracing::info!(
                upstream = %upstream.name(),
                request = self.job.id(),
                print = %self.job.fingerprint,
                cause,
                tries = self.delivered_attempts,
                others = upstream.load.share().in_flight,
                ms = self.job.started.elapsed().as_millis() as u64,
                "connection to an upstream broke during a request"
            );
        }
    }

    /// Records whether a request of this route failed at an upstream. Returns the usual failure
    /// share of the route.
    fn record_route_end(&self, has_failed: bool) -> f64 {
        let route = &self.job.route.name;
        self.shared
            .update_route_history(route, |history| history.record_outcome(has_failed))
            .failure_share()
    }

    /// Records a complete stream: its number of events, the time from the first to the last one,
    /// and the mean number of requests at its upstream meanwhile.
    pub fn record_complete_stream(
        &self,
        destination: &RequestDestination,
        events: u32,
        time: Duration,
        load: f64,
    ) {
        self.shared.update_route_history(&self.job.route.name, |history| {
            history.record_event_count(events);
            history.record_length(events, self.job.length_hint, self.job.output_tokens);
        });
        if let RequestDestination::Upstream(upstream) = destination
            && events >= MIN_EVENTS
        {
            self.shared.record_stream(upstream, time, events - 1, load);
        }
    }

    /// Records a fault of a destination.
    pub(super) fn record_fault(&mut self, destination: &RequestDestination, fault: &CallFault) {
        self.last_fault = Some(fault.to_string());
        self.may_have_run |= fault.may_have_run();
        self.broken_connections += u32::from(matches!(fault, CallFault::Broken(_)));
        let RequestDestination::Upstream(upstream) = destination else { return };
        let now = self.shared.now();
        match fault {
            CallFault::NotSent(_) => {
                self.tried.unreached += 1;
                self.shared.paths.record_failure(&self.shared, upstream);
            }
            // Another process has the address now.
            CallFault::Declined { .. } if fault.is_misdirected() => {
                upstream.record_unreachable(now)
            }
            CallFault::Broken(cause) => self.record_broken(upstream, cause),
            CallFault::Unresponsive | CallFault::TimedOut => self.record_failure(upstream),
            // Only VMs refuse a request in this way.
            CallFault::Unreached => {}
            // The upstream is not at fault.
            CallFault::Withdrawn => self.shared.metrics.count_event("suspect_called_back"),
            // A refusal by a full upstream is no evidence about the failures of the route.
            CallFault::Declined { .. } => upstream.performance.lock().record_end(true, 0.0, now),
        }
    }

    /// Returns how the request counts for the error budget of its route.
    fn burn_event(&self, end: RequestEnd) -> BurnEvent {
        let is_timely = self.job.time_to_first.is_some_and(|first| first <= self.job.route.target);
        match end {
            RequestEnd::Served if is_timely => BurnEvent::Good,
            RequestEnd::Refused(_) if !self.may_have_run => BurnEvent::Refused,
            _ => BurnEvent::Bad,
        }
    }

    /// Counts and logs the end of the request.
    pub fn record_end(&self, end: RequestEnd) {
        let job = &self.job;
        let shared = &self.shared;
        if end == RequestEnd::Served {
            let took = job.started.elapsed();
            shared.update_route_history(&job.route.name, |history| history.record_duration(took));
        }
        if !job.is_forwarded {
            let burn = RequestBurn {
                event: self.burn_event(end),
                worth: f64::from(job.size()),
                now: shared.now(),
            };
            shared.metrics.count_end(&job.route.name, end, burn);
        }
        let is_plain = end == RequestEnd::Served && self.last_fault.is_none();
        if !shared.quota.take(is_plain) {
            return;
        }
        let expected = self.last_choice;
        let prefix = expected.map_or_else(PrefixUse::default, |it| it.prefix);
        let view = shared.view();
        tracing::info!(
            request = job.id(),
            print = %job.fingerprint,
            route = %job.route.name,
            account = job.account_label(),
            priority = job.priority(),
            level = job.level_label(),
            held_ms = self.held.as_millis() as u64,
            service = %job.service,
            end = end.label(),
            end_shown_by = self.last_end.map_or("-", AnswerEnd::label),
            tries = self.delivered_attempts,
            place = self.last_destination.as_deref().unwrap_or("-"),
            expected_ms = expected.map_or(0, |it| it.time_to_first_ms),
            first_ms = job.time_to_first.map_or(0, |first| first.as_millis() as u64),
            read_tokens = expected.map_or(0, |it| it.prefill_tokens),
            shared_tokens = prefix.shared_tokens,
            missing_tokens = prefix.missing_tokens,
            prefix = prefix.cause.label(),
            load = expected.map_or(0, |it| it.load),
            rank = expected.map_or("-", |it| it.rank.label()),
            weighed = self.candidates_summary.as_deref().unwrap_or("-"),
            fault = self.last_fault.as_deref().unwrap_or("-"),
            software = self.last_software.as_deref().unwrap_or("-"),
            resumes = job.resumed_attempt(&shared.names).unwrap_or("-"),
            forwarded = job.is_forwarded,
            version = view.as_ref().map_or(0, |view| view.routes.version().0),
            news_ms = view.as_ref().map_or(0, |view| view.report_age().as_millis() as u64),
            ms = job.started.elapsed().as_millis() as u64,
            left_ms = job.deadline.saturating_duration_since(BootInstant::now()).as_millis() as u64,
            "request ended"
        );
    }
}
