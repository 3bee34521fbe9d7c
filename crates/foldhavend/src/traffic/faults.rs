//! What a failed call says of its target, and what a caller is told of it.

use std::time::Duration;

use foldhaven_core::ids::ModelName;
use foldhaven_core::planner::RouteTarget;
use foldhaven_core::refusal::{RefusalAnswer, RefusalReason, jittered_retry_delay};

use super::call::CallFault;
use crate::shared::SharedState;

/// What a failed call says of its target.
pub fn note_call_fault(
    shared: &SharedState,
    target: &RouteTarget,
    model: &ModelName,
    fault: &CallFault,
) {
    let now = shared.now();
    match (target, fault) {
        (RouteTarget::Engine(engine), CallFault::Refused { reason, .. }) => {
            if let (RefusalReason::Leaving, Some(control)) = (reason, shared.control.get()) {
                control.record_upstream_leaving(engine.clone());
            }
        }
        (RouteTarget::Centre(centre), CallFault::Refused { .. }) => {
            shared.traffic_state.void_offer(centre, model, now);
        }
        (_, CallFault::NotSent(_)) => shared.traffic_state.note_failure(target.name(), true, now),
        // A peer that tells what failed behind it is itself in order.
        (RouteTarget::Centre(_), CallFault::Failed { .. }) => {}
        (_, CallFault::Broken(_) | CallFault::Failed { .. }) => {
            shared.traffic_state.note_failure(target.name(), false, now)
        }
    }
}

/// What the caller is told of a failed call, if it is the last one.
pub fn fault_answer(fault: &CallFault, target: &RouteTarget) -> RefusalAnswer {
    const STEP: &str = "running the request";
    let broken = match target {
        RouteTarget::Engine(_) => RefusalReason::UpstreamFailed,
        RouteTarget::Centre(_) => RefusalReason::PeerFailed,
    };
    let told = |reason: RefusalReason| match target {
        RouteTarget::Engine(_) => reason,
        RouteTarget::Centre(_) => reason.for_caller(),
    };
    let come_back = |wait: Duration| jittered_retry_delay(wait, rand::random());
    let soon = Duration::from_millis(500);
    match fault {
        CallFault::Refused { reason, detail, retry_after } => {
            let wait = retry_after.unwrap_or(soon);
            RefusalAnswer::not_run(STEP, told(*reason), detail).with_retry_after(come_back(wait))
        }
        CallFault::Failed { reason, detail } => {
            RefusalAnswer::not_run(STEP, told(*reason), detail).with_retry_after(come_back(soon))
        }
        CallFault::NotSent(detail) | CallFault::Broken(detail) => {
            RefusalAnswer::not_run(STEP, broken, detail).with_retry_after(come_back(soon))
        }
    }
}
