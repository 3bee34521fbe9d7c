//! Tests of the guarantees that the status of a refusal gives.

use foldhaven_core::attempt::RequestOutcome;
use foldhaven_core::refusal::{RefusalAnswer, RefusalReason};
use rstest::rstest;

/// Guards against a 503 for a request that was cancelled after it may have run: the caller then
/// sent it to another VM, which reported that it had not run.
#[rstest]
fn a_status_that_guarantees_not_run_is_used_only_for_requests_that_did_not_run(
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
    let guarantees_not_run = matches!(answer.status(), 408 | 429 | 503);
    assert_eq!(guarantees_not_run, outcome == RequestOutcome::NotRun, "{}", answer.status());
}
