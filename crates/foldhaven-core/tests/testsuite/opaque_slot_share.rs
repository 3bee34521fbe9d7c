//! The shares of a brittle upstream's slots.

use std::num::NonZeroU32;

use foldhaven_core::ids::{UpstreamName, VmName};
use foldhaven_core::opaque::slot_share::{SlotShare, pause_after_decline};
use rstest::rstest;

/// Returns how many requests all VMs have at an upstream if each uses its whole share.
fn total_share(upstream: &UpstreamName, slots: u32, vms: usize) -> u32 {
    let names = (0..vms).map(|number| -> VmName { format!("vm-{number}").parse().unwrap() });
    let used = |vm: VmName| {
        let share = SlotShare::of(&vm, upstream, slots, vms);
        (0..slots).take_while(|own| share.has_room(*own, *own)).count() as u32
    };
    names.map(used).sum()
}

/// Guards against shares whose sum exceeds the slots, and against slots that nobody uses.
#[rstest]
#[case::one_vm(6, 1, 6)]
#[case::equal_parts(6, 3, 6)]
#[case::a_rest(64, 9, 63)]
#[case::one_each(6, 6, 6)]
fn shares_use_the_slots_once(#[case] slots: u32, #[case] vms: usize, #[case] used: u32) {
    assert_eq!(total_share(&"i-0".parse().unwrap(), slots, vms), used);
}

/// Guards against more VMs at an upstream than it has slots, at the size of a region and at twice
/// that size.
#[rstest]
#[case::region(74)]
#[case::twice_the_region(148)]
fn few_of_many_vms_use_an_upstream(#[case] vms: usize) {
    const SLOTS: u32 = 6;
    const UPSTREAMS: u32 = 200;
    let total = |number: u32| {
        total_share(&format!("i-{number}").parse::<UpstreamName>().unwrap(), SLOTS, vms)
    };
    let mean = f64::from((0..UPSTREAMS).map(total).sum::<u32>()) / f64::from(UPSTREAMS);
    assert!((0.8..=1.1).contains(&(mean / f64::from(SLOTS))), "{mean} of {SLOTS} slots");
}

/// Guards against more declined requests per second than the upstream bears, although all VMs that
/// use it are declined as often as they try.
#[rstest]
fn pauses_keep_the_sum_of_declined_requests_bounded(
    #[values(1, 3, 9, 74)] vms: usize,
    #[values(1, 2, 5, 40)] per_s: u32,
) {
    const SLOTS: u32 = 6;
    let pause = pause_after_decline(SLOTS, vms, NonZeroU32::new(per_s).unwrap());
    let users = vms.min(SLOTS as usize) as f64;
    assert!(users / pause.as_secs_f64() <= f64::from(per_s) + 1e-9);
}
