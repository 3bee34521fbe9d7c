//! What answers of brittle upstreams tell of their service.

use std::num::NonZeroU32;
use std::time::Duration;

use foldhaven_core::ids::ServiceName;
use foldhaven_core::opaque::brittle_services::{BrittleNotice, BrittleServices};
use foldhaven_core::opaque::peer_table::ServiceTag;
use foldhaven_core::opaque::upstream_signals::AnswerTiming;
use foldhaven_core::time::MonoTime;
use rstest::rstest;

const STARTED: MonoTime = MonoTime::from_millis(60_000);

fn service() -> ServiceTag {
    ServiceTag::of(&"desk".parse::<ServiceName>().unwrap())
}

fn per_s(count: u32) -> Option<NonZeroU32> {
    NonZeroU32::new(count)
}

/// Returns the timing of an answer, in milliseconds after the first one.
fn timing(sent_ms: u64, received_ms: u64) -> AnswerTiming {
    let at = |ms| STARTED + Duration::from_millis(ms);
    AnswerTiming { sent: at(sent_ms), received: at(received_ms) }
}

fn notice(count: u32, age_ms: u32) -> BrittleNotice {
    BrittleNotice { service: service(), max_declined_per_s: per_s(count), age_ms }
}

/// Guards against brittleness that ends by an answer that was overtaken by an announcement, or by an
/// upstream that is not brittle beside others that are, and against brittleness that never ends.
#[rstest]
#[case::sent_before_the_announcement(&[], timing(0, 5_000), 2)]
#[case::soon_after_it(&[], timing(2_000, 2_010), 2)]
#[case::beside_other_announcements(&[(1_900, 2_000)], timing(4_000, 4_010), 2)]
#[case::long_after_the_last_one(&[(1_900, 2_000)], timing(5_000, 5_010), 0)]
fn an_answer_without_announcement_ends_it(
    #[case] announcements: &[(u64, u64)],
    #[case] plain: AnswerTiming,
    #[case] expected: u32,
) {
    let mut services = BrittleServices::default();
    services.record_answer(service(), per_s(2), timing(0, 10));
    for (sent, received) in announcements {
        services.record_answer(service(), per_s(2), timing(*sent, *received));
    }
    services.record_answer(service(), None, plain);
    assert_eq!(services.max_declined_per_s(service()), per_s(expected));
}

/// Guards against notices that restore brittleness that has ended, or end it for a VM that has
/// heard a newer announcement.
#[rstest]
#[case::learnt_from_another(&[notice(2, 100)], 2)]
#[case::ended(&[notice(2, 500), notice(0, 100)], 0)]
#[case::not_restored_by_an_older_one(&[notice(0, 100), notice(2, 500)], 0)]
#[case::not_ended_by_an_older_one(&[notice(2, 100), notice(0, 500)], 2)]
fn the_newest_signal_counts(#[case] notices: &[BrittleNotice], #[case] expected: u32) {
    let mut services = BrittleServices::default();
    for notice in notices {
        services.apply_notice(notice, STARTED);
    }
    assert_eq!(services.max_declined_per_s(service()), per_s(expected));
}

/// Guards against a region in which each VM sends what all know, and against an announcement that
/// no VM sends.
#[test]
fn a_change_is_sent_once_by_the_vm_that_received_it() {
    let mut services = BrittleServices::default();
    services.record_answer(service(), per_s(2), timing(0, 10));
    services.record_answer(service(), per_s(2), timing(0, 20));
    let now = STARTED + Duration::from_millis(50);
    assert_eq!(services.take_unsent(now), [notice(2, 30)]);
    services.record_answer(service(), per_s(2), timing(0, 60));
    assert_eq!(services.take_unsent(now), []);
    let mut informed = BrittleServices::default();
    informed.apply_notice(&notice(2, 30), now);
    informed.record_answer(service(), per_s(2), timing(0, 60));
    assert_eq!(informed.take_unsent(now), []);
}
