//! The room of a service's upstreams in this region, as this VM sees it.

use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::ServiceName;
use foldhaven_core::opaque::affinity::RingPosition;
use foldhaven_core::opaque::performance::QueueState;
use foldhaven_core::opaque::priority_level::{LEVEL_COUNT, PriorityLevel};
use foldhaven_core::opaque::region_room::{OwnRoom, RegionQueues};
use foldhaven_core::opaque::return_times::RegionTurnover;
use foldhaven_core::opaque::service_room::{RoomLimits, ServiceRoom, max_backlog};
use foldhaven_core::opaque::waiting_room::RoomView;

use super::local::{MAX_EXAMINED, paced_for, throttled_for};
use crate::shared::GatewayShared;
use crate::upstream::Upstream;
use crate::view::GatewayView;

/// Returns the prompt tokens that may wait for prefill at one upstream of a service.
pub(super) fn max_backlog_of(
    shared: &GatewayShared,
    view: &GatewayView,
    service: &ServiceName,
) -> u32 {
    let Some(levels) = view.routes.levels(service) else { return u32::MAX };
    max_backlog(&shared.measured_performance(service), levels.shortest_target())
}

/// The queues of the usable upstreams of a service in this region, or of some of them.
struct UsableQueues {
    queues: Vec<QueueState>,
    /// The number of upstreams that each queue stands for.
    scale: f64,
    max_backlog: u32,
    report_age: Duration,
    slot_time: Duration,
}

impl UsableQueues {
    fn of(shared: &GatewayShared, view: &GatewayView, service: &ServiceName) -> Option<Self> {
        let now = shared.now();
        let group = view.group(service, shared.settings.region())?;
        // A VM without a share of the slots passes its requests on to one that has one.
        let is_holder = view.slot_holders.newest().contains(&shared.vm_tag);
        let is_usable = |it: &&Arc<Upstream>| {
            let is_throttled = match is_holder {
                true => throttled_for(shared, &view.slot_holders, it, now).is_some(),
                false => paced_for(it, now).is_some(),
            };
            !it.is_leaving() && !it.is_ejected(now) && !is_throttled
        };
        let examined = group.iter_from(RingPosition(rand::random())).take(MAX_EXAMINED);
        Some(Self {
            queues: examined.filter(is_usable).map(|upstream| upstream.queue()).collect(),
            scale: group.len() as f64 / group.len().clamp(1, MAX_EXAMINED) as f64,
            max_backlog: max_backlog_of(shared, view, service),
            report_age: view.report_age(),
            slot_time: shared.measured_performance(service).slot_time,
        })
    }

    /// Returns the requests in flight by level. Those of unknown level count as going before all
    /// others.
    fn in_flight(&self) -> [u32; LEVEL_COUNT] {
        let mut counts = [0; LEVEL_COUNT];
        for queue in &self.queues {
            let known = queue.levels.shares();
            known.for_each(|it| counts[it.level.index()] += u32::from(it.in_flight));
            counts[0] += queue.in_flight.saturating_sub(queue.levels.in_flight());
        }
        counts.map(|count| (f64::from(count) * self.scale) as u32)
    }

    fn room(&self, level: PriorityLevel) -> ServiceRoom {
        let limits = RoomLimits::new(level, &self.queues, self.max_backlog)
            .with_report_age(self.report_age, self.slot_time);
        let rooms = self.queues.iter().map(|queue| limits.room(*queue));
        rooms.fold(ServiceRoom::default(), ServiceRoom::plus).times(self.scale)
    }
}

/// Returns what this VM sees of the room at the upstreams of a service in this region.
pub fn view_room(shared: &GatewayShared, view: &GatewayView, service: &ServiceName) -> RoomView {
    let Some(usable) = UsableQueues::of(shared, view, service) else {
        return RoomView::default();
    };
    let mut room = [ServiceRoom::default(); LEVEL_COUNT];
    PriorityLevel::all().for_each(|level| room[level.index()] = usable.room(level));
    RoomView {
        room,
        in_flight: usable.in_flight(),
        slot_time: usable.slot_time,
        own_in_flight: shared.busy_upstreams.in_flight(service),
        waiting_elsewhere: shared.waiting_elsewhere(service),
        report_interval: view.report_age(),
    }
}

/// Returns the room that a service has in this region, compared with that of other regions. `None`
/// if it has no upstreams here.
pub fn own_room(
    shared: &GatewayShared,
    view: &GatewayView,
    service: &ServiceName,
) -> Option<OwnRoom> {
    let usable = UsableQueues::of(shared, view, service)?;
    let own_waiting = shared.waiting_rooms.room(service).lock().counts(shared.now());
    let mut waiting = shared.waiting_elsewhere(service);
    waiting.iter_mut().zip(own_waiting).for_each(|(count, own)| *count += own);
    let queues = RegionQueues {
        queues: &usable.queues,
        scale: usable.scale,
        max_backlog: usable.max_backlog,
        slot_time: shared.measured_performance(service).slot_time,
        waiting: &waiting,
    };
    Some(OwnRoom::new(&queues, &shared.bound_shares(service), &own_waiting, view.senders))
}

/// Returns how fast the slots of a service become free in this region. `None` if it has no upstream
/// here.
pub fn region_turnover(
    shared: &GatewayShared,
    view: &GatewayView,
    service: &ServiceName,
) -> Option<RegionTurnover> {
    let usable = UsableQueues::of(shared, view, service)?;
    let own_waiting = shared.waiting_rooms.room(service).lock().len() as u32;
    let elsewhere: u32 = shared.waiting_elsewhere(service).iter().sum();
    let slots: u32 = usable.queues.iter().map(|queue| queue.slots).sum();
    let in_flight: u32 = usable.queues.iter().map(|queue| queue.in_flight).sum();
    Some(RegionTurnover {
        slots: f64::from(slots) * usable.scale,
        slot_time: shared.measured_performance(service).slot_time,
        own_requests: shared.busy_upstreams.in_flight(service) + own_waiting,
        all_requests: f64::from(in_flight) * usable.scale + f64::from(own_waiting + elsewhere),
    })
}
