//! Reports of daemons that do not know levels, rooms or speeds, beside this one.

use foldhaven_core::ids::IncarnationId;
use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::level_loads::LevelShare;
use foldhaven_core::opaque::load_reports::{LevelReport, LoadReport, LoadTable, UpstreamShare};
use foldhaven_core::opaque::peer_table::{ServiceTag, VmTag};
use foldhaven_core::opaque::performance::QueueState;
use foldhaven_core::opaque::priority_level::PriorityLevel;
use foldhaven_core::opaque::remote_room::{RemoteRooms, SendCost};
use foldhaven_core::opaque::request_class::RequestClass;
use foldhaven_core::opaque::speed_reports::SpeedTable;
use foldhaven_core::opaque::upstream_speed::{SpeedFactors, UpstreamSpeed};
use foldhaven_core::units::CoreShare;

use crate::opaque_support::at;

const UPSTREAM: UpstreamTag = UpstreamTag(7);

fn report(vm: u32, in_flight: u16) -> LoadReport {
    LoadReport {
        vm: VmTag(vm),
        incarnation: IncarnationId(1),
        sequence: 1,
        shares: vec![(UPSTREAM, UpstreamShare { in_flight, ..UpstreamShare::default() })],
        placements: Vec::new(),
        regions: Vec::new(),
        busy: CoreShare::default(),
    }
}

// Guards against requests of an older daemon that are not counted, or counted as going behind.
#[test]
fn requests_of_an_older_daemon_go_before_all_levels() {
    let mut table = LoadTable::default();
    table.apply(report(1, 5), at(0));
    table.apply(report(2, 4), at(0));
    let last = LevelShare {
        level: PriorityLevel::LAST,
        in_flight: 4,
        prefill_backlog: 0,
        memory_tokens: 0,
    };
    table.apply_levels(LevelReport {
        vm: VmTag(2),
        incarnation: IncarnationId(1),
        sequence: 1,
        levels: vec![vec![last]],
        waiting: Vec::new(),
    });
    let queue = QueueState {
        slots: 16,
        in_flight: table.total(UPSTREAM).in_flight.into(),
        levels: table.total_levels(UPSTREAM),
        ..QueueState::default()
    };
    assert_eq!(queue.through(PriorityLevel::new(0)).in_flight, 5);
    assert_eq!(queue.through(PriorityLevel::LAST).in_flight, 9);
    assert!(table.waiting().values().flatten().all(|count| *count == 0));
}

// Guards against a region of older daemons that is believed to offer room, or to be closed.
#[test]
fn a_region_that_tells_no_room_offers_none() {
    let rooms = RemoteRooms::default();
    let (region, service) = ("south".parse().unwrap(), ServiceTag(3));
    for level in PriorityLevel::all() {
        let class = RequestClass { level, ..RequestClass::default() };
        assert!(rooms.reported(service, level, at(0)).is_empty());
        assert!(!rooms.may_send(&region, service, &class, SendCost::default(), at(0)));
    }
}

// Guards against the upstreams of older daemons that count as fast or slow.
#[test]
fn without_speed_reports_own_measurements_count_alone() {
    let table = SpeedTable::default();
    let mut speed = UpstreamSpeed::default();
    speed.set_others(table.total(UPSTREAM, at(0)));
    assert_eq!(speed.factors(at(0)), SpeedFactors::default());
}
