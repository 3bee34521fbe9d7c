//! Simulations of VMs that start in any order and must discover each other.
//!
//! Guards against permanently incomplete views: if the seed VM of a small region started last, the
//! region's three other VMs knew only that one, because a process requested all heartbeats only
//! once, and in small regions heartbeats aren't relayed. Each VM then divided account limits by its
//! own number of known VMs. The trials cover starts within 50 ms, starts one after another, half of
//! the VMs killed and restarted, a region that starts late, lost messages, and partitions within a
//! region.

use std::path::Path;

use foldhaven_testkit::membership::{
    DiscoveryMethod, MembershipExperiment, StartKind, StartPlan, incomplete_views_after, make_page,
    run_start_trial,
};
use rstest::rstest;

/// Returns the number of runs: the given one, or that of the variable `START_PLAYS`.
fn runs(default_runs: u64) -> u64 {
    std::env::var("START_PLAYS").ok().and_then(|runs| runs.parse().ok()).unwrap_or(default_runs)
}

#[rstest]
fn starting_vms_discover_their_region_in_time(
    #[values(
        StartKind::Together,
        StartKind::Apart,
        StartKind::SeedsLast,
        StartKind::HalfBack,
        StartKind::RegionLater,
        StartKind::Cut
    )]
    start: StartKind,
    #[values((4, 1, 60), (9, 3, 60), (60, 3, 4), (295, 3, 1))] size: (usize, usize, u64),
    #[values(0.0, 0.05)] loss: f64,
) {
    let (vms, regions, default_runs) = size;
    let plan = StartPlan { vms, regions, start, loss, method: DiscoveryMethod::Views };
    let runs = runs(default_runs);
    let failed: Vec<String> = (0..runs)
        .filter_map(|seed| {
            let incomplete = incomplete_views_after(&plan, seed);
            let few = incomplete.iter().take(2).cloned().collect::<Vec<String>>().join("; ");
            (!incomplete.is_empty())
                .then(|| format!("seed {seed}: {} of {vms}: {few}", incomplete.len()))
        })
        .collect();
    let few = failed.iter().take(4).collect::<Vec<&String>>();
    assert!(failed.is_empty(), "{} of {runs} starts: {few:#?}", failed.len());
}

/// Without the exchange of views some runs stay incomplete, so the test above can fail.
#[test]
fn heartbeats_alone_leave_views_incomplete() {
    let plan = StartPlan {
        vms: 9,
        regions: 3,
        start: StartKind::Together,
        loss: 0.05,
        method: DiscoveryMethod::Heartbeats,
    };
    let trial = run_start_trial(&plan, 60);
    assert!(trial.incomplete > 0, "{trial:?}");
    let last = trial.curve.last().expect("the views were checked");
    assert!(last.1 < 1.0, "some views never become complete");
    let page = make_page(&[trial]).unwrap();
    assert!(page.contains("<svg") && page.contains("lacks"));
}

#[test]
fn example_experiment_is_read_and_others_are_rejected() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/simulate");
    let read = |name: &str| MembershipExperiment::read(&folder.join(name));
    assert!(read("membership.yaml").unwrap().is_some());
    assert!(read("peak.yaml").unwrap().is_none(), "it is of another kind");
    let mut experiment = read("membership.yaml").unwrap().unwrap();
    experiment.loss = vec![1.0];
    assert!(experiment.check().unwrap_err().to_string().contains("membership.loss"));
}
