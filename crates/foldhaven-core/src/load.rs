//! Load of engines: delayed reports, corrected by the work dispatched since, and wait estimates.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::description::ModelConfig;
use crate::ids::{ModelName, UpstreamName};
use crate::time::MonoTime;

/// Fencing token of an order to an engine. An engine refuses an order whose fence is smaller than
/// that of the last order it accepted.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct OrderFence {
    /// The generation of the description from which the order was derived.
    pub generation: u64,
    /// Sequence number across all issuers: one more than the engine's last reported one.
    pub sequence: u64,
    /// The incarnation of the issuer, which breaks ties between issuers with the same sequence.
    pub incarnation: u64,
}

/// A model that an engine has in memory or is loading.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeldModel {
    /// The model.
    pub model: ModelName,
    /// The version of its weights.
    pub version: String,
    /// Whether the engine can already serve the model.
    pub ready: bool,
}

/// The load that an engine reports.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The engine.
    pub engine: UpstreamName,
    /// The engine's incarnation.
    pub incarnation: u64,
    /// Age of the report in milliseconds.
    pub age_ms: u32,
    /// Number of requests in the current batch.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub queued: u32,
    /// Remaining work, in milliseconds of slot time.
    pub backlog_ms: u32,
    /// Number of slots, the maximum batch size.
    pub slots: u32,
    /// The models that the engine holds or is loading.
    pub models: Vec<HeldModel>,
    /// The fence of the last accepted order.
    pub fence: OrderFence,
    /// Whether the engine is leaving and accepts no new work.
    pub leaving: bool,
}

impl EngineLoad {
    /// Returns whether the engine can serve the model in the configured version.
    pub fn holds(&self, model: &ModelConfig) -> bool {
        let serves = |held: &HeldModel| {
            held.ready && held.model == model.name && held.version == model.version
        };
        self.models.iter().any(serves)
    }
}

/// An engine in the routing view.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineView {
    /// The engine's last report.
    pub load: EngineLoad,
    /// When the report's content was true, on this process's clock.
    pub observed: MonoTime,
}

/// Work that was dispatched to an engine and is not in its last report yet.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RecentWork {
    /// Number of requests. Fractional, since it may be an estimate for several VMs.
    pub requests: f64,
    /// Total work, as slot time.
    pub work: Duration,
}

/// Number of tokens that an engine must process for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkSize {
    /// Number of prompt tokens that are not in the engine's cache.
    pub cold_tokens: u64,
    /// Number of tokens of the answer.
    pub output_tokens: u64,
}

impl WorkSize {
    /// Returns the slot time of the request: prefill and decode.
    pub fn slot_time(&self, model: &ModelConfig) -> Duration {
        self.prefill_time(model) + model.decode.time_for(self.output_tokens)
    }

    /// Returns the prefill time, after which a free slot emits the first token.
    pub fn prefill_time(&self, model: &ModelConfig) -> Duration {
        model.prefill.time_for(self.cold_tokens)
    }
}

/// Returns the expected wait for a slot of an engine, estimated from its last report, the time
/// passed since, and the work dispatched since.
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
    let wait = (busy - slots + 1.0) * mean / slots;
    Duration::from_secs_f64(wait)
}

/// Moving averages of the bias and the spread of time estimates.
#[derive(Debug, Clone)]
pub struct EstimateCalibration {
    /// Mean ratio of actual to estimated time.
    bias: f64,
    /// Mean absolute deviation of that ratio from `bias`.
    spread: f64,
}

impl Default for EstimateCalibration {
    fn default() -> Self {
        Self { bias: 1.0, spread: 0.15 }
    }
}

impl EstimateCalibration {
    /// Records an estimated and the actual time.
    pub fn record(&mut self, estimate: Duration, actual: Duration) {
        const WEIGHT: f64 = 0.02;
        let ratio = actual.as_secs_f64() / estimate.as_secs_f64().max(1e-3);
        let ratio = ratio.clamp(0.1, 10.0);
        let deviation = (ratio - self.bias).abs();
        self.bias += WEIGHT * (ratio - self.bias);
        self.spread += WEIGHT * (deviation - self.spread);
    }

    /// Returns the factor by which estimates must be multiplied, 0.5 to 3.
    pub fn bias(&self) -> f64 {
        self.bias.clamp(0.5, 3.0)
    }

    /// Returns the mean absolute deviation from corrected estimates, as a share of the uncorrected
    /// estimate, 0.05 to 1.
    pub fn spread(&self) -> f64 {
        self.spread.clamp(0.05, 1.0)
    }
}

/// Returns the probability that a request misses its deadline, for an estimate whose mean absolute
/// error is `spread` times the estimate.
pub fn chance_late(estimate: Duration, deadline: Duration, spread: f64) -> f64 {
    let width = (estimate.as_secs_f64() * spread / 2.0).max(0.002);
    let slack = (deadline.as_secs_f64() - estimate.as_secs_f64()) / width;
    1.0 / (1.0 + slack.clamp(-30.0, 30.0).exp())
}
