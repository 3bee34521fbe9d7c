//! The processor time that the requests of a region take, kept for a while after a peak.

use std::time::Duration;

use crate::time::MonoTime;
use crate::units::CoreShare;

/// A peak counts less by the factor e after so long. Callers who are told of fewer VMs leave the connections that
/// they have to the others, so that a pause between two bursts must not cost all of them.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// The highest demand of the last seconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeakCpuDemand {
    peak: f64,
    recorded: MonoTime,
}

impl PeakCpuDemand {
    /// Takes in what is used now. Returns the highest of the last seconds, less what has faded of it.
    pub fn record(&mut self, demand: CoreShare, now: MonoTime) -> CoreShare {
        let passed = now.since(self.recorded).div_duration_f64(DECAY_TIME);
        self.peak = (self.peak * (-passed).exp()).max(demand.as_f64());
        self.recorded = now;
        CoreShare::of_cores(self.peak)
    }
}
