//! Hundreds of VMs before one region: how few of them take its requests, and how many hear of each.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use foldhaven_core::ids::{DataCentreName, IncarnationId, RegionName, VmName};
use foldhaven_core::opaque::cpu_demand::PeakCpuDemand;
use foldhaven_core::opaque::directory::{MAX_NAMED, NearService, name_vms};
use foldhaven_core::opaque::load_reports::report_interval;
use foldhaven_core::opaque::peer_table::{OwnVm, PeerHeartbeat, PeerTable, VmTag};
use foldhaven_core::opaque::region_reports::RegionReport;
use foldhaven_core::opaque::report_planner::{ReportPlanner, ReportTarget, ReportUpdates};
use foldhaven_core::opaque::service_order::{ServiceCandidate, ServiceOrder};
use foldhaven_core::units::CoreShare;
use rstest::rstest;

use crate::opaque_support::{at, heartbeat, region_table, table_of};

fn cores(cores: f64) -> CoreShare {
    CoreShare::from_cores(cores)
}

/// A region of two data centres with so many large and small VMs in each.
fn region(large: usize, small: usize) -> Vec<PeerHeartbeat> {
    let mut beats = Vec::new();
    for centre in ["hall-a", "hall-b"] {
        for (count, size, kind) in [(large, 0.5, "large"), (small, 0.12, "small")] {
            beats.extend((0..count).map(|at| PeerHeartbeat {
                data_centre: centre.parse().unwrap(),
                cores: cores(size),
                ..heartbeat(&format!("{centre}-{kind}-{at}"), "north", 1)
            }));
        }
    }
    beats
}

fn order(beats: &[PeerHeartbeat]) -> ServiceOrder<'_> {
    ServiceOrder::of(beats.iter().map(ServiceCandidate::of))
}

fn names(candidates: &[ServiceCandidate<'_>]) -> Vec<VmName> {
    candidates.iter().map(|candidate| candidate.vm.clone()).collect()
}

fn per_centre(candidates: &[ServiceCandidate<'_>]) -> BTreeMap<DataCentreName, usize> {
    let mut counts = BTreeMap::new();
    for candidate in candidates {
        *counts.entry(candidate.data_centre.clone()).or_default() += 1;
    }
    counts
}

#[rstest]
#[case::nothing_asked_for(0.0, 11)]
#[case::quiet(0.5, 11)]
#[case::busy(2.25, 19)]
#[case::more_than_there_is(9.0, 98)]
fn as_many_vms_take_requests_as_the_load_needs(#[case] demand: f64, #[case] expected: usize) {
    let beats = region(3, 46);
    let order = order(&beats);
    let chosen = order.for_demand(cores(demand));
    assert_eq!(chosen.len(), expected);
    let large = chosen.iter().filter(|candidate| candidate.cores == cores(0.5)).count();
    assert_eq!(large, 6, "large ones come first");
    let counts: Vec<usize> = per_centre(chosen).into_values().collect();
    assert!(counts[0].abs_diff(counts[1]) <= 1, "one data centre bears the most: {counts:?}");
}

/// What VMs know of each other gets older with each that takes requests, so that a larger region has not more.
#[test]
fn a_large_region_has_no_more_vms_in_service_at_rest() {
    let beats = region(9, 141);
    assert_eq!(order(&beats).standing().len(), 12);
    assert!(order(&beats).for_demand(cores(6.0)).len() > 12);
}

/// Nine VMs in three regions are all needed: with fewer the loss of one would show.
#[test]
fn all_vms_of_a_small_region_take_requests() {
    let beats = region(0, 3);
    assert_eq!(order(&beats).standing().len(), 6);
    assert_eq!(order(&beats[..3]).standing().len(), 3);
}

#[test]
fn the_loss_of_a_vm_moves_only_those_behind_it() {
    let beats = region(3, 46);
    let all = order(&beats);
    let lost = all.standing()[2].vm.clone();
    let left: Vec<PeerHeartbeat> =
        beats.iter().filter(|heartbeat| heartbeat.vm != lost).cloned().collect();
    let before: BTreeSet<VmName> = names(all.standing()).into_iter().collect();
    let after: BTreeSet<VmName> = names(order(&left).standing()).into_iter().collect();
    assert!(before.difference(&after).all(|vm| *vm == lost), "{before:?} {after:?}");
}

#[test]
fn a_lost_data_centre_is_made_up_for_by_the_other_one() {
    let beats = region(3, 46);
    let left: Vec<PeerHeartbeat> = beats
        .iter()
        .filter(|heartbeat| heartbeat.data_centre.as_str() == "hall-a")
        .cloned()
        .collect();
    let order = order(&left);
    let found: f64 = order.for_demand(cores(1.0)).iter().map(|it| it.cores.as_cores()).sum();
    assert!(found >= 2.0, "{found} cores for twice the demand");
}

#[test]
fn a_peak_counts_for_some_seconds() {
    let mut peak = PeakCpuDemand::default();
    assert_eq!(peak.record(cores(2.0), at(0)), cores(2.0));
    let later = peak.record(cores(0.5), at(5_000));
    assert!(later > cores(1.0) && later < cores(2.0), "{later}");
    assert_eq!(peak.record(cores(0.5), at(60_000)), cores(0.5));
}

fn answer(
    beats: &[PeerHeartbeat],
    teller: &str,
    demand: f64,
    doubted: &BTreeSet<VmName>,
) -> Vec<SocketAddr> {
    let (teller, region): (VmName, RegionName) =
        (teller.parse().unwrap(), "north".parse().unwrap());
    let near = NearService { teller: &teller, region: &region, demand: cores(demand), doubted };
    name_vms(beats, &region, &near, |_| 0, false)
}

/// Callers take each named VM as often as any other: by the answers of all VMs together a VM of a quarter of the
/// size is to be taken a quarter as often.
#[test]
fn callers_are_spread_by_the_size_of_vms() {
    let beats = region(3, 46);
    let mut taken: BTreeMap<SocketAddr, f64> = BTreeMap::new();
    for teller in &beats {
        let named = answer(&beats, teller.vm.as_str(), 4.5, &BTreeSet::new());
        assert!(named.len() <= MAX_NAMED);
        for address in &named {
            *taken.entry(*address).or_default() += 1.0 / named.len() as f64;
        }
    }
    let mean = |size: f64| {
        let of_size = beats.iter().filter(|heartbeat| heartbeat.cores == cores(size));
        let shares: Vec<f64> =
            of_size.filter_map(|heartbeat| taken.get(&heartbeat.caller).copied()).collect();
        shares.iter().sum::<f64>() / shares.len() as f64
    };
    let ratio = mean(0.5) / mean(0.12);
    assert!((3.0..6.0).contains(&ratio), "a large VM is taken {ratio} times as often");
}

#[test]
fn more_vms_than_one_answer_holds_are_named_in_different_answers() {
    let beats = region(0, 100);
    let mut taken: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for teller in &beats {
        let named = answer(&beats, teller.vm.as_str(), 100.0, &BTreeSet::new());
        assert!((32..=MAX_NAMED).contains(&named.len()), "{}", named.len());
        named.into_iter().for_each(|address| *taken.entry(address).or_default() += 1);
    }
    // Two names may share an address here.
    let addresses: BTreeSet<SocketAddr> = beats.iter().map(|heartbeat| heartbeat.caller).collect();
    assert_eq!(taken.len(), addresses.len(), "each is named somewhere");
}

#[test]
fn a_silent_vm_is_not_named_unless_most_are_silent() {
    let beats = region(3, 3);
    let silent: BTreeSet<VmName> = [beats[0].vm.clone()].into();
    let named = answer(&beats, "n1", 0.0, &silent);
    assert!(!named.contains(&beats[0].caller) && !named.is_empty());
    let centre: BTreeSet<VmName> =
        beats[..6].iter().map(|heartbeat| heartbeat.vm.clone()).collect();
    let left = answer(&beats, "n1", 9.0, &centre);
    assert!(
        beats[..6].iter().all(|heartbeat| !left.contains(&heartbeat.caller)),
        "one of two data centres"
    );
    let most: BTreeSet<VmName> = beats[..8].iter().map(|heartbeat| heartbeat.vm.clone()).collect();
    assert!(answer(&beats, "n1", 9.0, &most).contains(&beats[0].caller));
}

/// Changes of the platform fill the link of a small VM that tells them to a hundred others.
#[test]
fn duties_fall_to_large_vms() {
    let beats = region(3, 46);
    let mut doing = [0, 0];
    for own in &beats {
        let vm = OwnVm {
            vm: own.vm.clone(),
            data_centre: own.data_centre.clone(),
            region: own.region.clone(),
            cores: own.cores,
        };
        let mut table = PeerTable::new(vm, own.incarnation);
        let others = beats.iter().filter(|heartbeat| heartbeat.vm != own.vm);
        others.for_each(|heartbeat| assert!(table.apply_heartbeat(heartbeat.clone(), at(0))));
        let duties = [table.is_reader(false, Duration::ZERO, at(100)), table.is_delegate(at(100))];
        let is_standing = order(&beats).standing().iter().any(|it| *it.vm == own.vm);
        assert!(is_standing || duties == [false, false], "{}", own.vm);
        doing = [doing[0] + usize::from(duties[0]), doing[1] + usize::from(duties[1])];
    }
    assert_eq!(doing, [2, 2]);
}

#[test]
fn other_regions_are_told_by_way_of_those_in_service_there() {
    let beats = region(3, 46);
    let standing: BTreeSet<VmName> = names(order(&beats).standing()).into_iter().collect();
    let mut table = region_table("far", 1, "south");
    beats.iter().for_each(|heartbeat| assert!(table.apply_heartbeat(heartbeat.clone(), at(0))));
    let addresses: BTreeSet<SocketAddr> = beats
        .iter()
        .filter(|heartbeat| standing.contains(&heartbeat.vm))
        .map(|heartbeat| heartbeat.peer)
        .collect();
    let mut told = BTreeSet::new();
    for _ in 0..standing.len() {
        let targets = table.one_serving_per_remote_region(at(100));
        assert_eq!(targets.len(), 1);
        told.extend(targets);
    }
    assert_eq!(told, addresses, "each of them in its turn");
}

#[test]
fn a_vm_is_doubted_before_it_is_missed() {
    let mut table = table_of("own", 1);
    let other = heartbeat("other", "north", 1);
    table.apply_heartbeat(other.clone(), at(0));
    assert!(table.unresponsive_local_vms(at(1_400)).is_empty());
    assert!(table.unresponsive_local_vms(at(1_700)).contains(&other.vm));
    assert_eq!(table.live_local(at(1_700)).count(), 1, "it still counts as live");
}

/// What a VM hears in a second, of whatever size its region is. If all reported to all, 100 VMs would hear each other
/// every 300 ms, and 300 VMs every 900 ms.
#[rstest]
#[case::small(6)]
#[case::hundred(100)]
#[case::thousand(1_000)]
fn what_vms_hear_does_not_grow_with_their_region(#[case] vms: usize) {
    const ACTIVE: usize = 6;
    let address = |at: usize| SocketAddr::from(([127, 9, (at >> 8) as u8, at as u8], 7660));
    let targets: Vec<ReportTarget> =
        (1..vms).map(|at| ReportTarget { address: address(at), is_active: at < ACTIVE }).collect();
    let interval = report_interval(ACTIVE - 1);
    assert_eq!(interval, Duration::from_millis(50));
    let mut plan = ReportPlanner::default();
    let mut heard: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    let rounds = Duration::from_secs(3).div_duration_f64(interval) as u32;
    for _ in 0..rounds {
        let batches = plan.plan_round(&targets, ReportUpdates::default(), interval);
        let told = batches.iter().flat_map(|batch| &batch.targets);
        told.for_each(|target| *heard.entry(*target).or_default() += 1);
    }
    assert_eq!(heard.len(), vms - 1);
    for target in &targets {
        let count = heard[&target.address];
        match target.is_active {
            true => assert_eq!(count, rounds),
            false => assert!((4..=5).contains(&count), "{target:?} heard {count} in 3 s"),
        }
    }
}

/// A VM that is told in turn is told of everything since its last turn, and of nothing twice.
#[test]
fn those_who_are_told_in_turn_miss_no_news() {
    let targets: Vec<ReportTarget> = (1..=20)
        .map(|at| ReportTarget {
            address: SocketAddr::from(([127, 9, 0, at], 7660)),
            is_active: at <= 2,
        })
        .collect();
    let news = |number: u32| ReportUpdates {
        regions: vec![RegionReport { sequence: number, ..told_region() }],
        ..ReportUpdates::default()
    };
    let mut plan = ReportPlanner::default();
    let mut heard: BTreeMap<SocketAddr, Vec<u32>> = BTreeMap::new();
    for number in 0..60 {
        for batch in plan.plan_round(&targets, news(number), Duration::from_millis(50)) {
            for target in batch.targets {
                let told = batch.updates.regions.iter().map(|region| region.sequence);
                heard.entry(target).or_default().extend(told);
            }
        }
    }
    for (target, told) in heard {
        assert!(told.windows(2).all(|pair| pair[1] == pair[0] + 1), "{target}: {told:?}");
        assert!(told.len() >= 46, "{target} heard of {}", told.len());
    }
}

/// What a VM is to tell while it has requests would be lost for those whose turn has not come when it has none any
/// more.
#[test]
fn a_vm_whose_requests_end_tells_the_rest_to_all() {
    let address = |at: u8| SocketAddr::from(([127, 9, 0, at], 7660));
    let targets: Vec<ReportTarget> =
        (1..=20).map(|at| ReportTarget { address: address(at), is_active: false }).collect();
    let news = ReportUpdates { regions: vec![told_region()], ..ReportUpdates::default() };
    let mut plan = ReportPlanner::default();
    plan.plan_round(&targets, news.clone(), Duration::from_millis(50));
    let standing = vec![address(1)];
    let flushed = plan.plan_idle(&targets, standing.clone(), ReportUpdates::default());
    assert_eq!((flushed.targets.len(), flushed.updates), (20, news));
    let later = plan.plan_idle(&targets, standing.clone(), ReportUpdates::default());
    assert_eq!((later.targets, later.updates.is_empty()), (standing, true));
}

fn told_region() -> RegionReport {
    RegionReport {
        region: "south".parse().unwrap(),
        delegate: VmTag(1),
        incarnation: IncarnationId(1),
        sequence: 0,
        waits: Vec::new(),
        live_vms: Vec::new(),
    }
}
