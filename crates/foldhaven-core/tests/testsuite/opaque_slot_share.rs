//! The shares of a brittle upstream's slots.

use std::num::NonZeroU32;
use std::time::Duration;

use foldhaven_core::ids::UpstreamName;
use foldhaven_core::opaque::peer_table::VmTag;
use foldhaven_core::opaque::slot_share::{
    HOLDER_RETENTION, HolderLists, SlotHolders, TAKEOVER_DELAY, pause_after_decline,
};
use foldhaven_core::time::MonoTime;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const STARTED: MonoTime = MonoTime::from_millis(60_000);

fn vms(count: usize) -> Vec<VmTag> {
    (0..count).map(|number| VmTag::of(&format!("vm-{number}").parse().unwrap())).collect()
}

fn upstream(number: usize) -> UpstreamName {
    format!("i-{number}").parse().unwrap()
}

/// Returns the lists of a VM that has known the same VMs for long.
fn settled_lists(known: &[VmTag]) -> HolderLists {
    let mut holders = SlotHolders::default();
    holders.update(known.iter().copied(), STARTED);
    holders.update(known.iter().copied(), STARTED + TAKEOVER_DELAY).clone()
}

/// Returns how many requests all VMs have at an upstream if each uses its whole share.
fn total_share(upstream: &UpstreamName, slots: u32, vm_count: usize) -> u32 {
    let vms = vms(vm_count);
    let lists = settled_lists(&vms);
    vms.iter().map(|vm| lists.slots_of(*vm, upstream, slots)).sum()
}

/// Guards against shares whose sum exceeds the slots, and against slots that nobody uses.
#[rstest]
#[case::one_vm(6, 1)]
#[case::equal_parts(6, 3)]
#[case::a_rest(64, 9)]
#[case::one_each(6, 6)]
#[case::region(12, 30)]
#[case::twice_the_region(12, 60)]
#[case::large_region(6, 74)]
#[case::twice_the_large_region(6, 148)]
fn shares_use_each_slot_once(#[case] slots: u32, #[case] vms: usize) {
    for number in 0..40 {
        assert_eq!(total_share(&upstream(number), slots, vms), slots, "upstream {number}");
    }
}

/// A VM of a region whose VMs learn of each other with a delay.
struct SimulatedVm {
    tag: VmTag,
    holders: SlotHolders,
    /// How long it takes until this VM learns of a change.
    delay: Duration,
}

/// Guards against slots that two VMs use at the same time, while VMs are added and stop sending and
/// others learn of it at different times.
#[rstest]
fn no_slot_is_used_twice_while_views_differ(
    #[values(30, 60)] count: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    const SLOTS: u32 = 12;
    const STEP: Duration = Duration::from_millis(50);
    let mut random = StdRng::seed_from_u64(seed);
    let tags = vms(count);
    // When each VM takes requests.
    let spans: Vec<(MonoTime, MonoTime)> = tags
        .iter()
        .map(|_| {
            let from = STARTED + Duration::from_millis(random.random_range(0..20_000));
            (from, from + Duration::from_millis(random.random_range(2_000..40_000)))
        })
        .collect();
    let new_vm = |tag: &VmTag| SimulatedVm {
        tag: *tag,
        holders: SlotHolders::default(),
        delay: TAKEOVER_DELAY.mul_f64(0.9 * random.random_range(0.0..1.0)),
    };
    let mut region: Vec<SimulatedVm> = tags.iter().map(new_vm).collect();
    let names: Vec<UpstreamName> = (0..4).map(upstream).collect();
    let mut used = 0;
    for step in 0..1_200 {
        let now = STARTED + STEP * step;
        let mut totals = [0; 4];
        for at in 0..count {
            let vm = &mut region[at];
            let known_at = now - vm.delay;
            let active = |other: usize| {
                let known = if other == at { now } else { known_at };
                spans[other].0 <= known && known < spans[other].1
            };
            let current: Vec<VmTag> =
                (0..count).filter(|it| active(*it)).map(|it| tags[it]).collect();
            let lists = vm.holders.update(current, now);
            if spans[at].0 <= now && now < spans[at].1 {
                let parts = names.iter().map(|name| lists.slots_of(vm.tag, name, SLOTS));
                totals.iter_mut().zip(parts).for_each(|(total, part)| *total += part);
            }
        }
        for total in totals {
            assert!(total <= SLOTS, "{total} of {SLOTS} slots after {:?}", STEP * step);
        }
        used += totals.iter().sum::<u32>();
    }
    assert!(used > 0, "some slots are used");
}

/// Guards against a VM that has just started and knows no other VM, and takes all slots.
#[test]
fn a_vm_has_no_share_before_it_has_held_its_list_for_a_while() {
    let own = vms(1)[0];
    let mut holders = SlotHolders::default();
    let share = |lists: &HolderLists| lists.slots_of(own, &upstream(0), 6);
    assert_eq!(share(holders.update([own], STARTED)), 0);
    assert_eq!(share(holders.update([own], STARTED + TAKEOVER_DELAY / 2)), 0);
    assert_eq!(share(holders.update([own], STARTED + TAKEOVER_DELAY)), 6);
}

/// Guards against slots of VMs that are gone and that nobody takes over.
#[test]
fn the_share_of_a_vm_that_is_gone_is_taken_over() {
    let vms = vms(2);
    let mut holders = SlotHolders::default();
    holders.update(vms.iter().copied(), STARTED);
    let gone_at = STARTED + TAKEOVER_DELAY;
    let share = |lists: &HolderLists| lists.slots_of(vms[0], &upstream(0), 6);
    assert_eq!(share(holders.update([vms[0]], gone_at)), 3);
    assert_eq!(share(holders.update([vms[0]], STARTED + HOLDER_RETENTION)), 3);
    assert_eq!(share(holders.update([vms[0]], STARTED + HOLDER_RETENTION + TAKEOVER_DELAY)), 6);
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
