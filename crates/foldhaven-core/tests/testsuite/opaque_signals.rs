//! Signals of upstreams, received in any order.

use std::time::Duration;

use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::upstream_signals::{
    AnswerTiming, LeavingNotice, LeavingUpstreams, LimitNotice, RateLimits,
};
use foldhaven_core::units::RequestRate;
use rstest::rstest;

use crate::opaque_support::at;

const UPSTREAM: UpstreamTag = UpstreamTag(7);

fn rate(per_s: f64) -> Option<RequestRate> {
    Some(RequestRate::from_per_s(per_s).unwrap())
}

fn timing(sent: u64, received: u64) -> AnswerTiming {
    AnswerTiming { sent: at(sent), received: at(received) }
}

/// Guards against a limit that is ended by an answer that was in flight when the limit was
/// announced.
#[test]
fn answer_in_flight_does_not_end_a_limit() {
    let mut limits = RateLimits::default();
    limits.record_answer(UPSTREAM, rate(2.5), timing(100, 200));
    assert!(limits.record_answer(UPSTREAM, None, timing(150, 400)).is_none());
    assert_eq!(limits.limit(UPSTREAM), rate(2.5));
    limits
        .record_answer(UPSTREAM, None, timing(250, 500))
        .expect("its request was sent after the limit was received");
    assert_eq!(limits.limit(UPSTREAM), None);
}

/// Guards against an old notice of another VM that restores a limit that has ended, or ends a limit
/// that was announced since.
#[rstest]
#[case::older_limit(None, 900, Some(2.5), 500, None)]
#[case::newer_limit(None, 900, Some(2.5), 50, Some(2.5))]
#[case::older_end(Some(1.0), 900, None, 500, Some(1.0))]
#[case::newer_end(Some(1.0), 900, None, 50, None)]
fn newest_answer_wins(
    #[case] own: Option<f64>,
    #[case] received: u64,
    #[case] notice: Option<f64>,
    #[case] age_ms: u32,
    #[case] expected: Option<f64>,
) {
    let mut limits = RateLimits::default();
    limits.record_answer(UPSTREAM, rate(9.0), timing(100, 200));
    limits.record_answer(UPSTREAM, own.and_then(rate), timing(300, received));
    limits.apply_notice(&LimitNotice { upstream: UPSTREAM, per_s: notice, age_ms }, at(1_000));
    assert_eq!(limits.limit(UPSTREAM), expected.and_then(rate));
}

/// Guards against a datagram with a rate that is not a number or not a usable rate.
#[rstest]
#[case(f64::NAN)]
#[case(f64::INFINITY)]
#[case(-1.0)]
#[case(1e300)]
fn invalid_rate_in_a_notice_is_dropped(#[case] per_s: f64) {
    let mut limits = RateLimits::default();
    let notice = LimitNotice { upstream: UPSTREAM, per_s: Some(per_s), age_ms: 0 };
    assert!(limits.apply_notice(&notice, at(1_000)).is_none());
    assert!(limits.is_empty());
}

/// Guards against each VM of a region sending notices on to the VMs that it received them from.
#[test]
fn updates_are_sent_once_and_only_by_their_source() {
    let (mut first, mut second) = (RateLimits::default(), RateLimits::default());
    first.record_answer(UPSTREAM, rate(2.5), timing(100, 200));
    second.record_answer(UPSTREAM, rate(2.5), timing(110, 210));
    let updates = first.take_unsent(at(250));
    assert_eq!(updates.len(), 1);
    assert!(first.take_unsent(at(260)).is_empty());
    second.apply_notice(&updates[0], at(260));
    assert!(second.take_unsent(at(270)).is_empty(), "the other VM has sent it");
    let mut third = RateLimits::default();
    third.apply_notice(&updates[0], at(260));
    assert!(third.take_unsent(at(270)).is_empty());
    assert_eq!(third.limit(UPSTREAM), rate(2.5));
}

/// Guards against VMs that keep each other's notices of a long-gone upstream alive.
#[test]
fn repeated_notices_do_not_prevent_expiry() {
    let (mut first, mut second) = (LeavingUpstreams::default(), LeavingUpstreams::default());
    assert!(first.record_answer(UPSTREAM, at(0)));
    for second_at in 1..70 {
        let now = at(second_at * 1_000);
        for notice in first.all_notices(now) {
            second.apply_notice(&notice, now);
        }
        for notice in second.all_notices(now) {
            first.apply_notice(&notice, now);
        }
        first.remove_expired(|_| false, now);
        second.remove_expired(|_| false, now);
    }
    assert!(first.is_empty() && second.is_empty());
}

/// Guards against a leaving signal that also excludes another process, or that expires while its
/// process is still listed.
#[test]
fn leaving_is_final_for_a_process() {
    let mut leaving = LeavingUpstreams::default();
    assert!(leaving.record_answer(UPSTREAM, at(0)));
    assert!(
        !leaving.apply_notice(&LeavingNotice { upstream: UPSTREAM, age_ms: 5 }, at(10)),
        "it is known already"
    );
    leaving.remove_expired(|_| true, at(0) + Duration::from_secs(3_600));
    assert!(leaving.contains(UPSTREAM));
    assert!(!leaving.contains(UpstreamTag(8)));
}

/// Guards against a table that grows with each upstream that ever announced a limit.
#[test]
fn unlisted_upstreams_are_removed() {
    let mut limits = RateLimits::default();
    limits.record_answer(UPSTREAM, rate(2.5), timing(100, 200));
    let late = at(200) + Duration::from_secs(61);
    limits.remove_expired(|_| true, late);
    assert_eq!(limits.limit(UPSTREAM), rate(2.5), "it is listed");
    limits.remove_expired(|_| false, late);
    assert!(limits.is_empty());
}
