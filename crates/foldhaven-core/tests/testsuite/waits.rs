//! Tests that a description reported as in force applies to every request that can still start.
//! Meanwhile requests wait in the queues of upstreams, descriptions change, and threads recheck the
//! requests late.

use std::time::Duration;

use foldhaven_core::description::DescriptionStamp;
use foldhaven_core::time::MonoTime;
use foldhaven_core::waits::{CANCEL_GRACE, WaitLedger};
use proptest::prelude::*;

fn stamp(generation: u64) -> DescriptionStamp {
    format!("{generation}-{}", "0".repeat(32)).parse().unwrap()
}

fn at(ms: u64) -> MonoTime {
    MonoTime(ms * 1_000)
}

#[test]
fn a_description_is_in_force_once_no_request_waits_under_the_previous_one() {
    let mut ledger = WaitLedger::default();
    assert_eq!(ledger.in_force(at(0)), None);
    ledger.adopt(stamp(1));
    let checked = ledger.enter();
    ledger.adopt(stamp(2));
    assert_eq!(ledger.in_force(at(0)), Some(stamp(1)));
    ledger.leave(checked, at(0));
    assert_eq!(
        ledger.in_force(at(0)),
        Some(stamp(1)),
        "the cancelled call may still be open at the upstream"
    );
    assert_eq!(ledger.in_force(at(0) + CANCEL_GRACE), Some(stamp(2)));
}

#[test]
fn a_rechecked_request_does_not_delay_a_description() {
    let mut ledger = WaitLedger::default();
    ledger.adopt(stamp(1));
    let checked = ledger.enter();
    ledger.adopt(stamp(2));
    ledger.recheck(checked, Some(stamp(2)));
    assert_eq!(ledger.in_force(at(0)), Some(stamp(2)));
}

#[test]
fn requests_that_enter_after_a_change_do_not_delay_a_description() {
    let mut ledger = WaitLedger::default();
    ledger.adopt(stamp(1));
    ledger.adopt(stamp(2));
    ledger.enter();
    assert_eq!(ledger.in_force(at(0)), Some(stamp(2)));
}

proptest! {
    #[test]
    fn the_reported_description_never_goes_back_and_applies_to_all_waiting_requests(
        steps in prop::collection::vec((0_u8..4, 0_usize..8), 1..200),
    ) {
        let mut ledger = WaitLedger::default();
        let mut newest = 0;
        let mut waiting: Vec<Option<DescriptionStamp>> = Vec::new();
        let mut reported = None;
        for (step, (action, which)) in steps.into_iter().enumerate() {
            let now = at(0) + Duration::from_millis(7) * step as u32;
            match action {
                0 => {
                    newest += 1;
                    ledger.adopt(stamp(newest));
                }
                1 => waiting.push(ledger.enter()),
                2 if !waiting.is_empty() => {
                    let checked = waiting.swap_remove(which % waiting.len());
                    ledger.leave(checked, now);
                }
                3 if !waiting.is_empty() && newest > 0 => {
                    let at = which % waiting.len();
                    ledger.recheck(waiting[at], Some(stamp(newest)));
                    waiting[at] = Some(stamp(newest));
                }
                _ => {}
            }
            let in_force = ledger.in_force(now);
            prop_assert!(in_force >= reported, "went back from {reported:?} to {in_force:?}");
            prop_assert!(waiting.iter().all(|checked| *checked >= in_force));
            reported = in_force;
        }
    }
}
