//! Estimates how fast upstreams answer: a model of each service, and how much each upstream has
//! recently deviated from it.

use std::time::Duration;

use crate::opaque::event_interval::EventIntervalModel;
use crate::opaque::level_loads::LevelLoads;
use crate::opaque::pause_statistics::PauseStatistics;
use crate::opaque::prefill_rate::PrefillRate;
use crate::opaque::priority_level::PriorityLevel;
use crate::opaque::queue_capacity::QueueCapacity;
use crate::opaque::queue_rank::{PrefillBacklog, QueueRank};
use crate::opaque::reported_load::ReportedLoad;
use crate::opaque::short_slowdown::SlowdownMonitor;
use crate::opaque::traffic_share::TrafficShare;
use crate::opaque::upstream_speed::{FactorMean, SpeedFactors, UpstreamSpeed};
use crate::opaque::work_time::WorkTime;
use crate::time::MonoTime;

/// The time for which a request occupies a slot, before any measurement.
const INITIAL_SLOT_TIME: Duration = Duration::from_millis(60);
/// The mean request size in tokens, before any request was seen. A few hundred requests replace it.
const INITIAL_MEAN_SIZE: f64 = 1_500.0;
/// The weight of a new request in the mean size.
const SIZE_WEIGHT: f64 = 0.01;
/// The weight of a new measurement in the slot time.
const SLOT_TIME_WEIGHT: f64 = 0.02;
/// Minimum time to an answer: the network round trip.
const MIN_RESPONSE_TIME: Duration = Duration::from_millis(8);
/// Minimum number of tokens to fetch from another upstream; prefilling fewer is faster.
const MIN_FETCH_TOKENS: u32 = 1_000;
/// The set-up time of a transfer between upstreams. One set-up takes a few milliseconds, but the
/// transfers of an upstream wait for each other, so this allows for several.
const FETCH_SETUP: Duration = Duration::from_millis(15);
/// The factor by which earlier times of an upstream lose weight with each new measurement.
const TIME_RETENTION: f64 = 0.8;
/// A prior measurement in seconds that matched its expectation. It limits the effect of a single
/// exceeded expectation if the expected time is short.
const PRIOR_TIME_S: f64 = 0.2;
/// The weight of a new result in the share of failures beyond the usual. If 14 in 100 requests of a
/// route fail at any upstream, the share varies by 0.07, which is less than the cost of using
/// another region.
const FAILURE_WEIGHT: f64 = 0.08;
/// The weight of a new event in the share of long pauses. It averages over about half a second of a
/// busy upstream.
const PAUSE_WEIGHT: f64 = 0.02;
/// The time in which the recorded deviations of an upstream decay by the factor e, so that an
/// upstream that was slow or failed is tried again.
const DECAY_TIME: Duration = Duration::from_secs(4);
/// Maximum ratio of a measured time to the expected one. A higher ratio is caused by the request,
/// not by the upstream.
const MAX_TIME_RATIO: f64 = 12.0;

/// The queue of an upstream, from the requests of this VM and the load reports of other VMs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QueueState {
    /// The number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// The memory for running requests and kept prompts, in tokens. 0 if it does not bound what
    /// runs.
    pub memory_tokens: u32,
    /// The number of requests at the upstream, running and waiting.
    pub in_flight: u32,
    /// The number of those requests that can still meet their targets: they are timely, and no
    /// pause between their events was too long.
    pub on_track: u32,
    /// The number of deferred requests that have not been answered yet.
    pub deferred: u32,
    /// The prompt tokens of requests that have not been answered yet.
    pub prefill_backlog: PrefillBacklog,
    /// The requests by level, of the VMs that report levels. Zero for a service whose requests do
    /// not differ in priority.
    pub levels: LevelLoads,
}

impl QueueState {
    /// Returns the part of the queue that goes before a new request of a level. Requests of unknown
    /// level count as going before it.
    pub fn through(self, level: PriorityLevel) -> Self {
        let unknown = self.in_flight.saturating_sub(self.levels.in_flight());
        let in_flight = unknown + self.levels.in_flight_through(level);
        let backlog = self.prefill_backlog.ahead_of(QueueRank::Deferred);
        let unknown_backlog = backlog.saturating_sub(self.levels.prefill_backlog());
        let timely = unknown_backlog.saturating_add(self.levels.prefill_backlog_through(level));
        Self {
            in_flight,
            on_track: self.on_track.min(in_flight),
            deferred: 0,
            prefill_backlog: PrefillBacklog { timely, deferred: 0 },
            ..self
        }
    }

    /// Returns the queue as upstreams run it that do not regard ranks: no request is deferred.
    pub fn in_order_of_arrival(self) -> Self {
        Self { deferred: 0, ..self }
    }

    /// Returns how many times all slots become free once before the upstream starts a new request
    /// of a rank.
    pub fn slot_turns(&self, rank: QueueRank) -> f64 {
        let slots = self.slots.max(1);
        let excess = (self.ahead_of(rank) + 1).saturating_sub(slots);
        f64::from(excess) / f64::from(slots)
    }

    /// Returns the number of requests ahead of a new request of a rank.
    pub fn ahead_of(&self, rank: QueueRank) -> u32 {
        match rank {
            QueueRank::Timely => self.in_flight.saturating_sub(self.deferred),
            QueueRank::Deferred => self.in_flight,
        }
    }
}

/// The measured performance of the upstreams of a service, as of one of mean speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServicePerformance {
    /// The speed of prefill.
    pub prefill_rate: PrefillRate,
    /// The number of cached prompt tokens that an upstream fetches from another one per second; 0
    /// if it can't.
    pub fetch_tokens_per_s: f64,
    /// The mean time for which a request occupies a slot.
    pub slot_time: Duration,
    /// The time that an upstream works on a request before it answers it as a whole. `None` if
    /// requests have prompts or are answered with streams.
    pub work_time: Option<WorkTime>,
    /// The mean size of requests in tokens.
    pub mean_size: f64,
    /// The interval between the events of a stream.
    pub event_interval: EventIntervalModel,
    /// The share of pauses between events that prefill makes too long.
    pub pause_statistics: PauseStatistics,
    /// The number of requests that an upstream accepts before it refuses more.
    pub queue_capacity: QueueCapacity,
    /// This VM's part of the plain requests in flight.
    pub traffic_share: TrafficShare,
    /// The mean prefill factor of the upstreams whose prefill was recorded.
    pub prefill_mean: FactorMean,
    /// The mean decode factor of the upstreams whose streams were recorded.
    pub decode_mean: FactorMean,
}

impl Default for ServicePerformance {
    fn default() -> Self {
        Self {
            prefill_rate: PrefillRate::default(),
            fetch_tokens_per_s: 0.0,
            slot_time: INITIAL_SLOT_TIME,
            work_time: None,
            mean_size: INITIAL_MEAN_SIZE,
            event_interval: EventIntervalModel::default(),
            pause_statistics: PauseStatistics::default(),
            queue_capacity: QueueCapacity::default(),
            traffic_share: TrafficShare::default(),
            prefill_mean: FactorMean::default(),
            decode_mean: FactorMean::default(),
        }
    }
}

impl ServicePerformance {
    /// Returns the performance of an upstream with these speed factors.
    pub fn at_speed(&self, speed: SpeedFactors) -> Self {
        Self {
            prefill_rate: self.prefill_rate.slowed_by(speed.prefill),
            // Most of the time in a slot is decode.
            slot_time: self.slot_time.mul_f64(speed.decode),
            event_interval: self.event_interval.slowed_by(speed.decode),
            ..*self
        }
    }

    /// Records how long a request occupied a slot.
    pub fn record_slot_time(&mut self, occupied: Duration) {
        self.slot_time =
            self.slot_time.mul_f64(1.0 - SLOT_TIME_WEIGHT) + occupied.mul_f64(SLOT_TIME_WEIGHT);
    }

    /// Returns the performance for requests that are answered as a whole and have no prompt.
    ///
    /// Upstreams run these in order of arrival, whatever their rank.
    pub fn for_plain_requests(self) -> Self {
        let work_time = self.work_time.unwrap_or_default();
        Self { slot_time: work_time.mean(), work_time: Some(work_time), ..self }
    }

    /// Returns the performance for other requests.
    pub fn for_model_requests(self) -> Self {
        Self { work_time: None, ..self }
    }

    /// Records the time to the answer of a request without a prompt, at an upstream that had `queue`
    /// when the request was sent.
    pub fn record_work(&mut self, queue: QueueState, took: Duration) {
        let took = took.saturating_sub(MIN_RESPONSE_TIME);
        let mut work_time = self.work_time.unwrap_or_default();
        work_time.record(took, queue.in_order_of_arrival().slot_turns(QueueRank::Timely));
        self.work_time = Some(work_time);
        self.slot_time = work_time.mean();
    }

    /// Records the time to the first answer of a request at an upstream that had a free slot.
    /// `tokens` is the number of prompt tokens to prefill before the answer, including those of the
    /// request itself.
    pub fn record_prefill(&mut self, tokens: u32, took: Duration) {
        self.record_prefill_at(&mut UpstreamSpeed::default(), tokens, took, MonoTime::default());
    }

    /// Records the same for an upstream whose speed is measured.
    pub fn record_prefill_at(
        &mut self,
        speed: &mut UpstreamSpeed,
        tokens: u32,
        took: Duration,
        now: MonoTime,
    ) {
        if tokens < PrefillRate::MIN_TOKENS {
            return;
        }
        let took = took.saturating_sub(MIN_RESPONSE_TIME);
        speed.record_prefill(self.prefill_time(tokens), took, now);
        let factor = speed.factors(now).prefill;
        self.prefill_rate.record(tokens, self.prefill_mean.normalize(took, factor));
    }

    /// Records the time from the first to the last event of a stream at an upstream: `intervals`
    /// is the number of intervals between them, and `load` the mean number of requests there.
    pub fn record_stream(
        &mut self,
        speed: &mut UpstreamSpeed,
        time: Duration,
        intervals: u32,
        load: f64,
        now: MonoTime,
    ) {
        let expected_s = self.event_interval.interval(load) * f64::from(intervals);
        if expected_s > 0.0 {
            speed.record_decode(Duration::from_secs_f64(expected_s), time, now);
        }
        let factor = speed.factors(now).decode;
        let usual = self.decode_mean.normalize(time, factor);
        self.event_interval.record(usual / intervals.max(1), load);
    }

    /// Records the size of a request in tokens.
    pub fn record_size(&mut self, size: u32) {
        self.mean_size += (f64::from(size) - self.mean_size) * SIZE_WEIGHT;
    }

    /// Returns the expected interval between two events at an upstream with `load` requests that
    /// also prefills `backlog` tokens meanwhile.
    pub fn interval_during_prefill(&self, load: f64, backlog: u32) -> Duration {
        let interval = Duration::from_secs_f64(self.event_interval.interval(load));
        if interval.is_zero() { interval } else { interval + self.prefill_time(backlog) }
    }

    /// Returns the time that prefilling a number of tokens takes.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.prefill_rate.rate())
    }

    /// Returns the time that fetching cached tokens from another upstream takes; `None` if fetching
    /// is not possible or the tokens are too few to be worth the set-up.
    pub fn fetch_time(&self, tokens: u32) -> Option<Duration> {
        if self.fetch_tokens_per_s <= 0.0 || tokens < MIN_FETCH_TOKENS {
            return None;
        }
        Some(FETCH_SETUP + Duration::from_secs_f64(f64::from(tokens) / self.fetch_tokens_per_s))
    }

    /// Returns the risk that an upstream with this queue is full when a request without a prompt
    /// arrives. Zero for other requests, which wait at the VM for room.
    pub fn overflow_risk(&self, queue: QueueState) -> f64 {
        self.work_time.map_or(0.0, |_| self.queue_capacity.overflow_risk(queue))
    }

    /// Returns the expected wait until the upstream starts a new request of a rank.
    pub fn wait(&self, queue: QueueState, rank: QueueRank) -> Duration {
        let slot_wait = self.slot_time.mul_f64(queue.slot_turns(rank));
        slot_wait + self.prefill_time(queue.prefill_backlog.ahead_of(rank))
    }

    /// Returns the expected time to the answer, or to its first event, of a request of a rank with
    /// a number of prompt tokens to prefill.
    pub fn time_to_first(&self, queue: QueueState, rank: QueueRank, tokens: u32) -> Duration {
        let work = self.work_time.map_or(Duration::ZERO, |work_time| work_time.mean());
        MIN_RESPONSE_TIME + self.wait(queue, rank) + self.prefill_time(tokens) + work
    }
}

/// The speed of one upstream, and its recent deviations from the performance of its service.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamPerformance {
    /// The decaying sums of the expected times to recent answers and of the measured ones, in
    /// seconds.
    expected_s: f64,
    measured_s: f64,
    /// The share of requests that failed, minus the usual share of their routes.
    failure_share: f64,
    /// The share of pauses between events that were too long.
    long_pause_share: f64,
    /// When the values above were updated; they decay from then on.
    updated: MonoTime,
    /// When the upstream last refused a request because it was full, and how many requests it had
    /// then; `None` if it never did.
    refused: Option<(MonoTime, u32)>,
    /// The lasting speed of the upstream.
    pub speed: UpstreamSpeed,
    /// Whether the upstream is slow at this moment.
    pub slowdown: SlowdownMonitor,
    /// The load that the upstream tells.
    pub reported_load: ReportedLoad,
}

impl Default for UpstreamPerformance {
    fn default() -> Self {
        Self {
            expected_s: 0.0,
            measured_s: 0.0,
            failure_share: 0.0,
            long_pause_share: 0.0,
            updated: MonoTime::default(),
            refused: None,
            speed: UpstreamSpeed::default(),
            slowdown: SlowdownMonitor::default(),
            reported_load: ReportedLoad::default(),
        }
    }
}

impl UpstreamPerformance {
    /// Lets the values decay towards those of a usual upstream by the time that has passed.
    fn decay(&mut self, now: MonoTime) {
        let factor = (-now.since(self.updated).as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.expected_s *= factor;
        self.measured_s *= factor;
        self.failure_share *= factor;
        self.long_pause_share *= factor;
        self.updated = now;
    }

    /// Records the expected and the actual time to an answer or its first event.
    pub fn record_time_to_first(&mut self, expected: Duration, actual: Duration, now: MonoTime) {
        self.decay(now);
        let expected = expected.as_secs_f64().max(1e-3);
        let measured = actual.as_secs_f64().min(expected * MAX_TIME_RATIO);
        self.expected_s = self.expected_s * TIME_RETENTION + expected;
        self.measured_s = self.measured_s * TIME_RETENTION + measured;
    }

    /// Records whether a request failed. `usual` is the share of its route's requests that fails at
    /// any upstream.
    pub fn record_end(&mut self, has_failed: bool, usual: f64, now: MonoTime) {
        self.decay(now);
        let excess = f64::from(u8::from(has_failed)) - usual;
        self.failure_share += (excess - self.failure_share) * FAILURE_WEIGHT;
    }

    /// Records that the upstream refused a request because it was full with `load` requests.
    pub fn record_queue_full(&mut self, load: u32, now: MonoTime) {
        self.refused = Some((now, load));
    }

    /// Returns the reported queue, with the number of requests raised to the minimum that the
    /// upstream must still have: the number that it had when it last refused a request, less
    /// `slots` requests completed per slot time since then.
    ///
    /// A refusal is more reliable than load reports, which may be missing if VMs are partitioned
    /// from each other. Without this, the next requests of this VM would go to the same full
    /// upstream until a report shows its load. In a simulated overload of 1.4 times the capacity
    /// (`foldhaven-testkit simulate`), it lowers the share of refused arrivals from 10 in 100 to 6.
    pub fn queue_after_refusal(
        &self,
        reported: QueueState,
        slot_time: Duration,
        now: MonoTime,
    ) -> QueueState {
        let Some((at, load)) = self.refused else { return reported };
        let completed = f64::from(reported.slots) * now.since(at).div_duration_f64(slot_time);
        let min_load = load.saturating_sub(completed as u32);
        QueueState { in_flight: reported.in_flight.max(min_load), ..reported }
    }

    /// Records whether a pause between two events was too long.
    pub fn record_pause(&mut self, is_long: bool, now: MonoTime) {
        self.decay(now);
        self.long_pause_share +=
            (f64::from(u8::from(is_long)) - self.long_pause_share) * PAUSE_WEIGHT;
    }

    /// Returns the share of recent pauses between events that were too long.
    pub fn long_pause_share(&self, now: MonoTime) -> f64 {
        let mut current = *self;
        current.decay(now);
        current.long_pause_share
    }

    /// Returns the factor by which the upstream is at present slower than expected by its lasting
    /// speed. It is at least 1, since a faster upstream already shows in a shorter queue.
    pub fn latency_factor(&self, now: MonoTime) -> f64 {
        let mut current = *self;
        current.decay(now);
        let ratio = (current.measured_s + PRIOR_TIME_S) / (current.expected_s + PRIOR_TIME_S);
        ratio.max(1.0)
    }

    /// Returns the share of recent requests that failed, beyond the usual share of their routes.
    pub fn failure_share(&self, now: MonoTime) -> f64 {
        let mut current = *self;
        current.decay(now);
        current.failure_share.max(0.0)
    }
}
