//! A simulated VM: the suspect table that the gateway uses, and its view of unreachable engines.

use std::collections::HashMap;
use std::time::Duration;

use foldhaven_core::opaque::peer_table::VmTag;
use foldhaven_core::opaque::request_fingerprint::RequestFingerprint;
use foldhaven_core::opaque::suspects::{InFlightRequests, SuspectTable};
use foldhaven_core::time::MonoTime;

/// How long an unreachable engine is not used.
const EJECTION_TIME: Duration = Duration::from_millis(1_000);

/// The state of one simulated entry VM.
pub(super) struct SimulatedVm {
    pub region: usize,
    pub is_down: bool,
    pub table: SuspectTable,
    /// Requests in flight by engine and its incarnation.
    pub in_flight: HashMap<(usize, u32), InFlightRequests<RequestFingerprint>>,
    ejected_until: HashMap<usize, MonoTime>,
}

impl SimulatedVm {
    pub fn new(number: usize, region: usize) -> Self {
        let tag = VmTag(u32::try_from(number).expect("few VMs"));
        Self {
            region,
            is_down: false,
            table: SuspectTable::new(tag),
            in_flight: HashMap::new(),
            ejected_until: HashMap::new(),
        }
    }

    /// Excludes an engine for [`EJECTION_TIME`].
    pub fn eject(&mut self, engine: usize, now: MonoTime) {
        self.ejected_until.insert(engine, now + EJECTION_TIME);
    }

    /// Returns whether an engine may be used.
    pub fn is_available(&self, engine: usize, now: MonoTime) -> bool {
        self.ejected_until.get(&engine).is_none_or(|until| now >= *until)
    }
}
