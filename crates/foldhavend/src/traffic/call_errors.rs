//! The consequences of a failed call: what is recorded about its target, and the answer to the
//! caller.

use std::time::Duration;

use foldhaven_core::ids::ModelName;
use foldhaven_core::planner::RouteTarget;
use foldhaven_core::refusal::{RefusalAnswer, RefusalReason, jittered_retry_delay};

use super::call::CallError;
use crate::shared::SharedState;

/// Records what a failed call implies about its target: that it is leaving, that its offer is
/// exhausted, or that the call counts as a failure in its health check.
pub fn record_call_error(
    shared: &SharedState,
    target: &RouteTarget,
    model: &ModelName,
    error: &CallError,
) {
    let now = shared.now();
    match (target, error) {
        (RouteTarget::Engine(engine), CallError::Refused { reason, .. }) => {
            if let (RefusalReason::Leaving, Some(control)) = (reason, shared.control.get()) {
                control.record_upstream_leaving(engine.clone());
            }
        }
        (RouteTarget::Centre(centre), CallError::Refused { .. }) => {
            shared.traffic_state.exhaust_offer(centre, model, now);
        }
        (_, CallError::NotSent(_)) => shared.traffic_state.record_failure(target.name(), true, now),
        // A peer that reports a failure behind it is healthy itself.
        (RouteTarget::Centre(_), CallError::Failed { .. }) => {}
        (_, CallError::Broken(_) | CallError::Failed { .. }) => {
            shared.traffic_state.record_failure(target.name(), false, now)
        }
    }
}

/// Returns the answer to the caller if the failed call was the last attempt.
pub fn call_error_answer(error: &CallError, target: &RouteTarget) -> RefusalAnswer {
    const STEP: &str = "running the request";
    let broken = match target {
        RouteTarget::Engine(_) => RefusalReason::UpstreamFailed,
        RouteTarget::Centre(_) => RefusalReason::PeerFailed,
    };
    let map_reason = |reason: RefusalReason| match target {
        RouteTarget::Engine(_) => reason,
        RouteTarget::Centre(_) => reason.for_caller(),
    };
    let jittered = |wait: Duration| jittered_retry_delay(wait, rand::random());
    let default_delay = Duration::from_millis(500);
    match error {
        CallError::Refused { reason, detail, retry_after } => {
            let wait = retry_after.unwrap_or(default_delay);
            RefusalAnswer::not_run(STEP, map_reason(*reason), detail)
                .with_retry_after(jittered(wait))
        }
        CallError::Failed { reason, detail } => {
            RefusalAnswer::not_run(STEP, map_reason(*reason), detail)
                .with_retry_after(jittered(default_delay))
        }
        CallError::NotSent(detail) | CallError::Broken(detail) => {
            RefusalAnswer::not_run(STEP, broken, detail).with_retry_after(jittered(default_delay))
        }
    }
}
