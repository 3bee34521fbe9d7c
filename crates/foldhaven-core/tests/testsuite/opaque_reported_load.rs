//! The load that upstreams tell in their answers: what is read, for how long it counts, and that it
//! never counts against what is measured.

use std::time::Duration;

use foldhaven_core::opaque::performance::QueueState;
use foldhaven_core::opaque::reported_load::{LoadReading, ParseLoadError, ReportedLoad};
use foldhaven_core::opaque::short_slowdown::SlowdownMonitor;
use foldhaven_core::opaque::upstream_signals::AnswerTiming;
use rstest::rstest;

use crate::opaque_support::at;

const SLOT_TIME: Duration = Duration::from_millis(60);

fn queue(in_flight: u32) -> QueueState {
    QueueState { slots: 6, in_flight, ..QueueState::default() }
}

/// Returns a load that was told in an answer received at a time, to a request sent 50 ms before.
fn reported(text: &str, received_ms: u64) -> ReportedLoad {
    let mut load = ReportedLoad::default();
    let timing = AnswerTiming { sent: at(received_ms - 50), received: at(received_ms) };
    load.record(text.parse().unwrap(), timing);
    load
}

// Guards against a malformed header that moves requests.
#[rstest]
#[case::empty("", ParseLoadError::FieldCount)]
#[case::short("3,1", ParseLoadError::FieldCount)]
#[case::long("3,1,6,100,7", ParseLoadError::FieldCount)]
#[case::words("many,few,6", ParseLoadError::NotANumber)]
#[case::negative("-1,0,6", ParseLoadError::NotANumber)]
#[case::beyond_range("3,99999999999,6", ParseLoadError::NotANumber)]
#[case::empty_percentage("3,1,6,", ParseLoadError::NotANumber)]
#[case::no_slots("0,0,0", ParseLoadError::Implausible)]
#[case::more_than_slots("7,0,6", ParseLoadError::Implausible)]
#[case::an_absurd_queue("6,97,6", ParseLoadError::Implausible)]
#[case::a_billion_slots("6,0,1000000000", ParseLoadError::Implausible)]
#[case::a_billion_waiting("6,1000000000,6", ParseLoadError::Implausible)]
#[case::not_a_percentage("3,1,6,NaN", ParseLoadError::Implausible)]
#[case::infinitely_slow("3,1,6,inf", ParseLoadError::Implausible)]
#[case::infinitely_fast("3,1,6,0", ParseLoadError::Implausible)]
fn malformed_loads_are_rejected(#[case] text: &str, #[case] expected: ParseLoadError) {
    assert_eq!(text.parse::<LoadReading>(), Err(expected));
}

#[rstest]
#[case::without_a_percentage("3,1,6", None)]
#[case::with_a_percentage(" 3, 1 ,6, 250 ", Some(2.5))]
fn loads_are_read(#[case] text: &str, #[case] slowness: Option<f64>) {
    let expected = LoadReading { running: 3, waiting: 1, slots: 6, slowness };
    assert_eq!(text.parse(), Ok(expected));
}

// Guards against changed choices where upstreams tell nothing.
#[test]
fn without_a_reported_load_nothing_changes() {
    let load = ReportedLoad::default();
    assert_eq!(load.queue(queue(3), SLOT_TIME, at(0)), queue(3));
    let mut monitor = SlowdownMonitor::default();
    monitor.record(Duration::from_millis(100), Duration::from_millis(40), at(0));
    assert_eq!(load.slowdown(&monitor, 1, at(10)), monitor.factor(1, at(10)));
}

// Guards against queues that look empty because the VMs that fill them are not heard.
#[test]
fn reported_requests_count_until_they_have_probably_ended() {
    let load = reported("6,12,6", 1_000);
    let in_flight = |known, now_ms| load.queue(queue(known), SLOT_TIME, at(now_ms)).in_flight;
    assert_eq!(in_flight(2, 1_000), 18);
    assert_eq!(in_flight(2, 1_120), 6, "twelve have ended");
    assert_eq!(in_flight(2, 1_600), 2);
    assert_eq!(in_flight(20, 1_000), 20, "fewer than known");
    let stuck = load.queue(queue(2), Duration::from_secs(60), at(2_000));
    assert_eq!(stuck.in_flight, 2, "an old figure of slow work");
}

// Guards against an old answer that arrives last and replaces a newer figure.
#[test]
fn the_answer_to_the_request_sent_last_counts() {
    let mut load = reported("6,12,6", 1_000);
    let late = AnswerTiming { sent: at(900), received: at(1_010) };
    assert!(!load.record("0,0,6".parse().unwrap(), late));
    assert_eq!(load.queue(queue(0), SLOT_TIME, at(1_000)).in_flight, 18);
    let newer = AnswerTiming { sent: at(990), received: at(1_020) };
    assert!(load.record("0,0,6".parse().unwrap(), newer));
    assert_eq!(load.queue(queue(0), SLOT_TIME, at(1_020)).in_flight, 0);
}

#[test]
fn a_reported_slowdown_fades() {
    let load = reported("3,0,6,300", 1_000);
    let factor = |now_ms| load.slowdown(&SlowdownMonitor::default(), 0, at(now_ms)).value();
    assert!((factor(1_000) - 3.0).abs() < 1e-9);
    assert!((factor(1_125) - 2.0).abs() < 1e-9);
    assert_eq!(factor(1_250), 1.0);
    assert_eq!(
        reported("3,0,6,2000", 1_000).slowdown(&SlowdownMonitor::default(), 0, at(1_000)).value(),
        4.0
    );
    let fast = reported("3,0,6,40", 1_000).slowdown(&SlowdownMonitor::default(), 0, at(1_000));
    assert_eq!(fast.value(), 1.0, "a short rest of others is no lasting speed");
}

// Guards against a told figure that hides a slowdown seen on streams, or outlives its end.
#[test]
fn measurements_go_before_reported_figures() {
    let expected = Duration::from_millis(40);
    let mut monitor = SlowdownMonitor::default();
    monitor.record(expected.mul_f64(3.0), expected, at(990));
    let as_usual = reported("3,0,6,100", 1_000);
    assert_eq!(as_usual.slowdown(&monitor, 1, at(1_010)), monitor.factor(1, at(1_010)));
    assert!(monitor.factor(1, at(1_010)).value() > 2.5);
    monitor.record(expected, expected, at(1_020));
    let slow = reported("3,0,6,300", 1_000);
    assert_eq!(slow.slowdown(&monitor, 1, at(1_030)).value(), 1.0, "events arrive as usual again");
}
