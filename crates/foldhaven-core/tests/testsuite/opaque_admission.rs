//! Admission: which requests are refused, the order of requests, and when callers should retry.

use std::time::Duration;

use foldhaven_core::opaque::admission::{
    AdmissionError, DestinationEstimate, TimeLimits, admit, retry_after,
};
use foldhaven_core::opaque::choice::CostBreakdown;
use foldhaven_core::opaque::performance::{QueueState, ServicePerformance};
use foldhaven_core::opaque::queue_capacity::QueueCapacity;
use foldhaven_core::opaque::queue_rank::{PrefillBacklog, QueueRank};
use rstest::rstest;

fn estimate(first_ms: u64, prefill_interference: f64) -> DestinationEstimate {
    let breakdown = CostBreakdown { prefill_interference, ..CostBreakdown::default() };
    DestinationEstimate {
        time_to_first: Duration::from_millis(first_ms),
        breakdown,
        rank: QueueRank::Timely,
        queue: QueueState { slots: 12, ..QueueState::default() },
        is_full: false,
    }
}

fn limits(remaining_ms: u64) -> TimeLimits {
    let target = Duration::from_millis(800);
    TimeLimits { target, waited: Duration::ZERO, remaining: Duration::from_millis(remaining_ms) }
}

#[rstest]
#[case::in_time(estimate(300, 0.0), Ok(()))]
#[case::late_but_before_the_deadline(estimate(2_500, 0.0), Ok(()))]
#[case::after_the_deadline(estimate(3_100, 0.0), Err(AdmissionError::TooLate))]
#[case::costs_half_of_another_request(estimate(300, 0.5), Ok(()))]
#[case::costs_more_than_its_value(estimate(300, 1.5), Err(AdmissionError::TooMuchInterference))]
#[case::late_and_costs_half_of_another_request(
    estimate(1_500, 0.5),
    Err(AdmissionError::TooMuchInterference)
)]
fn estimates_decide_on_admission(
    #[case] estimate: DestinationEstimate,
    #[case] expected: Result<(), AdmissionError>,
) {
    assert_eq!(admit(&estimate, limits(3_000)), expected);
}

/// In an overload, requests that are certain to be late are deferred. They still occupy the queue,
/// so an upstream gets no more of them than it has slots.
#[rstest]
#[case::timely(QueueRank::Timely, 30, false, Ok(()))]
#[case::few_deferred(QueueRank::Deferred, 11, false, Ok(()))]
#[case::many_deferred(QueueRank::Deferred, 12, false, Err(AdmissionError::TooManyDeferred))]
#[case::all_queues_full(QueueRank::Timely, 0, true, Err(AdmissionError::Full))]
fn in_an_overload_few_deferred_requests_are_admitted(
    #[case] rank: QueueRank,
    #[case] deferred: u32,
    #[case] is_full: bool,
    #[case] expected: Result<(), AdmissionError>,
) {
    let queue = QueueState { slots: 12, in_flight: 40, deferred, ..QueueState::default() };
    let estimate = DestinationEstimate { rank, queue, is_full, ..estimate(700, 0.0) };
    assert_eq!(admit(&estimate, limits(3_000)), expected);
}

#[test]
fn timely_requests_do_not_wait_for_deferred_ones() {
    let queue = QueueState { slots: 12, in_flight: 40, deferred: 20, ..QueueState::default() };
    assert_eq!(queue.ahead_of(QueueRank::Timely), 20);
    assert_eq!(queue.ahead_of(QueueRank::Deferred), 40);
    let performance = ServicePerformance::default();
    assert!(
        performance.wait(queue, QueueRank::Timely) < performance.wait(queue, QueueRank::Deferred)
    );
}

/// Upstreams accept up to 48 requests. By the inexact view of this VM, an upstream has 40 to 56
/// requests when it refuses one, and up to 47 when it accepts one.
#[test]
fn the_queue_capacity_is_learned_from_refusals() {
    let queue = |in_flight| QueueState { slots: 12, in_flight, ..QueueState::default() };
    let mut capacity = QueueCapacity::default();
    assert!(!capacity.is_full(queue(1_000)), "no refusal was recorded");
    capacity.record_refused(queue(3));
    assert!(!capacity.is_full(queue(1_000)), "the refusal had another reason");
    for round in 0..400 {
        capacity.record_refused(queue(40 + round % 17));
        capacity.record_accepted(queue(round % 48));
    }
    assert!(!capacity.is_full(queue(34)), "{capacity:?}");
    assert!(capacity.is_full(queue(50)), "{capacity:?}");
    (0..100).for_each(|_| capacity.record_accepted(queue(99)));
    assert!(!capacity.is_full(queue(90)), "the limit rises if upstreams accept more");
}

#[test]
fn the_retry_time_follows_the_queue() {
    let wait = |first_ms| retry_after(&estimate(first_ms, 0.0), limits(3_000));
    assert_eq!(wait(4_400), Duration::from_millis(3_600));
    assert_eq!(wait(100), Duration::ZERO);
}

#[test]
fn only_the_backlog_ahead_of_a_request_counts() {
    let one = PrefillBacklog { timely: 100, deferred: 10_000 };
    let backlog = one.plus(PrefillBacklog { timely: 1_000, deferred: 0 });
    assert_eq!(backlog.ahead_of(QueueRank::Timely), 1_100);
    assert_eq!(backlog.ahead_of(QueueRank::Deferred), 11_100);
    assert_eq!(backlog.times(0.5).ahead_of(QueueRank::Timely), 550);
    let full = PrefillBacklog { timely: u32::MAX, deferred: u32::MAX };
    assert_eq!(full.plus(full).ahead_of(QueueRank::Deferred), u32::MAX, "sums saturate");
}
