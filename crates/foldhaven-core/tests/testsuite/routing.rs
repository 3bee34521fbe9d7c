//! Tests of routing: residency under every policy, price order, offers and pressure.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::description::{AccountConfig, ModelConfig};
use foldhaven_core::ids::{DataCentreName, IncarnationId, UpstreamName};
use foldhaven_core::load::{EngineView, EstimateCalibration, RecentWork};
use foldhaven_core::membership::{CentreSummary, ModelCapacity, VmAddresses, VmContact};
use foldhaven_core::offers::{OfferDemand, OfferTracker, divide_spare};
use foldhaven_core::planner::{
    CentreView, LocalRouteState, RoutePlan, RouteQuery, RouteTarget, RouteView,
};
use foldhaven_core::policy::PolicyKind;
use foldhaven_core::time::MonoTime;
use proptest::prelude::*;

use crate::support::{engine, index, now};

#[derive(Default)]
struct TestState {
    ejected: Vec<&'static str>,
    cached: BTreeMap<UpstreamName, u64>,
    offered: u32,
    density: f64,
}

impl LocalRouteState for TestState {
    fn recent_work(&self, _: &EngineView) -> RecentWork {
        RecentWork::default()
    }
    fn cached_tokens(&self, engine: &UpstreamName, _: &[u64], _: MonoTime) -> u64 {
        self.cached.get(engine).copied().unwrap_or_default()
    }
    fn is_offered(&self, _: &DataCentreName, _: &ModelConfig, _: MonoTime) -> bool {
        self.offered > 0
    }
    fn worth_density(&self, _: &ModelConfig) -> f64 {
        self.density
    }
    fn is_ejected(&self, name: &str, _: MonoTime) -> bool {
        self.ejected.contains(&name)
    }
    fn estimate_calibration(&self) -> EstimateCalibration {
        EstimateCalibration::default()
    }
    fn fairness_factor(&self, _: &AccountConfig) -> f64 {
        1.0
    }
}

/// Returns the routing view of `north-1`, in which `south-1` has `free` free slots.
fn view(engines: Vec<EngineView>, free: u32) -> RouteView {
    let address = "127.0.0.1:1".parse().unwrap();
    let summary = CentreSummary {
        data_centre: "south-1".parse().unwrap(),
        author: "s".parse().unwrap(),
        version: (IncarnationId(1), 1),
        age_ms: 0,
        stamps: None,
        vms: vec![VmContact {
            vm: "s".parse().unwrap(),
            incarnation: IncarnationId(1),
            addresses: VmAddresses { caller: address, peer: address, control: address },
        }],
        serving: 1,
        models: vec![ModelCapacity {
            model: "writer".parse().unwrap(),
            slots: 4,
            free,
            wait_ms: 0,
        }],
        services: Vec::new(),
        offers: Vec::new(),
    };
    RouteView {
        index: index(),
        centre: "north-1".parse().unwrap(),
        engines,
        centres: vec![CentreView { summary: Arc::new(summary), observed: now() }],
    }
}

fn plan(
    kind: PolicyKind,
    account: &str,
    view: &RouteView,
    state: &TestState,
    worth: f64,
) -> RoutePlan {
    let index = view.index.clone();
    let account = index.account(&account.parse().unwrap()).unwrap();
    let class = index.class(&"digest".parse().unwrap()).unwrap();
    let query = RouteQuery {
        account,
        class,
        model: index.model(&"writer".parse().unwrap()).unwrap(),
        rule: index.residency_of(account, class).unwrap(),
        worth,
        remaining: Duration::from_secs(5),
        prompt_tokens: 2_000,
        output_tokens: 100,
        blocks: &[],
        is_origin: true,
        excluded: &[],
    };
    kind.build().plan(&query, view, state, now(), 0.3)
}

fn first(plan: &RoutePlan) -> Option<&str> {
    plan.choice().map(|option| option.target.name())
}

proptest! {
    /// No policy ever offers an option in a region that the rule does not permit, however idle the
    /// region is.
    #[test]
    fn residency_holds_under_every_policy(busy in 0u32..400, free in 0u32..5, offered in 0u32..9) {
        let view = view(vec![engine("e1", busy, busy * 1_000)], free);
        let state = TestState { offered, ..TestState::default() };
        for kind in [PolicyKind::Planner, PolicyKind::Home, PolicyKind::Random, PolicyKind::LeastLoaded] {
            let plan = plan(kind, "sealed", &view, &state, 10.0);
            let has_remote_option = plan.options.iter().any(|it| matches!(it.target, RouteTarget::Centre(_)));
            prop_assert!(!has_remote_option);
        }
    }

    /// The slices of an offer never exceed the spare capacity, and there are at most 8 of them.
    #[test]
    fn offers_never_exceed_the_spare_capacity(spare in 0u32..200, weights in proptest::collection::vec(0.0f64..9.0, 0..20)) {
        let demands: Vec<OfferDemand> = weights.iter().enumerate().map(|(at, weight)| OfferDemand {
            centre: format!("c{at}").parse().unwrap(),
            weight: *weight,
            seen_for: Duration::from_secs(60),
        }).collect();
        let offers = divide_spare(&"writer".parse().unwrap(), spare, &demands);
        prop_assert!(offers.iter().map(|offer| offer.slots).sum::<u32>() <= spare);
        prop_assert!(offers.len() <= 8);
    }
}

#[test]
fn a_cached_prefix_outweighs_a_short_wait_but_not_a_long_one() {
    let mut state = TestState::default();
    state.cached.insert("e1".parse().unwrap(), 2_000);
    let idle = view(vec![engine("e1", 3, 900), engine("e2", 0, 0)], 0);
    assert_eq!(first(&plan(PolicyKind::Planner, "bar", &idle, &state, 10.0)), Some("e1"));
    let queued = view(vec![engine("e1", 24, 24_000), engine("e2", 0, 0)], 0);
    assert_eq!(first(&plan(PolicyKind::Planner, "bar", &queued, &state, 10.0)), Some("e2"));
}

#[test]
fn a_request_leaves_its_home_only_with_an_offer_and_when_home_would_be_late() {
    let busy = view(vec![engine("e1", 60, 90_000)], 4);
    let offered = TestState { offered: 1, ..TestState::default() };
    assert_eq!(first(&plan(PolicyKind::Planner, "bar", &busy, &offered, 10.0)), Some("south-1"));
    let no_offer = TestState::default();
    assert_eq!(first(&plan(PolicyKind::Planner, "bar", &busy, &no_offer, 10.0)), None);
    let idle = view(vec![engine("e1", 0, 0)], 4);
    assert_eq!(first(&plan(PolicyKind::Planner, "bar", &idle, &offered, 10.0)), Some("e1"));
}

#[test]
fn a_request_that_cannot_be_on_time_is_refused_with_a_retry_delay() {
    let late = view(vec![engine("e1", 100, 200_000)], 0);
    let plan = plan(PolicyKind::Planner, "sealed", &late, &TestState::default(), 10.0);
    assert!(plan.choice().is_none() && plan.any_permitted);
    assert!(plan.retry_after > Duration::from_secs(1), "{:?}", plan.retry_after);
}

#[test]
fn requests_of_low_worth_are_refused_while_others_wait() {
    // The wait is 1.25 s of 5 s, and the mean worth of a slot second is 8.
    let waiting = view(vec![engine("e1", 8, 8_000)], 0);
    let state = TestState { density: 8.0, ..TestState::default() };
    assert_eq!(first(&plan(PolicyKind::Planner, "sealed", &waiting, &state, 1.0)), None);
    assert_eq!(first(&plan(PolicyKind::Planner, "sealed", &waiting, &state, 50.0)), Some("e1"));
    let idle = view(vec![engine("e1", 0, 0)], 0);
    assert_eq!(first(&plan(PolicyKind::Planner, "sealed", &idle, &state, 1.0)), Some("e1"));
}

#[test]
fn a_slice_is_spent_refills_at_its_rate_and_expires() {
    let (centre, model) = ("south-1".parse().unwrap(), "writer".parse().unwrap());
    let at = |millis| now() + Duration::from_millis(millis);
    let mut tracker = OfferTracker::default();
    tracker.update_slice(&centre, &model, 4, 2, (now(), at(3_000)));
    // The burst is two slots for half a second: four requests of 300 ms are sent, then no more.
    let sent = (0..20)
        .filter(|_| {
            let is_available = tracker.is_available(&centre, &model, now());
            if is_available {
                tracker.spend(&centre, &model, Duration::from_millis(300), now());
            }
            is_available
        })
        .count();
    assert_eq!(sent, 4);
    tracker.update_slice(&centre, &model, 4, 2, (now(), at(3_000)));
    assert!(!tracker.is_available(&centre, &model, now()), "an unchanged slice does not refill");
    assert!(tracker.is_available(&centre, &model, at(300)));
    assert!(!tracker.is_available(&centre, &model, at(3_000)), "expired");
    tracker.exhaust(&centre, &model, at(300));
    assert!(
        !tracker.is_available(&centre, &model, at(600))
            && tracker.is_available(&centre, &model, at(900))
    );
}

#[test]
fn an_ejected_engine_is_used_only_if_all_are_ejected() {
    let two = view(vec![engine("e1", 0, 0), engine("e2", 3, 900)], 0);
    let one_failed = TestState { ejected: vec!["e1"], ..TestState::default() };
    assert_eq!(first(&plan(PolicyKind::Planner, "bar", &two, &one_failed, 10.0)), Some("e2"));
    let all_failed = TestState { ejected: vec!["e1", "e2"], ..TestState::default() };
    let elsewhere = plan(PolicyKind::Planner, "bar", &two, &all_failed, 10.0);
    assert_eq!(
        first(&elsewhere),
        Some("south-1"),
        "without a healthy local engine, another data centre needs no offer"
    );
    let sealed = plan(PolicyKind::Planner, "sealed", &two, &all_failed, 10.0);
    assert_eq!(
        first(&sealed),
        Some("e1"),
        "an ejected engine is used if nothing else is permitted"
    );
}
