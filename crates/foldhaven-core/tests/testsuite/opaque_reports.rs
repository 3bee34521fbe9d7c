//! Load and region reports that arrive late, twice or not at all.

use std::time::Duration;

use foldhaven_core::ids::IncarnationId;
use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::load_reports::{LoadReport, LoadTable, UpstreamShare, report_interval};
use foldhaven_core::opaque::peer_table::{ServiceTag, ServiceWait, VmTag};
use foldhaven_core::opaque::queue_rank::PrefillBacklog;
use foldhaven_core::opaque::region_reports::{RegionReport, RegionReportTable};
use foldhaven_core::time::MonoTime;
use foldhaven_core::units::CoreShare;

use crate::opaque_support::at;

fn report(vm: &str, sequence: u32, in_flight: u16) -> LoadReport {
    let share = UpstreamShare {
        in_flight,
        on_track: 0,
        deferred: 0,
        prefill_backlog: PrefillBacklog::default(),
    };
    LoadReport {
        vm: VmTag::of(&vm.parse().unwrap()),
        incarnation: IncarnationId(1),
        sequence,
        shares: vec![(UpstreamTag(1), share)],
        placements: Vec::new(),
        regions: Vec::new(),
        busy: CoreShare::default(),
    }
}

#[test]
fn loads_add_up_without_outdated_reports() {
    let interval = report_interval(2);
    let after = |intervals: u32| at(0) + interval * intervals;
    let mut table = LoadTable::default();
    assert!(table.apply(report("a", 2, 3), after(0)).is_some());
    assert!(table.apply(report("a", 1, 9), after(1)).is_none(), "superseded");
    assert!(table.apply(report("b", 1, 4), after(5)).is_some());
    let total = |table: &mut LoadTable, now| {
        table.remove_stale(interval, now);
        table.total(UpstreamTag(1)).in_flight
    };
    assert_eq!(total(&mut table, after(6)), 7);
    assert_eq!(total(&mut table, after(12)), 4, "a is stale");
}

/// Guards the sums, which are updated with each report, against invalid reports of other VMs,
/// upstreams that are listed twice, superseded reports and VMs that stop reporting.
mod sums {
    use proptest::prelude::*;

    use super::*;

    type Shares = Vec<(UpstreamTag, UpstreamShare)>;

    fn shares() -> impl Strategy<Value = Shares> {
        let share = (0_u32..4, any::<(u16, u16, u16, u32, u32)>()).prop_map(
            |(tag, (in_flight, on_track, deferred, timely, late))| {
                let prefill_backlog = PrefillBacklog { timely, deferred: late };
                (UpstreamTag(tag), UpstreamShare { in_flight, on_track, deferred, prefill_backlog })
            },
        );
        prop::collection::vec(share, 0..5)
    }

    proptest! {
    #[test]
    fn sums_match_the_newest_reports(
    steps in prop::collection::vec((0_usize..4, 0_u32..20, 0_u32..6, shares()), 1..60),
    ) {
    let interval = report_interval(4);
    let mut now = at(0);
    let mut table = LoadTable::default();
    let mut newest: Vec<Option<(u32, MonoTime, Shares)>> =
    vec![None; 4];
    for (vm, sequence, pause, shares) in steps {
    now = now + interval * pause;
    table.remove_stale(interval, now);
    let is_stale = |received_at: MonoTime| now.since(received_at) >= interval * 8;
    newest.iter_mut().for_each(|held| drop(held.take_if(|held| is_stale(held.1))));
    let reported = LoadReport {
    shares: shares.clone(),
    ..report(&format!("vm{vm}"), sequence, 0)
    };
    let is_newer = newest[vm].as_ref().is_none_or(|held| sequence > held.0);
    prop_assert_eq!(table.apply(reported, now).is_some(), is_newer);
    if is_newer {
    newest[vm] = Some((sequence, now, shares));
    }
    for tag in (0..4).map(UpstreamTag) {
    let held = newest.iter().flatten().flat_map(|held| &held.2);
    let sum: u64 = held
    .filter(|(of, _)| *of == tag)
    .map(|(_, share)| u64::from(share.in_flight))
    .sum();
    let reported = u64::from(table.total(tag).in_flight);
    prop_assert_eq!(reported, sum.min(u64::from(u16::MAX)));
    }
    }
    }
    }
}

fn region_report(delegate: &str, sequence: u32, wait_ms: u16) -> RegionReport {
    RegionReport {
        region: "south".parse().unwrap(),
        delegate: VmTag::of(&delegate.parse().unwrap()),
        incarnation: IncarnationId(1),
        sequence,
        waits: vec![ServiceWait {
            service: ServiceTag::of(&"desk".parse().unwrap()),
            wait_ms,
            load: 0,
            long_pauses: 0,
        }],
        live_vms: Vec::new(),
    }
}

#[test]
fn newest_delegate_report_applies_until_it_expires() {
    let mut table = RegionReportTable::default();
    assert!(table.apply(&region_report("a", 2, 30), at(0)));
    assert!(!table.apply(&region_report("a", 1, 90), at(10)), "superseded");
    assert!(!table.apply(&region_report("a", 2, 30), at(10)), "relayed by another VM too");
    assert!(table.apply(&region_report("b", 1, 50), at(500)));
    let wait = |table: &RegionReportTable, region: &str, now| {
        let reported = table.wait(&region.parse().unwrap(), &"desk".parse().unwrap(), now);
        reported.map(|reported| Duration::from_millis(reported.wait_ms.into()))
    };
    assert_eq!(wait(&table, "south", at(600)), Some(Duration::from_millis(50)));
    assert_eq!(wait(&table, "east", at(600)), None);
    assert_eq!(wait(&table, "south", at(5_000)), None);
    table.remove_stale(at(5_000));
    assert!(table.apply(&region_report("b", 1, 50), at(5_000)), "it was dropped");
}

/// Guards against a region being treated as unknown when it reports no wait because all its
/// upstreams have crashed.
#[test]
fn region_that_reports_no_wait_for_a_service_is_closed() {
    let mut table = RegionReportTable::default();
    let south = "south".parse().unwrap();
    let (desk, other) = ("desk".parse().unwrap(), "other".parse().unwrap());
    assert!(!table.is_closed(&south, &desk, at(0)), "it has not reported");
    table.apply(&region_report("a", 1, 30), at(0));
    assert!(!table.is_closed(&south, &desk, at(10)));
    assert!(table.is_closed(&south, &other, at(10)));
    assert!(!table.is_closed(&south, &other, at(5_000)), "the report is old");
}
