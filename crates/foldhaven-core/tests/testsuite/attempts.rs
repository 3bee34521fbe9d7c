//! Tests of the outcome reported for a request after any sequence of updates of its attempts.

use foldhaven_core::attempt::{AttemptLog, AttemptState, RequestOutcome};
use foldhaven_core::ids::AttemptId;
use proptest::prelude::*;

fn attempt(number: u64) -> AttemptId {
    format!("r@vm.1.{number}").parse().unwrap()
}

fn any_state() -> impl Strategy<Value = AttemptState> {
    prop_oneof![
        Just(AttemptState::Planned),
        Just(AttemptState::Dispatched),
        Just(AttemptState::NotSent),
        Just(AttemptState::Refused),
        Just(AttemptState::Broken),
        Just(AttemptState::Complete),
    ]
}

proptest! {
    /// The outcome is `not_run` only if no attempt is dispatched, broken or complete.
    #[test]
    fn a_request_that_may_have_run_is_never_reported_as_not_run(
        attempts in proptest::collection::vec(proptest::collection::vec(any_state(), 0..5), 0..5)
    ) {
        let mut log = AttemptLog::default();
        for (number, states) in attempts.iter().enumerate() {
            log.plan(attempt(number as u64), "target");
            states.iter().for_each(|state| log.record(*state));
        }
        let may_have_run = log.records().iter().any(|record| {
            use AttemptState::{Broken, Complete, Dispatched};
            matches!(record.state, Dispatched | Broken | Complete)
        });
        prop_assert_eq!(log.outcome() == RequestOutcome::NotRun, !may_have_run);
        if may_have_run {
            prop_assert!(!log.may_retry(false));
        }
    }

    /// An attempt that ended keeps its state, whatever updates arrive late.
    #[test]
    fn late_updates_change_nothing(late in proptest::collection::vec(any_state(), 0..6)) {
        for end in [AttemptState::Refused, AttemptState::Broken, AttemptState::Complete] {
            let mut log = AttemptLog::default();
            log.plan(attempt(1), "target");
            log.record(AttemptState::Dispatched);
            log.record(end);
            late.iter().for_each(|state| log.record(*state));
            log.record_not_connected();
            prop_assert_eq!(log.records()[0].state, end);
        }
    }
}

#[test]
fn a_dispatched_attempt_becomes_not_sent_only_by_a_failed_connection() {
    let mut log = AttemptLog::default();
    log.plan(attempt(1), "target");
    log.record(AttemptState::Dispatched);
    log.record(AttemptState::NotSent);
    assert_eq!(log.outcome(), RequestOutcome::Unknown);
    log.record_not_connected();
    assert_eq!(log.outcome(), RequestOutcome::NotRun);
}
