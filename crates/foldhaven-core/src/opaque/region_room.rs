//! The room that the upstreams of a service in one region have for the requests of each level, and
//! the requests there that ask for it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::opaque::performance::QueueState;
use crate::opaque::priority_level::{LEVEL_COUNT, PriorityLevel};
use crate::opaque::region_reports::REGION_INTERVAL;
use crate::opaque::service_room::RoomLimits;

/// The weight of a new request in the shares of [`BoundShares`].
const SHARE_WEIGHT: f64 = 0.02;

/// A level counts with at least one in this many slots, also while more urgent requests take nearly
/// all: their number changes faster than reports arrive.
const MIN_CAPACITY_PART: u32 = 4;

/// The room of a region for the requests of one level, as told to other regions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelRoom {
    /// The level.
    pub level: PriorityLevel,
    /// The slots that requests of the level can take until the next report, less the requests of
    /// this level and more urgent ones that wait. Negative if more of them wait.
    pub surplus: i32,
    /// The slots that are not taken by more urgent requests.
    pub capacity: u32,
    /// Whether the region sends requests of the level to others.
    pub is_sent_away: bool,
}

impl LevelRoom {
    /// Returns the room without some slots that are kept apart.
    pub fn without(self, slots: u32) -> Self {
        Self { surplus: self.surplus.saturating_sub_unsigned(slots), ..self }
    }

    /// Returns by how many slots the level lacks room, as a share of the slots that it may take.
    /// Negative if it has room.
    pub fn pressure(&self) -> f64 {
        -f64::from(self.surplus) / f64::from(self.capacity.max(1))
    }

    /// Returns how many requests have to move from here to another region to make the pressures
    /// equal. Negative if they would have to move here.
    pub fn excess_over(&self, other: &Self) -> f64 {
        let theirs = f64::from(other.capacity.max(1));
        (self.pressure() - other.pressure()) * theirs * self.share_of_both(other)
    }

    /// Returns the share of this region in the capacity of two.
    pub fn share_of_both(&self, other: &Self) -> f64 {
        let (own, theirs) = (f64::from(self.capacity.max(1)), f64::from(other.capacity.max(1)));
        own / (own + theirs)
    }
}

/// The usable upstreams of a service in a region, and the requests that wait for them.
#[derive(Debug, Clone, Copy)]
pub struct RegionQueues<'a> {
    /// The queues of the upstreams, or of some of them.
    pub queues: &'a [QueueState],
    /// The number of upstreams that each queue stands for.
    pub scale: f64,
    /// The prompt tokens that may wait for prefill at one upstream.
    pub max_backlog: u32,
    /// The mean time for which a request occupies a slot.
    pub slot_time: Duration,
    /// The requests of each level that wait at the VMs of the region.
    pub waiting: &'a [u32; LEVEL_COUNT],
}

impl RegionQueues<'_> {
    /// Returns the room for each level.
    pub fn level_rooms(&self) -> [LevelRoom; LEVEL_COUNT] {
        let mut rooms = [LevelRoom::default(); LEVEL_COUNT];
        PriorityLevel::all().for_each(|level| rooms[level.index()] = self.level_room(level));
        rooms
    }

    fn level_room(&self, level: PriorityLevel) -> LevelRoom {
        let limits = RoomLimits::new(level, self.queues, self.max_backlog);
        let rooms = self.queues.iter().map(|queue| limits.room(*queue));
        let free: u32 = rooms.filter(|room| !room.is_empty()).map(|room| room.slots).sum();
        let slots: u32 = self.queues.iter().map(|queue| queue.slots).sum();
        let more_urgent: u32 =
            self.queues.iter().map(|queue| queue.levels.in_flight_above(level)).sum();
        let left = slots.saturating_sub(more_urgent);
        let interval = REGION_INTERVAL.div_duration_f64(self.slot_time.max(REGION_INTERVAL));
        let soon_free = f64::from(self.less_urgent_in_flight(level)) * interval;
        let waiting: u32 = self.waiting[..=level.index()].iter().sum();
        let supply = (f64::from(free) + soon_free) * self.scale;
        LevelRoom {
            level,
            surplus: (supply - f64::from(waiting)) as i32,
            capacity: (f64::from(left.max(slots / MIN_CAPACITY_PART)) * self.scale) as u32,
            is_sent_away: false,
        }
    }

    fn less_urgent_in_flight(&self, level: PriorityLevel) -> u32 {
        let less_urgent =
            |queue: &QueueState| queue.levels.in_flight() - queue.levels.in_flight_through(level);
        self.queues.iter().map(less_urgent).sum()
    }

    /// Returns the number of requests in flight by level.
    pub fn in_flight(&self) -> [f64; LEVEL_COUNT] {
        let mut counts = [0.0; LEVEL_COUNT];
        for share in self.queues.iter().flat_map(|queue| queue.levels.shares()) {
            counts[share.level.index()] += f64::from(share.in_flight) * self.scale;
        }
        counts
    }
}

/// The shares of the requests of each level that are bound to a part of the regions.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct BoundShares {
    shares: [f64; LEVEL_COUNT],
}

impl BoundShares {
    /// Records a request from a caller.
    pub fn record(&mut self, level: PriorityLevel, is_bound: bool) {
        let share = &mut self.shares[level.index()];
        *share += (f64::from(u8::from(is_bound)) - *share) * SHARE_WEIGHT;
    }

    /// Returns the slots that unbound requests of each level leave free for bound ones: as many as
    /// bound requests of less urgent levels hold, so that their number can double, and of the same
    /// level the share that competes with unbound ones. More urgent ones go first by their level.
    pub fn needed_slots(&self, in_flight: &[f64; LEVEL_COUNT]) -> [u32; LEVEL_COUNT] {
        let held = |index: usize| self.shares[index] * in_flight[index];
        let needed = |index: usize| {
            let less_urgent: f64 = (index + 1..LEVEL_COUNT).map(held).sum();
            (less_urgent + held(index) * (1.0 - self.shares[index])).round() as u32
        };
        std::array::from_fn(needed)
    }
}

/// The room of a service in the own region, when a report of another one arrives.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OwnRoom {
    /// The room for each level.
    pub rooms: [LevelRoom; LEVEL_COUNT],
    /// The slots that are kept at each level for requests bound to a part of the regions.
    pub bound_slots: [u32; LEVEL_COUNT],
    /// The share of the region's requests of each level that this VM sends.
    pub parts: [f64; LEVEL_COUNT],
}

impl OwnRoom {
    /// Returns the room of a region with `senders` VMs, at one of which `own_waiting` of its waiting
    /// requests wait.
    pub fn new(
        region: &RegionQueues<'_>,
        bound: &BoundShares,
        own_waiting: &[u32; LEVEL_COUNT],
        senders: usize,
    ) -> Self {
        let part = |index: usize| {
            let own: u32 = own_waiting[..=index].iter().sum();
            let all: u32 = region.waiting[..=index].iter().sum();
            // Requests also leave before any waits: then each VM has the same part.
            (f64::from(own) + 1.0) / (f64::from(all) + senders.max(1) as f64)
        };
        Self {
            rooms: region.level_rooms(),
            bound_slots: bound.needed_slots(&region.in_flight()),
            parts: std::array::from_fn(part),
        }
    }
}
