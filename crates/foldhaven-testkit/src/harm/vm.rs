//! A VM of the simulation: the table of the product, and which engines it knows to be down.

use std::collections::HashMap;
use std::time::Duration;

use foldhaven_core::opaque::peer_table::VmTag;
use foldhaven_core::opaque::suspects::{InFlightRequests, SuspectTable};
use foldhaven_core::time::MonoTime;

/// For how long an engine is left alone that could not be reached.
const EJECTED: Duration = Duration::from_millis(1_000);

/// One entry VM.
pub(super) struct HarmVm {
    pub region: usize,
    pub is_down: bool,
    pub table: SuspectTable,
    /// Its requests at each life of an engine.
    pub guests: HashMap<(usize, u32), InFlightRequests>,
    ejected: HashMap<usize, MonoTime>,
}

impl HarmVm {
    pub fn new(number: usize, region: usize) -> Self {
        let tag = VmTag(u32::try_from(number).expect("few VMs"));
        Self {
            region,
            is_down: false,
            table: SuspectTable::new(tag),
            guests: HashMap::new(),
            ejected: HashMap::new(),
        }
    }

    /// Leaves an engine alone for a time.
    pub fn eject(&mut self, engine: usize, now: MonoTime) {
        self.ejected.insert(engine, now + EJECTED);
    }

    /// Whether an engine may be tried.
    pub fn trusts(&self, engine: usize, now: MonoTime) -> bool {
        self.ejected.get(&engine).is_none_or(|until| now >= *until)
    }
}
