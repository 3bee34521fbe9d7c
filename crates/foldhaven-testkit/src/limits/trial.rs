//! Simulates one combination and measures how well its limit was enforced.

use std::collections::VecDeque;

use serde::Serialize;

use super::experiment::LimitsPlan;
use super::scenario::{CHANGE_AT, LimitScenario};
use super::vm::{RATE, SLACK, limit_of};
use super::world::{LimitsWorld, StepUsage};

/// Length of a trial, in milliseconds.
const TRIAL_MS: u64 = 26_000;
/// Time after the start, in milliseconds, without counting usage: VMs still learn of each other.
const WARM_UP_MS: u64 = 3_000;
/// Size of a message without its demands, and of the demand of one account, in bytes.
const MESSAGE_BYTES: f64 = 24.0;
const DEMAND_BYTES: f64 = 9.0;
/// Distance of two points of a usage curve, in milliseconds.
const CURVE_STEP_MS: u64 = 250;

/// The results of one trial.
#[derive(Debug, Clone, Serialize)]
pub struct LimitsTrial {
    /// The simulated combination.
    pub plan: LimitsPlan,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Highest ratio of usage to permitted usage, slack included, over all windows.
    pub worst_window: f64,
    /// Cost refused although an ideal central limiter would have admitted it, as a share of the
    /// cost that the ideal limiter admits.
    pub refused_below: f64,
    /// Share of the limit that was used in the last seven seconds, after all faults; 1 if the
    /// demand doesn't exceed the limit then.
    pub used_share: f64,
    /// Messages per second and VM.
    pub messages_per_s: f64,
    /// Bytes per second and VM, if each message holds the demands of all accounts.
    pub bytes_per_s: f64,
    /// Time in milliseconds, and ratio of usage per second to the limit.
    #[serde(skip)]
    pub curve: Vec<(u64, f64)>,
}

/// Usage in a sliding window that ends now.
#[derive(Default)]
struct UsageWindow {
    steps: VecDeque<(u64, f64)>,
    sum: f64,
}

impl UsageWindow {
    fn record(&mut self, at: u64, used: f64) -> f64 {
        let window = SLACK.window.as_millis() as u64;
        self.steps.push_back((at, used));
        self.sum += used;
        while self.steps.front().is_some_and(|(since, _)| since + window < at) {
            self.sum -= self.steps.pop_front().map_or(0.0, |(_, used)| used);
        }
        self.sum
    }
}

/// Returns the permitted usage of a window that ends at a time.
fn permitted_usage(plan: &LimitsPlan, at: u64) -> f64 {
    // A lowered limit is binding only one window and one second of propagation after publication.
    let window = SLACK.window.as_millis() as u64;
    let limit_at = at.saturating_sub(window + 1_000);
    let limit = limit_of(plan.scenario.limit(limit_at.min(at)));
    let base = limit.per_s * SLACK.window.as_secs_f64() + limit.burst;
    base * (1.0 + SLACK.share) + SLACK.extra
}

/// Simulates one combination with one seed.
pub fn run_limits_trial(plan: &LimitsPlan, seed: u64) -> LimitsTrial {
    let mut world = LimitsWorld::new(*plan, seed);
    let mut window = UsageWindow::default();
    let mut total = StepUsage::default();
    let (mut worst, mut final_usage, mut final_ms) = (0.0_f64, 0.0, 0_u64);
    let mut curve: Vec<(u64, f64)> = Vec::new();
    while world.at() < TRIAL_MS {
        let before = world.at();
        let step = world.step();
        let at = world.at();
        if at > WARM_UP_MS {
            total.ideal += step.ideal;
            total.admitted += step.admitted.min(step.ideal.max(step.admitted));
        }
        worst = worst.max(window.record(at, step.admitted) / permitted_usage(plan, at));
        if exceeds_limit(plan.scenario) && at > TRIAL_MS - 7_000 {
            final_usage += step.admitted;
            final_ms += at - before;
        }
        if at.is_multiple_of(CURVE_STEP_MS) {
            curve.push((at, 0.0));
        }
        if let Some(point) = curve.last_mut() {
            point.1 += step.admitted / (RATE * CURVE_STEP_MS as f64 / 1e3);
        }
    }
    let seconds = TRIAL_MS as f64 / 1e3;
    let messages_per_s = world.messages as f64 / seconds / plan.vms as f64;
    let demands_per_s = world.sent_demands as f64 / seconds / plan.vms as f64;
    let limit = RATE * plan.scenario.limit(TRIAL_MS);
    LimitsTrial {
        plan: *plan,
        seed,
        worst_window: worst,
        refused_below: (1.0 - total.admitted / total.ideal.max(1.0)).max(0.0),
        used_share: if final_ms == 0 { 1.0 } else { final_usage / (limit * final_ms as f64 / 1e3) },
        messages_per_s,
        bytes_per_s: messages_per_s * MESSAGE_BYTES
            + demands_per_s * DEMAND_BYTES * plan.accounts as f64,
        curve,
    }
}

/// Returns whether the demand exceeds the limit from the load change until the end of the trial.
fn exceeds_limit(scenario: LimitScenario) -> bool {
    scenario.load(CHANGE_AT) > scenario.limit(CHANGE_AT)
}
