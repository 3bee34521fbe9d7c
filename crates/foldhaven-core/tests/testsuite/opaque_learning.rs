//! What is learnt of upstreams, routes and ways from what they do, and how fast.

use std::time::Duration;

use foldhaven_core::opaque::choice::chance_of_long_pause;
use foldhaven_core::opaque::event_pace::EventPace;
use foldhaven_core::opaque::pace::UpstreamPace;
use foldhaven_core::opaque::pause_book::PauseBook;
use foldhaven_core::opaque::reading_pace::ReadingPace;
use foldhaven_core::opaque::round_trip::RoundTrip;
use foldhaven_core::opaque::route_history::RouteHistory;
use foldhaven_core::time::MonoTime;
use rstest::rstest;

use crate::opaque_support::at;

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Engines of a fifth to five times the speed that is believed at first.
#[rstest]
#[case(9_000.0)]
#[case(45_000.0)]
#[case(225_000.0)]
fn the_reading_speed_is_learnt_within_a_second_of_traffic(#[case] rate: f64) {
    let mut pace = ReadingPace::default();
    // 25 prompts of usual sizes: a second of requests at one VM.
    for number in 0..25 {
        let tokens = 1_000 + 400 * (number % 7);
        pace.note(tokens, Duration::from_secs_f64(f64::from(tokens) / rate));
    }
    assert!((pace.rate() / rate - 1.0).abs() < 0.35, "{} for {rate}", pace.rate());
}

#[test]
fn a_speed_that_changes_is_followed_and_short_prompts_say_nothing() {
    let mut pace = ReadingPace::default();
    (0..200).for_each(|_| pace.note(4_000, MS(400)));
    assert!((pace.rate() - 10_000.0).abs() < 300.0, "{}", pace.rate());
    (0..200).for_each(|_| pace.note(50, MS(400)));
    assert!((pace.rate() - 10_000.0).abs() < 300.0, "{}", pace.rate());
    (0..200).for_each(|_| pace.note(4_000, MS(100)));
    assert!(pace.rate() > 35_000.0, "{}", pace.rate());
}

#[test]
fn events_slow_down_with_the_requests_of_their_upstream() {
    let mut pace = EventPace::default();
    assert_eq!((pace.between(10.0), pace.slope()), (0.0, 0.0), "nothing is known yet");
    for load in [4, 9, 14, 22, 31, 40] {
        pace.note(MS(20 + 2 * load), load as f64);
    }
    assert!((pace.between(10.0) - 0.040).abs() < 0.001, "{}", pace.between(10.0));
    assert!((pace.slope() - 0.002).abs() < 0.0001, "{}", pace.slope());
}

/// Whatever was measured, more requests never make the events of others faster, and times stay positive.
#[rstest]
#[case(&[(30, 5), (30, 5), (30, 5)])]
#[case(&[(90, 2), (30, 40), (20, 60)])]
#[case(&[(1, 10), (500, 11), (1, 12)])]
#[case(&[(40, 0), (40, 0)])]
fn the_pace_of_events_stays_sound(#[case] streams: &[(u64, u64)]) {
    let mut pace = EventPace::default();
    streams.iter().for_each(|(millis, load)| pace.note(MS(*millis), *load as f64));
    assert!(pace.slope() >= 0.0);
    for load in 0..100 {
        let (less, more) = (pace.between(f64::from(load)), pace.between(f64::from(load + 1)));
        assert!(less >= 0.0 && more >= less, "{less} {more}");
    }
}

#[test]
fn the_shortest_way_counts_and_an_old_one_is_forgotten() {
    let mut way = RoundTrip::default();
    assert_eq!(way.shortest(), None);
    way.note(MS(1_160), at(0));
    assert_eq!(way.shortest(), Some(MS(1_160)), "its first packet was lost");
    way.note(MS(160), at(10));
    way.note(MS(300), at(20));
    assert_eq!(way.shortest(), Some(MS(160)));
    way.note(MS(240), at(40_000));
    assert_eq!(way.shortest(), Some(MS(160)), "the span before counts");
    way.note(MS(240), at(120_000));
    assert_eq!(way.shortest(), Some(MS(240)), "the way has changed");
}

#[test]
fn a_route_tells_what_is_usual_for_it() {
    let mut history = RouteHistory::default();
    assert_eq!((history.failure_share(), history.usual_event_count()), (0.0, 0.0));
    (0..100).for_each(|number| history.record_outcome(number % 7 == 0));
    assert!((history.failure_share() - 1.0 / 7.0).abs() < 0.02, "{}", history.failure_share());
    (0..10).for_each(|_| history.record_event_count(40));
    assert!((history.usual_event_count() - 40.0).abs() < 0.1);
}

/// A service whose every upstream fails 14 in 100 by nature is no reason to leave one of them; one that
/// fails far more often is.
#[test]
fn only_failures_beyond_the_usual_ones_count() {
    let now = MonoTime::from_millis(10_000);
    let mut pace = UpstreamPace::default();
    (0..300).for_each(|number| pace.note_end(number % 7 == 0, 1.0 / 7.0, now));
    assert!(pace.failure_share(now) < 0.1, "{}", pace.failure_share(now));
    (0..30).for_each(|number| pace.note_end(number % 2 == 0, 1.0 / 7.0, now));
    assert!(pace.failure_share(now) > 0.25, "{}", pace.failure_share(now));
}

#[test]
fn long_pauses_are_noticed_within_some_events_and_forgotten_in_time() {
    let now = MonoTime::from_millis(10_000);
    let mut pace = UpstreamPace::default();
    assert_eq!(pace.long_pauses(now), 0.0);
    (0..100).for_each(|number| pace.note_pause(number % 10 == 0, now));
    let chance = chance_of_long_pause(pace.long_pauses(now), 42.0);
    assert!(chance > 0.9, "{chance}: one pause in ten meets every stream of 42 events");
    assert!(chance_of_long_pause(pace.long_pauses(now), 3.0) < 0.4);
    assert!(pace.long_pauses(now + Duration::from_secs(20)) < 0.01);
}

/// Whether reading breaks pauses is counted: the guess that was made before any were counted gives way.
#[test]
fn counted_pauses_outweigh_the_guess() {
    let mut book = PauseBook::default();
    assert_eq!(book.chance(20_000, 0.9), 0.9);
    (0..1_000).for_each(|_| book.note(20_000, false));
    assert!(book.chance(20_000, 0.9) < 0.15, "{}", book.chance(20_000, 0.9));
    assert_eq!(book.chance(1_000, 0.9), 0.9, "other queues are counted apart");
    (0..1_000).for_each(|_| book.note(20_000, true));
    assert!(book.chance(20_000, 0.0) > 0.7, "{}", book.chance(20_000, 0.0));
}
