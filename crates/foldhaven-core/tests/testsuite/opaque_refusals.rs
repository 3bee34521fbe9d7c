//! When refused callers are told to come again.

use std::time::Duration;

use foldhaven_core::opaque::admission::AdmissionError;
use foldhaven_core::opaque::refusal::{MAX_RETRY_DELAY, Refusal};
use rstest::rstest;

/// The largest draw.
const LAST_DRAW: f64 = 1.0 - f64::EPSILON;

// Guards against a retry delay above its stated maximum, where the spread comes on top of a wait
// that is at the maximum already, and against callers that are all told the same moment there.
#[rstest]
#[case::account_limit(Refusal::OverLimit { wait: MAX_RETRY_DELAY })]
#[case::overload(Refusal::Overloaded { cause: AdmissionError::TooLate, wait: MAX_RETRY_DELAY })]
fn the_spread_stays_within_the_maximum(#[case] refusal: Refusal) {
    let latest = refusal.retry_after(LAST_DRAW).unwrap();
    let earliest = refusal.retry_after(0.0).unwrap();
    assert!(latest <= MAX_RETRY_DELAY, "{latest:?}");
    assert!(latest >= earliest + MAX_RETRY_DELAY / 3, "{earliest:?} to {latest:?}");
}

// Guards against shorter waits whose spread changes with the maximum.
#[test]
fn short_waits_are_spread_to_twice_their_length() {
    let refusal = Refusal::OverLimit { wait: Duration::from_secs(2) };
    assert_eq!(refusal.retry_after(0.0), Some(Duration::from_secs(2)));
    assert_eq!(refusal.retry_after(0.5), Some(Duration::from_secs(3)));
}
