//! Parts of a limit: what one VM may use, by what it knows of the others.

use std::time::Duration;

use foldhaven_core::ids::IncarnationId;
use foldhaven_core::opaque::account_table::{AccountLimit, LimitUnit};
use foldhaven_core::opaque::demand_book::{AccountTag, DemandBook, RegionDemand, VmDemand};
use foldhaven_core::opaque::limit_part::{
    LimitMeter, LimitPart, LimitSlack, SharerView, ToldWants, limit_part,
};
use foldhaven_core::opaque::peer_table::{RegionTag, VmTag};
use foldhaven_core::time::MonoTime;
use proptest::prelude::*;
use rstest::rstest;

const LIMIT: AccountLimit =
    AccountLimit { unit: LimitUnit::Tokens { plain: 200 }, per_s: 1_000.0, burst: 500.0 };

fn view(vms: usize, silent_vms: usize) -> SharerView {
    SharerView { regions: 3, silent_regions: 0, vms, silent_vms, is_informed: true }
}

fn part(wants: &ToldWants, view: &SharerView) -> LimitPart {
    limit_part(&LIMIT, wants, view, &LimitSlack::default())
}

fn wants(own: f64, near: f64, far: &[f64]) -> ToldWants {
    ToldWants { own, near, far: far.to_vec(), region_before: own + near }
}

proptest! {
    /// Where all VMs have heard the same, their parts add up to no more than the limit and what each has in any case.
    #[test]
    fn parts_of_one_view_add_up_to_the_limit(
        told in prop::collection::vec(prop::collection::vec(0.0..2_000.0_f64, 1..7), 1..5),
    ) {
        let sums: Vec<f64> = told.iter().map(|region| region.iter().sum()).collect();
        let mut all = 0.0;
        let mut least = 0.0;
        for (at, region) in told.iter().enumerate() {
            let far: Vec<f64> =
                sums.iter().enumerate().filter(|(other, _)| *other != at).map(|(_, sum)| *sum).collect();
            let view = SharerView {
                regions: told.len(),
                silent_regions: 0,
                vms: region.len(),
                silent_vms: 0,
                is_informed: true,
            };
            for own in region {
                let part = part(&wants(*own, sums[at] - own, &far), &view);
                all += part.per_s;
                least += part.equal_per_s * 0.2;
            }
        }
        prop_assert!(all <= LIMIT.per_s + least + 1e-6, "{all}");
    }

    /// Whatever was told, a VM that hears of nobody uses no more than its equal part.
    #[test]
    fn a_vm_that_hears_nobody_keeps_to_its_equal_part(
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
        let part = part(&wants(own, 0.0, &[]), &view);
        prop_assert!(part.per_s <= LIMIT.per_s / (regions * vms) as f64 + 1e-9);
    }

    /// What a meter lets through in any span is what its part permits there, what it may save up and owe, and the last
    /// request.
    #[test]
    fn a_meter_lets_no_more_through_than_its_part(
        asks in prop::collection::vec((0..400_u64, 1.0..300.0_f64), 1..200),
        burst in 0.0..400.0_f64,
        owed in 0.0..200.0_f64,
    ) {
        let part = LimitPart { per_s: 500.0, equal_per_s: 100.0, burst, owed };
        let mut at = 10_000;
        let mut meter = LimitMeter::new(part, MonoTime::from_millis(at), MonoTime::from_millis(at));
        let (started, mut used, mut largest) = (at, 0.0, 0.0_f64);
        for (after, cost) in asks {
            at += after;
            meter.renew(part, MonoTime::from_millis(at));
            largest = largest.max(cost);
            if meter.ask(cost, MonoTime::from_millis(at)).is_ok() {
                used += cost;
            }
            let permitted = (at - started) as f64 / 1e3 * part.per_s;
            prop_assert!(used <= permitted + largest + 1e-6, "a start is no burst: {used}");
        }
    }
}

#[test]
fn a_process_that_knows_nobody_takes_its_region_for_large() {
    let unknown = part(&ToldWants::default(), &SharerView::unknown(3));
    let known = part(&ToldWants::default(), &view(1, 0));
    assert!(unknown.per_s <= known.per_s / 20.0, "{unknown:?} {known:?}");
}

#[rstest]
#[case::all_heard(view(4, 0), 250.0)]
#[case::half_silent(view(4, 2), 250.0)]
#[case::learning(SharerView { is_informed: false, ..view(4, 0) }, 50.0)]
fn the_less_is_known_the_smaller_is_the_part(#[case] view: SharerView, #[case] most: f64) {
    let told = wants(50.0, 150.0, &[0.0, 0.0]);
    let per_s = part(&told, &view).per_s;
    assert!(per_s <= most, "{per_s}");
}

/// A region whose neighbours do not hear it takes its own equal part, and what those that do leave of theirs.
#[test]
fn a_region_that_is_not_heard_keeps_to_its_part() {
    let cut = SharerView { silent_regions: 2, ..view(1, 0) };
    let alone = part(&wants(5_000.0, 0.0, &[]), &cut).per_s;
    assert!((300.0..=334.0).contains(&alone), "{alone}");
    let half = SharerView { silent_regions: 1, ..view(1, 0) };
    let with_idle = part(&wants(5_000.0, 0.0, &[0.0]), &half).per_s;
    assert!((450.0..=500.0).contains(&with_idle), "{with_idle}");
}

/// After a stand-still a meter has what it may save up, and a part that nobody renewed is the equal one.
#[test]
fn a_waking_is_no_burst() {
    let part = LimitPart { per_s: 500.0, equal_per_s: 10.0, burst: 100.0, owed: 0.0 };
    let at = MonoTime::from_millis;
    let mut meter = LimitMeter::new(part, at(1_000), at(1_000));
    let mut used = 0.0;
    while meter.ask(10.0, at(61_000)).is_ok() {
        used += 10.0;
    }
    assert!(used <= 110.0, "{used}");
    let wait = meter.ask(10.0, at(61_000)).unwrap_err();
    assert!(wait <= Duration::from_secs(2), "{wait:?}");
    assert!(meter.ask(10.0, at(61_000) + wait + Duration::from_millis(1)).is_ok(), "{wait:?}");
}

#[test]
fn what_has_not_run_is_given_back() {
    let part = LimitPart { per_s: 1.0, equal_per_s: 1.0, burst: 10.0, owed: 0.0 };
    let at = MonoTime::from_millis;
    let mut meter = LimitMeter::new(part, at(0), at(60_000));
    assert!(meter.ask(20.0, at(60_000)).is_ok());
    assert!(meter.ask(1.0, at(60_000)).is_err());
    meter.give_back(20.0);
    assert!(meter.ask(1.0, at(60_000)).is_ok());
}

fn region_demand(sequence: u32, hears: &[u32], want: f32) -> RegionDemand {
    RegionDemand {
        region: RegionTag(2),
        teller: VmTag(5),
        incarnation: IncarnationId(1),
        sequence,
        hears: hears.iter().copied().map(RegionTag).collect(),
        wants: vec![(AccountTag(9), want)],
    }
}

/// Nonsense changes nothing: wants below zero, none or without end, regions that there are not, old messages.
#[rstest]
#[case::negative(region_demand(7, &[1], -1.0))]
#[case::none(region_demand(7, &[1], f32::NAN))]
#[case::endless(region_demand(7, &[1], f32::INFINITY))]
#[case::old(region_demand(3, &[1], 5.0))]
#[case::unknown_region(RegionDemand { region: RegionTag(77), ..region_demand(7, &[1], 5.0) })]
#[case::own_region(RegionDemand { region: RegionTag(1), ..region_demand(7, &[1], 5.0) })]
#[case::hears_too_many(region_demand(7, &[1, 2, 3, 4, 5], 5.0))]
#[case::too_long(RegionDemand { wants: vec![(AccountTag(9), 1.0); 1_300], ..region_demand(7, &[1], 5.0) })]
fn nonsense_of_a_region_changes_nothing(#[case] nonsense: RegionDemand) {
    let mut book = DemandBook::new(RegionTag(1), [1, 2, 3].map(RegionTag));
    let now = MonoTime::from_millis(1_000);
    assert!(book.hear_region(&region_demand(4, &[1], 40.0), now));
    let before = book.wants(AccountTag(9), 1.0, now);
    assert!(!book.hear_region(&nonsense, now));
    assert_eq!(book.wants(AccountTag(9), 1.0, now), before);
    assert_eq!(book.silent_regions(now), 1);
}

#[test]
fn a_region_that_does_not_hear_this_one_counts_as_silent() {
    let mut book = DemandBook::new(RegionTag(1), [1, 2].map(RegionTag));
    let now = MonoTime::from_millis(1_000);
    book.hear_region(&region_demand(4, &[3], 40.0), now);
    assert_eq!(book.silent_regions(now), 1);
    book.hear_region(&region_demand(5, &[1], 40.0), now);
    assert_eq!(book.silent_regions(now), 0);
    assert_eq!(book.silent_regions(now + Duration::from_secs(2)), 1, "it has gone silent");
}

#[test]
fn vms_that_fell_silent_are_left_out() {
    let mut book = DemandBook::new(RegionTag(1), [RegionTag(1)]);
    let demand = VmDemand {
        vm: VmTag(4),
        incarnation: IncarnationId(1),
        sequence: 1,
        wants: vec![(AccountTag(9), 7.0)],
    };
    assert!(book.hear_vm(&demand));
    assert!(!book.hear_vm(&demand), "it was heard before");
    assert_eq!(book.near_want(AccountTag(9)), 7.0);
    book.keep_only(|_| false);
    assert_eq!(book.near_want(AccountTag(9)), 0.0);
}
