//! A rule that is told to be in force holds for every request that can still begin: the load is requests
//! that wait in the queues of upstreams while descriptions change, checked by threads that are late.

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
fn a_description_is_in_force_once_no_request_waits_by_the_one_before() {
    let mut ledger = WaitLedger::default();
    assert_eq!(ledger.in_force(at(0)), None);
    ledger.adopt(stamp(1));
    let checked = ledger.enter();
    ledger.adopt(stamp(2));
    assert_eq!(ledger.in_force(at(0)), Some(stamp(1)));
    ledger.leave(checked, at(0));
    assert_eq!(ledger.in_force(at(0)), Some(stamp(1)), "its call is not closed yet");
    assert_eq!(ledger.in_force(at(0) + CANCEL_GRACE), Some(stamp(2)));
}

#[test]
fn a_request_that_is_permitted_anew_holds_nothing_up() {
    let mut ledger = WaitLedger::default();
    ledger.adopt(stamp(1));
    let checked = ledger.enter();
    ledger.adopt(stamp(2));
    ledger.recheck(checked, Some(stamp(2)));
    assert_eq!(ledger.in_force(at(0)), Some(stamp(2)));
}

#[test]
fn requests_that_enter_after_a_change_hold_nothing_up() {
    let mut ledger = WaitLedger::default();
    ledger.adopt(stamp(1));
    ledger.adopt(stamp(2));
    ledger.enter();
    assert_eq!(ledger.in_force(at(0)), Some(stamp(2)));
}

proptest! {
    #[test]
    fn what_is_told_never_goes_back_and_holds_for_all_that_wait(
        steps in prop::collection::vec((0_u8..4, 0_usize..8), 1..200),
    ) {
        let mut ledger = WaitLedger::default();
        let mut newest = 0;
        let mut waiting: Vec<Option<DescriptionStamp>> = Vec::new();
        let mut told = None;
        for (step, (what, which)) in steps.into_iter().enumerate() {
            let now = at(0) + Duration::from_millis(7) * step as u32;
            match what {
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
            let now_told = ledger.in_force(now);
            prop_assert!(now_told >= told, "went back from {told:?} to {now_told:?}");
            prop_assert!(waiting.iter().all(|checked| *checked >= now_told));
            told = now_told;
        }
    }
}
