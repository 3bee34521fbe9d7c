//! When callers whose requests found no room are told to come again.
//!
//! A VM counts which callers it has told to come when, and tells each the first moment at which its
//! part of the region probably has room left. Told by the present queue alone, all of them would
//! come at the same time and meet the same queue.

use std::time::Duration;

use crate::opaque::priority_level::{LEVEL_COUNT, PriorityLevel};
use crate::opaque::refusal::{MAX_RETRY_DELAY, MIN_OVERLOAD_RETRY_DELAY};
use crate::time::MonoTime;

/// The length of a bucket.
pub const BUCKET_TIME: Duration = Duration::from_millis(100);
/// The number of buckets. Together they cover [`MAX_RETRY_DELAY`] and the bucket of the present.
const BUCKET_COUNT: usize = 301;
/// The time in which the rate of new requests follows a change by the factor e.
const RATE_TIME: Duration = Duration::from_millis(1_500);
/// The share of the room of a level that is promised to returning callers even if new requests of
/// the level could use all of it, so that who was refused once is not shut out.
const MIN_RETURN_SHARE: f64 = 0.2;
/// Callers keep a retry delay up to this share of their remaining time.
const RESPECTED_SHARE: f64 = 1.0 / 3.0;

/// Returns the longest retry delay that a caller with the given remaining time keeps.
pub fn max_respected_delay(remaining: Duration) -> Duration {
    remaining.mul_f64(RESPECTED_SHARE).min(MAX_RETRY_DELAY)
}

/// What a VM knows of how fast the slots of a service become free in its region.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RegionTurnover {
    /// The slots of the usable upstreams.
    pub slots: f64,
    /// The mean time for which a request holds a slot.
    pub slot_time: Duration,
    /// The requests of this VM that run or wait.
    pub own_requests: u32,
    /// The requests of all VMs of the region, of this one too, that run or wait.
    pub all_requests: f64,
}

impl RegionTurnover {
    /// Returns how many slots become free for this VM per second: its part of all by its part of
    /// the requests. `None` if that is not known.
    pub fn own_per_s(&self) -> Option<f64> {
        if self.slot_time.is_zero() || self.slots <= 0.0 {
            return None;
        }
        let own = f64::from(self.own_requests.max(1));
        let part = own / self.all_requests.max(own);
        Some(self.slots / self.slot_time.as_secs_f64() * part)
    }
}

/// A refused request for which a time is sought.
#[derive(Debug, Clone, Copy)]
pub struct ReturnQuery {
    /// Its level.
    pub level: PriorityLevel,
    /// The number of waiting requests of its level and of more urgent ones.
    pub ahead: usize,
    /// The expected wait for which it is refused. Zero if it is refused for another reason.
    pub wait: Duration,
    /// The time that its caller continues to wait.
    pub remaining: Duration,
    /// The slots that become free for this VM per second.
    pub turnover_per_s: f64,
}

/// When a refused caller is told to come again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReturnTime {
    /// After this delay, when room is kept for it.
    Promised(Duration),
    /// After this delay at the earliest. No room is expected while it would keep the delay.
    Unpromised(Duration),
}

impl ReturnTime {
    /// Returns the delay.
    pub fn delay(self) -> Duration {
        match self {
            Self::Promised(delay) | Self::Unpromised(delay) => delay,
        }
    }

    /// Whether room is kept.
    pub fn is_promised(self) -> bool {
        matches!(self, Self::Promised(_))
    }
}

/// The callers told to come within one bucket, by level.
#[derive(Debug, Clone, Copy, Default)]
struct ReturnBucket {
    /// The number of the bucket since the origin of the clock.
    number: u64,
    told: [u16; LEVEL_COUNT],
}

impl ReturnBucket {
    fn expected_through(&self, level: PriorityLevel) -> u64 {
        self.told[..=level.index()].iter().map(|count| u64::from(*count)).sum()
    }
}

/// The rate of new requests of one level, per second.
#[derive(Debug, Clone, Copy, Default)]
struct ArrivalRate {
    per_s: f64,
    updated: MonoTime,
}

impl ArrivalRate {
    fn current(&self, now: MonoTime) -> f64 {
        self.per_s * (-now.since(self.updated).div_duration_f64(RATE_TIME)).exp()
    }

    fn record(&mut self, now: MonoTime) {
        self.per_s = self.current(now) + 1.0 / RATE_TIME.as_secs_f64();
        self.updated = now;
    }
}

/// The callers of one service that one VM has told to come again.
#[derive(Debug)]
pub struct ReturnSchedule {
    buckets: Box<[ReturnBucket; BUCKET_COUNT]>,
    arrivals: [ArrivalRate; LEVEL_COUNT],
}

impl Default for ReturnSchedule {
    fn default() -> Self {
        Self {
            buckets: Box::new([ReturnBucket::default(); BUCKET_COUNT]),
            arrivals: [ArrivalRate::default(); LEVEL_COUNT],
        }
    }
}

impl ReturnSchedule {
    /// Records a request whose caller was not refused before.
    pub fn record_arrival(&mut self, level: PriorityLevel, now: MonoTime) {
        self.arrivals[level.index()].record(now);
    }

    /// Returns when a refused caller is told to come, and counts it if room is kept for it. `draw`
    /// is a random number, uniform in 0..1, that spreads callers within a bucket.
    pub fn schedule(&mut self, query: &ReturnQuery, draw: f64, now: MonoTime) -> ReturnTime {
        let latest = max_respected_delay(query.remaining);
        let free = self.free_per_s(query, now);
        let drained = Duration::try_from_secs_f64(query.ahead as f64 / free)
            .unwrap_or(MAX_RETRY_DELAY)
            .max(query.wait)
            .clamp(MIN_OVERLOAD_RETRY_DELAY, MAX_RETRY_DELAY);
        let spare = free - self.arrivals[query.level.index()].current(now);
        let for_returns = spare.max(free * MIN_RETURN_SHARE);
        for number in bucket_number(now + drained)..=bucket_number(now + latest) {
            let start = bucket_start(number);
            let moment = (start + BUCKET_TIME.mul_f64(draw)).max(now + drained);
            let is_kept = moment.since(now) <= latest;
            if is_kept && self.take(number, query.level, for_returns) {
                return ReturnTime::Promised(moment.since(now));
            }
        }
        ReturnTime::Unpromised(drained.max(latest))
    }

    /// Returns the slots per second that more urgent requests leave.
    fn free_per_s(&self, query: &ReturnQuery, now: MonoTime) -> f64 {
        let more_urgent = self.arrivals[..query.level.index()].iter();
        let taken: f64 = more_urgent.map(|rate| rate.current(now)).sum();
        (query.turnover_per_s - taken).max(0.0)
    }

    /// Counts a caller in a bucket if it has room at `per_s`.
    fn take(&mut self, number: u64, level: PriorityLevel, per_s: f64) -> bool {
        let capacity = slots_until(number + 1, per_s) - slots_until(number, per_s);
        let bucket = &mut self.buckets[(number % BUCKET_COUNT as u64) as usize];
        if bucket.number != number {
            *bucket = ReturnBucket { number, ..ReturnBucket::default() };
        }
        if bucket.expected_through(level) >= capacity {
            return false;
        }
        let told = &mut bucket.told[level.index()];
        *told = told.saturating_add(1);
        true
    }

    /// Returns the number of callers that are expected to come from now on.
    pub fn expected(&self, now: MonoTime) -> u64 {
        let first = bucket_number(now);
        let open = self.buckets.iter().filter(|bucket| bucket.number >= first);
        open.map(|bucket| bucket.expected_through(PriorityLevel::LAST)).sum()
    }
}

/// Returns the whole slots before a bucket. A rate of less than one slot per bucket gives a slot to
/// every few buckets.
fn slots_until(number: u64, per_s: f64) -> u64 {
    (number as f64 * BUCKET_TIME.as_secs_f64() * per_s) as u64
}

fn bucket_number(moment: MonoTime) -> u64 {
    moment.0 / BUCKET_TIME.as_micros() as u64
}

fn bucket_start(number: u64) -> MonoTime {
    MonoTime(number * BUCKET_TIME.as_micros() as u64)
}
