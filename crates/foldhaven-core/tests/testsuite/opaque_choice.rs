//! Which upstream a request gets, and what is expected of it.

use std::time::Duration;

use foldhaven_core::ids::UpstreamName;
use foldhaven_core::opaque::affinity::{PromptHints, PromptOutline, PromptPlacement, UpstreamTag};
use foldhaven_core::opaque::choice::{ChoiceQuery, RequestCost, UpstreamFacts, choose_upstream};
use foldhaven_core::opaque::pace::{QueueFacts, ServicePace, UpstreamPace};
use foldhaven_core::opaque::patience::CallerPatience;
use foldhaven_core::opaque::queue_rank::{QueueRank, UnreadTokens};
use foldhaven_core::time::MonoTime;
use rstest::rstest;

fn names(count: usize) -> Vec<UpstreamName> {
    (0..count).map(|number| format!("i-{number}").parse().unwrap()).collect()
}

/// The rank of the requests of these tests.
const RANK: QueueRank = QueueRank::Timely;

fn unread(tokens: u32) -> UnreadTokens {
    UnreadTokens { timely: tokens, behind: 0 }
}

fn facts(name: &UpstreamName) -> UpstreamFacts<'_> {
    UpstreamFacts {
        name,
        queue: QueueFacts { slots: 4, ..QueueFacts::default() },
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

/// A request with a shared part of some tokens.
fn query(shared_tokens: u32, meeting_key: Option<u64>, draw: f64) -> ChoiceQuery {
    let target = Duration::from_millis(800);
    let size = shared_tokens + 600;
    let waited = Duration::ZERO;
    let event_gap = None;
    ChoiceQuery {
        target,
        waited,
        event_gap,
        events: 0.0,
        size,
        shared_tokens,
        own_tokens: 100,
        meeting_key,
        news_age: Duration::ZERO,
        draw,
    }
}

fn chosen(candidates: &[UpstreamFacts<'_>], query: ChoiceQuery) -> Option<usize> {
    choose_upstream(candidates, &query, &ServicePace::default()).map(|choice| choice.at)
}

/// The second of three upstreams differs from the others in one respect.
#[rstest]
#[case::is_full(|it: &mut UpstreamFacts<'_>| it.queue.in_flight = 9, false)]
#[case::reads_long_prompts(|it: &mut UpstreamFacts<'_>| it.queue.unread = unread(40_000), false)]
#[case::is_slow(|it: &mut UpstreamFacts<'_>| it.factor = 4.0, false)]
#[case::fails(|it: &mut UpstreamFacts<'_>| it.failures = 0.5, false)]
#[case::is_suspect(|it: &mut UpstreamFacts<'_>| it.is_suspect = true, false)]
#[case::is_held_back(|it: &mut UpstreamFacts<'_>| it.is_held_back = true, false)]
#[case::was_tried(|it: &mut UpstreamFacts<'_>| it.is_tried = true, false)]
#[case::lies_far(|it: &mut UpstreamFacts<'_>| it.move_cost = 0.1, false)]
#[case::holds_the_prompt(|it: &mut UpstreamFacts<'_>| it.held_tokens = 5_000, true)]
fn one_respect_decides(#[case] change: fn(&mut UpstreamFacts<'_>), #[case] is_taken: bool) {
    let names = names(3);
    let mut candidates: Vec<_> = names.iter().map(facts).collect();
    change(&mut candidates[1]);
    for draw in [0.0, 0.4, 0.9] {
        let query = query(5_000, None, draw);
        assert_eq!(chosen(&candidates, query) == Some(1), is_taken, "draw {draw}");
    }
}

#[test]
fn parts_are_taken_over_from_their_holder_where_that_is_possible() {
    let names = names(2);
    let mut candidates: Vec<_> = names.iter().map(facts).collect();
    candidates[0].held_tokens = 5_000;
    candidates[0].queue.unread = unread(60_000);
    let able = ServicePace { fetched_per_s: 400_000.0, ..ServicePace::default() };
    let choice = choose_upstream(&candidates, &query(5_000, None, 0.0), &able).unwrap();
    assert_eq!((choice.at, choice.fetch_from, choice.read_tokens), (1, Some(0), 100));
    let unable = ServicePace::default();
    let choice = choose_upstream(&candidates, &query(5_000, None, 0.0), &unable).unwrap();
    assert_eq!((choice.fetch_from, choice.read_tokens), (None, 5_100));
}

#[test]
fn time_costs_little_before_the_target_and_almost_all_after_it() {
    let target = Duration::from_millis(800);
    let cost = |millis| RequestCost::of_time(Duration::from_millis(millis), target).0;
    assert!(cost(50) < 0.02, "{}", cost(50));
    assert!(cost(300) - cost(200) < 0.05);
    assert!(cost(1_300) > 0.9);
    assert!(cost(3_000) > cost(2_000), "sooner stays better");
}

#[test]
fn suspects_and_tried_ones_are_the_last_resort() {
    let names = names(2);
    let mut candidates: Vec<_> = names.iter().map(facts).collect();
    candidates[0].is_suspect = true;
    candidates[1].is_tried = true;
    assert_eq!(chosen(&candidates, query(0, None, 0.0)), Some(0));
    candidates[0].is_held_back = true;
    assert_eq!(chosen(&candidates, query(0, None, 0.0)), Some(1));
    candidates[1].is_held_back = true;
    assert_eq!(chosen(&candidates, query(0, None, 0.0)), None);
}

#[test]
fn equal_upstreams_share_by_the_draw() {
    let names = names(3);
    let candidates: Vec<_> = names.iter().map(facts).collect();
    let at = |draw| chosen(&candidates, query(0, None, draw));
    assert_eq!((at(0.0), at(0.5), at(0.99)), (Some(0), Some(1), Some(2)));
}

#[test]
fn prompts_that_share_a_start_meet_wherever_they_are_decided() {
    let names = names(5);
    let candidates: Vec<_> = names.iter().map(facts).collect();
    let reversed: Vec<_> = candidates.iter().rev().copied().collect();
    for key in 0..20 {
        let query = |draw| query(9_000, Some(key), draw);
        let one = chosen(&candidates, query(0.1)).map(|at| candidates[at].name);
        let other = chosen(&reversed, query(0.8)).map(|at| reversed[at].name);
        assert_eq!(one, other, "key {key}");
    }
}

#[test]
fn outlines_are_read_or_refused() {
    let outline = PromptOutline::read("5c1e:800, 91bd:410,e440:250").unwrap();
    assert_eq!((outline.shared_tokens(), outline.own_tokens), (1_210, 250));
    let other = PromptOutline::read("5c1e:800,91bd:410,ffff:9").unwrap();
    assert_eq!(outline.meeting_key(), other.meeting_key());
    let swapped = PromptOutline::read("91bd:410,5c1e:800,e440:250").unwrap();
    assert_ne!(outline.meeting_key(), swapped.meeting_key());
    assert_eq!(PromptOutline::read("e440:250").unwrap().meeting_key(), None);
    for text in ["", "5c1e", "5c1e:x,1:2", "a:1,,b:2"] {
        assert_eq!(PromptOutline::read(text), None, "{text:?}");
    }
}

#[test]
fn a_part_counts_as_held_until_others_fill_the_memory() {
    const MEMORY: u64 = 10_000;
    let tag = UpstreamTag(7);
    let place = |text: &str| {
        let outline = PromptOutline::read(text).unwrap();
        PromptPlacement { upstream: tag, shared: outline.shared, own_tokens: outline.own_tokens }
    };
    let first = place("a:1000,own:100");
    let mut hints = PromptHints::default();
    assert_eq!(hints.held_tokens(tag, &first.shared, MEMORY), 0);
    hints.note(&first);
    assert_eq!(hints.held_tokens(tag, &first.shared, MEMORY), 1_000);
    assert_eq!(hints.held_tokens(UpstreamTag(8), &first.shared, MEMORY), 0);
    for number in 0..7 {
        hints.note(&place(&format!("other-{number}:1000,own:100")));
    }
    assert_eq!(hints.held_tokens(tag, &first.shared, MEMORY), 0, "others took its memory");
    hints.note(&first);
    hints.forget(tag);
    assert_eq!(hints.held_tokens(tag, &first.shared, MEMORY), 0, "the process has ended");
}

#[test]
fn a_slow_upstream_is_taken_for_usual_again_after_a_while() {
    let now = MonoTime::from_millis(10_000);
    let (usual, slow) = (Duration::from_millis(50), Duration::from_millis(500));
    let mut pace = UpstreamPace::default();
    (0..10).for_each(|_| pace.note_first(usual, slow, now));
    (0..3).for_each(|_| pace.note_end(true, 0.0, now));
    assert!(pace.factor(now) > 5.0, "{}", pace.factor(now));
    assert!(pace.failure_share(now) > 0.1);
    let later = now + Duration::from_secs(20);
    assert!(pace.factor(later) < 1.1, "{}", pace.factor(later));
    assert!(pace.failure_share(later) < 0.01);
}

#[test]
fn waits_grow_with_full_places_and_unread_prompts() {
    let mut pace = ServicePace::default();
    (0..2_000).for_each(|_| pace.note_hold(Duration::from_millis(100)));
    let queue = |in_flight, pending_tokens| QueueFacts {
        slots: 4,
        in_flight,
        whole: 0,
        behind: 0,
        unread: unread(pending_tokens),
    };
    assert_eq!(pace.wait(queue(3, 0), RANK), Duration::ZERO);
    let full = pace.wait(queue(8, 0), RANK).as_millis();
    assert!((120..=130).contains(&full), "{full}");
    assert!(pace.wait(queue(0, 45_000), RANK) >= Duration::from_millis(990));
}

#[test]
fn what_a_caller_still_gives_tells_how_long_it_has_waited() {
    let mut patience = CallerPatience::default();
    let at = |seconds: u64| MonoTime::from_millis(1_000_000 + seconds * 1_000);
    let secs = Duration::from_secs;
    assert_eq!(patience.note(secs(5), at(0)), Duration::ZERO, "nothing to compare with");
    assert_eq!(patience.note(secs(8), at(1)), Duration::ZERO);
    assert_eq!(patience.note(secs(6), at(2)), secs(2));
    assert_eq!(patience.note(secs(6), at(12)), secs(2), "the span before counts");
    assert_eq!(patience.note(secs(6), at(60)), Duration::ZERO, "callers give less now");
}

/// A request that is late already has nothing to win by speed: it leaves the quick places to others.
#[test]
fn a_late_request_goes_where_it_costs_least() {
    let names = names(2);
    let mut candidates: Vec<_> = names.iter().map(facts).collect();
    candidates[0].held_tokens = 5_000;
    candidates[0].queue.unread = unread(45_000);
    let fresh = query(5_000, None, 0.0);
    let late = ChoiceQuery { waited: Duration::from_secs(3), ..fresh };
    assert_eq!(chosen(&candidates, fresh), Some(1));
    assert_eq!(chosen(&candidates, late), Some(0));
}

/// Found on a day of much load: long prompts were spread over all upstreams, and everywhere streams got
/// one token between two pieces of a prompt.
#[rstest]
#[case::where_none_is_broken(3_000, Some(400), 20, 0)]
#[case::where_many_would_be(30_000, Some(400), 20, 1)]
#[case::where_all_are_late_already(30_000, Some(400), 0, 0)]
#[case::for_requests_that_are_no_streams(30_000, None, 20, 0)]
fn a_long_prompt_goes_where_it_breaks_few_pauses(
    #[case] tokens: u32,
    #[case] gap_ms: Option<u64>,
    #[case] whole: u32,
    #[case] expected: usize,
) {
    let names = names(2);
    let mut candidates: Vec<_> = names.iter().map(facts).collect();
    for candidate in &mut candidates {
        candidate.queue.slots = 64;
    }
    candidates[0].queue.in_flight = 20;
    candidates[0].queue.whole = whole;
    // The other one is a little worse in another respect.
    candidates[1].failures = 0.05;
    let mut query = query(0, None, 0.0);
    query.own_tokens = tokens;
    query.size = tokens;
    query.target = Duration::from_secs(2);
    query.event_gap = gap_ms.map(Duration::from_millis);
    assert_eq!(chosen(&candidates, query), Some(expected));
}
