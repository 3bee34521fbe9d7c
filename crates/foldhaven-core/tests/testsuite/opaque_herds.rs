//! Many VMs that decide on the same old news: in a peak all of them take the few upstreams that the last reports
//! show as the cheapest, and fill these while others have places.

use std::collections::BTreeSet;
use std::time::Duration;

use foldhaven_core::ids::UpstreamName;
use foldhaven_core::opaque::choice::{ChoiceQuery, UpstreamFacts, price_upstreams};
use foldhaven_core::opaque::pace::{QueueFacts, ServicePace, UpstreamPace};
use foldhaven_core::opaque::queue_room::QueueRoom;
use foldhaven_core::time::MonoTime;

/// A region as it is in such a peak: 46 upstreams of 12 slots, news that are 80 ms old.
const UPSTREAMS: usize = 46;
const SLOTS: u32 = 12;
const NEWS_AGE: Duration = Duration::from_millis(80);

fn names() -> Vec<UpstreamName> {
    (0..UPSTREAMS).map(|at| format!("up-{at}").parse().unwrap()).collect()
}

fn facts(name: &UpstreamName, in_flight: u32) -> UpstreamFacts<'_> {
    UpstreamFacts {
        name,
        queue: QueueFacts { slots: SLOTS, in_flight, whole: in_flight, ..QueueFacts::default() },
        factor: 1.0,
        failures: 0.0,
        long_pauses: 0.0,
        move_cost: 0.0,
        held_tokens: 0,
        is_suspect: false,
        is_held_back: false,
        is_tried: false,
    }
}

fn query(news_age: Duration, shared_tokens: u32, draw: f64) -> ChoiceQuery {
    ChoiceQuery {
        target: Duration::from_millis(800),
        waited: Duration::ZERO,
        event_gap: None,
        events: 3.0,
        size: 800,
        shared_tokens,
        own_tokens: 300,
        meeting_key: None,
        news_age,
        draw,
    }
}

fn pace() -> ServicePace {
    ServicePace { hold: Duration::from_millis(250), ..ServicePace::default() }
}

/// The upstreams that are looked at by one draw.
fn looked_at(candidates: &[UpstreamFacts<'_>], query: &ChoiceQuery) -> BTreeSet<usize> {
    price_upstreams(candidates, query, &pace()).iter().map(|choice| choice.at).collect()
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
    let taken = |news_age| {
        let chosen = |step: usize| {
            let draw = (f64::from(step as u32) * 0.618_034).fract();
            let priced = price_upstreams(&candidates, &query(news_age, 0, draw), &pace());
            priced.iter().min_by(|left, right| left.cost.0.total_cmp(&right.cost.0)).unwrap().at
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
        candidates[holder].held_tokens = 9_000;
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
    let told = QueueFacts { slots: SLOTS, in_flight: 14, ..QueueFacts::default() };
    let mut room = QueueRoom::default();
    room.note_taken(QueueFacts { in_flight: 40, ..told });
    let mut pace = UpstreamPace::default();
    let begun = MonoTime::from_millis(10_000);
    assert_eq!(pace.queue_beyond(told, hold, begun).in_flight, 14);
    pace.note_full(room.load_of_full(told), begun);
    let after = |ms| pace.queue_beyond(told, hold, begun + Duration::from_millis(ms)).in_flight;
    assert_eq!((after(0), after(250), after(2_000)), (41, 29, 14));
}
