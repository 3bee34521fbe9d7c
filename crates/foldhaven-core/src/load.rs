//! Load of engines: lagged reports, corrected by what was dispatched since, and estimates from it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::description::ModelConfig;
use crate::ids::{ModelName, UpstreamName};
use crate::time::MonoTime;

/// The fence of an order to an engine. An engine refuses orders with a smaller one than its last.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct OrderFence {
    /// The generation of the description that the order follows from.
    pub generation: u64,
    /// Counts up over all issuers: each takes one more than the engine last reported.
    pub sequence: u64,
    /// The process lifetime of the issuer, which orders two issuers with the same sequence.
    pub incarnation: u64,
}

/// A model that an engine holds or is loading.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeldModel {
    /// The model.
    pub model: ModelName,
    /// The version of its weights.
    pub version: String,
    /// Whether it can serve already.
    pub ready: bool,
}

/// What an engine reports of its load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The engine.
    pub engine: UpstreamName,
    /// The engine's process lifetime.
    pub incarnation: u64,
    /// How old the content is, in milliseconds.
    pub age_ms: u32,
    /// Requests that it batches now.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// The work that is left, in milliseconds of one slot.
    pub backlog_ms: u32,
    /// The slots over which it batches.
    pub slots: u32,
    /// The models it holds.
    pub models: Vec<HeldModel>,
    /// The fence of the last order that it took.
    pub fence: OrderFence,
    /// Whether it takes no new work.
    pub leaving: bool,
}

impl EngineLoad {
    /// Whether the engine can serve this version of a model.
    pub fn holds(&self, model: &ModelConfig) -> bool {
        let serves = |held: &HeldModel| {
            held.ready && held.model == model.name && held.version == model.version
        };
        self.models.iter().any(serves)
    }
}

/// One engine in the view by which requests are routed.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineView {
    /// Its last report.
    pub load: EngineLoad,
    /// When the report's content was true, on this process's clock.
    pub observed: MonoTime,
}

/// Work that this daemon dispatched and that a report does not show yet.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RecentWork {
    /// How many requests.
    pub requests: f64,
    /// How much work, in time of one slot.
    pub work: Duration,
}

/// What is to be done for one request at one engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkSize {
    /// Tokens of the prompt that are not in the engine's cache.
    pub cold_tokens: u64,
    /// Tokens of the answer.
    pub output_tokens: u64,
}

impl WorkSize {
    /// The time that one slot needs.
    pub fn slot_time(&self, model: &ModelConfig) -> Duration {
        self.prefill_time(model) + model.decode.time_for(self.output_tokens)
    }

    /// The time until the first token leaves a free slot.
    pub fn prefill_time(&self, model: &ModelConfig) -> Duration {
        model.prefill.time_for(self.cold_tokens)
    }
}

/// The expected wait for a slot of an engine, from its report, the time that has passed since, and
/// the work that was dispatched since.
pub fn expected_wait(engine: &EngineView, recent: RecentWork, now: MonoTime) -> Duration {
    let load = &engine.load;
    let slots = f64::from(load.slots.max(1));
    let busy = f64::from(load.running + load.queued) + recent.requests;
    let drained = now.since(engine.observed).as_secs_f64() * slots.min(busy);
    let reported = f64::from(load.backlog_ms) / 1_000.0;
    let backlog = (reported + recent.work.as_secs_f64() - drained).max(0.0);
    if busy < slots {
        return Duration::ZERO;
    }
    let mean = backlog / busy.max(1.0);
    let ahead = (busy - slots + 1.0) * mean / slots;
    Duration::from_secs_f64(ahead)
}

/// The running error of estimates: how far they are off, as a share of the estimate.
#[derive(Debug, Clone)]
pub struct EstimateCalibration {
    bias: f64,
    spread: f64,
}

impl Default for EstimateCalibration {
    fn default() -> Self {
        Self { bias: 1.0, spread: 0.15 }
    }
}

impl EstimateCalibration {
    /// Takes in one pair of estimate and outcome.
    pub fn record(&mut self, estimate: Duration, actual: Duration) {
        const WEIGHT: f64 = 0.02;
        let ratio = actual.as_secs_f64() / estimate.as_secs_f64().max(1e-3);
        let ratio = ratio.clamp(0.1, 10.0);
        let off = (ratio - self.bias).abs();
        self.bias += WEIGHT * (ratio - self.bias);
        self.spread += WEIGHT * (off - self.spread);
    }

    /// What estimates are to be multiplied by.
    pub fn bias(&self) -> f64 {
        self.bias.clamp(0.5, 3.0)
    }

    /// The mean distance of outcomes from corrected estimates, as a share of the estimate.
    pub fn spread(&self) -> f64 {
        self.spread.clamp(0.05, 1.0)
    }
}

/// The chance that a request is late, for an estimate that is off by `spread` of itself on average.
pub fn chance_late(estimate: Duration, deadline: Duration, spread: f64) -> f64 {
    let width = (estimate.as_secs_f64() * spread / 2.0).max(0.002);
    let slack = (deadline.as_secs_f64() - estimate.as_secs_f64()) / width;
    1.0 / (1.0 + slack.clamp(-30.0, 30.0).exp())
}
