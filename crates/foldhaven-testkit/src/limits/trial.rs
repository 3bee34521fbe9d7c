//! Plays a combination and says what came of its limit.

use std::collections::VecDeque;

use serde::Serialize;

use super::experiment::LimitsPlan;
use super::trouble::{LimitTrouble, TROUBLE_AT};
use super::vm::{RATE, SLACK, limit_of};
use super::world::{LimitsWorld, StepUse};

/// How long a play is, in milliseconds.
const PLAY_MS: u64 = 26_000;
/// Callers come when processes have run for a while.
const LEAD_MS: u64 = 3_000;
/// The bytes of a message without what it tells, and of the want of one account.
const MESSAGE_BYTES: f64 = 24.0;
const WANT_BYTES: f64 = 9.0;
/// Between two points of a curve, in milliseconds.
const CURVE_STEP: u64 = 250;

/// What came of a play.
#[derive(Debug, Clone, Serialize)]
pub struct LimitsTrial {
    /// What was played.
    pub plan: LimitsPlan,
    /// The seed.
    pub seed: u64,
    /// What was used in the worst window, against what is permitted there, slack included.
    pub worst_window: f64,
    /// What was refused though one count of all would have let it through, as a share of what that lets through.
    pub refused_below: f64,
    /// What was used of the limit while more was asked for and nothing was cut any more.
    pub used_share: f64,
    /// Messages of a VM in a second.
    pub messages_per_s: f64,
    /// Their bytes, where all accounts are told in each.
    pub bytes_per_s: f64,
    /// What was used a second against the limit, by time in milliseconds.
    #[serde(skip)]
    pub curve: Vec<(u64, f64)>,
}

/// The uses of the newest window.
#[derive(Default)]
struct UseWindow {
    steps: VecDeque<(u64, f64)>,
    sum: f64,
}

impl UseWindow {
    fn note(&mut self, at: u64, used: f64) -> f64 {
        let window = SLACK.window.as_millis() as u64;
        self.steps.push_back((at, used));
        self.sum += used;
        while self.steps.front().is_some_and(|(since, _)| since + window < at) {
            self.sum -= self.steps.pop_front().map_or(0.0, |(_, used)| used);
        }
        self.sum
    }
}

/// What is permitted in a window that ends at a time.
fn permitted(plan: &LimitsPlan, at: u64) -> f64 {
    // A lower limit binds one window and the time of news after it was published.
    let window = SLACK.window.as_millis() as u64;
    let bound_at = at.saturating_sub(window + 1_000);
    let limit = limit_of(plan.trouble.limit(bound_at.min(at)));
    let plain = limit.per_s * SLACK.window.as_secs_f64() + limit.burst;
    plain * (1.0 + SLACK.share) + SLACK.extra
}

/// Plays a combination.
pub fn play_limits(plan: &LimitsPlan, seed: u64) -> LimitsTrial {
    let mut world = LimitsWorld::new(*plan, seed);
    let mut window = UseWindow::default();
    let mut all = StepUse::default();
    let (mut worst, mut late, mut late_ms) = (0.0_f64, 0.0, 0_u64);
    let mut curve: Vec<(u64, f64)> = Vec::new();
    while world.at() < PLAY_MS {
        let before = world.at();
        let step = world.step();
        let at = world.at();
        if at > LEAD_MS {
            all.owed += step.owed;
            all.used += step.used.min(step.owed.max(step.used));
        }
        worst = worst.max(window.note(at, step.used) / permitted(plan, at));
        if is_contended(plan.trouble) && at > PLAY_MS - 7_000 {
            late += step.used;
            late_ms += at - before;
        }
        if at.is_multiple_of(CURVE_STEP) {
            curve.push((at, 0.0));
        }
        if let Some(point) = curve.last_mut() {
            point.1 += step.used / (RATE * CURVE_STEP as f64 / 1e3);
        }
    }
    let seconds = PLAY_MS as f64 / 1e3;
    let messages_per_s = world.messages as f64 / seconds / plan.vms as f64;
    let wants_per_s = world.wants as f64 / seconds / plan.vms as f64;
    let limit = RATE * plan.trouble.limit(PLAY_MS);
    LimitsTrial {
        plan: *plan,
        seed,
        worst_window: worst,
        refused_below: (1.0 - all.used / all.owed.max(1.0)).max(0.0),
        used_share: if late_ms == 0 { 1.0 } else { late / (limit * late_ms as f64 / 1e3) },
        messages_per_s,
        bytes_per_s: messages_per_s * MESSAGE_BYTES
            + wants_per_s * WANT_BYTES * plan.accounts as f64,
        curve,
    }
}

/// Whether more is asked for than the limit permits when all is well again.
fn is_contended(trouble: LimitTrouble) -> bool {
    trouble.load(TROUBLE_AT) > trouble.limit(TROUBLE_AT)
}
