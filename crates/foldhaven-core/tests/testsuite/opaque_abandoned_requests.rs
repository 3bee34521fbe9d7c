//! Requests that a VM has given up while the upstream may still process them.

use std::time::Duration;

use foldhaven_core::opaque::abandoned_requests::AbandonedRequests;
use foldhaven_core::time::MonoTime;
use rstest::rstest;

const WORK_TIME: Duration = Duration::from_millis(100);
const SENT_AT: MonoTime = MonoTime::from_millis(10_000);

/// Guards against requests that count as ended as soon as their callers have left.
#[rstest]
#[case::while_it_probably_runs(20, 150, 1)]
#[case::after_twice_the_usual_time(20, 200, 0)]
fn a_request_counts_while_the_upstream_may_run_it(
    #[case] abandoned_ms: u64,
    #[case] now_ms: u64,
    #[case] expected: u32,
) {
    let mut requests = AbandonedRequests::default();
    requests.record(SENT_AT, SENT_AT + Duration::from_millis(abandoned_ms));
    let now = SENT_AT + Duration::from_millis(now_ms);
    assert_eq!(requests.count(WORK_TIME, SENT_AT, now), expected);
}

/// Guards against requests that count as ended while the upstream is suspended.
#[rstest]
#[case::still_silent(9_900, 11_500, 1)]
#[case::answers_again(11_400, 11_500, 0)]
#[case::silent_for_long(9_900, 11_700, 0)]
fn a_request_at_a_silent_upstream_counts_until_it_answers(
    #[case] received_ms: u64,
    #[case] now_ms: u64,
    #[case] expected: u32,
) {
    let mut requests = AbandonedRequests::default();
    requests.record(SENT_AT, SENT_AT + Duration::from_millis(600));
    let (last_received, now) = (MonoTime::from_millis(received_ms), MonoTime::from_millis(now_ms));
    assert_eq!(requests.count(WORK_TIME, last_received, now), expected);
}
