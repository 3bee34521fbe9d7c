//! Which VMs of a region read the platform, and when an outage of it is assumed.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use foldhaven_core::opaque::peer_table::{PeerHeartbeat, PeerPhase, PeerTable};
use foldhaven_core::time::MonoTime;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::opaque_support::{at, centre_table, heartbeat, table_of};

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

/// Returns the tables of all VMs of a region of several data centres, which are all live at the
/// start.
fn spread_region(vms: usize, centres: usize) -> Vec<PeerTable> {
    let table_of = |own: usize| {
        let name = format!("vm-{own}");
        let mut table = centre_table(&name, 1, "north", &centre_of(own, centres));
        let others = (0..vms).filter(|at| *at != own);
        others.for_each(|at| {
            assert!(table.apply_heartbeat(spread_heartbeat(at, centres, 1), at_start()));
        });
        table
    };
    (0..vms).map(table_of).collect()
}

/// Returns the heartbeat of a VM of such a region, with an address that no other VM has.
fn spread_heartbeat(vm: usize, centres: usize, sequence: u32) -> PeerHeartbeat {
    let mut heartbeat = heartbeat(&format!("vm-{vm}"), "north", sequence);
    heartbeat.data_centre = centre_of(vm, centres).parse().unwrap();
    heartbeat.peer = format!("127.9.{}.{}:7660", vm / 250, vm % 250 + 1).parse().unwrap();
    heartbeat
}

fn centre_of(vm: usize, centres: usize) -> String {
    format!("hall-{}", vm % centres)
}

/// What one change costs until all VMs of a region have it.
struct Spread {
    /// The VMs that got it.
    reached: BTreeSet<usize>,
    /// The messages between data centres.
    crossing: usize,
    /// The messages in all.
    sent: usize,
}

/// Plays how a change spreads that the VM `reader` reads from the platform, and that the others
/// learn only by messages. Messages from VMs in `dead` are not sent.
fn spread(
    tables: &[PeerTable],
    reader: usize,
    centres: usize,
    dead: &[usize],
    now: MonoTime,
) -> Spread {
    let numbers: BTreeMap<SocketAddr, usize> =
        (0..tables.len()).map(|at| (spread_heartbeat(at, centres, 1).peer, at)).collect();
    let mut spread = Spread { reached: BTreeSet::from([reader]), crossing: 0, sent: 0 };
    let mut sending = vec![(reader, tables[reader].forward_targets(false, now).for_read)];
    while let Some((sender, targets)) = sending.pop() {
        for target in targets.iter().map(|target| numbers[target]) {
            spread.sent += 1;
            spread.crossing += usize::from(sender % centres != target % centres);
            if spread.reached.insert(target) && !dead.contains(&target) {
                let relayed = tables[target].forward_targets(false, now).for_received;
                sending.push((target, relayed));
            }
        }
    }
    spread
}

fn readers_of(tables: &[PeerTable]) -> Vec<usize> {
    let reads = |at: &usize| tables[*at].is_reader(false, Duration::ZERO, at_start());
    (0..tables.len()).filter(reads).collect()
}

/// Guards against a change that crosses between two data centres once for each VM.
#[rstest]
#[case::a_region_of_the_fleet(195)]
#[case::twice_its_size(390)]
fn a_change_crosses_between_two_data_centres_once(#[case] vms: usize) {
    let tables = spread_region(vms, 2);
    let readers = readers_of(&tables);
    assert_eq!(readers.len(), 2);
    assert_ne!(readers[0] % 2, readers[1] % 2, "one in each data centre");
    for reader in readers {
        let spread = spread(&tables, reader, 2, &[], at(100));
        assert_eq!(spread.reached.len(), vms);
        assert_eq!(spread.crossing, 1);
        assert!(spread.sent <= vms + 2, "{} messages", spread.sent);
    }
}

/// Guards against data centres without a reader, of which there are more than readers, that get no
/// changes.
#[rstest]
#[case::one_centre(1)]
#[case::three_centres(3)]
#[case::as_many_as_vms(20)]
fn every_data_centre_gets_changes(#[case] centres: usize) {
    let tables = spread_region(40, centres);
    for reader in readers_of(&tables) {
        assert_eq!(spread(&tables, reader, centres, &[], at(100)).reached.len(), 40);
    }
}

/// Guards against a data centre that gets no changes because its reader has just died.
#[test]
fn the_other_reader_serves_the_data_centre_of_a_silent_one() {
    const NOW_MS: u64 = 2_000;
    let mut tables = spread_region(40, 2);
    let readers = readers_of(&tables);
    for (own, table) in tables.iter_mut().enumerate() {
        for other in (0..40).filter(|other| *other != own && *other != readers[1]) {
            table.apply_heartbeat(spread_heartbeat(other, 2, 2), at(NOW_MS));
        }
    }
    let spread = spread(&tables, readers[0], 2, &[readers[1]], at(NOW_MS));
    assert_eq!(spread.reached.len(), 40);
}

/// Guards against a region that starts as a whole and in which most VMs read the platform, because
/// each of them knows of other VMs that serve already.
#[rstest]
#[case::a_region_of_the_fleet(195)]
#[case::twice_its_size(390)]
fn few_vms_read_while_a_region_starts(#[case] vms: usize) {
    const SERVING: usize = 19;
    let mut rng = StdRng::seed_from_u64(3);
    let mut readers = 0;
    for (own, mut table) in spread_region(vms, 2).into_iter().enumerate() {
        let serving: BTreeSet<usize> = (0..SERVING).map(|_| rng.random_range(0..vms)).collect();
        for other in (0..vms).filter(|other| *other != own) {
            let mut received = spread_heartbeat(other, 2, 2);
            let is_serving = serving.contains(&other);
            received.phase = if is_serving { PeerPhase::Serving } else { PeerPhase::Starting };
            table.apply_heartbeat(received, at(100));
        }
        readers += usize::from(table.is_reader(false, Duration::ZERO, at(100)));
    }
    assert_eq!(readers, 2);
}

/// Guards against a VM that starts alone and is taken for a reader before it knows the platform.
#[test]
fn a_vm_that_starts_alone_is_no_reader() {
    let mut tables = spread_region(40, 2);
    let first = readers_of(&tables)[0];
    for (_, table) in tables.iter_mut().enumerate().filter(|(own, _)| *own != first) {
        let mut starting = spread_heartbeat(first, 2, 2);
        starting.phase = PeerPhase::Starting;
        table.apply_heartbeat(starting, at(100));
    }
    let reads = |at_: &usize| tables[*at_].is_reader(false, Duration::ZERO, at(100));
    let others = (0..40).filter(|own| *own != first);
    assert_eq!(others.filter(reads).count(), 2);
}
