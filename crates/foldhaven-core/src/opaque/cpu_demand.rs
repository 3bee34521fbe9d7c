//! The CPU time that the requests of a region use, with a peak that decays over seconds.

use std::time::Duration;

use crate::time::MonoTime;
use crate::units::CoreShare;

/// The time constant with which a peak decays. Callers that are directed to fewer VMs leave their
/// connections to the others, so a pause between two bursts must not cost them all.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// The highest recent CPU demand, with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeakCpuDemand {
    peak: f64,
    recorded: MonoTime,
}

impl PeakCpuDemand {
    /// Records the current demand. Returns the highest recent demand after decay.
    pub fn record(&mut self, demand: CoreShare, now: MonoTime) -> CoreShare {
        let passed = now.since(self.recorded).div_duration_f64(DECAY_TIME);
        self.peak = (self.peak * (-passed).exp()).max(demand.as_cores());
        self.recorded = now;
        CoreShare::from_cores(self.peak)
    }
}
