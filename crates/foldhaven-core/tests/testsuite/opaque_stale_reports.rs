//! Many VMs that choose on the same stale reports. In a load spike, all of them would take the few
//! upstreams that are the cheapest by the last reports, and fill these while others have free
//! slots.

use std::collections::BTreeSet;
use std::time::Duration;

use foldhaven_core::ids::UpstreamName;
use foldhaven_core::opaque::choice::{ChoiceQuery, UpstreamCandidate, price_upstreams};
use foldhaven_core::opaque::performance::{QueueState, ServicePerformance, UpstreamPerformance};
use foldhaven_core::opaque::queue_capacity::QueueCapacity;
use foldhaven_core::opaque::short_slowdown::SlowdownFactor;
use foldhaven_core::opaque::upstream_speed::SpeedFactors;
use foldhaven_core::time::MonoTime;

/// A region in such a load spike: 46 upstreams with 12 slots, and reports that are 80 ms old.
const UPSTREAMS: usize = 46;
const SLOTS: u32 = 12;
const REPORT_AGE: Duration = Duration::from_millis(80);

fn names() -> Vec<UpstreamName> {
    (0..UPSTREAMS).map(|at| format!("up-{at}").parse().unwrap()).collect()
}

fn candidate(name: &UpstreamName, in_flight: u32) -> UpstreamCandidate<'_> {
    UpstreamCandidate {
        name,
        queue: QueueState { slots: SLOTS, in_flight, on_track: in_flight, ..QueueState::default() },
        speed: SpeedFactors::default(),
        slowdown: SlowdownFactor::default(),
        latency_factor: 1.0,
        failure_share: 0.0,
        long_pause_share: 0.0,
        transfer_cost: 0.0,
        cached_tokens: 0,
        is_ejected: false,
        is_throttled: false,
        is_tried: false,
        has_room: true,
    }
}

fn query(report_age: Duration, shared_tokens: u32, draw: f64) -> ChoiceQuery {
    ChoiceQuery {
        target: Duration::from_millis(800),
        waited: Duration::ZERO,
        level: None,
        event_gap: None,
        events: 3.0,
        size: 800,
        shared_tokens,
        unshared_tokens: 300,
        affinity_key: None,
        report_age,
        draw,
    }
}

fn performance() -> ServicePerformance {
    ServicePerformance { slot_time: Duration::from_millis(250), ..ServicePerformance::default() }
}

/// Returns the upstreams that are sampled by one draw.
fn sampled(candidates: &[UpstreamCandidate<'_>], query: &ChoiceQuery) -> BTreeSet<usize> {
    price_upstreams(candidates, query, &performance()).iter().map(|choice| choice.index).collect()
}

#[test]
fn at_low_load_and_with_fresh_reports_all_are_sampled() {
    let names = names();
    let idle: Vec<_> = names.iter().map(|name| candidate(name, 2)).collect();
    assert_eq!(sampled(&idle, &query(REPORT_AGE, 0, 0.3)).len(), UPSTREAMS);
    let busy: Vec<_> = names.iter().map(|name| candidate(name, 20)).collect();
    assert_eq!(sampled(&busy, &query(Duration::ZERO, 0, 0.3)).len(), UPSTREAMS);
}

#[test]
fn the_sample_shrinks_with_the_arrivals_between_reports() {
    let names = names();
    let sample_size = |in_flight| {
        let candidates: Vec<_> = names.iter().map(|name| candidate(name, in_flight)).collect();
        sampled(&candidates, &query(REPORT_AGE, 0, 0.3)).len()
    };
    assert!(
        sample_size(6) < UPSTREAMS && sample_size(6) > sample_size(12),
        "{} {}",
        sample_size(6),
        sample_size(12)
    );
    assert!((2..=3).contains(&sample_size(100)), "{}", sample_size(100));
}

/// All VMs see the same upstream as the least loaded. If each chose the cheapest of all upstreams,
/// it would get every request of the interval.
#[test]
fn the_least_loaded_upstream_does_not_get_all_requests() {
    let names = names();
    let mut candidates: Vec<_> = names.iter().map(|name| candidate(name, 20)).collect();
    candidates[7] = candidate(&names[7], 13);
    let draws = 1_000;
    let times_chosen = |report_age| {
        let chosen = |step: usize| {
            let draw = (f64::from(step as u32) * 0.618_034).fract();
            let priced = price_upstreams(&candidates, &query(report_age, 0, draw), &performance());
            priced.iter().min_by(|left, right| left.cost.0.total_cmp(&right.cost.0)).unwrap().index
        };
        (0..draws).filter(|step| chosen(*step) == 7).count()
    };
    assert_eq!(times_chosen(Duration::ZERO), draws);
    let stale = times_chosen(REPORT_AGE);
    assert!(stale > draws / UPSTREAMS && stale < draws / 3, "{stale}");
}

#[test]
fn an_upstream_with_a_long_cached_prefix_is_always_sampled() {
    let names = names();
    let mut candidates: Vec<_> = names.iter().map(|name| candidate(name, 20)).collect();
    for holder in [3, 30] {
        candidates[holder].cached_tokens = 9_000;
    }
    for step in 0..50 {
        let sampled = sampled(&candidates, &query(REPORT_AGE, 9_000, f64::from(step) / 50.0));
        assert!(sampled.contains(&3) && sampled.contains(&30), "{sampled:?}");
    }
}

/// Load reports may lack the requests of VMs that are partitioned from this one. An upstream that
/// refuses a request has more requests than reported, and its queue shrinks no faster than it
/// completes them.
#[test]
fn an_upstream_that_refused_counts_as_full_until_its_queue_can_have_shrunk() {
    let slot_time = Duration::from_millis(250);
    let reported = QueueState { slots: SLOTS, in_flight: 14, ..QueueState::default() };
    let mut capacity = QueueCapacity::default();
    capacity.record_accepted(QueueState { in_flight: 40, ..reported });
    let mut performance = UpstreamPerformance::default();
    let refused_at = MonoTime::from_millis(10_000);
    assert_eq!(performance.queue_after_refusal(reported, slot_time, refused_at).in_flight, 14);
    performance.record_queue_full(capacity.full_queue_load(reported), refused_at);
    let after = |ms| {
        performance
            .queue_after_refusal(reported, slot_time, refused_at + Duration::from_millis(ms))
            .in_flight
    };
    assert_eq!((after(0), after(250), after(2_000)), (41, 29, 14));
}
