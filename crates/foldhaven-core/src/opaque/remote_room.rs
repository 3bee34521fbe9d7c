//! The room of other regions, and the part of it that this VM may take for requests that its own
//! region has no room for.
//!
//! A region tells the room of its upstreams for each level a few times per second. The VMs of a
//! region that is short of room send away as many requests as make the pressure of both regions
//! equal. Each sends a part of them, and none of them twice for the same report.

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::time::Duration;

use crate::ids::{IncarnationId, RegionName};
use crate::opaque::peer_table::{ServiceTag, VmTag};
use crate::opaque::priority_level::{LEVEL_COUNT, PriorityLevel};
use crate::opaque::region_room::{LevelRoom, OwnRoom};
use crate::opaque::request_class::RequestClass;
use crate::opaque::room_reports::LevelRoomReport;
use crate::time::MonoTime;

/// The maximum age of a told room.
const MAX_ROOM_AGE: Duration = Duration::from_millis(1_000);
/// A region takes in no requests of a level for this time after it had to send some away.
const SENDING_TIME: Duration = Duration::from_millis(500);
/// A region with a lower pressure does not become short of room within [`UNSEEN_TIME`]: a quarter of
/// its slots is free.
const MAX_FREE_PRESSURE: f64 = -0.25;
/// The share of the excess requests that are under way at a time: several regions may send to the
/// same one.
const GAIN: f64 = 0.5;
/// The time until a report shows a request that was sent to its region: the interval between two
/// reports, and the way of both.
const UNSEEN_TIME: Duration = Duration::from_millis(350);
/// The minimum difference in pressure for which requests are sent away, beside the time and bytes
/// that they cost: a tenth of a slot time, by which regions of equal load differ by chance.
const MIN_GAP: f64 = 0.1;
/// What the minimum difference is multiplied by while requests are being sent away.
const SENDING_GAP_FACTOR: f64 = 0.5;

/// What it costs to send a request to another region.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SendCost {
    /// The round trip there.
    pub round_trip: Duration,
    /// The time for which a request occupies a slot.
    pub slot_time: Duration,
    /// The price of the bytes as a share of the worth of the request.
    pub bytes: f64,
}

impl SendCost {
    /// Returns the difference in pressure from which sending is worth it.
    fn min_gap(&self) -> f64 {
        let slot_time = self.slot_time.max(Duration::from_millis(1));
        self.bytes + self.round_trip.div_duration_f64(slot_time)
    }
}

/// A time in which requests of a level have to leave this region.
#[derive(Debug, Clone, Copy)]
struct SendingPeriod {
    began: MonoTime,
    last: MonoTime,
}

/// What may be sent to a region at one level.
#[derive(Debug, Clone, Copy, Default)]
struct SendQuota {
    /// The requests that this VM may still send.
    left: u32,
    /// The difference in pressure.
    gap: f64,
    /// Whether the own region is short even of the slots kept for bound requests.
    is_full: bool,
}

#[derive(Debug, Clone)]
struct RemoteRoom {
    received: MonoTime,
    rooms: Vec<LevelRoom>,
    quotas: [SendQuota; LEVEL_COUNT],
    /// The requests sent lately, which reports of the region do not show yet.
    unseen: UnseenRequests,
}

/// The requests that this VM has sent to a region in the last [`UNSEEN_TIME`].
#[derive(Debug, Clone, Default)]
struct UnseenRequests(VecDeque<(MonoTime, PriorityLevel)>);

impl UnseenRequests {
    fn remove_seen(&mut self, now: MonoTime) {
        let is_seen = |sent: &MonoTime| now.since(*sent) >= UNSEEN_TIME;
        while self.0.front().is_some_and(|(sent, _)| is_seen(sent)) {
            self.0.pop_front();
        }
    }

    fn count_through(&self, level: PriorityLevel) -> usize {
        self.0.iter().filter(|(_, sent)| *sent <= level).count()
    }
}

/// The room that other regions have told, and what this VM may send to them.
#[derive(Debug, Default)]
pub struct RemoteRooms {
    newest: HashMap<(RegionName, VmTag), (IncarnationId, u32)>,
    rooms: HashMap<(RegionName, ServiceTag), RemoteRoom>,
    /// Since when requests of a level have to leave this region.
    sending: HashMap<(ServiceTag, PriorityLevel), SendingPeriod>,
}

impl RemoteRooms {
    /// Applies a report. `own` returns the room of a service in this region; `draw` is a random
    /// number, uniform in 0..1. Returns whether the report is newer than the one held from its
    /// delegate.
    pub fn apply(
        &mut self,
        report: &LevelRoomReport,
        own: impl Fn(ServiceTag) -> Option<OwnRoom>,
        draw: f64,
        now: MonoTime,
    ) -> bool {
        let order = (report.incarnation, report.sequence);
        let key = (report.region.clone(), report.delegate);
        if self.newest.get(&key).is_some_and(|newest| order <= *newest) {
            return false;
        }
        self.newest.insert(key, order);
        for (service, rooms) in &report.rooms {
            let Some(own) = own(*service) else { continue };
            let key = (report.region.clone(), *service);
            let mut unseen = self.rooms.remove(&key).map(|room| room.unseen).unwrap_or_default();
            unseen.remove_seen(now);
            let quotas = self.quotas(*service, rooms, &own, &unseen, draw, now);
            let room = RemoteRoom { received: now, rooms: rooms.clone(), quotas, unseen };
            self.rooms.insert(key, room);
        }
        true
    }

    /// Returns what this VM may send for one report, and records the levels that the region sends.
    fn quotas(
        &mut self,
        service: ServiceTag,
        rooms: &[LevelRoom],
        own: &OwnRoom,
        unseen: &UnseenRequests,
        draw: f64,
        now: MonoTime,
    ) -> [SendQuota; LEVEL_COUNT] {
        let mut quotas = [SendQuota::default(); LEVEL_COUNT];
        for there in rooms {
            let index = there.level.index();
            let here = own.rooms[index].without(own.bound_slots[index]);
            let excess = here.excess_over(there);
            if here.surplus >= 0 || excess < 1.0 || there.is_sent_away || there.capacity == 0 {
                continue;
            }
            let gap = here.pressure() - there.pressure();
            if self.highest_pressure(service, there.level, now) - here.pressure() > gap {
                // It rather takes requests of the region that is shortest of room.
                continue;
            }
            if gap > self.min_gap(service, there.level, now) {
                self.record_sending(service, there.level, now);
            }
            if !self.is_known_as_sender(service, &here, now) {
                continue;
            }
            let unseen = unseen.count_through(there.level) as f64 * here.share_of_both(there);
            quotas[index] = SendQuota {
                left: (excess * GAIN * own.parts[index] - unseen + draw) as u32,
                gap,
                is_full: own.rooms[index].surplus < 0,
            };
        }
        quotas
    }

    fn record_sending(&mut self, service: ServiceTag, level: PriorityLevel, now: MonoTime) {
        let began = match self.is_sending(service, level, now) {
            true => self.sending[&(service, level)].began,
            false => now,
        };
        self.sending.insert((service, level), SendingPeriod { began, last: now });
    }

    fn is_sending(&self, service: ServiceTag, level: PriorityLevel, now: MonoTime) -> bool {
        let period = self.sending.get(&(service, level));
        period.is_some_and(|period| now.since(period.last) < SENDING_TIME)
    }

    /// Returns what other regions have told of a level.
    fn reported_of_level(
        &self,
        service: ServiceTag,
        level: PriorityLevel,
        now: MonoTime,
    ) -> impl Iterator<Item = &LevelRoom> {
        let of_service = self.rooms.iter().filter(move |((_, tag), _)| *tag == service);
        let told = of_service.filter(move |(_, it)| now.since(it.received) <= MAX_ROOM_AGE);
        told.flat_map(|(_, room)| &room.rooms).filter(move |room| room.level == level)
    }

    fn highest_pressure(&self, service: ServiceTag, level: PriorityLevel, now: MonoTime) -> f64 {
        let told = self.reported_of_level(service, level, now);
        told.map(LevelRoom::pressure).fold(f64::NEG_INFINITY, f64::max)
    }

    /// Whether no other region sends requests of a level here any more, because all have room left
    /// and none has sent any away, or all have been told that this region does.
    fn is_known_as_sender(&self, service: ServiceTag, here: &LevelRoom, now: MonoTime) -> bool {
        let may_send = |room: &LevelRoom| room.is_sent_away || room.pressure() > MAX_FREE_PRESSURE;
        let may_get_more = self.reported_of_level(service, here.level, now).any(may_send);
        let period = self.sending.get(&(service, here.level));
        !may_get_more || period.is_some_and(|period| now.since(period.began) >= UNSEEN_TIME)
    }

    fn min_gap(&self, service: ServiceTag, level: PriorityLevel, now: MonoTime) -> f64 {
        match self.is_sending(service, level, now) {
            true => MIN_GAP * SENDING_GAP_FACTOR,
            false => MIN_GAP,
        }
    }

    /// Returns the room of this region as told to others.
    pub fn reported_rooms(
        &self,
        service: ServiceTag,
        own: &OwnRoom,
        now: MonoTime,
    ) -> Vec<LevelRoom> {
        let told = |room: &LevelRoom| LevelRoom {
            is_sent_away: self.is_sending(service, room.level, now),
            ..room.without(own.bound_slots[room.level.index()])
        };
        own.rooms.iter().map(told).collect()
    }

    /// Whether a request should go to a region rather than wait here.
    pub fn may_send(
        &self,
        region: &RegionName,
        service: ServiceTag,
        class: &RequestClass,
        cost: SendCost,
        now: MonoTime,
    ) -> bool {
        let Some(room) = self.fresh(region, service, now) else { return false };
        let quota = room.quotas[class.level.index()];
        let min_gap = self.min_gap(service, class.level, now) + cost.min_gap();
        let is_due = quota.is_full || !class.is_bound;
        quota.left > 0 && is_due && quota.gap > min_gap
    }

    /// Takes the room of a request. Less urgent ones cannot take it either.
    pub fn take(
        &mut self,
        region: &RegionName,
        service: ServiceTag,
        level: PriorityLevel,
        now: MonoTime,
    ) {
        let Some(room) = self.rooms.get_mut(&(region.clone(), service)) else { return };
        room.unseen.0.push_back((now, level));
        for quota in &mut room.quotas[level.index()..] {
            quota.left = quota.left.saturating_sub(1);
        }
    }

    /// Returns the room that regions have told for a level, for logs.
    pub fn reported(
        &self,
        service: ServiceTag,
        level: PriorityLevel,
        now: MonoTime,
    ) -> Vec<ReportedRoom> {
        let of_service = self.rooms.iter().filter(|((_, tag), _)| *tag == service);
        let told = of_service.filter_map(|((region, _), room)| {
            let level_room = room.rooms.iter().find(|it| it.level == level)?;
            let age = now.since(room.received);
            let gap = room.quotas[level.index()].gap;
            Some(ReportedRoom { region: region.clone(), room: *level_room, gap, age })
        });
        let mut told: Vec<ReportedRoom> = told.collect();
        told.sort_by(|left, right| left.region.cmp(&right.region));
        told
    }

    fn fresh(
        &self,
        region: &RegionName,
        service: ServiceTag,
        now: MonoTime,
    ) -> Option<&RemoteRoom> {
        let room = self.rooms.get(&(region.clone(), service))?;
        (now.since(room.received) <= MAX_ROOM_AGE).then_some(room)
    }
}

/// The room that a region has told for one level.
#[derive(Debug, Clone, PartialEq)]
pub struct ReportedRoom {
    /// The region.
    pub region: RegionName,
    /// The room.
    pub room: LevelRoom,
    /// By how much the pressure was higher here. 0 unless this region was short.
    pub gap: f64,
    /// The time since the report arrived.
    pub age: Duration,
}

impl fmt::Display for ReportedRoom {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { region, room, gap, age } = self;
        let LevelRoom { surplus, capacity, .. } = room;
        let age = age.as_millis();
        write!(formatter, "{region} {surplus} of {capacity} slots, gap {gap:.2}, {age} ms ago")
    }
}
