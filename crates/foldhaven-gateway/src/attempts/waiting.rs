//! Lets requests wait at this VM until an upstream has room for them: those with a priority level
//! for any upstream, the others for brittle ones.

use std::time::Duration;

use foldhaven_core::opaque::admission::AdmissionError;
use foldhaven_core::opaque::refusal::Refusal;
use foldhaven_core::opaque::request_class::RequestClass;
use foldhaven_core::opaque::waiting_room::WaitingRequest;
use foldhaven_core::time::MonoTime;

use super::RequestDriver;
use crate::clock::BootInstant;
use crate::destinations::{RoomRule, has_remote_room, slot_share, view_room};
use crate::slot_queues::SlotTicket;
use crate::view::GatewayView;
use crate::waiting_rooms::WaitingTicket;

/// Maximum number of requests of a level and of more urgent ones that wait at this VM for one
/// service. Their bodies stay in memory.
const MAX_WAITING: usize = 1_000;
/// Time for which a request waits for a slot of a brittle upstream although its target has passed.
const MIN_SLOT_PATIENCE: Duration = Duration::from_millis(100);
/// The expected wait for a slot while this VM has no share of the slots.
const NO_SHARE_WAIT: Duration = Duration::from_millis(500);
/// The share of its target for which a request waits for an upstream that prefills it at once, while
/// others have free slots.
const PREFILL_PATIENCE: f64 = 0.1;

impl RequestDriver {
    /// Returns what the request requires of an upstream if it may look for one now. `None` if it
    /// waits.
    pub(super) fn room_rule(&mut self, view: &GatewayView) -> Result<Option<RoomRule>, Refusal> {
        let Some(class) = self.job.class() else { return Ok(Some(RoomRule::Any)) };
        if self.job.has_partial_answer || self.shared.is_leaving() {
            return Ok(Some(RoomRule::Any));
        }
        let now = self.shared.now();
        let Some(ticket) = &self.ticket else { return self.rule_on_arrival(class, view, now) };
        let has_turn = ticket.take_turn(|| view_room(&self.shared, view, &self.job.service), now);
        if has_turn {
            return Ok(Some(RoomRule::FreeSlot));
        }
        if has_remote_room(&self.shared, view, &self.job) {
            return Ok(Some(RoomRule::OtherRegion));
        }
        if self.is_soon_late(ticket, now) {
            return Ok(Some(RoomRule::AnySlot));
        }
        self.check_expected_wait(ticket, view, now)?;
        Ok(None)
    }

    /// Whether a request that can still be in time has waited for so long that it should not wait
    /// for the prefill of other prompts.
    fn is_soon_late(&self, ticket: &WaitingTicket, now: MonoTime) -> bool {
        let patience = self.job.route.target.mul_f64(PREFILL_PATIENCE);
        now < ticket.late_at() && ticket.held(now) >= patience
    }

    /// A request looks for an upstream at once unless others wait that go before it, here or at
    /// other VMs.
    fn rule_on_arrival(
        &mut self,
        class: RequestClass,
        view: &GatewayView,
        now: MonoTime,
    ) -> Result<Option<RoomRule>, Refusal> {
        if !self.job.is_forwarded {
            self.shared.record_class(&self.job.service, &class);
        }
        if has_remote_room(&self.shared, view, &self.job) {
            return Ok(Some(RoomRule::OtherRegion));
        }
        let request = self.waiting_request(class, now);
        let room = self.shared.waiting_rooms.room(&self.job.service);
        if !std::mem::replace(&mut self.has_arrived, true) {
            room.lock().record_arrival(class.level, now);
        }
        let elsewhere = self.shared.waiting_elsewhere(&self.job.service);
        let has_more_urgent = elsewhere[..class.level.index()].iter().any(|count| *count > 0);
        if !has_more_urgent && !room.lock().has_ahead(&request, now) {
            return Ok(Some(RoomRule::AnySlot));
        }
        self.wait_for_room(view)?;
        Ok(None)
    }

    /// Lets the request wait, or refuses it if it would wait for too long.
    pub(super) fn wait_for_room(&mut self, view: &GatewayView) -> Result<(), Refusal> {
        let (Some(class), None) = (self.job.class(), &self.ticket) else { return Ok(()) };
        let now = self.shared.now();
        let room = self.shared.waiting_rooms.room(&self.job.service);
        if room.lock().len_through(class.level) >= MAX_WAITING {
            return Err(Refusal::Full);
        }
        let memory = self.shared.waiting_memory.take(class.level, self.job.body.len());
        let Some(memory) = memory else {
            self.shared.metrics.count_event("refused_for_memory");
            return Err(Refusal::Full);
        };
        let ticket = WaitingTicket::enter(room, self.waiting_request(class, now), memory, now);
        self.check_expected_wait(&ticket, view, now)?;
        self.shared.metrics.count_event("waited_for_room");
        self.ticket = Some(ticket);
        Ok(())
    }

    /// Whether the request may look for an upstream. It may not while other requests without a
    /// priority level wait before it for this VM's share of the slots of brittle upstreams.
    pub(super) fn may_look_for_slot(&mut self, view: &GatewayView) -> Result<bool, Refusal> {
        if self.job.class().is_some() {
            return Ok(true);
        }
        if self.slot_ticket.is_none() {
            if !self.shared.slot_queues.has_waiting(&self.job.service) {
                return Ok(true);
            }
            self.wait_for_slot(view)?;
        }
        Ok(self.slot_ticket.as_ref().is_some_and(SlotTicket::is_at_front))
    }

    /// Lets the request wait for a slot of a brittle upstream, or refuses it if it would wait for
    /// too long.
    pub(super) fn wait_for_slot(&mut self, view: &GatewayView) -> Result<(), Refusal> {
        let shared = &self.shared;
        let now = shared.now();
        let ticket = match self.slot_ticket.take() {
            Some(ticket) => ticket,
            None => {
                shared.metrics.count_event("waited_for_slot");
                shared.slot_queues.enter(&self.job.service, now)
            }
        };
        let slot_time = shared.measured_performance(&self.job.service).slot_time;
        let share = slot_share(shared, view, &self.job).unwrap_or_default();
        let wait = ticket.expected_wait(share, slot_time).unwrap_or(NO_SHARE_WAIT);
        let has_waited_long =
            !self.job.has_partial_answer && ticket.held(now) > self.job.route.target;
        if has_waited_long || wait > self.slot_patience(slot_time) {
            shared.metrics.count_event("refused_for_slot");
            return Err(self.refusal_after_attempts(Refusal::Throttled { wait }));
        }
        self.slot_ticket = Some(ticket);
        Ok(())
    }

    /// Returns for how long the request may wait for a slot of a brittle upstream: as long as it can
    /// still be answered within its target, or until its deadline if its answer has begun.
    fn slot_patience(&self, slot_time: Duration) -> Duration {
        let job = &self.job;
        if job.has_partial_answer {
            return Duration::MAX;
        }
        let until_target = job.route.target.saturating_sub(job.started.elapsed() + slot_time);
        until_target.max(MIN_SLOT_PATIENCE).min(job.time_to_start())
    }

    /// Ends the wait, as the request starts.
    pub(super) fn end_wait(&mut self) {
        if let Some(ticket) = self.slot_ticket.take() {
            self.held += ticket.held(self.shared.now());
        }
        let Some(level) = self.job.level else { return };
        let now = self.shared.now();
        let room = self.shared.waiting_rooms.room(&self.job.service);
        room.lock().record_start(level, now);
        let account = self.job.class().and_then(|class| class.account);
        room.lock().record_account_start(account, now);
        if let Some(ticket) = self.ticket.take() {
            self.held += ticket.held(now);
        }
    }

    fn waiting_request(&self, class: RequestClass, now: MonoTime) -> WaitingRequest {
        let job = &self.job;
        let performance = self.shared.measured_performance(&job.service);
        let prefill = performance.prefill_time(class.need.prefill_tokens);
        let room = self.shared.waiting_rooms.room(&job.service);
        let margin = room.lock().start_margin(job.route.target);
        let since = self.shared.returning_callers.place(job, now);
        let needed = prefill + margin;
        let request = WaitingRequest::new(class, job.caller_wait(), job.route.target, needed, now);
        WaitingRequest { since, ..request }
    }

    /// Refuses a request that probably cannot be answered while its caller waits.
    fn check_expected_wait(
        &self,
        ticket: &WaitingTicket,
        view: &GatewayView,
        now: MonoTime,
    ) -> Result<(), Refusal> {
        let needed = self.expected_answer_time(view);
        let remaining = self.job.deadline.saturating_duration_since(BootInstant::now());
        let latest = self.job.time_to_start().min(remaining.saturating_sub(needed));
        let wait = ticket.expected_wait(now).unwrap_or_default();
        if latest.is_zero() || wait > latest {
            self.shared.metrics.count_event("refused_for_room");
            return Err(Refusal::Overloaded { cause: AdmissionError::TooLate, wait });
        }
        Ok(())
    }

    /// Returns how long an upstream probably takes for the whole answer.
    fn expected_answer_time(&self, view: &GatewayView) -> Duration {
        let job = &self.job;
        let performance = self.shared.performance(&job.service, view);
        let tokens = job.unshared_tokens();
        let events = self.shared.route_history(&job.route.name).usual_event_count();
        let slots = view.group(&job.service, self.shared.settings.region());
        let slots = slots.and_then(|group| group.iter().next()).map_or(1, |it| it.identity.slots);
        let interval = performance.event_interval.interval(f64::from(slots));
        performance.prefill_time(tokens) + Duration::from_secs_f64(events * interval)
    }
}
