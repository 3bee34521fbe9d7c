//! What refusals promise.

use foldhaven_core::attempt::RequestOutcome;
use foldhaven_core::refusal::{RefusalAnswer, RefusalReason};
use rstest::rstest;

/// A request that had been called back after it may have run was answered with 503, so that its caller sent it to another VM
/// and was told there that it had not run.
#[rstest]
fn a_status_that_promises_that_nothing_ran_is_true(
    #[values(
        RefusalReason::NoDescription,
        RefusalReason::Deadline,
        RefusalReason::Capacity,
        RefusalReason::NoUpstream,
        RefusalReason::Leaving,
        RefusalReason::Paused
    )]
    reason: RefusalReason,
    #[values(RequestOutcome::Unknown, RequestOutcome::NotRun)] outcome: RequestOutcome,
) {
    let answer = RefusalAnswer::not_run("a step", reason, "a cause").with_outcome(outcome);
    let promises = matches!(answer.status(), 408 | 429 | 503);
    assert_eq!(promises, outcome == RequestOutcome::NotRun, "{}", answer.status());
}
