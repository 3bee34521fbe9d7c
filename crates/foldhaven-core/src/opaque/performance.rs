//! How fast upstreams answer: what is expected of a request before it is sent, and how far one
//! upstream has been off from that lately.

use std::time::Duration;

use crate::opaque::event_interval::EventIntervalModel;
use crate::opaque::pause_statistics::PauseStatistics;
use crate::opaque::prefill_rate::PrefillRate;
use crate::opaque::queue_capacity::QueueCapacity;
use crate::opaque::queue_rank::{PrefillBacklog, QueueRank};
use crate::time::MonoTime;

/// How long a request holds its place before any was measured.
const FIRST_HOLD: Duration = Duration::from_millis(60);
/// The mean size before any request was seen, in tokens. Some hundred requests replace it.
const FIRST_SIZE: f64 = 1_500.0;
/// The weight of one more request in the mean size.
const SIZE_WEIGHT: f64 = 0.01;
/// The weight of a new measurement of the time that a place is held.
const HOLD_WEIGHT: f64 = 0.02;
/// The least time to an answer: the way there and back.
const LEAST_TIME: Duration = Duration::from_millis(8);
/// Fewer tokens are read faster than taken over.
const LEAST_FETCH: u32 = 1_000;
/// Setting up one transfer between upstreams takes some milliseconds; transfers of one upstream wait for
/// each other, so it counts more than once.
const FETCH_SETUP: Duration = Duration::from_millis(15);
/// What is left of the weight of earlier measurements of one upstream after one more.
const KEPT_TIMES: f64 = 0.8;
/// An upstream counts as one that took this long, as expected, before anything was measured. So one short
/// time that was missed says little.
const FIRST_TIME_S: f64 = 0.2;
/// The weight of one more end of a request in the failures beyond the usual ones. With 14 in 100 failing by
/// nature the value then varies by 0.07, less than what another region costs.
const FAILURE_WEIGHT: f64 = 0.08;
/// The weight of one more event in the share of pauses that were too long; about half a second of a busy
/// upstream.
const PAUSE_WEIGHT: f64 = 0.02;
/// After this time without news an upstream is taken for usual again by the factor e, so that one
/// that got slow or failed is tried again.
const FORGET_TIME: Duration = Duration::from_secs(4);
/// How often a single measurement may be the expected time at most; beyond it says something of the request,
/// not of the upstream.
const LARGEST_RATIO: f64 = 12.0;

/// What is known of an upstream's queue, from this VM and from those that share their loads.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QueueState {
    /// How many requests it runs at once.
    pub slots: u32,
    /// Requests that it has.
    pub in_flight: u32,
    /// Those of them that can still be answered as wanted: that do not go behind others, and whose events
    /// met no long pause.
    pub on_track: u32,
    /// Requests that go behind all others, and were not answered yet.
    pub deferred: u32,
    /// Prompt tokens sent there of requests that have not answered yet.
    pub prefill_backlog: PrefillBacklog,
}

impl QueueState {
    /// The requests that go before one more of a rank.
    pub fn ahead_of(&self, rank: QueueRank) -> u32 {
        match rank {
            QueueRank::Timely => self.in_flight.saturating_sub(self.deferred),
            QueueRank::Deferred => self.in_flight,
        }
    }
}

/// What is known of the service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServicePerformance {
    /// How fast an upstream reads prompts.
    pub prefill_rate: PrefillRate,
    /// Prompt tokens that an upstream takes over from another one in a second; 0 when it cannot.
    pub fetch_tokens_per_s: f64,
    /// How long a request holds its place.
    pub slot_time: Duration,
    /// The mean size of requests in tokens.
    pub mean_size: f64,
    /// How fast events are written.
    pub event_interval: EventIntervalModel,
    /// How often reading makes pauses between events too long.
    pub pause_statistics: PauseStatistics,
    /// How many requests an upstream takes before it declines more.
    pub queue_capacity: QueueCapacity,
}

impl Default for ServicePerformance {
    fn default() -> Self {
        Self {
            prefill_rate: PrefillRate::default(),
            fetch_tokens_per_s: 0.0,
            slot_time: FIRST_HOLD,
            mean_size: FIRST_SIZE,
            event_interval: EventIntervalModel::default(),
            pause_statistics: PauseStatistics::default(),
            queue_capacity: QueueCapacity::default(),
        }
    }
}

impl ServicePerformance {
    /// Takes in how long a request held its place.
    pub fn record_slot_time(&mut self, held: Duration) {
        self.slot_time = self.slot_time.mul_f64(1.0 - HOLD_WEIGHT) + held.mul_f64(HOLD_WEIGHT);
    }

    /// Takes in how long a request waited for its first answer at an upstream that had a free place, and had
    /// so many prompt tokens to read before, its own included.
    pub fn record_prefill(&mut self, tokens: u32, took: Duration) {
        self.prefill_rate.record(tokens, took.saturating_sub(LEAST_TIME));
    }

    /// Takes in the size of a request.
    pub fn record_size(&mut self, size: u32) {
        self.mean_size += (f64::from(size) - self.mean_size) * SIZE_WEIGHT;
    }

    /// The time that a prompt takes to read.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.prefill_rate.rate())
    }

    /// The time that taking tokens over from another upstream takes; nothing when that is not
    /// possible or not worth its set-up.
    pub fn fetch_time(&self, tokens: u32) -> Option<Duration> {
        if self.fetch_tokens_per_s <= 0.0 || tokens < LEAST_FETCH {
            return None;
        }
        Some(FETCH_SETUP + Duration::from_secs_f64(f64::from(tokens) / self.fetch_tokens_per_s))
    }

    /// The expected wait until the upstream turns to one more request of a rank.
    pub fn wait(&self, queue: QueueState, rank: QueueRank) -> Duration {
        let slots = queue.slots.max(1);
        let excess = (queue.ahead_of(rank) + 1).saturating_sub(slots);
        let for_slot = self.slot_time.mul_f64(f64::from(excess) / f64::from(slots));
        for_slot + self.prefill_time(queue.prefill_backlog.ahead_of(rank))
    }

    /// The expected time to the answer, or to its first event, of a request of a rank with so many prompt
    /// tokens to read.
    pub fn time_to_first(&self, queue: QueueState, rank: QueueRank, tokens: u32) -> Duration {
        LEAST_TIME + self.wait(queue, rank) + self.prefill_time(tokens)
    }
}

/// How far one upstream has been off.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamPerformance {
    /// The expected times of the last answers in seconds, and the measured ones.
    expected_s: f64,
    measured_s: f64,
    /// The share of requests that failed, less the usual one of their routes.
    failure_share: f64,
    /// The share of pauses between events that were longer than wanted.
    long_pause_share: f64,
    /// When these were right; they fade from then on.
    noted: MonoTime,
    /// When it last declined a request because it was full, and how many it had then.
    declined: Option<(MonoTime, u32)>,
}

impl Default for UpstreamPerformance {
    fn default() -> Self {
        Self {
            expected_s: 0.0,
            measured_s: 0.0,
            failure_share: 0.0,
            long_pause_share: 0.0,
            noted: MonoTime::default(),
            declined: None,
        }
    }
}

impl UpstreamPerformance {
    /// Brings the values nearer to the usual ones, by the time that has passed.
    fn fade(&mut self, now: MonoTime) {
        let share = (-now.since(self.noted).as_secs_f64() / FORGET_TIME.as_secs_f64()).exp();
        self.expected_s *= share;
        self.measured_s *= share;
        self.failure_share *= share;
        self.long_pause_share *= share;
        self.noted = now;
    }

    /// Takes in a time to an answer against the expected one.
    pub fn record_time_to_first(&mut self, expected: Duration, actual: Duration, now: MonoTime) {
        self.fade(now);
        let expected = expected.as_secs_f64().max(1e-3);
        let measured = actual.as_secs_f64().min(expected * LARGEST_RATIO);
        self.expected_s = self.expected_s * KEPT_TIMES + expected;
        self.measured_s = self.measured_s * KEPT_TIMES + measured;
    }

    /// Takes in how a request ended there, where some share of its route's requests fails at any upstream.
    pub fn record_end(&mut self, has_failed: bool, usual: f64, now: MonoTime) {
        self.fade(now);
        let beyond = f64::from(u8::from(has_failed)) - usual;
        self.failure_share += (beyond - self.failure_share) * FAILURE_WEIGHT;
    }

    /// Takes in that it declined a request because it had so many.
    pub fn record_queue_full(&mut self, load: u32, now: MonoTime) {
        self.declined = Some((now, load));
    }

    /// The queue that was told, with the requests at least that the last one it declined shows: it ends no more of
    /// them than run at once in the time that one takes.
    ///
    /// A request that is declined says more than reports, which may be missing where VMs are cut off from each
    /// other. Without it the next requests of this VM go to the same full upstream, until a report shows it:
    /// 10 in 100 arrivals were declined in an overload of 1.4 times, 6 with it (`foldhaven-testkit simulate`).
    pub fn queue_after_refusal(
        &self,
        told: QueueState,
        slot_time: Duration,
        now: MonoTime,
    ) -> QueueState {
        let Some((at, load)) = self.declined else { return told };
        let ended = f64::from(told.slots) * now.since(at).div_duration_f64(slot_time);
        let least = load.saturating_sub(ended as u32);
        QueueState { in_flight: told.in_flight.max(least), ..told }
    }

    /// Takes in whether a pause between two events there was longer than wanted.
    pub fn record_pause(&mut self, is_long: bool, now: MonoTime) {
        self.fade(now);
        self.long_pause_share +=
            (f64::from(u8::from(is_long)) - self.long_pause_share) * PAUSE_WEIGHT;
    }

    /// The share of pauses there that were longer than wanted lately.
    pub fn long_pause_share(&self, now: MonoTime) -> f64 {
        let mut current = *self;
        current.fade(now);
        current.long_pause_share
    }

    /// By what its times are to be multiplied; never below 1, since a faster upstream shows in its
    /// queue.
    pub fn latency_factor(&self, now: MonoTime) -> f64 {
        let mut current = *self;
        current.fade(now);
        let ratio = (current.measured_s + FIRST_TIME_S) / (current.expected_s + FIRST_TIME_S);
        ratio.max(1.0)
    }

    /// The share of requests that failed there lately beyond the usual one of their routes.
    pub fn failure_share(&self, now: MonoTime) -> f64 {
        let mut current = *self;
        current.fade(now);
        current.failure_share.max(0.0)
    }
}
