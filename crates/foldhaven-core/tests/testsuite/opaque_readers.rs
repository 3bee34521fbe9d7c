//! Which VMs of a region read the platform, and when an outage of it is assumed.

use std::time::Duration;

use foldhaven_core::opaque::peer_table::PeerTable;
use foldhaven_core::time::MonoTime;
use rstest::rstest;

use crate::opaque_support::{at, heartbeat, table_of};

/// Returns the tables of all VMs of a region, in which the VMs in `turned_away` report that they
/// fail to read the platform, each with whether its own VM is one of those.
fn region(vms: usize, turned_away: &[usize]) -> Vec<(PeerTable, bool)> {
    let name = |at: usize| format!("vm-{at}");
    let heartbeat_of = |at: usize| {
        let mut heartbeat = heartbeat(&name(at), "north", 1);
        heartbeat.is_turned_away = turned_away.contains(&at);
        heartbeat
    };
    let table_of = |own: usize| {
        let mut table = table_of(&name(own), 1);
        (0..vms)
            .filter(|at| *at != own)
            .for_each(|at| assert!(table.apply_heartbeat(heartbeat_of(at), at_start())));
        (table, turned_away.contains(&own))
    };
    (0..vms).map(table_of).collect()
}

fn at_start() -> MonoTime {
    at(0)
}

#[rstest]
#[case::small_region(4, &[], 4)]
#[case::large_region(12, &[], 2)]
#[case::all_vms_turned_away(12, &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11], 12)]
fn few_vms_of_a_large_region_read_the_platform(
    #[case] vms: usize,
    #[case] turned_away: &[usize],
    #[case] readers: usize,
) {
    let region = region(vms, turned_away);
    let reads = |(table, turned_away): &&(PeerTable, bool)| {
        table.is_reader(*turned_away, Duration::ZERO, at(100))
    };
    assert_eq!(region.iter().filter(reads).count(), readers);
}

#[test]
fn other_vms_read_when_the_readers_fail() {
    let before = region(12, &[]);
    let readers: Vec<usize> =
        (0..12).filter(|at| before[*at].0.is_reader(false, Duration::ZERO, at_start())).collect();
    let after = region(12, &readers);
    let readers_after = (0..12).filter(|at| {
        !readers.contains(at) && after[*at].0.is_reader(false, Duration::ZERO, at_start())
    });
    assert_eq!(readers_after.count(), 2);
}

#[rstest]
#[case::no_vm(&[], false)]
#[case::one_vm(&[3], false)]
#[case::the_readers(&[3, 7], true)]
fn an_outage_is_reported_by_more_than_one_vm(
    #[case] turned_away: &[usize],
    #[case] is_reported: bool,
) {
    let region = region(12, turned_away);
    assert_eq!(region[0].0.is_outage_reported(at(100)), is_reported);
    assert!(!region[0].0.is_outage_reported(at(9_000)), "reports of stale VMs do not count");
}

#[test]
fn other_vms_read_when_the_readers_are_stale() {
    let mut tables = region(12, &[]);
    let readers: Vec<usize> =
        (0..12).filter(|at| tables[*at].0.is_reader(false, Duration::ZERO, at_start())).collect();
    for (own, (table, _)) in tables.iter_mut().enumerate() {
        for other in (0..12).filter(|other| *other != own && !readers.contains(other)) {
            table.apply_heartbeat(heartbeat(&format!("vm-{other}"), "north", 2), at(4_000));
        }
    }
    let now_reading = |at_: &usize| tables[*at_].0.is_reader(false, Duration::ZERO, at(4_000));
    let count = (0..12).filter(|own| !readers.contains(own)).filter(now_reading).count();
    assert_eq!(count, 2);
}
