//! When refused callers are told to come again, and how those that come are placed.

use std::collections::HashMap;
use std::time::Duration;

use foldhaven_core::ids::ServiceName;
use foldhaven_core::opaque::refusal::{MIN_OVERLOAD_RETRY_DELAY, Refusal};
use foldhaven_core::opaque::request_class::RequestClass;
use foldhaven_core::opaque::return_times::{
    ReturnQuery, ReturnSchedule, ReturnTime, max_respected_delay,
};
use foldhaven_core::opaque::scheduled_returns::{RefusedRequest, ScheduledReturns};
use foldhaven_core::time::MonoTime;
use parking_lot::Mutex;

use crate::clock::BootInstant;
use crate::destinations::region_turnover;
use crate::job::GatewayJob;
use crate::shared::GatewayShared;

/// The callers that this VM has told to come again.
#[derive(Default)]
pub struct ReturningCallers {
    schedules: Mutex<HashMap<ServiceName, ReturnSchedule>>,
    told: Mutex<ScheduledReturns>,
}

impl ReturningCallers {
    /// Records a request that arrives from a caller.
    pub fn record_arrival(&self, shared: &GatewayShared, job: &GatewayJob) {
        let Some(level) = job.level else { return };
        let now = shared.now();
        if job.waited_before < MIN_OVERLOAD_RETRY_DELAY {
            self.with_schedule(&job.service, |schedule| schedule.record_arrival(level, now));
            return;
        }
        let is_early = self.told.lock().early(refused_request(job, now), now).is_some();
        shared.metrics.count_event(if is_early { "returned_early" } else { "returned" });
    }

    /// Returns the time by which a request is placed among others of its level.
    pub fn place(&self, job: &GatewayJob, now: MonoTime) -> MonoTime {
        self.told.lock().place(refused_request(job, now), now - job.started.elapsed(), now)
    }

    /// Returns the delay after which the caller of a refused request is told to come again. `None`
    /// if the refusal itself says it.
    pub fn schedule(
        &self,
        shared: &GatewayShared,
        job: &GatewayJob,
        refusal: Refusal,
    ) -> Option<Duration> {
        let wait = match refusal {
            Refusal::Overloaded { wait, .. } => wait,
            Refusal::Full => Duration::ZERO,
            _ => return None,
        };
        let class = job.class().filter(|_| !job.is_forwarded)?;
        let now = shared.now();
        let request = refused_request(job, now);
        if let Some(told) = self.told.lock().early(request, now) {
            shared.metrics.count_event("return_repeated");
            return Some(told.since(now));
        }
        let query = return_query(shared, job, class, wait)?;
        let draw = rand::random();
        let time =
            self.with_schedule(&job.service, |schedule| schedule.schedule(&query, draw, now));
        let kept = time.delay().min(max_respected_delay(query.remaining));
        self.told.lock().record(request, now + kept, now);
        record_return(shared, job, &query, time);
        Some(time.delay())
    }

    /// Returns the number of callers of a service that are expected to come from now on.
    pub fn expected(&self, service: &ServiceName, now: MonoTime) -> u64 {
        self.schedules.lock().get(service).map_or(0, |schedule| schedule.expected(now))
    }

    fn with_schedule<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut ReturnSchedule) -> T,
    ) -> T {
        let mut schedules = self.schedules.lock();
        if let Some(schedule) = schedules.get_mut(service) {
            return act(schedule);
        }
        act(schedules.entry(service.clone()).or_default())
    }
}

fn refused_request(job: &GatewayJob, now: MonoTime) -> RefusedRequest {
    RefusedRequest { fingerprint: job.fingerprint, first_try: now - job.waited() }
}

/// Returns what the time depends on; `None` if the turnover of the region is not known.
fn return_query(
    shared: &GatewayShared,
    job: &GatewayJob,
    class: RequestClass,
    wait: Duration,
) -> Option<ReturnQuery> {
    let view = shared.view()?;
    let turnover_per_s = region_turnover(shared, &view, &job.service)?.own_per_s()?;
    Some(ReturnQuery {
        level: class.level,
        ahead: shared.waiting_rooms.room(&job.service).lock().len_through(class.level),
        wait,
        remaining: job.deadline.saturating_duration_since(BootInstant::now()),
        turnover_per_s,
    })
}

/// Counts and logs what a caller was told.
fn record_return(shared: &GatewayShared, job: &GatewayJob, query: &ReturnQuery, time: ReturnTime) {
    let event = if time.is_promised() { "return_promised" } else { "return_not_promised" };
    shared.metrics.count_event(event);
    if !shared.quota.take(false) {
        return;
    }
    tracing::info!(
        request = job.id(),
        print = %job.fingerprint,
        route = %job.route.name,
        level = job.level_label(),
        again_ms = time.delay().as_millis() as u64,
        promised = time.is_promised(),
        ahead = query.ahead,
        turnover_per_s = query.turnover_per_s,
        waited_ms = job.waited().as_millis() as u64,
        left_ms = query.remaining.as_millis() as u64,
        "refused caller told when to come again"
    );
}
