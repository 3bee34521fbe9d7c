//! Estimates learned from measurements of upstreams, routes and connections, and how fast they
//! adapt.

use std::time::Duration;

use foldhaven_core::opaque::choice::long_pause_probability;
use foldhaven_core::opaque::event_interval::EventIntervalModel;
use foldhaven_core::opaque::pause_statistics::PauseStatistics;
use foldhaven_core::opaque::performance::UpstreamPerformance;
use foldhaven_core::opaque::prefill_rate::PrefillRate;
use foldhaven_core::opaque::round_trip::RoundTrip;
use foldhaven_core::opaque::route_history::RouteHistory;
use foldhaven_core::time::MonoTime;
use rstest::rstest;

use crate::opaque_support::at;

const MS: fn(u64) -> Duration = Duration::from_millis;

/// The engines have 0.2, 1 and 5 times the initially assumed prefill rate.
#[rstest]
#[case(9_000.0)]
#[case(45_000.0)]
#[case(225_000.0)]
fn the_prefill_rate_is_learned_within_a_second_of_traffic(#[case] rate: f64) {
    let mut rate_estimate = PrefillRate::default();
    // 25 prompts of typical sizes: one second of requests at one VM.
    for number in 0..25 {
        let tokens = 1_000 + 400 * (number % 7);
        rate_estimate.record(tokens, Duration::from_secs_f64(f64::from(tokens) / rate));
    }
    assert!(
        (rate_estimate.rate() / rate - 1.0).abs() < 0.35,
        "{} for {rate}",
        rate_estimate.rate()
    );
}

#[test]
fn changed_rates_are_followed_and_short_prompts_are_ignored() {
    let mut rate_estimate = PrefillRate::default();
    (0..200).for_each(|_| rate_estimate.record(4_000, MS(400)));
    assert!((rate_estimate.rate() - 10_000.0).abs() < 300.0, "{}", rate_estimate.rate());
    (0..200).for_each(|_| rate_estimate.record(50, MS(400)));
    assert!((rate_estimate.rate() - 10_000.0).abs() < 300.0, "{}", rate_estimate.rate());
    (0..200).for_each(|_| rate_estimate.record(4_000, MS(100)));
    assert!(rate_estimate.rate() > 35_000.0, "{}", rate_estimate.rate());
}

#[test]
fn event_intervals_grow_with_the_load_of_the_upstream() {
    let mut model = EventIntervalModel::default();
    assert_eq!((model.interval(10.0), model.slope()), (0.0, 0.0), "no stream was recorded");
    for load in [4, 9, 14, 22, 31, 40] {
        model.record(MS(20 + 2 * load), load as f64);
    }
    assert!((model.interval(10.0) - 0.040).abs() < 0.001, "{}", model.interval(10.0));
    assert!((model.slope() - 0.002).abs() < 0.0001, "{}", model.slope());
}

/// Whatever was measured, more requests never shorten the intervals of others, and intervals are
/// not negative.
#[rstest]
#[case(&[(30, 5), (30, 5), (30, 5)])]
#[case(&[(90, 2), (30, 40), (20, 60)])]
#[case(&[(1, 10), (500, 11), (1, 12)])]
#[case(&[(40, 0), (40, 0)])]
fn event_intervals_stay_plausible(#[case] streams: &[(u64, u64)]) {
    let mut model = EventIntervalModel::default();
    streams.iter().for_each(|(millis, load)| model.record(MS(*millis), *load as f64));
    assert!(model.slope() >= 0.0);
    for load in 0..100 {
        let (less, more) = (model.interval(f64::from(load)), model.interval(f64::from(load + 1)));
        assert!(less >= 0.0 && more >= less, "{less} {more}");
    }
}

#[test]
fn the_shortest_recent_round_trip_counts() {
    let mut round_trip = RoundTrip::default();
    assert_eq!(round_trip.shortest(), None);
    round_trip.record(MS(1_160), at(0));
    assert_eq!(round_trip.shortest(), Some(MS(1_160)), "the first packet was lost");
    round_trip.record(MS(160), at(10));
    round_trip.record(MS(300), at(20));
    assert_eq!(round_trip.shortest(), Some(MS(160)));
    round_trip.record(MS(240), at(40_000));
    assert_eq!(round_trip.shortest(), Some(MS(160)), "the previous window counts");
    round_trip.record(MS(240), at(120_000));
    assert_eq!(round_trip.shortest(), Some(MS(240)), "the round trip has changed");
}

#[test]
fn a_route_history_learns_usual_failures_and_events() {
    let mut history = RouteHistory::default();
    assert_eq!((history.failure_share(), history.usual_event_count()), (0.0, 0.0));
    (0..100).for_each(|number| history.record_outcome(number % 7 == 0));
    assert!((history.failure_share() - 1.0 / 7.0).abs() < 0.02, "{}", history.failure_share());
    (0..10).for_each(|_| history.record_event_count(40));
    assert!((history.usual_event_count() - 40.0).abs() < 0.1);
}

/// If 14 in 100 requests fail at every upstream of a service, no upstream should be avoided. One
/// that fails far more often should be.
#[test]
fn only_failures_beyond_the_usual_share_count() {
    let now = MonoTime::from_millis(10_000);
    let mut performance = UpstreamPerformance::default();
    (0..300).for_each(|number| performance.record_end(number % 7 == 0, 1.0 / 7.0, now));
    assert!(performance.failure_share(now) < 0.1, "{}", performance.failure_share(now));
    (0..30).for_each(|number| performance.record_end(number % 2 == 0, 1.0 / 7.0, now));
    assert!(performance.failure_share(now) > 0.25, "{}", performance.failure_share(now));
}

#[test]
fn long_pauses_are_detected_quickly_and_forgotten() {
    let now = MonoTime::from_millis(10_000);
    let mut performance = UpstreamPerformance::default();
    assert_eq!(performance.long_pause_share(now), 0.0);
    (0..100).for_each(|number| performance.record_pause(number % 10 == 0, now));
    let probability = long_pause_probability(performance.long_pause_share(now), 42.0);
    assert!(
        probability > 0.9,
        "{probability}: one long pause in ten affects almost every stream of 42 events"
    );
    assert!(long_pause_probability(performance.long_pause_share(now), 3.0) < 0.4);
    assert!(performance.long_pause_share(now + Duration::from_secs(20)) < 0.01);
}

/// The counted share of long pauses replaces the prior probability.
#[test]
fn counted_pauses_outweigh_the_prior() {
    let mut statistics = PauseStatistics::default();
    assert_eq!(statistics.long_pause_probability(20_000, 0.9), 0.9);
    (0..1_000).for_each(|_| statistics.record(20_000, false));
    assert!(
        statistics.long_pause_probability(20_000, 0.9) < 0.15,
        "{}",
        statistics.long_pause_probability(20_000, 0.9)
    );
    assert_eq!(
        statistics.long_pause_probability(1_000, 0.9),
        0.9,
        "other backlogs are counted separately"
    );
    (0..1_000).for_each(|_| statistics.record(20_000, true));
    assert!(
        statistics.long_pause_probability(20_000, 0.0) > 0.7,
        "{}",
        statistics.long_pause_probability(20_000, 0.0)
    );
}

// Guards against requests that a VM takes shortly before its exit because most are short, and against
// a single long one that counts for ever.
#[test]
fn the_longest_duration_of_a_route_declines_slowly() {
    let mut history = RouteHistory::default();
    assert_eq!(history.longest_duration(), None);
    history.record_duration(Duration::from_secs(4));
    for _ in 0..20 {
        history.record_duration(Duration::from_millis(500));
    }
    let longest = history.longest_duration().expect("there were answers");
    assert!(longest > Duration::from_secs(3), "{longest:?}");
    for _ in 0..1_000 {
        history.record_duration(Duration::from_millis(500));
    }
    let longest = history.longest_duration().expect("there were answers");
    assert!(longest < Duration::from_millis(510), "{longest:?}");
    history.record_duration(Duration::from_secs(2));
    assert_eq!(history.longest_duration(), Some(Duration::from_secs(2)));
}
