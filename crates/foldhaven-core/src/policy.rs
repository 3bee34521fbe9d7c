//! Routing policies that a daemon's settings select: the planner, and baselines to compare it with.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::planner::{
    LocalRouteState, RouteOption, RoutePlan, RoutePlanner, RoutePolicy, RouteQuery, RouteTarget,
    RouteView,
};
use crate::rank::rank_hash;
use crate::time::MonoTime;

/// The routing policies that a daemon's settings can select.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// The price-minimizing [`RoutePlanner`].
    #[default]
    Planner,
    /// The engine of this data centre with the fewest requests per slot in its last report.
    Home,
    /// A permitted target chosen uniformly at random.
    Random,
    /// The target with the fewest requests per slot in its last report.
    LeastLoaded,
}

impl PolicyKind {
    /// Creates the policy.
    pub fn build(self) -> Box<dyn RoutePolicy> {
        match self {
            Self::Planner => Box::new(RoutePlanner),
            other => Box::new(BaselinePolicy { kind: other }),
        }
    }
}

impl fmt::Display for PolicyKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Planner => "planner",
            Self::Home => "home",
            Self::Random => "random",
            Self::LeastLoaded => "least_loaded",
        })
    }
}

/// unknown policy: expected `planner`, `home`, `random` or `least_loaded`
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct PolicyError;

impl FromStr for PolicyKind {
    type Err = PolicyError;

    fn from_str(text: &str) -> Result<Self, PolicyError> {
        let all = [Self::Planner, Self::Home, Self::Random, Self::LeastLoaded];
        all.into_iter().find(|kind| kind.to_string() == text).ok_or(PolicyError)
    }
}

/// A baseline policy, without estimates, offers, pressure or early refusal.
#[derive(Debug)]
struct BaselinePolicy {
    kind: PolicyKind,
}

impl RoutePolicy for BaselinePolicy {
    fn plan(
        &self,
        query: &RouteQuery<'_>,
        view: &RouteView,
        local: &dyn LocalRouteState,
        now: MonoTime,
        draw: f64,
    ) -> RoutePlan {
        let permissive = PermissiveState { local };
        let mut plan = RoutePlanner.plan(query, view, &permissive, now, draw);
        if self.kind == PolicyKind::Home {
            plan.options.retain(|option| matches!(option.target, RouteTarget::Engine(_)));
        }
        let sort_key = |option: &RouteOption| match self.kind {
            PolicyKind::Random => random_sort_key(option, draw),
            _ => reported_load(option, view),
        };
        plan.options.sort_by(|left, right| sort_key(left).total_cmp(&sort_key(right)));
        plan.refusal = f64::INFINITY;
        plan
    }
}

fn random_sort_key(option: &RouteOption, draw: f64) -> f64 {
    rank_hash(&[option.target.name(), &draw.to_bits().to_string()]) as f64
}

/// Returns the requests per slot of a target, according to its last report.
fn reported_load(option: &RouteOption, view: &RouteView) -> f64 {
    match &option.target {
        RouteTarget::Engine(name) => {
            let engine = view.engines.iter().find(|engine| engine.load.engine == *name);
            engine.map_or(f64::MAX, |engine| {
                let busy = engine.load.running + engine.load.queued;
                f64::from(busy) / f64::from(engine.load.slots.max(1))
            })
        }
        RouteTarget::Centre(name) => {
            let centre = view.centres.iter().find(|it| it.summary.data_centre == *name);
            centre.map_or(f64::MAX, |centre| {
                let slots: u32 = centre.summary.models.iter().map(|it| it.slots).sum();
                let free: u32 = centre.summary.models.iter().map(|it| it.free).sum();
                f64::from(slots - free.min(slots)) / f64::from(slots.max(1))
            })
        }
    }
}

/// Wraps the local route state for baseline policies: every target may be used, and reports count
/// as current and exact. Ejections still apply.
struct PermissiveState<'a> {
    local: &'a dyn LocalRouteState,
}

impl LocalRouteState for PermissiveState<'_> {
    fn recent_work(&self, _engine: &crate::load::EngineView) -> crate::load::RecentWork {
        crate::load::RecentWork::default()
    }

    fn cached_tokens(
        &self,
        _engine: &crate::ids::UpstreamName,
        _blocks: &[u64],
        _now: MonoTime,
    ) -> u64 {
        0
    }

    fn is_offered(
        &self,
        _centre: &crate::ids::DataCentreName,
        _model: &crate::description::ModelConfig,
        _now: MonoTime,
    ) -> bool {
        true
    }

    fn worth_density(&self, _model: &crate::description::ModelConfig) -> f64 {
        0.0
    }

    fn is_ejected(&self, target: &str, now: MonoTime) -> bool {
        self.local.is_ejected(target, now)
    }

    fn estimate_calibration(&self) -> crate::load::EstimateCalibration {
        crate::load::EstimateCalibration::default()
    }

    fn fairness_factor(&self, _account: &crate::description::AccountConfig) -> f64 {
        1.0
    }
}
