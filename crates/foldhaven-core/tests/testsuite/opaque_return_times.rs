//! When refused callers are told to come again, and how callers that come are placed.

use std::time::Duration;

use foldhaven_core::opaque::priority_level::PriorityLevel;
use foldhaven_core::opaque::refusal::MAX_RETRY_DELAY;
use foldhaven_core::opaque::request_fingerprint::{FingerprintParts, RequestFingerprint};
use foldhaven_core::opaque::return_times::{
    RegionTurnover, ReturnQuery, ReturnSchedule, ReturnTime, max_respected_delay,
};
use foldhaven_core::opaque::scheduled_returns::{RefusedRequest, ScheduledReturns};
use foldhaven_core::time::MonoTime;

use crate::opaque_support::at;

fn query(level: u8, turnover_per_s: f64) -> ReturnQuery {
    ReturnQuery {
        level: PriorityLevel::new(level),
        ahead: 0,
        wait: Duration::ZERO,
        remaining: Duration::from_secs(9),
        turnover_per_s,
    }
}

/// Records new requests of a level at a steady rate during the ten seconds before `end`.
fn record_arrivals(schedule: &mut ReturnSchedule, level: u8, per_s: u64, end: MonoTime) {
    let count = 10 * per_s;
    for index in 0..count {
        let before = Duration::from_secs(10).mul_f64(1.0 - index as f64 / count as f64);
        schedule.record_arrival(PriorityLevel::new(level), end - before);
    }
}

fn fingerprint(body: &str) -> RequestFingerprint {
    let parts = FingerprintParts { host: "a", method: "POST", target: "/", body: body.as_bytes() };
    RequestFingerprint::of(&parts)
}

// Guards against callers that are refused in one moment and all told to come in the same one.
#[test]
fn callers_refused_together_are_spread_over_the_room_that_is_left() {
    let mut schedule = ReturnSchedule::default();
    let query = query(3, 40.0);
    let times: Vec<ReturnTime> =
        (0..200).map(|index| schedule.schedule(&query, f64::from(index) / 200.0, at(0))).collect();
    let promised: Vec<Duration> =
        times.iter().filter(|it| it.is_promised()).map(|it| it.delay()).collect();
    // Callers keep delays of up to three seconds, in which 120 slots become free.
    assert!((100..=125).contains(&promised.len()), "{}", promised.len());
    for second in 0..3 {
        let start = Duration::from_secs(second);
        let within =
            promised.iter().filter(|it| (start..start + Duration::from_secs(1)).contains(*it));
        let count = within.count();
        assert!((28..=41).contains(&count), "{count} come in second {second}");
    }
}

// Guards against a promise beyond the time that callers keep, and against promises of room that
// more urgent requests take: the caller is told a time, but nothing is kept for it.
#[test]
fn nothing_is_promised_where_more_urgent_requests_take_all() {
    let mut schedule = ReturnSchedule::default();
    record_arrivals(&mut schedule, 0, 50, at(0));
    let refused = schedule.schedule(&query(5, 40.0), 0.5, at(0));
    assert_eq!(refused, ReturnTime::Unpromised(MAX_RETRY_DELAY));
    let urgent = schedule.schedule(&query(0, 80.0), 0.5, at(0));
    assert!(urgent.is_promised() && urgent.delay() < Duration::from_millis(500), "{urgent:?}");
    assert_eq!(schedule.expected(at(0)), 1, "only a promise is counted");
}

// Guards against returning callers that take all the room of new ones, so that under lasting
// overload every request is refused once, and against new ones that shut out who was refused.
#[test]
fn new_requests_of_the_level_keep_most_of_its_room() {
    let mut schedule = ReturnSchedule::default();
    record_arrivals(&mut schedule, 3, 80, at(0));
    let query = query(3, 40.0);
    let promised = (0..300).filter(|_| schedule.schedule(&query, 0.5, at(0)).is_promised()).count();
    assert!((20..=26).contains(&promised), "a fifth of 120 slots, not {promised}");
}

// Guards against a time before the waiting requests ahead have found room.
#[test]
fn the_time_lies_after_the_requests_that_wait() {
    let mut schedule = ReturnSchedule::default();
    let query = ReturnQuery { ahead: 60, ..query(3, 40.0) };
    let time = schedule.schedule(&query, 0.0, at(0));
    assert!(time.is_promised() && time.delay() >= Duration::from_millis(1_500), "{time:?}");
    let query = ReturnQuery { wait: Duration::from_secs(2), ..query };
    let time = schedule.schedule(&query, 0.0, at(0));
    assert!(time.is_promised() && time.delay() >= Duration::from_secs(2), "{time:?}");
    // A caller that comes before it could start is refused for the same reason.
    let query = ReturnQuery { wait: Duration::from_secs(20), ..query };
    let time = schedule.schedule(&query, 0.0, at(0));
    assert_eq!(time, ReturnTime::Unpromised(Duration::from_secs(20)));
}

// Guards against state that outlives its use: what was told has no effect once its time is over.
#[test]
fn what_was_reported_lapses() {
    let mut schedule = ReturnSchedule::default();
    let query = query(3, 40.0);
    while schedule.schedule(&query, 0.5, at(0)).is_promised() {}
    assert!(schedule.expected(at(0)) >= 100);
    assert_eq!(schedule.expected(at(3_200)), 0);
    let later = schedule.schedule(&query, 0.5, at(60_000));
    assert!(later.delay() < Duration::from_millis(500), "{later:?}");
}

// Guards against VMs that each promise the whole region, and against a VM without a share.
#[test]
fn the_parts_of_vms_add_up_to_the_region() {
    let turnover = |own_requests| RegionTurnover {
        slots: 1_120.0,
        slot_time: Duration::from_millis(1_300),
        own_requests,
        all_requests: 1_000.0,
    };
    let all: f64 = [100, 300, 600].map(|own| turnover(own).own_per_s().unwrap()).iter().sum();
    assert!((all - 1_120.0 / 1.3).abs() < 0.1, "{all}");
    assert!(turnover(0).own_per_s().unwrap() > 0.0);
    let alone = RegionTurnover { all_requests: 0.0, ..turnover(7) };
    assert!((alone.own_per_s().unwrap() - 1_120.0 / 1.3).abs() < 0.1, "no other is heard from");
    assert_eq!(RegionTurnover::default().own_per_s(), None);
}

// Guards against a caller that tries again at once, many times, and so gets ahead of those that
// keep their time.
#[test]
fn who_comes_early_again_and_again_gains_nothing() {
    let mut told = ScheduledReturns::default();
    let request = RefusedRequest { fingerprint: fingerprint("a"), first_try: at(0) };
    told.record(request, at(2_000), at(10));
    for millis in (100..1_900).step_by(100) {
        let now = at(millis);
        assert_eq!(told.early(request, now), Some(at(2_000)));
        assert_eq!(told.place(request, now, now), at(2_000), "behind all that come until then");
    }
    assert_eq!(told.place(request, at(2_010), at(2_010)), at(0), "it has kept its time");
}

// Guards against another caller's copy of the request, and a caller unknown here, that are placed
// by what one was told: they go by their own first try.
#[test]
fn only_a_caller_with_a_time_is_early() {
    let mut told = ScheduledReturns::default();
    let request = RefusedRequest { fingerprint: fingerprint("a"), first_try: at(0) };
    told.record(request, at(4_000), at(10));
    let copy = RefusedRequest { first_try: at(1_000), ..request };
    assert_eq!(told.place(copy, at(1_000), at(1_050)), at(1_000));
    let other = RefusedRequest { fingerprint: fingerprint("b"), first_try: at(500) };
    assert_eq!(told.place(other, at(1_000), at(1_050)), at(500));
    let hasty = RefusedRequest { first_try: at(900), ..other };
    assert_eq!(told.place(hasty, at(1_000), at(1_050)), at(1_000), "no VM tells so short a delay");
}

// Guards against memory that grows with the refusals of an overload.
#[test]
fn the_memory_of_refusals_is_bounded() {
    let mut told = ScheduledReturns::default();
    for index in 0..5_000_u64 {
        let fingerprint = fingerprint(&index.to_string());
        let request = RefusedRequest { fingerprint, first_try: at(index) };
        told.record(request, at(index + 60_000), at(index));
        assert!(told.len() <= 1_024);
    }
    let last = RefusedRequest { fingerprint: fingerprint("x"), first_try: at(200_000) };
    told.record(last, at(201_000), at(200_000));
    assert_eq!(told.len(), 1, "the others' times have come");
}

// Guards against promises for times that callers do not wait for.
#[test]
fn callers_keep_a_third_of_their_remaining_time() {
    assert_eq!(max_respected_delay(Duration::from_secs(9)), Duration::from_secs(3));
    assert_eq!(max_respected_delay(Duration::from_secs(600)), MAX_RETRY_DELAY);
}
