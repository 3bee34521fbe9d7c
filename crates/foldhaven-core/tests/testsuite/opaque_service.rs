//! Service order, directory and report rotation in regions of hundreds of VMs: only a few VMs take
//! requests, and each VM receives few reports.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use foldhaven_core::ids::{DataCentreName, IncarnationId, RegionName, VmName};
use foldhaven_core::opaque::cpu_demand::PeakCpuDemand;
use foldhaven_core::opaque::directory::{LocalService, MAX_ADDRESSES, select_vms};
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

/// A region of two data centres with the given number of large and small VMs in each.
fn region(large: usize, small: usize) -> Vec<PeerHeartbeat> {
    let mut heartbeats = Vec::new();
    for centre in ["hall-a", "hall-b"] {
        for (count, size, kind) in [(large, 0.5, "large"), (small, 0.12, "small")] {
            heartbeats.extend((0..count).map(|at| PeerHeartbeat {
                data_centre: centre.parse().unwrap(),
                cores: cores(size),
                ..heartbeat(&format!("{centre}-{kind}-{at}"), "north", 1)
            }));
        }
    }
    heartbeats
}

fn order(heartbeats: &[PeerHeartbeat]) -> ServiceOrder<'_> {
    ServiceOrder::of(heartbeats.iter().map(ServiceCandidate::of))
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
#[case::no_demand(0.0, 11)]
#[case::low_demand(0.5, 11)]
#[case::high_demand(2.25, 19)]
#[case::more_than_available(9.0, 98)]
fn number_of_vms_in_service_follows_the_load(#[case] demand: f64, #[case] expected: usize) {
    let heartbeats = region(3, 46);
    let order = order(&heartbeats);
    let chosen = order.for_demand(cores(demand));
    assert_eq!(chosen.len(), expected);
    let large = chosen.iter().filter(|candidate| candidate.cores == cores(0.5)).count();
    assert_eq!(large, 6, "large ones come first");
    let counts: Vec<usize> = per_centre(chosen).into_values().collect();
    assert!(counts[0].abs_diff(counts[1]) <= 1, "one data centre has most of them: {counts:?}");
}

/// A larger region has no more baseline VMs, since what VMs know of each other gets older with each
/// VM that takes requests.
#[test]
fn large_region_has_no_more_baseline_vms() {
    let heartbeats = region(9, 141);
    assert_eq!(order(&heartbeats).baseline().len(), 12);
    assert!(order(&heartbeats).for_demand(cores(6.0)).len() > 12);
}

/// In a deployment of nine VMs in three regions, all VMs take requests: with fewer, callers would
/// notice the loss of one.
#[test]
fn all_vms_of_a_small_region_take_requests() {
    let heartbeats = region(0, 3);
    assert_eq!(order(&heartbeats).baseline().len(), 6);
    assert_eq!(order(&heartbeats[..3]).baseline().len(), 3);
}

#[test]
fn losing_a_vm_moves_only_the_vms_after_it() {
    let heartbeats = region(3, 46);
    let all = order(&heartbeats);
    let lost = all.baseline()[2].vm.clone();
    let left: Vec<PeerHeartbeat> =
        heartbeats.iter().filter(|heartbeat| heartbeat.vm != lost).cloned().collect();
    let before: BTreeSet<VmName> = names(all.baseline()).into_iter().collect();
    let after: BTreeSet<VmName> = names(order(&left).baseline()).into_iter().collect();
    assert!(before.difference(&after).all(|vm| *vm == lost), "{before:?} {after:?}");
}

#[test]
fn lost_data_centre_is_replaced_by_the_other() {
    let heartbeats = region(3, 46);
    let left: Vec<PeerHeartbeat> = heartbeats
        .iter()
        .filter(|heartbeat| heartbeat.data_centre.as_str() == "hall-a")
        .cloned()
        .collect();
    let order = order(&left);
    let found: f64 = order.for_demand(cores(1.0)).iter().map(|it| it.cores.as_cores()).sum();
    assert!(found >= 2.0, "{found} cores for twice the demand");
}

#[test]
fn peak_decays_over_seconds() {
    let mut peak = PeakCpuDemand::default();
    assert_eq!(peak.record(cores(2.0), at(0)), cores(2.0));
    let later = peak.record(cores(0.5), at(5_000));
    assert!(later > cores(1.0) && later < cores(2.0), "{later}");
    assert_eq!(peak.record(cores(0.5), at(60_000)), cores(0.5));
}

fn answer(
    heartbeats: &[PeerHeartbeat],
    responder: &str,
    demand: f64,
    unresponsive: &BTreeSet<VmName>,
) -> Vec<SocketAddr> {
    let (responder, region): (VmName, RegionName) =
        (responder.parse().unwrap(), "north".parse().unwrap());
    let local = LocalService {
        responder: &responder,
        region: &region,
        demand: cores(demand),
        unresponsive,
    };
    select_vms(heartbeats, &region, &local, |_| 0, false)
}

/// Guards against callers overloading small VMs: callers use each address of an answer equally
/// often, so over the answers of all VMs together a VM of a quarter of the size must be selected a
/// quarter as often.
#[test]
fn callers_are_distributed_by_vm_size() {
    let heartbeats = region(3, 46);
    let mut selections: BTreeMap<SocketAddr, f64> = BTreeMap::new();
    for responder in &heartbeats {
        let named = answer(&heartbeats, responder.vm.as_str(), 4.5, &BTreeSet::new());
        assert!(named.len() <= MAX_ADDRESSES);
        for address in &named {
            *selections.entry(*address).or_default() += 1.0 / named.len() as f64;
        }
    }
    let mean = |size: f64| {
        let of_size = heartbeats.iter().filter(|heartbeat| heartbeat.cores == cores(size));
        let shares: Vec<f64> =
            of_size.filter_map(|heartbeat| selections.get(&heartbeat.caller).copied()).collect();
        shares.iter().sum::<f64>() / shares.len() as f64
    };
    let ratio = mean(0.5) / mean(0.12);
    assert!((3.0..6.0).contains(&ratio), "a large VM is selected {ratio} times as often");
}

#[test]
fn different_answers_cover_all_vms() {
    let heartbeats = region(0, 100);
    let mut selections: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for responder in &heartbeats {
        let named = answer(&heartbeats, responder.vm.as_str(), 100.0, &BTreeSet::new());
        assert!((32..=MAX_ADDRESSES).contains(&named.len()), "{}", named.len());
        named.into_iter().for_each(|address| *selections.entry(address).or_default() += 1);
    }
    // Two test VMs may share an address.
    let addresses: BTreeSet<SocketAddr> =
        heartbeats.iter().map(|heartbeat| heartbeat.caller).collect();
    assert_eq!(selections.len(), addresses.len(), "each is in some answer");
}

#[test]
fn unresponsive_vm_is_left_out_unless_most_are() {
    let heartbeats = region(3, 3);
    let unresponsive: BTreeSet<VmName> = [heartbeats[0].vm.clone()].into();
    let named = answer(&heartbeats, "n1", 0.0, &unresponsive);
    assert!(!named.contains(&heartbeats[0].caller) && !named.is_empty());
    let centre: BTreeSet<VmName> =
        heartbeats[..6].iter().map(|heartbeat| heartbeat.vm.clone()).collect();
    let left = answer(&heartbeats, "n1", 9.0, &centre);
    assert!(
        heartbeats[..6].iter().all(|heartbeat| !left.contains(&heartbeat.caller)),
        "one of two data centres"
    );
    let most: BTreeSet<VmName> =
        heartbeats[..8].iter().map(|heartbeat| heartbeat.vm.clone()).collect();
    assert!(answer(&heartbeats, "n1", 9.0, &most).contains(&heartbeats[0].caller));
}

/// Guards against small VMs in special roles: sending platform changes to a hundred others
/// saturates the link of a small VM.
#[test]
fn special_roles_go_to_large_vms() {
    let heartbeats = region(3, 46);
    let mut role_counts = [0, 0];
    for own in &heartbeats {
        let vm = OwnVm {
            vm: own.vm.clone(),
            data_centre: own.data_centre.clone(),
            region: own.region.clone(),
            cores: own.cores,
        };
        let mut table = PeerTable::new(vm, own.incarnation);
        let others = heartbeats.iter().filter(|heartbeat| heartbeat.vm != own.vm);
        others.for_each(|heartbeat| assert!(table.apply_heartbeat(heartbeat.clone(), at(0))));
        let roles = [table.is_reader(false, Duration::ZERO, at(100)), table.is_delegate(at(100))];
        let is_baseline = order(&heartbeats).baseline().iter().any(|it| *it.vm == own.vm);
        assert!(is_baseline || roles == [false, false], "{}", own.vm);
        role_counts =
            [role_counts[0] + usize::from(roles[0]), role_counts[1] + usize::from(roles[1])];
    }
    assert_eq!(role_counts, [2, 2]);
}

#[test]
fn reports_to_another_region_rotate_over_its_baseline_vms() {
    let heartbeats = region(3, 46);
    let baseline: BTreeSet<VmName> = names(order(&heartbeats).baseline()).into_iter().collect();
    let mut table = region_table("far", 1, "south");
    heartbeats
        .iter()
        .for_each(|heartbeat| assert!(table.apply_heartbeat(heartbeat.clone(), at(0))));
    let addresses: BTreeSet<SocketAddr> = heartbeats
        .iter()
        .filter(|heartbeat| baseline.contains(&heartbeat.vm))
        .map(|heartbeat| heartbeat.peer)
        .collect();
    let mut receivers = BTreeSet::new();
    for _ in 0..baseline.len() {
        let targets = table.one_serving_per_remote_region(at(100));
        assert_eq!(targets.len(), 1);
        receivers.extend(targets);
    }
    assert_eq!(receivers, addresses, "each of them once");
}

#[test]
fn vm_is_unresponsive_before_it_is_considered_gone() {
    let mut table = table_of("own", 1);
    let other = heartbeat("other", "north", 1);
    table.apply_heartbeat(other.clone(), at(0));
    assert!(table.unresponsive_local_vms(at(1_400)).is_empty());
    assert!(table.unresponsive_local_vms(at(1_700)).contains(&other.vm));
    assert_eq!(table.live_local(at(1_700)).count(), 1, "it still counts as live");
}

/// The reports that a VM receives per second do not depend on the size of its region. If all VMs
/// reported to all, 100 VMs would receive each other's reports every 300 ms, and 300 VMs every 900
/// ms.
#[rstest]
#[case::small(6)]
#[case::hundred(100)]
#[case::thousand(1_000)]
fn received_reports_do_not_grow_with_the_region(#[case] vms: usize) {
    const ACTIVE: usize = 6;
    let address = |at: usize| SocketAddr::from(([127, 9, (at >> 8) as u8, at as u8], 7660));
    let targets: Vec<ReportTarget> =
        (1..vms).map(|at| ReportTarget { address: address(at), is_active: at < ACTIVE }).collect();
    let interval = report_interval(ACTIVE - 1);
    assert_eq!(interval, Duration::from_millis(50));
    let mut planner = ReportPlanner::default();
    let mut received: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    let rounds = Duration::from_secs(3).div_duration_f64(interval) as u32;
    for _ in 0..rounds {
        let batches = planner.plan_round(&targets, ReportUpdates::default(), interval);
        let receivers = batches.iter().flat_map(|batch| &batch.targets);
        receivers.for_each(|target| *received.entry(*target).or_default() += 1);
    }
    assert_eq!(received.len(), vms - 1);
    for target in &targets {
        let count = received[&target.address];
        match target.is_active {
            true => assert_eq!(count, rounds),
            false => assert!((4..=5).contains(&count), "{target:?} received {count} in 3 s"),
        }
    }
}

/// A VM that receives reports in rotation gets all updates since its previous report, and none
/// twice.
#[test]
fn vms_in_rotation_miss_no_updates() {
    let targets: Vec<ReportTarget> = (1..=20)
        .map(|at| ReportTarget {
            address: SocketAddr::from(([127, 9, 0, at], 7660)),
            is_active: at <= 2,
        })
        .collect();
    let updates = |number: u32| ReportUpdates {
        regions: vec![RegionReport { sequence: number, ..region_report() }],
        ..ReportUpdates::default()
    };
    let mut planner = ReportPlanner::default();
    let mut received: BTreeMap<SocketAddr, Vec<u32>> = BTreeMap::new();
    for number in 0..60 {
        for batch in planner.plan_round(&targets, updates(number), Duration::from_millis(50)) {
            for target in batch.targets {
                let sequences = batch.updates.regions.iter().map(|region| region.sequence);
                received.entry(target).or_default().extend(sequences);
            }
        }
    }
    for (target, sequences) in received {
        assert!(sequences.windows(2).all(|pair| pair[1] == pair[0] + 1), "{target}: {sequences:?}");
        assert!(sequences.len() >= 46, "{target} received {}", sequences.len());
    }
}

/// Guards against the loss of updates for VMs whose turn in the rotation had not come when the
/// sender's requests ended.
#[test]
fn pending_updates_go_to_all_when_requests_end() {
    let address = |at: u8| SocketAddr::from(([127, 9, 0, at], 7660));
    let targets: Vec<ReportTarget> =
        (1..=20).map(|at| ReportTarget { address: address(at), is_active: false }).collect();
    let updates = ReportUpdates { regions: vec![region_report()], ..ReportUpdates::default() };
    let mut planner = ReportPlanner::default();
    planner.plan_round(&targets, updates.clone(), Duration::from_millis(50));
    let baseline = vec![address(1)];
    let flushed = planner.plan_idle(&targets, baseline.clone(), ReportUpdates::default());
    assert_eq!((flushed.targets.len(), flushed.updates), (20, updates));
    let later = planner.plan_idle(&targets, baseline.clone(), ReportUpdates::default());
    assert_eq!((later.targets, later.updates.is_empty()), (baseline, true));
}

fn region_report() -> RegionReport {
    RegionReport {
        region: "south".parse().unwrap(),
        delegate: VmTag(1),
        incarnation: IncarnationId(1),
        sequence: 0,
        waits: Vec::new(),
        live_vms: Vec::new(),
    }
}
