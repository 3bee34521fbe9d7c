//! Simulations of poison requests, which crash their engines, at hundreds of VMs.

use foldhaven_testkit::harm::{PoisonPlan, SharingPolicy, run_trial};
use rstest::rstest;

/// Each poison request reaches another of 300 VMs, while a quarter of the engines crash and a
/// region loses power. If VMs don't share records, each VM must observe the exits itself, and over
/// 500 engines exit.
#[rstest]
#[case::one_body(1)]
#[case::three_bodies(3)]
fn hundreds_of_vms_quarantine_a_poison_request_together(#[case] poison_bodies: usize) {
    let plan = PoisonPlan { poison_bodies, ..PoisonPlan::default() };
    let shared = run_trial(plan, SharingPolicy::Shared, 7);
    assert!(shared.late_sends <= 3, "{shared:?}");
    assert!(shared.exits <= 12 * poison_bodies, "{shared:?}");
    assert!(shared.quarantined * 1_000 < shared.innocent, "{shared:?}");
    assert!(shared.unserved * 1_000 < shared.innocent, "{shared:?}");
}

#[test]
fn vms_without_shared_records_keep_sending_a_poison_request() {
    let local_only = run_trial(PoisonPlan::default(), SharingPolicy::LocalOnly, 7);
    assert!(local_only.late_sends > 100, "{local_only:?}");
}

/// If no request causes crashes, almost no request is quarantined.
#[test]
fn crashes_alone_quarantine_no_requests() {
    let plan = PoisonPlan { poison_bodies: 0, ..PoisonPlan::default() };
    let shared = run_trial(plan, SharingPolicy::Shared, 7);
    assert!(shared.quarantined * 1_000 < shared.innocent, "{shared:?}");
}
