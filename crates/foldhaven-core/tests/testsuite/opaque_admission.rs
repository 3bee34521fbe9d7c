//! Which requests are refused at once, what goes before what, and when the refused come back.

use std::time::Duration;

use foldhaven_core::opaque::admission::{
    AdmissionError, DestinationEstimate, TimeLimits, admit, retry_after,
};
use foldhaven_core::opaque::choice::CostBreakdown;
use foldhaven_core::opaque::performance::{QueueState, ServicePerformance};
use foldhaven_core::opaque::queue_capacity::QueueCapacity;
use foldhaven_core::opaque::queue_rank::{PrefillBacklog, QueueRank};
use rstest::rstest;

fn offer(first_ms: u64, prefill_interference: f64) -> DestinationEstimate {
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
#[case::in_time(offer(300, 0.0), Ok(()))]
#[case::late_but_wanted(offer(2_500, 0.0), Ok(()))]
#[case::after_its_caller_has_left(offer(3_100, 0.0), Err(AdmissionError::TooLate))]
#[case::breaks_half_of_another(offer(300, 0.5), Ok(()))]
#[case::breaks_more_than_it_is_worth(offer(300, 1.5), Err(AdmissionError::TooMuchInterference))]
#[case::late_and_breaks_another(offer(1_500, 0.5), Err(AdmissionError::TooMuchInterference))]
fn one_decision(#[case] offer: DestinationEstimate, #[case] expected: Result<(), AdmissionError>) {
    assert_eq!(admit(&offer, limits(3_000)), expected);
}

/// A peak of which a part cannot be served: what is sure to be late waits behind all others, but takes places of
/// the queue, so that no more of it is let in than an upstream runs at once.
#[rstest]
#[case::timely(QueueRank::Timely, 30, false, Ok(()))]
#[case::few_late_ones(QueueRank::Deferred, 11, false, Ok(()))]
#[case::many_late_ones(QueueRank::Deferred, 12, false, Err(AdmissionError::TooManyDeferred))]
#[case::all_places_full(QueueRank::Timely, 0, true, Err(AdmissionError::Full))]
fn in_a_peak_those_are_let_in_that_take_nothing_from_others(
    #[case] rank: QueueRank,
    #[case] deferred: u32,
    #[case] is_full: bool,
    #[case] expected: Result<(), AdmissionError>,
) {
    let queue = QueueState { slots: 12, in_flight: 40, deferred, ..QueueState::default() };
    let offer = DestinationEstimate { rank, queue, is_full, ..offer(700, 0.0) };
    assert_eq!(admit(&offer, limits(3_000)), expected);
}

#[test]
fn requests_do_not_wait_for_places_of_those_behind_them() {
    let queue = QueueState { slots: 12, in_flight: 40, deferred: 20, ..QueueState::default() };
    assert_eq!(queue.ahead_of(QueueRank::Timely), 20);
    assert_eq!(queue.ahead_of(QueueRank::Deferred), 40);
    let pace = ServicePerformance::default();
    assert!(pace.wait(queue, QueueRank::Timely) < pace.wait(queue, QueueRank::Deferred));
}

/// Upstreams that take 48 requests are believed to have 40 to 56 when they decline one, and up to 47 when they
/// take one.
#[test]
fn the_room_of_upstreams_is_learnt_from_what_they_decline() {
    let queue = |in_flight| QueueState { slots: 12, in_flight, ..QueueState::default() };
    let mut room = QueueCapacity::default();
    assert!(!room.is_full(queue(1_000)), "nothing is known");
    room.record_refused(queue(3));
    assert!(!room.is_full(queue(1_000)), "it had another reason");
    for round in 0..400 {
        room.record_refused(queue(40 + round % 17));
        room.record_accepted(queue(round % 48));
    }
    assert!(!room.is_full(queue(34)), "{room:?}");
    assert!(room.is_full(queue(50)), "{room:?}");
    (0..100).for_each(|_| room.record_accepted(queue(99)));
    assert!(!room.is_full(queue(90)), "upstreams that take more are noticed");
}

#[test]
fn the_time_to_come_back_follows_the_queue() {
    let wait = |first| retry_after(&offer(first, 0.0), limits(3_000));
    assert_eq!(wait(4_400), Duration::from_millis(3_600));
    assert_eq!(wait(100), Duration::ZERO);
}

#[test]
fn requests_wait_only_for_those_that_go_before_them() {
    let one = PrefillBacklog { timely: 100, deferred: 10_000 };
    let unread = one.plus(PrefillBacklog { timely: 1_000, deferred: 0 });
    assert_eq!(unread.ahead_of(QueueRank::Timely), 1_100);
    assert_eq!(unread.ahead_of(QueueRank::Deferred), 11_100);
    assert_eq!(unread.times(0.5).ahead_of(QueueRank::Timely), 550);
    let full = PrefillBacklog { timely: u32::MAX, deferred: u32::MAX };
    assert_eq!(full.plus(full).ahead_of(QueueRank::Deferred), u32::MAX, "nothing wraps round");
}
