//! Requests that end their engines, at hundreds of VMs in simulated time.

use foldhaven_testkit::harm::{HarmPlan, TellPolicy, play};
use rstest::rstest;

/// Each sending meets another of 300 VMs; meanwhile a quarter of the engines crash and a region loses its power. Without a word
/// between VMs each of them makes up its own mind, and over 500 engines end.
#[rstest]
#[case::one_body(1)]
#[case::three_bodies(3)]
fn hundreds_of_vms_hold_a_deadly_request_back_together(#[case] deadly: usize) {
    let plan = HarmPlan { deadly, ..HarmPlan::default() };
    let joined = play(plan, TellPolicy::Joined, 7);
    assert!(joined.late_sends <= 3, "{joined:?}");
    assert!(joined.ends <= 12 * deadly, "{joined:?}");
    assert!(joined.held_back * 1_000 < joined.innocent, "{joined:?}");
    assert!(joined.lost * 1_000 < joined.innocent, "{joined:?}");
}

#[test]
fn vms_that_do_not_tell_each_other_hold_nothing_back_together() {
    let alone = play(HarmPlan::default(), TellPolicy::Alone, 7);
    assert!(alone.late_sends > 100, "{alone:?}");
}

/// Where nothing ends under a request, nothing is told.
#[test]
fn crashes_alone_hold_no_request_back() {
    let plan = HarmPlan { deadly: 0, ..HarmPlan::default() };
    let joined = play(plan, TellPolicy::Joined, 7);
    assert!(joined.held_back * 1_000 < joined.innocent, "{joined:?}");
}
