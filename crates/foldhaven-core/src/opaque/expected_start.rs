//! How long a request of a level probably waits until it starts.
//!
//! The estimate says what the level could take: the slots of a region that no more urgent request
//! holds become free in the time for which requests hold them, and go to the level first. The rate
//! at which requests of the level have started lately says less, since each refusal lowers it.

use std::time::Duration;

use crate::opaque::priority_level::{LEVEL_COUNT, PriorityLevel};

/// The weight of a new measurement in the slot time of a level.
const SLOT_TIME_WEIGHT: f64 = 0.05;
/// The weight of a new measurement in the delay of first answers.
const DELAY_WEIGHT: f64 = 0.05;
/// The minimum rate of starts. A level that gets no slots still starts by the floor.
const MIN_RATE_PER_S: f64 = 0.2;
/// The maximum of an expected wait.
const MAX_EXPECTED_WAIT: Duration = Duration::from_secs(30);

/// The mean times for which requests of each level hold a slot.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlotTimes {
    times: [Option<Duration>; LEVEL_COUNT],
}

impl SlotTimes {
    /// Records how long a request of a level held a slot.
    pub fn record(&mut self, level: PriorityLevel, held: Duration) {
        let time = &mut self.times[level.index()];
        *time = Some(time.map_or(held, |mean| {
            mean.mul_f64(1.0 - SLOT_TIME_WEIGHT) + held.mul_f64(SLOT_TIME_WEIGHT)
        }));
    }

    /// Returns the mean time of a level, or `usual` if none of its requests has ended here.
    pub fn of(&self, level: PriorityLevel, usual: Duration) -> Duration {
        self.times[level.index()].unwrap_or(usual)
    }
}

/// The slots of a service in one region, as one VM sees them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SlotLoad {
    /// The free slots that the level may take.
    pub free: u32,
    /// The requests in flight by level.
    pub in_flight: [u32; LEVEL_COUNT],
    /// The rate at which more urgent requests arrive in the region, per second. `None` if it is not
    /// known; as many then arrive as end.
    pub urgent_arrivals_per_s: Option<f64>,
    /// The mean time for which requests of any level hold a slot.
    pub usual_slot_time: Duration,
}

impl SlotLoad {
    /// Returns how long a request of a level waits until it starts. `ahead` waiting requests go
    /// before it.
    pub fn expected_wait(&self, level: PriorityLevel, ahead: f64, times: &SlotTimes) -> Duration {
        let behind = ahead + 1.0 - f64::from(self.free);
        if behind <= 0.0 {
            return Duration::ZERO;
        }
        let wait_s = behind / self.start_rate(level, times).max(MIN_RATE_PER_S);
        Duration::from_secs_f64(wait_s.min(MAX_EXPECTED_WAIT.as_secs_f64()))
    }

    /// Returns the number of slots that become free per second for a level and for the more urgent
    /// requests that wait already.
    fn start_rate(&self, level: PriorityLevel, times: &SlotTimes) -> f64 {
        let ends = |at: PriorityLevel| {
            let time = times.of(at, self.usual_slot_time).as_secs_f64().max(1e-3);
            f64::from(self.in_flight[at.index()]) / time
        };
        let of_urgent: f64 = PriorityLevel::all().take_while(|it| *it < level).map(ends).sum();
        let of_others: f64 = PriorityLevel::all().filter(|it| *it >= level).map(ends).sum();
        let taken = self.urgent_arrivals_per_s.map_or(0.0, |rate| (rate - of_urgent).max(0.0));
        of_others - taken
    }
}

/// The time that passes between the start of a request and its first answer beside its prefill:
/// the network and the first token.
#[derive(Debug, Clone, Copy, Default)]
pub struct FirstAnswerDelay {
    mean_s: f64,
    deviation_s: f64,
}

impl FirstAnswerDelay {
    /// Records a first answer that took a time, of which `prefill` was expected for the prompt.
    pub fn record(&mut self, took: Duration, prefill: Duration) {
        let delay_s = took.saturating_sub(prefill).as_secs_f64();
        let error = delay_s - self.mean_s;
        self.mean_s += error * DELAY_WEIGHT;
        self.deviation_s += (error.abs() - self.deviation_s) * DELAY_WEIGHT;
    }

    /// Returns the delay to allow for, which few answers exceed. At most a quarter of the target,
    /// so that upstreams that are slow for a while do not make all requests count as late.
    pub fn margin(&self, target: Duration) -> Duration {
        Duration::from_secs_f64(self.mean_s + self.deviation_s).min(target / 4)
    }
}
