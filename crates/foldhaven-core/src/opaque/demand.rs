//! The processor time that the requests of a region take, kept for a while after a peak.

use std::time::Duration;

use crate::time::MonoTime;
use crate::units::CoreShare;

/// A peak counts less by the factor e after so long. Callers who are told of fewer VMs leave the connections that
/// they have to the others, so that a pause between two bursts must not cost all of them.
const FADE_TIME: Duration = Duration::from_secs(10);

/// The highest demand of the last seconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct DemandPeak {
    peak: f64,
    noted: MonoTime,
}

impl DemandPeak {
    /// Takes in what is used now. Returns the highest of the last seconds, less what has faded of it.
    pub fn note(&mut self, demand: CoreShare, now: MonoTime) -> CoreShare {
        let passed = now.since(self.noted).div_duration_f64(FADE_TIME);
        self.peak = (self.peak * (-passed).exp()).max(demand.as_cores());
        self.noted = now;
        CoreShare::from_cores(self.peak)
    }
}
