//! The room that upstreams have for further requests: slots, and time to prefill prompts.
//!
//! A request has room at an upstream that can start it at once, without displacing another one and
//! without delaying the first answers of more urgent requests by a long prefill.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::opaque::performance::{QueueState, ServicePerformance};
use crate::opaque::priority_level::PriorityLevel;
use crate::opaque::request_class::RoomNeed;

/// Less urgent requests keep at least one in this many slots of an upstream free at most.
const MAX_RESERVED_PART: u32 = 4;
/// Prompts may wait for prefill at an upstream for this share of the shortest target time of the
/// service. The rest is left for the prefill of an urgent request itself and for the network.
const BACKLOG_SHARE: f64 = 0.2;

/// The room of a service's upstreams for requests of one level.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRoom {
    /// Free slots.
    pub slots: u32,
    /// Prompt tokens whose prefill can begin soon.
    pub prefill_tokens: u32,
    /// Tokens of free memory. [`u32::MAX`] if memory does not bound the room.
    pub memory_tokens: u32,
}

impl ServiceRoom {
    /// Returns the sum of two rooms.
    pub fn plus(self, other: Self) -> Self {
        Self {
            slots: self.slots.saturating_add(other.slots),
            prefill_tokens: self.prefill_tokens.saturating_add(other.prefill_tokens),
            memory_tokens: self.memory_tokens.saturating_add(other.memory_tokens),
        }
    }

    /// Returns the room multiplied by a factor.
    pub fn times(self, factor: f64) -> Self {
        let scale = |value: u32| (f64::from(value) * factor) as u32;
        Self {
            slots: scale(self.slots),
            prefill_tokens: scale(self.prefill_tokens),
            memory_tokens: scale(self.memory_tokens),
        }
    }

    /// Returns the room that one request takes.
    pub fn taken_by(need: RoomNeed) -> Self {
        let RoomNeed { prefill_tokens, memory_tokens } = need;
        Self { slots: 1, prefill_tokens, memory_tokens }
    }

    /// Whether there is no room.
    pub fn is_empty(&self) -> bool {
        self.slots == 0 || self.prefill_tokens == 0 || self.memory_tokens == 0
    }
}

/// What requests of one level require of an upstream.
#[derive(Debug, Clone, Copy)]
pub struct RoomLimits {
    /// The level.
    pub level: PriorityLevel,
    /// The mean number of more urgent requests at one upstream.
    pub more_urgent: f64,
    /// The prompt tokens that may wait for prefill at one upstream.
    pub max_backlog: u32,
    /// The mean number of requests at one upstream.
    mean_in_flight: f64,
    /// The number of requests that start at one upstream before this VM hears of them.
    unseen_starts: f64,
}

impl RoomLimits {
    /// Returns the limits for a level at upstreams with the given queues.
    pub fn new(level: PriorityLevel, queues: &[QueueState], max_backlog: u32) -> Self {
        let sum: u32 = queues.iter().map(|queue| queue.levels.in_flight_above(level)).sum();
        let count = queues.len().max(1) as f64;
        let more_urgent = f64::from(sum) / count;
        let all: u32 = queues.iter().map(|queue| queue.in_flight).sum();
        let mean_in_flight = f64::from(all) / count;
        Self { level, more_urgent, max_backlog, mean_in_flight, unseen_starts: 0.0 }
    }

    /// Allows for load reports of an age, while requests hold a slot for `slot_time`.
    pub fn with_report_age(self, age: Duration, slot_time: Duration) -> Self {
        let turnover = age.div_duration_f64(slot_time.max(age).max(Duration::from_millis(1)));
        Self { unseen_starts: self.mean_in_flight * turnover, ..self }
    }

    /// Returns the room of one upstream.
    pub fn room(&self, queue: QueueState) -> ServiceRoom {
        let reserved = reserved_slots(queue.slots, self.more_urgent, self.unseen_starts);
        let taken = queue.in_flight + reserved;
        let slots = queue.slots.saturating_sub(taken);
        let backlog = queue.through(self.level).prefill_backlog.timely;
        match slots {
            0 => ServiceRoom::default(),
            _ => ServiceRoom {
                slots,
                prefill_tokens: self.max_backlog.saturating_sub(backlog),
                memory_tokens: match queue.memory_tokens {
                    0 => u32::MAX,
                    all => all.saturating_sub(queue.levels.memory_tokens()),
                },
            },
        }
    }

    /// Whether an upstream can start a request with a need of room at once.
    pub fn has_room(&self, queue: QueueState, need: RoomNeed) -> bool {
        let room = self.room(queue);
        !room.is_empty() && held_memory(queue, need) <= room.memory_tokens
    }

    /// Whether an upstream has a slot and the memory for a request, though other prompts may wait for
    /// prefill there.
    pub fn has_slot(&self, queue: QueueState, need: RoomNeed) -> bool {
        let room = self.room(queue);
        room.slots > 0 && held_memory(queue, need) <= room.memory_tokens
    }

    /// Whether an upstream can start a request at once, also if as many others have started there
    /// unseen as usual, or none of its requests would be displaced then.
    pub fn has_safe_room(&self, queue: QueueState, need: RoomNeed) -> bool {
        let margin = self.unseen_starts.sqrt().round() as u32;
        let displaceable = queue.in_flight.saturating_sub(queue.through(self.level).in_flight);
        let is_safe = displaceable == 0 || self.room(queue).slots > margin;
        is_safe && self.has_room(queue, need)
    }
}

/// Returns the memory that a request takes at an upstream. One that needs more than there is starts
/// at an upstream whose memory nobody else holds, which decides about it.
fn held_memory(queue: QueueState, need: RoomNeed) -> u32 {
    match queue.memory_tokens {
        0 => 0,
        all => need.memory_tokens.min(all),
    }
}

/// Returns the number of slots of an upstream that less urgent requests leave free for more urgent
/// ones, of which `more_urgent` are in flight per upstream on average.
///
/// The number of such requests varies by about its square root, and so does that of the requests of
/// all levels which have started at the upstream but are not reported yet (`unseen`). With as many
/// free slots, few urgent requests arrive while all slots are taken, and displace one that has begun.
pub fn reserved_slots(slots: u32, more_urgent: f64, unseen: f64) -> u32 {
    let variation = more_urgent.max(0.0).sqrt();
    let error = unseen.max(0.0).sqrt() * more_urgent.clamp(0.0, 1.0);
    let reserved = (variation + error).round() as u32;
    reserved.min(slots / MAX_RESERVED_PART)
}

/// Returns the prompt tokens that may wait for prefill at one upstream of a service whose shortest
/// target time is given.
pub fn max_backlog(performance: &ServicePerformance, shortest_target: Duration) -> u32 {
    let time = shortest_target.as_secs_f64() * BACKLOG_SHARE;
    (time * performance.prefill_rate.rate()) as u32
}
