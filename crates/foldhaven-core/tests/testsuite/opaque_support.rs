//! Shared helpers for the tests of opaque requests.

use foldhaven_core::ids::IncarnationId;
use foldhaven_core::opaque::peer_table::{OwnVm, PeerHeartbeat, PeerPhase, PeerTable};
use foldhaven_core::opaque::priority_level::PriorityLevel;
use foldhaven_core::opaque::request_class::{RequestClass, RoomNeed};
use foldhaven_core::opaque::route_table::RouteVersion;
use foldhaven_core::time::MonoTime;
use foldhaven_core::units::CoreShare;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the time a number of milliseconds after the start of a test.
pub fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(1_000_000 + millis)
}

/// Returns the class of a request without an account that any region may run.
pub fn class(level: PriorityLevel, prefill_tokens: u32) -> RequestClass {
    let need = RoomNeed { prefill_tokens, memory_tokens: prefill_tokens };
    RequestClass { level, need, ..RequestClass::default() }
}

/// Returns the peer table of the VM `own` in its first incarnation.
pub fn table() -> PeerTable {
    table_of("own", 1)
}

/// Returns the peer table of an incarnation of a VM in the region `north`.
pub fn table_of(vm: &str, incarnation: u64) -> PeerTable {
    region_table(vm, incarnation, "north")
}

/// Returns the peer table of an incarnation of a VM in a region.
pub fn region_table(vm: &str, incarnation: u64, region: &str) -> PeerTable {
    centre_table(vm, incarnation, region, &format!("{region}-hall"))
}

/// Returns the peer table of an incarnation of a VM in a data centre.
pub fn centre_table(vm: &str, incarnation: u64, region: &str, data_centre: &str) -> PeerTable {
    let own = OwnVm {
        vm: vm.parse().unwrap(),
        data_centre: data_centre.parse().unwrap(),
        region: region.parse().unwrap(),
        cores: CoreShare::ONE,
    };
    PeerTable::new(own, IncarnationId(incarnation))
}

/// Returns a heartbeat of a VM, with addresses derived from its name.
pub fn heartbeat(vm: &str, region: &str, sequence: u32) -> PeerHeartbeat {
    let [.., high, low] = xxh3_64(vm.as_bytes()).to_be_bytes();
    let address = |port: u16| format!("127.9.{high}.{low}:{port}").parse().unwrap();
    PeerHeartbeat {
        vm: vm.parse().unwrap(),
        incarnation: IncarnationId(1),
        sequence,
        data_centre: format!("{region}-hall").parse().unwrap(),
        region: region.parse().unwrap(),
        cores: CoreShare::ONE,
        caller: address(8144),
        peer: address(7660),
        phase: PeerPhase::Serving,
        version: RouteVersion(1),
        revision: 1,
        is_turned_away: false,
    }
}
