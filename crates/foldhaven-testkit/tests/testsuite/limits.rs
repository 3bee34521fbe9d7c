//! Simulations of an account limit that all VMs enforce together, by the code that the daemon runs.
//!
//! An account sends six times its base load while regions or VMs are partitioned, VMs are killed
//! twice, or VMs are frozen. In other trials callers move from one region to the next at once, or
//! the limit is lowered far below the demand. There is no central counter; still, the total must
//! stay within the permitted usage in every window, and requests within the limit must be admitted.

use foldhaven_testkit::limits::{
    LimitScenario, LimitStrategy, LimitsPlan, make_page, run_limits_trial,
};
use rstest::rstest;

fn plan(size: (usize, usize), scenario: LimitScenario, strategy: LimitStrategy) -> LimitsPlan {
    LimitsPlan { vms: size.0, regions: size.1, accounts: 16, scenario, strategy }
}

/// Returns the seeds to run: the given number, or as many as the variable `LIMIT_PLAYS` says.
fn seeds(default_count: u64) -> std::ops::Range<u64> {
    0..std::env::var("LIMIT_PLAYS")
        .ok()
        .and_then(|plays| plays.parse().ok())
        .unwrap_or(default_count)
}

#[rstest]
fn usage_stays_within_the_limit_in_every_window(
    #[values((1, 1), (9, 3), (72, 3), (300, 3), (270, 27))] size: (usize, usize),
    #[values(
        LimitScenario::Calm,
        LimitScenario::Hot,
        LimitScenario::RegionCut,
        LimitScenario::AllCut,
        LimitScenario::PairCut,
        LimitScenario::OneWay,
        LimitScenario::VmsCut,
        LimitScenario::KilledTwice,
        LimitScenario::Frozen,
        LimitScenario::Moving,
        LimitScenario::Lowered
    )]
    scenario: LimitScenario,
) {
    for seed in seeds(if size.0 > 100 { 1 } else { 3 }) {
        let trial = run_limits_trial(&plan(size, scenario, LimitStrategy::ToldWants), seed);
        assert!(trial.worst_window <= 1.0, "seed {seed}: {:.3}", trial.worst_window);
    }
}

/// Without partitions, the limit is used fully and requests within it are admitted. The results are
/// means over several seeds: some requests cost thirty times as much as others, so that the usage
/// of a few seconds varies much between trials.
#[rstest]
#[case::calm(LimitScenario::Calm, 0.01)]
#[case::hot(LimitScenario::Hot, 0.03)]
#[case::lowered(LimitScenario::Lowered, 0.03)]
#[case::moving(LimitScenario::Moving, 0.08)]
fn requests_within_the_limit_are_admitted(
    #[case] scenario: LimitScenario,
    #[case] max_refused: f64,
    #[values((9, 3), (72, 3))] size: (usize, usize),
) {
    let seeds = seeds(8);
    let count = seeds.end as f64;
    let (mut used, mut refused) = (0.0, 0.0);
    for seed in seeds {
        let trial = run_limits_trial(&plan(size, scenario, LimitStrategy::ToldWants), seed);
        used += trial.used_share / count;
        refused += trial.refused_below / count;
    }
    assert!(refused <= max_refused, "{refused:.3}");
    assert!(used >= 0.95, "{used:.3}");
}

/// After a fault ends, the VMs together use the whole limit again.
#[rstest]
fn limit_is_fully_used_after_a_fault(
    #[values(
        LimitScenario::RegionCut,
        LimitScenario::AllCut,
        LimitScenario::VmsCut,
        LimitScenario::KilledTwice,
        LimitScenario::Frozen
    )]
    scenario: LimitScenario,
) {
    let seeds = seeds(8);
    let count = seeds.end as f64;
    let plan = plan((72, 3), scenario, LimitStrategy::ToldWants);
    let used: f64 = seeds.map(|seed| run_limits_trial(&plan, seed).used_share / count).sum();
    assert!(used >= 0.95, "{used:.3}");
}

/// Strategies that reserve no share for unresponsive VMs exceed the limit. This shows that the test
/// for usage within the limit can fail.
#[rstest]
#[case::counts(LimitStrategy::AddedCounts, LimitScenario::AllCut)]
#[case::an_owner(LimitStrategy::GrantingOwner, LimitScenario::RegionCut)]
fn other_strategies_exceed_the_limit(
    #[case] strategy: LimitStrategy,
    #[case] scenario: LimitScenario,
) {
    let trial = run_limits_trial(&plan((72, 3), scenario, strategy), 1);
    assert!(trial.worst_window > 1.2, "{:.3}", trial.worst_window);
}

/// Equal shares stay within the limit, but refuse requests of callers that use only few VMs.
#[test]
fn equal_shares_refuse_requests_below_the_limit() {
    let trial = run_limits_trial(&plan((72, 3), LimitScenario::Calm, LimitStrategy::EqualParts), 1);
    assert!(trial.worst_window <= 1.0 && trial.refused_below > 0.05, "{trial:?}");
}

#[test]
fn page_shows_each_trial() {
    let trial = run_limits_trial(&plan((9, 3), LimitScenario::Hot, LimitStrategy::ToldWants), 1);
    let page = make_page(&[trial]).unwrap();
    assert!(page.contains("<td>9</td>") && page.contains("<svg"), "{page}");
}
