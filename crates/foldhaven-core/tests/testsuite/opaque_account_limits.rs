//! The share of an account limit that one VM may use, given what it knows of the other VMs.

use std::time::Duration;

use foldhaven_core::ids::IncarnationId;
use foldhaven_core::opaque::account_demand::{AccountTag, DemandTable, RegionDemand, VmDemand};
use foldhaven_core::opaque::account_table::{AccountLimit, LimitUnit};
use foldhaven_core::opaque::limit_share::{
    LimitMeter, LimitShare, LimitSlack, ReportedDemand, SharerView, limit_share,
};
use foldhaven_core::opaque::peer_table::{RegionTag, VmTag};
use foldhaven_core::time::MonoTime;
use proptest::prelude::*;
use rstest::rstest;

const LIMIT: AccountLimit =
    AccountLimit { unit: LimitUnit::Tokens { default_tokens: 200 }, per_s: 1_000.0, burst: 500.0 };

fn view(vms: usize, silent_vms: usize) -> SharerView {
    SharerView { regions: 3, silent_regions: 0, vms, silent_vms, is_informed: true }
}

fn share(demand: &ReportedDemand, view: &SharerView) -> LimitShare {
    limit_share(&LIMIT, demand, view, &LimitSlack::default())
}

fn demand(own: f64, local_peers: f64, other_regions: &[f64]) -> ReportedDemand {
    ReportedDemand {
        own,
        local_peers,
        other_regions: other_regions.to_vec(),
        region_as_known_remotely: own + local_peers,
    }
}

proptest! {
    /// If all VMs have received the same reports, their shares add up to no more than the limit and
    /// the minimum share of each VM.
    #[test]
    fn shares_of_one_view_stay_within_the_limit(
        reported in prop::collection::vec(prop::collection::vec(0.0..2_000.0_f64, 1..7), 1..5),
    ) {
        let sums: Vec<f64> = reported.iter().map(|region| region.iter().sum()).collect();
        let mut all = 0.0;
        let mut least = 0.0;
        for (at, region) in reported.iter().enumerate() {
            let other_regions: Vec<f64> =
                sums.iter()
                    .enumerate()
                    .filter(|(other, _)| *other != at)
                    .map(|(_, sum)| *sum)
                    .collect();
            let view = SharerView {
                regions: reported.len(),
                silent_regions: 0,
                vms: region.len(),
                silent_vms: 0,
                is_informed: true,
            };
            for own in region {
                let share = share(&demand(*own, sums[at] - own, &other_regions), &view);
                all += share.per_s;
                least += share.equal_per_s * 0.2;
            }
        }
        prop_assert!(all <= LIMIT.per_s + least + 1e-6, "{all}");
    }

    /// Whatever was reported, a VM that hears from nobody uses no more than its equal share.
    #[test]
    fn isolated_vm_keeps_to_its_equal_share(
        own in 0.0..1e6_f64,
        vms in 1..300_usize,
        regions in 1..28_usize,
    ) {
        let view = SharerView {
            regions,
            silent_regions: regions - 1,
            vms,
            silent_vms: vms - 1,
            is_informed: true,
        };
        let share = share(&demand(own, 0.0, &[]), &view);
        prop_assert!(share.per_s <= LIMIT.per_s / (regions * vms) as f64 + 1e-9);
    }

    /// What a meter lets through in any time span is at most the rate of its share, its maximum
    /// debt and the last request. A new meter has no burst.
    #[test]
    fn meter_lets_through_no_more_than_its_share(
        asks in prop::collection::vec((0..400_u64, 1.0..300.0_f64), 1..200),
        burst in 0.0..400.0_f64,
        max_debt in 0.0..200.0_f64,
    ) {
        let share = LimitShare { per_s: 500.0, equal_per_s: 100.0, burst, max_debt };
        let mut at = 10_000;
        let mut meter =
            LimitMeter::new(share, MonoTime::from_millis(at), MonoTime::from_millis(at));
        let (started, mut used, mut largest) = (at, 0.0, 0.0_f64);
        for (after, cost) in asks {
            at += after;
            meter.renew(share, MonoTime::from_millis(at));
            largest = largest.max(cost);
            if meter.try_acquire(cost, MonoTime::from_millis(at)).is_ok() {
                used += cost;
            }
            let permitted = (at - started) as f64 / 1e3 * share.per_s;
            prop_assert!(used <= permitted + largest + 1e-6, "a new meter has no burst: {used}");
        }
    }
}

#[test]
fn uninformed_process_assumes_a_large_region() {
    let unknown = share(&ReportedDemand::default(), &SharerView::unknown(3));
    let known = share(&ReportedDemand::default(), &view(1, 0));
    assert!(unknown.per_s <= known.per_s / 20.0, "{unknown:?} {known:?}");
}

#[rstest]
#[case::all_responsive(view(4, 0), 250.0)]
#[case::half_unresponsive(view(4, 2), 250.0)]
#[case::uninformed(SharerView { is_informed: false, ..view(4, 0) }, 50.0)]
fn share_shrinks_with_missing_reports(#[case] view: SharerView, #[case] most: f64) {
    let reported = demand(50.0, 150.0, &[0.0, 0.0]);
    let per_s = share(&reported, &view).per_s;
    assert!(per_s <= most, "{per_s}");
}

/// While another region is not heard from, each region keeps to its own equal share, plus its part
/// of what the regions that it does hear from leave unused of theirs.
#[test]
fn unheard_region_keeps_to_its_share() {
    let isolated = SharerView { silent_regions: 2, ..view(1, 0) };
    let alone = share(&demand(5_000.0, 0.0, &[]), &isolated).per_s;
    assert!((300.0..=334.0).contains(&alone), "{alone}");
    let half = SharerView { silent_regions: 1, ..view(1, 0) };
    let with_idle = share(&demand(5_000.0, 0.0, &[0.0]), &half).per_s;
    assert!((450.0..=500.0).contains(&with_idle), "{with_idle}");
}

/// After a long pause a meter has saved up no more than its burst, and a share that was not renewed
/// is the equal one.
#[test]
fn resume_after_a_pause_causes_no_burst() {
    let share = LimitShare { per_s: 500.0, equal_per_s: 10.0, burst: 100.0, max_debt: 0.0 };
    let at = MonoTime::from_millis;
    let mut meter = LimitMeter::new(share, at(1_000), at(1_000));
    let mut used = 0.0;
    while meter.try_acquire(10.0, at(61_000)).is_ok() {
        used += 10.0;
    }
    assert!(used <= 110.0, "{used}");
    let wait = meter.try_acquire(10.0, at(61_000)).unwrap_err();
    assert!(wait <= Duration::from_secs(2), "{wait:?}");
    assert!(
        meter.try_acquire(10.0, at(61_000) + wait + Duration::from_millis(1)).is_ok(),
        "{wait:?}"
    );
}

#[test]
fn cost_of_requests_that_did_not_run_is_refunded() {
    let share = LimitShare { per_s: 1.0, equal_per_s: 1.0, burst: 10.0, max_debt: 0.0 };
    let at = MonoTime::from_millis;
    let mut meter = LimitMeter::new(share, at(0), at(60_000));
    assert!(meter.try_acquire(20.0, at(60_000)).is_ok());
    assert!(meter.try_acquire(1.0, at(60_000)).is_err());
    meter.refund(20.0);
    assert!(meter.try_acquire(1.0, at(60_000)).is_ok());
}

fn region_demand(sequence: u32, heard_regions: &[u32], demand: f32) -> RegionDemand {
    RegionDemand {
        region: RegionTag(2),
        delegate: VmTag(5),
        incarnation: IncarnationId(1),
        sequence,
        heard_regions: heard_regions.iter().copied().map(RegionTag).collect(),
        demands: vec![(AccountTag(9), demand)],
    }
}

/// Guards against invalid reports: demand that is negative, NaN or infinite, too many accounts or
/// regions, unknown regions, outdated messages.
#[rstest]
#[case::negative(region_demand(7, &[1], -1.0))]
#[case::not_a_number(region_demand(7, &[1], f32::NAN))]
#[case::infinite(region_demand(7, &[1], f32::INFINITY))]
#[case::outdated(region_demand(3, &[1], 5.0))]
#[case::unknown_region(RegionDemand { region: RegionTag(77), ..region_demand(7, &[1], 5.0) })]
#[case::own_region(RegionDemand { region: RegionTag(1), ..region_demand(7, &[1], 5.0) })]
#[case::lists_too_many_regions(region_demand(7, &[1, 2, 3, 4, 5], 5.0))]
#[case::too_many_accounts(RegionDemand { demands: vec![(AccountTag(9), 1.0); 1_300], ..region_demand(7, &[1], 5.0) })]
fn invalid_region_reports_are_ignored(#[case] invalid: RegionDemand) {
    let mut table = DemandTable::new(RegionTag(1), [1, 2, 3].map(RegionTag));
    let now = MonoTime::from_millis(1_000);
    assert!(table.apply_region(&region_demand(4, &[1], 40.0), now));
    let before = table.reported_demand(AccountTag(9), 1.0, now);
    assert!(!table.apply_region(&invalid, now));
    assert_eq!(table.reported_demand(AccountTag(9), 1.0, now), before);
    assert_eq!(table.silent_regions(now), 1);
}

#[test]
fn region_that_does_not_hear_this_one_counts_as_silent() {
    let mut table = DemandTable::new(RegionTag(1), [1, 2].map(RegionTag));
    let now = MonoTime::from_millis(1_000);
    table.apply_region(&region_demand(4, &[3], 40.0), now);
    assert_eq!(table.silent_regions(now), 1);
    table.apply_region(&region_demand(5, &[1], 40.0), now);
    assert_eq!(table.silent_regions(now), 0);
    assert_eq!(table.silent_regions(now + Duration::from_secs(2)), 1, "its report has expired");
}

#[test]
fn stale_vms_are_dropped() {
    let mut table = DemandTable::new(RegionTag(1), [RegionTag(1)]);
    let demand = VmDemand {
        vm: VmTag(4),
        incarnation: IncarnationId(1),
        sequence: 1,
        demands: vec![(AccountTag(9), 7.0)],
    };
    assert!(table.apply_vm(&demand));
    assert!(!table.apply_vm(&demand), "it was received before");
    assert_eq!(table.local_peers_demand(AccountTag(9)), 7.0);
    table.retain_vms(|_| false);
    assert_eq!(table.local_peers_demand(AccountTag(9)), 0.0);
}
