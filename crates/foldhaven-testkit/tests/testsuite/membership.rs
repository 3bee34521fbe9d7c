//! VMs that start in any order learn of each other, by the code that the daemon runs, in simulated time.
//!
//! Three VMs of a region whose first one started last knew only that one, for as long as they lived: a process asked one VM
//! for all others, once, and nobody repeats in a small region what others said. Shares of limits were divided by what each
//! knew. Drawn here: starts within 50 ms, one after another, half of the VMs killed and back, a region at once,
//! messages lost, and cuts within a region that heal.

use std::path::Path;

use foldhaven_testkit::membership::{
    MembershipExperiment, StartKind, StartPlan, TellingWay, make_page, play_starts, strangers_after,
};
use rstest::rstest;

/// How many starts of each kind are played: some by themselves, others by hand.
fn plays(usual: u64) -> u64 {
    std::env::var("START_PLAYS").ok().and_then(|plays| plays.parse().ok()).unwrap_or(usual)
}

#[rstest]
fn vms_that_start_know_their_region_soon(
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
    let (vms, regions, usual) = size;
    let plan = StartPlan { vms, regions, start, loss, way: TellingWay::Views };
    let plays = plays(usual);
    let failed: Vec<String> = (0..plays)
        .filter_map(|seed| {
            let strangers = strangers_after(&plan, seed);
            let few = strangers.iter().take(2).cloned().collect::<Vec<String>>().join("; ");
            (!strangers.is_empty())
                .then(|| format!("seed {seed}: {} of {vms}: {few}", strangers.len()))
        })
        .collect();
    let few = failed.iter().take(4).collect::<Vec<&String>>();
    assert!(failed.is_empty(), "{} of {plays} starts: {few:#?}", failed.len());
}

/// Without the exchange some starts stay incomplete, so that the test above can fail.
#[test]
fn heartbeats_alone_leave_strangers() {
    let plan = StartPlan {
        vms: 9,
        regions: 3,
        start: StartKind::Together,
        loss: 0.05,
        way: TellingWay::Heartbeats,
    };
    let trial = play_starts(&plan, 60);
    assert!(trial.incomplete > 0, "{trial:?}");
    let last = trial.curve.last().expect("it was looked at");
    assert!(last.1 < 1.0, "they are strangers for as long as they live");
    let page = make_page(&[trial]).unwrap();
    assert!(page.contains("<svg") && page.contains("lacks"));
}

#[test]
fn the_example_experiment_can_be_read_and_others_are_refused() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/simulate");
    let read = |name: &str| MembershipExperiment::read(&folder.join(name));
    assert!(read("membership.yaml").unwrap().is_some());
    assert!(read("peak.yaml").unwrap().is_none(), "it is of another kind");
    let mut experiment = read("membership.yaml").unwrap().unwrap();
    experiment.loss = vec![1.0];
    assert!(experiment.check().unwrap_err().to_string().contains("membership.loss"));
}
