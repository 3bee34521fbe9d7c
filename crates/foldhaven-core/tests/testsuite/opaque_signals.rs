//! What upstreams say of themselves in their answers, whatever the order in which these are heard.

use std::time::Duration;

use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::upstream_signals::{
    AnswerMoment, LeavingNotice, LeavingUpstreams, LimitNotice, RateLimits,
};
use foldhaven_core::units::RequestRate;
use rstest::rstest;

use crate::opaque_support::at;

const UPSTREAM: UpstreamTag = UpstreamTag(7);

fn rate(per_s: f64) -> Option<RequestRate> {
    Some(RequestRate::from_per_s(per_s).unwrap())
}

fn moment(sent: u64, heard: u64) -> AnswerMoment {
    AnswerMoment { sent: at(sent), heard: at(heard) }
}

/// Guards against a limit that ends by an answer that was on its way when the limit was named.
#[test]
fn an_answer_that_was_on_its_way_does_not_end_a_limit() {
    let mut limits = RateLimits::default();
    limits.note_answer(UPSTREAM, rate(2.5), moment(100, 200));
    assert!(limits.note_answer(UPSTREAM, None, moment(150, 400)).is_none());
    assert_eq!(limits.limit(UPSTREAM), rate(2.5));
    limits.note_answer(UPSTREAM, None, moment(250, 500)).expect("it was sent after");
    assert_eq!(limits.limit(UPSTREAM), None);
}

/// Guards against an old notice of another VM that puts back what has ended, or ends what was named since.
#[rstest]
#[case::older_limit(None, 900, Some(2.5), 500, None)]
#[case::newer_limit(None, 900, Some(2.5), 50, Some(2.5))]
#[case::older_end(Some(1.0), 900, None, 500, Some(1.0))]
#[case::newer_end(Some(1.0), 900, None, 50, None)]
fn the_newest_word_counts(
    #[case] own: Option<f64>,
    #[case] heard: u64,
    #[case] told: Option<f64>,
    #[case] age_ms: u32,
    #[case] expected: Option<f64>,
) {
    let mut limits = RateLimits::default();
    limits.note_answer(UPSTREAM, rate(9.0), moment(100, 200));
    limits.note_answer(UPSTREAM, own.and_then(rate), moment(300, heard));
    limits.hear(&LimitNotice { upstream: UPSTREAM, per_s: told, age_ms }, at(1_000));
    assert_eq!(limits.limit(UPSTREAM), expected.and_then(rate));
}

/// Guards against a datagram with a rate that is no number, or none that can be kept to.
#[rstest]
#[case(f64::NAN)]
#[case(f64::INFINITY)]
#[case(-1.0)]
#[case(1e300)]
fn a_told_rate_that_is_none_is_dropped(#[case] per_s: f64) {
    let mut limits = RateLimits::default();
    let told = LimitNotice { upstream: UPSTREAM, per_s: Some(per_s), age_ms: 0 };
    assert!(limits.hear(&told, at(1_000)).is_none());
    assert!(limits.is_empty());
}

/// Guards against a region in which each VM tells all others what these have told it.
#[test]
fn news_are_told_once_and_only_by_who_has_them() {
    let (mut first, mut second) = (RateLimits::default(), RateLimits::default());
    first.note_answer(UPSTREAM, rate(2.5), moment(100, 200));
    second.note_answer(UPSTREAM, rate(2.5), moment(110, 210));
    let news = first.take_news(at(250));
    assert_eq!(news.len(), 1);
    assert!(first.take_news(at(260)).is_empty());
    second.hear(&news[0], at(260));
    assert!(second.take_news(at(270)).is_empty(), "the other one has told it");
    let mut third = RateLimits::default();
    third.hear(&news[0], at(260));
    assert!(third.take_news(at(270)).is_empty());
    assert_eq!(third.limit(UPSTREAM), rate(2.5));
}

/// Guards against VMs that keep each other's notice alive of an upstream that is long gone.
#[test]
fn what_is_told_again_and_again_is_forgotten_all_the_same() {
    let (mut first, mut second) = (LeavingUpstreams::default(), LeavingUpstreams::default());
    assert!(first.note_answer(UPSTREAM, at(0)));
    for second_at in 1..70 {
        let now = at(second_at * 1_000);
        for told in first.all(now) {
            second.hear(&told, now);
        }
        for told in second.all(now) {
            first.hear(&told, now);
        }
        first.forget(|_| false, now);
        second.forget(|_| false, now);
    }
    assert!(first.is_empty() && second.is_empty());
}

/// Guards against a process that is left out by the signal of another one, or used again since it is listed.
#[test]
fn a_process_leaves_for_good() {
    let mut leaving = LeavingUpstreams::default();
    assert!(leaving.note_answer(UPSTREAM, at(0)));
    assert!(!leaving.hear(&LeavingNotice { upstream: UPSTREAM, age_ms: 5 }, at(10)), "it is known");
    leaving.forget(|_| true, at(0) + Duration::from_secs(3_600));
    assert!(leaving.has_said(UPSTREAM));
    assert!(!leaving.has_said(UpstreamTag(8)));
}

/// Guards against a book that grows with each upstream that ever named a limit.
#[test]
fn what_is_gone_is_forgotten() {
    let mut limits = RateLimits::default();
    limits.note_answer(UPSTREAM, rate(2.5), moment(100, 200));
    let late = at(200) + Duration::from_secs(61);
    limits.forget(|_| true, late);
    assert_eq!(limits.limit(UPSTREAM), rate(2.5), "it is listed");
    limits.forget(|_| false, late);
    assert!(limits.is_empty());
}
