//! Limits that hold over all VMs: the sum of what the VMs do independently stays within them.

use std::collections::BTreeMap;
use std::time::Duration;

use foldhaven_core::ids::{UpstreamName, VmName};
use foldhaven_core::opaque::idle_connections::max_idle_connections;
use foldhaven_core::opaque::rate_share::{
    MAX_SENDERS, RatePacer, SenderList, SharedRate, rate_share,
};
use foldhaven_core::opaque::retry_share::{RetryLimits, RetryShare};
use foldhaven_core::time::MonoTime;
use foldhaven_core::units::RequestRate;
use proptest::prelude::*;
use rstest::rstest;

const LIMITS: RetryLimits =
    RetryLimits { ratio: 0.2, extra: 58.0, window: Duration::from_secs(10) };

fn vm(number: usize) -> VmName {
    format!("vm-{number}").parse().unwrap()
}

/// One VM with the retry share of its current process.
struct RetryVm {
    started: MonoTime,
    share: RetryShare,
}

proptest! {
    /// VMs that all retry as often as they can, and that are killed at any moment, together stay
    /// within the budget in every window.
    #[test]
    fn retries_of_all_vms_stay_within_the_budget(
        vms in 1usize..12,
        rates in prop::collection::vec(0u32..30, 12),
        kills in prop::collection::vec((0usize..12, 0u64..300), 0..10),
    ) {
        let zero = MonoTime::from_millis(1_000_000);
        // The processes have run long enough for their fixed shares to be fully grown.
        let mut fleet: Vec<RetryVm> = (0..vms)
            .map(|_| RetryVm {
                started: zero - Duration::from_secs(600),
                share: RetryShare::new(LIMITS),
            })
            .collect();
        let mut requests: BTreeMap<u64, u32> = BTreeMap::new();
        let mut retries: BTreeMap<u64, u32> = BTreeMap::new();
        for step in 0u64..300 {
            let now = zero + Duration::from_millis(100 * step);
            for (at, it) in fleet.iter_mut().enumerate() {
                if kills.contains(&(at, step)) {
                    *it = RetryVm { started: now, share: RetryShare::new(LIMITS) };
                }
                for _ in 0..rates[at] {
                    it.share.record_request(now);
                    *requests.entry(step).or_default() += 1;
                }
                let uptime = now.since(it.started);
                while it.share.try_withdraw(Some(vms), uptime, now) {
                    *retries.entry(step).or_default() += 1;
                }
            }
        }
        for first in 0..200u64 {
            let window = first..first + 100;
            let in_window = |counts: &BTreeMap<u64, u32>, window: std::ops::Range<u64>| {
                counts.range(window).map(|(_, count)| *count).sum::<u32>()
            };
            let sent = in_window(&retries, window.clone());
            // The budget counts the requests of this window, the previous one, or one that starts
            // half a window earlier.
            let before = first.saturating_sub(100)..first;
            let most = in_window(&requests, window).max(in_window(&requests, before));
            let permitted = LIMITS.ratio * f64::from(most) + LIMITS.extra;
            prop_assert!(f64::from(sent) <= permitted, "{sent} retries, {permitted} permitted");
        }
    }

    /// VMs that see each other send no more to a cold upstream than its rate, whatever its name.
    #[test]
    fn cold_upstream_gets_no_more_than_its_rate(vms in 1usize..60, name in 0u32..1000) {
        let upstream: UpstreamName = format!("i-{name}").parse().unwrap();
        let live: Vec<VmName> = (0..vms).map(vm).collect();
        let rates: Vec<f64> = live.iter().map(|own| share(&upstream, own, &live, &live)).collect();
        prop_assert!(rates.iter().sum::<f64>() <= 9.7);
        prop_assert!(rates.iter().filter(|rate| **rate > 0.0).count() <= MAX_SENDERS);
        prop_assert!(rates.iter().any(|rate| *rate > 0.0));
    }

    /// Guards against VMs that disagree on who is live: if some VMs see one VM and others do not,
    /// the total rate grows by one sender's share at most.
    #[test]
    fn one_disputed_vm_adds_at_most_one_share(
        vms in 4usize..60,
        name in 0u32..1000,
        disputed in 0usize..60,
    ) {
        let upstream: UpstreamName = format!("i-{name}").parse().unwrap();
        let all: Vec<VmName> = (0..vms).map(vm).collect();
        let without: Vec<VmName> =
            all.iter().filter(|it| **it != vm(disputed % vms)).cloned().collect();
        // Each VM may hold either view; the sum takes the worse one for each.
        let worst = |own: &VmName| {
            let sees = share(&upstream, own, &all, &all);
            let misses = match without.contains(own) {
                true => share(&upstream, own, &without, &without),
                false => 0.0,
            };
            sees.max(misses)
        };
        let sum: f64 = all.iter().map(worst).sum();
        prop_assert!(sum <= 9.7 * (MAX_SENDERS as f64 + 1.0) / MAX_SENDERS as f64);
    }
}

/// The share of a VM in a rate of 9.7 requests per second, given the live VMs and those that may be
/// live.
fn share(
    upstream: &UpstreamName,
    own: &VmName,
    live: &[VmName],
    with_unresponsive: &[VmName],
) -> f64 {
    let senders = SenderList { live: live.to_vec(), with_unresponsive: with_unresponsive.to_vec() };
    rate_share(SharedRate::of_cold(9.7), upstream, own, &senders).per_s
}

/// Guards against two partitioned halves of a region that both reach the upstreams. As long as each
/// remembers the other, both together send no more than a cold upstream can handle.
#[test]
fn partitioned_halves_stay_within_the_rate() {
    let upstream: UpstreamName = "i-1".parse().unwrap();
    for vms in 2..40 {
        let all: Vec<VmName> = (0..vms).map(vm).collect();
        let (left, right) = all.split_at(vms / 2);
        let sum = |half: &[VmName]| -> f64 {
            half.iter().map(|own| share(&upstream, own, half, &all)).sum()
        };
        let both = sum(left) + sum(right);
        assert!(both <= 9.7 * MAX_SENDERS as f64 / MAX_SENDERS.min(left.len()) as f64, "{both}");
        assert!(vms < 6 || both <= 9.7, "{both} of {vms} VMs");
    }
}

/// The maximum number of requests within 4 s from VMs that send as often as they can.
fn most_sent(rate: SharedRate, vms: usize) -> usize {
    let upstream: UpstreamName = "i-1".parse().unwrap();
    let live: Vec<VmName> = (0..vms).map(vm).collect();
    let senders = SenderList { live: live.clone(), with_unresponsive: live.clone() };
    let started = MonoTime::from_millis(1_000);
    let mut sent: Vec<MonoTime> = Vec::new();
    for own in &live {
        let share = rate_share(rate, &upstream, own, &senders);
        let mut pacer = RatePacer::default();
        pacer.delay_until(started + share.first_delay);
        let moments = (0..3_000).map(|step| started + Duration::from_millis(20) * step);
        sent.extend(moments.filter(|now| pacer.try_acquire(share.per_s, *now)));
    }
    sent.sort();
    let within = |first: &MonoTime| {
        let end = *first + Duration::from_secs(4);
        sent.iter().filter(|at| *at >= first && **at < end).count()
    };
    sent.iter().map(within).max().unwrap_or_default()
}

/// Guards against shares of a limit announced by an upstream that add up to more than the limit, in
/// a region of any size.
#[rstest]
fn shares_of_a_limit_hold_in_a_region_of_any_size(
    #[values(1, 9, 74, 295)] vms: usize,
    #[values(0.0, 0.2, 1.0, 2.0, 9.7, 50.0)] per_s: f64,
) {
    let rate = SharedRate::of_limit(RequestRate::from_per_s(per_s).unwrap());
    let most = most_sent(rate, vms);
    assert!(most as f64 <= 1.5 * per_s * 4.0 + 5.0, "{most} requests in 4 s");
    assert!(most > 0, "an upstream that gets nothing cannot end its limit");
}

/// Guards against a raised limit that takes effect only after the wait that the lower limit
/// imposed.
#[test]
fn higher_rate_is_used_at_once() {
    let mut pacer = RatePacer::default();
    let now = MonoTime::from_millis(1_000);
    assert!(pacer.try_acquire(0.05, now));
    pacer.raise_rate(2.0, now + Duration::from_secs(1));
    assert!(pacer.try_acquire(2.0, now + Duration::from_millis(1_500)));
}

/// A VM sends nothing to a cold upstream whose rate is zero, and nothing if it is not itself on the
/// list of senders.
#[test]
fn cold_upstream_without_a_rate_gets_no_requests() {
    let (upstream, own) = ("i-1".parse().unwrap(), vm(0));
    let alone = SenderList { live: vec![own.clone()], with_unresponsive: vec![own.clone()] };
    let nothing = SharedRate::of_cold(0.0);
    assert_eq!(rate_share(nothing, &upstream, &own, &alone).per_s, 0.0);
    let cold_rate = SharedRate::of_cold(9.7);
    assert_eq!(rate_share(cold_rate, &upstream, &own, &SenderList::default()).per_s, 0.0);
}

#[test]
fn unknown_vm_count_permits_no_extra_retries() {
    let mut share = RetryShare::new(LIMITS);
    let now = MonoTime::from_millis(1_000);
    assert!(!share.try_withdraw(None, Duration::from_secs(60), now));
    (0..20).for_each(|_| share.record_request(now));
    assert!(share.try_withdraw(None, Duration::from_secs(60), now));
}

#[test]
fn requests_to_a_cold_upstream_are_spaced() {
    let mut pacer = RatePacer::default();
    let now = MonoTime::from_millis(1_000);
    assert!(pacer.try_acquire(2.0, now));
    assert!(!pacer.is_ready(2.0, now + Duration::from_millis(499)));
    assert!(pacer.try_acquire(2.0, now + Duration::from_millis(500)));
    assert!(!pacer.try_acquire(0.0, now + Duration::from_secs(60)), "no rate, no slot");
}

/// Guards against idle connections that use up the limit: 28 VMs with 24 idle connections each
/// would have exhausted an upstream's limit of 540.
#[rstest]
#[case::few_vms(370, 4, 24)]
#[case::many_vms(540, 28, 9)]
#[case::more_vms_than_connections(110, 300, 1)]
#[case::no_limit(0, 300, 24)]
fn idle_connections_leave_capacity_for_requests(
    #[case] limit: u32,
    #[case] vms: usize,
    #[case] kept: usize,
) {
    assert_eq!(max_idle_connections(limit, vms), kept);
}
