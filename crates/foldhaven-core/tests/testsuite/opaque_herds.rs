//! Many VMs that decide on the same old news: in a peak all of them take the few upstreams that the last reports
//! show as the cheapest, and fill these while others have places.

use std::collections::BTreeSet;
use std::time::Duration;

use foldhaven_core::ids::UpstreamName;
use foldhaven_core::opaque::choice::{ChoiceQuery, UpstreamCandidate, price_upstreams};
use foldhaven_core::opaque::performance::{QueueState, ServicePerformance, UpstreamPerformance};
use foldhaven_core::opaque::queue_capacity::QueueCapacity;
use foldhaven_core::time::MonoTime;

/// A region as it is in such a peak: 46 upstreams of 12 slots, news that are 80 ms old.
const UPSTREAMS: usize = 46;
const SLOTS: u32 = 12;
const NEWS_AGE: Duration = Duration::from_millis(80);

fn names() -> Vec<UpstreamName> {
    (0..UPSTREAMS).map(|at| format!("up-{at}").parse().unwrap()).collect()
}

fn facts(name: &UpstreamName, in_flight: u32) -> UpstreamCandidate<'_> {
    UpstreamCandidate {
        name,
        queue: QueueState { slots: SLOTS, in_flight, on_track: in_flight, ..QueueState::default() },
        latency_factor: 1.0,
        failure_share: 0.0,
        long_pause_share: 0.0,
        transfer_cost: 0.0,
        cached_tokens: 0,
        is_ejected: false,
        is_throttled: false,
        is_tried: false,
    }
}

fn query(report_age: Duration, shared_tokens: u32, draw: f64) -> ChoiceQuery {
    ChoiceQuery {
        target: Duration::from_millis(800),
        waited: Duration::ZERO,
        event_gap: None,
        events: 3.0,
        size: 800,
        shared_tokens,
        own_tokens: 300,
        affinity_key: None,
        report_age,
        draw,
    }
}

fn pace() -> ServicePerformance {
    ServicePerformance { slot_time: Duration::from_millis(250), ..ServicePerformance::default() }
}

/// The upstreams that are looked at by one draw.
fn looked_at(candidates: &[UpstreamCandidate<'_>], query: &ChoiceQuery) -> BTreeSet<usize> {
    price_upstreams(candidates, query, &pace()).iter().map(|choice| choice.index).collect()
}

#[test]
fn at_rest_and_with_new_reports_all_are_looked_at() {
    let names = names();
    let quiet: Vec<_> = names.iter().map(|name| facts(name, 2)).collect();
    assert_eq!(looked_at(&quiet, &query(NEWS_AGE, 0, 0.3)).len(), UPSTREAMS);
    let busy: Vec<_> = names.iter().map(|name| facts(name, 20)).collect();
    assert_eq!(looked_at(&busy, &query(Duration::ZERO, 0, 0.3)).len(), UPSTREAMS);
}

#[test]
fn the_more_come_between_two_reports_the_fewer_are_looked_at() {
    let names = names();
    let width = |in_flight| {
        let candidates: Vec<_> = names.iter().map(|name| facts(name, in_flight)).collect();
        looked_at(&candidates, &query(NEWS_AGE, 0, 0.3)).len()
    };
    assert!(width(6) < UPSTREAMS && width(6) > width(12), "{} {}", width(6), width(12));
    assert!((2..=3).contains(&width(100)), "{}", width(100));
}

/// One upstream looks empty to all. Decided by the least cost of all it would get every request of the interval.
#[test]
fn what_looks_empty_to_all_does_not_get_everything() {
    let names = names();
    let mut candidates: Vec<_> = names.iter().map(|name| facts(name, 20)).collect();
    candidates[7] = facts(&names[7], 13);
    let draws = 1_000;
    let taken = |report_age| {
        let chosen = |step: usize| {
            let draw = (f64::from(step as u32) * 0.618_034).fract();
            let priced = price_upstreams(&candidates, &query(report_age, 0, draw), &pace());
            priced.iter().min_by(|left, right| left.cost.0.total_cmp(&right.cost.0)).unwrap().index
        };
        (0..draws).filter(|step| chosen(*step) == 7).count()
    };
    assert_eq!(taken(Duration::ZERO), draws);
    let old = taken(NEWS_AGE);
    assert!(old > draws / UPSTREAMS && old < draws / 3, "{old}");
}

#[test]
fn an_upstream_that_holds_a_long_prompt_is_always_looked_at() {
    let names = names();
    let mut candidates: Vec<_> = names.iter().map(|name| facts(name, 20)).collect();
    for holder in [3, 30] {
        candidates[holder].cached_tokens = 9_000;
    }
    for step in 0..50 {
        let looked_at = looked_at(&candidates, &query(NEWS_AGE, 9_000, f64::from(step) / 50.0));
        assert!(looked_at.contains(&3) && looked_at.contains(&30), "{looked_at:?}");
    }
}

/// What a VM is told may lack those that are cut off from it. An upstream that declines has more than was told, and
/// empties no faster than it works.
#[test]
fn an_upstream_that_declined_counts_as_full_until_it_can_have_emptied() {
    let hold = Duration::from_millis(250);
    let told = QueueState { slots: SLOTS, in_flight: 14, ..QueueState::default() };
    let mut room = QueueCapacity::default();
    room.record_accepted(QueueState { in_flight: 40, ..told });
    let mut pace = UpstreamPerformance::default();
    let begun = MonoTime::from_millis(10_000);
    assert_eq!(pace.queue_after_refusal(told, hold, begun).in_flight, 14);
    pace.record_queue_full(room.full_queue_load(told), begun);
    let after =
        |ms| pace.queue_after_refusal(told, hold, begun + Duration::from_millis(ms)).in_flight;
    assert_eq!((after(0), after(250), after(2_000)), (41, 29, 14));
}
