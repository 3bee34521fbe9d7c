//! Where a request runs: every permitted place is priced, and the cheapest one is taken unless a
//! refusal is cheaper.
//!
//! All prices are on the scale of the description's objective: worth lost to lateness, share sent
//! away, and cost. `foldhavenctl explain` prints exactly these numbers.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::description::{
    AccountConfig, ClassConfig, DescriptionIndex, ModelConfig, ObjectiveConfig,
};
use crate::ids::{DataCentreName, RegionName, UpstreamName};
use crate::load::{
    EngineView, EstimateCalibration, RecentWork, WorkSize, chance_late, expected_wait,
};
use crate::membership::{CentreSummary, ModelCapacity};
use crate::residency::ResidencyRule;
use crate::time::MonoTime;

/// Another data centre in the view by which requests are routed.
#[derive(Debug, Clone)]
pub struct CentreView {
    /// Its freshest summary.
    pub summary: Arc<CentreSummary>,
    /// When the summary's content was true, on this process's clock.
    pub observed: MonoTime,
}

/// Everything shared that a decision reads; made by the control thread, never changed.
#[derive(Debug, Clone)]
pub struct RouteView {
    /// The description in force.
    pub index: Arc<DescriptionIndex>,
    /// This data centre.
    pub centre: DataCentreName,
    /// The engines of this data centre that take new work.
    pub engines: Vec<EngineView>,
    /// The other data centres.
    pub centres: Vec<CentreView>,
}

/// What the traffic threads know and the view does not show yet.
pub trait LocalRouteState {
    /// Work dispatched to an engine since its report was true.
    fn recent_work(&self, engine: &EngineView) -> RecentWork;
    /// Tokens at the start of the prompt that the engine probably holds.
    fn cached_tokens(&self, engine: &UpstreamName, blocks: &[u64], now: MonoTime) -> u64;
    /// Whether a request may be sent to another data centre now.
    fn is_offered(&self, centre: &DataCentreName, model: &ModelConfig, now: MonoTime) -> bool;
    /// Whether an upstream or data centre gets nothing for now, because calls to it failed.
    fn is_ejected(&self, target: &str, now: MonoTime) -> bool;
    /// How far estimates have been off.
    fn estimate_calibration(&self) -> EstimateCalibration;
    /// The mean worth of a slot second of a model lately.
    fn worth_density(&self, model: &ModelConfig) -> f64;
    /// What the price of scarce capacity is to be multiplied by for an account, by what it used lately.
    fn fairness_factor(&self, account: &AccountConfig) -> f64;
}

/// One request, as far as the decision needs to know it.
#[derive(Debug, Clone)]
pub struct RouteQuery<'a> {
    /// The account.
    pub account: &'a AccountConfig,
    /// The class.
    pub class: &'a ClassConfig,
    /// The model.
    pub model: &'a ModelConfig,
    /// The residency rule that holds.
    pub rule: &'a ResidencyRule,
    /// What the request is worth when it is on time.
    pub worth: f64,
    /// The time until the deadline.
    pub remaining: Duration,
    /// The tokens of the prompt.
    pub prompt_tokens: u64,
    /// The most tokens that the answer may have.
    pub output_tokens: u64,
    /// The prefix blocks of the prompt.
    pub blocks: &'a [u64],
    /// Whether this daemon is the origin and so may send the request to another data centre.
    pub is_origin: bool,
    /// Targets that were tried already.
    pub excluded: &'a [String],
}

/// A place where a request can run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteTarget {
    /// An engine of this data centre.
    Engine(UpstreamName),
    /// Another data centre.
    Centre(DataCentreName),
}

impl RouteTarget {
    /// The name of the engine or data centre.
    pub fn name(&self) -> &str {
        match self {
            Self::Engine(name) => name.as_str(),
            Self::Centre(name) => name.as_str(),
        }
    }
}

/// The parts of the price of one option.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutePrice {
    /// Worth lost to lateness: weight × worth × chance of being late.
    pub lateness: f64,
    /// Being sent away from the home region.
    pub away: f64,
    /// Slot time at the price of the region.
    pub cost: f64,
    /// Slot time at the price of scarce capacity.
    pub pressure: f64,
}

impl RoutePrice {
    /// The whole price.
    pub fn total(&self) -> f64 {
        self.lateness + self.away + self.cost + self.pressure
    }
}

/// A priced place.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteOption {
    /// The place.
    pub target: RouteTarget,
    /// The time until the whole answer is expected at the caller.
    pub estimate: Duration,
    /// The part of it that is spent waiting for a slot.
    pub wait: Duration,
    /// The time of one slot that the request needs.
    pub slot_time: Duration,
    /// Tokens of the prompt that the place probably holds.
    pub cached_tokens: u64,
    /// The chance of being late, 0 to 1.
    pub chance_late: f64,
    /// The price.
    pub price: RoutePrice,
}

/// A request that is late with this chance is refused now: its worth would not be delivered.
pub const MAX_CHANCE_LATE: f64 = 0.9;

/// All options of one request, cheapest first, and what a refusal costs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutePlan {
    /// The options.
    pub options: Vec<RouteOption>,
    /// The price of refusing: all worth is lost.
    pub refusal: f64,
    /// Whether any place was permitted by residency and held the model.
    pub any_permitted: bool,
    /// The shortest time after which asking again makes sense.
    #[serde(rename = "come_back")]
    pub retry_after: Duration,
}

impl RoutePlan {
    /// The best option, unless refusing is cheaper or it would be late almost certainly.
    pub fn choice(&self) -> Option<&RouteOption> {
        let taken = |option: &&RouteOption| {
            self.refusal.is_infinite()
                || (option.price.total() < self.refusal && option.chance_late < MAX_CHANCE_LATE)
        };
        self.options.first().filter(taken)
    }
}

/// Ways to decide where requests run.
pub trait RoutePolicy: Send + Sync {
    /// Prices all places for one request. `draw` is uniform in 0..1.
    fn plan(
        &self,
        query: &RouteQuery<'_>,
        view: &RouteView,
        facts: &dyn LocalRouteState,
        now: MonoTime,
        draw: f64,
    ) -> RoutePlan;
}

/// The policy of foldhaven.
#[derive(Debug, Default)]
pub struct RoutePlanner;

impl RoutePolicy for RoutePlanner {
    fn plan(
        &self,
        query: &RouteQuery<'_>,
        view: &RouteView,
        facts: &dyn LocalRouteState,
        now: MonoTime,
        _draw: f64,
    ) -> RoutePlan {
        let pricer = OptionPricer { query, view, facts, now, error: facts.estimate_calibration() };
        let (mut options, ejected) = pricer.engine_options();
        let mut any_permitted = !options.is_empty() || !ejected.is_empty();
        if query.is_origin {
            let (centres, permitted) = pricer.centre_options();
            any_permitted |= permitted;
            options.extend(centres);
        }
        if options.is_empty() {
            // When everything failed lately, the requests are more likely at fault than the engines.
            options = ejected;
        }
        options.sort_by(|left, right| left.price.total().total_cmp(&right.price.total()));
        let retry_after = come_back_time(&options, query.remaining);
        let refusal = view.index.description.objective.lateness * query.worth;
        RoutePlan { options, refusal, any_permitted, retry_after }
    }
}

/// The time after which the queue of the best option will have shrunk enough for this deadline.
fn come_back_time(options: &[RouteOption], remaining: Duration) -> Duration {
    const WITHOUT_OPTIONS: Duration = Duration::from_secs(1);
    let excess = options.iter().map(|option| option.estimate.saturating_sub(remaining));
    let shortest = excess.min().unwrap_or(WITHOUT_OPTIONS);
    let wait = options.iter().map(|option| option.wait).min().unwrap_or_default();
    shortest.max(wait / 4)
}

/// The part of its time for which a request of mean worth waits before it is refused.
const WAIT_LIMIT: f64 = 0.5;
/// How much more requests from elsewhere pay for scarce capacity.
const AWAY_FACTOR: f64 = 1.5;

struct OptionPricer<'a> {
    query: &'a RouteQuery<'a>,
    view: &'a RouteView,
    facts: &'a dyn LocalRouteState,
    now: MonoTime,
    error: EstimateCalibration,
}

impl OptionPricer<'_> {
    fn objective(&self) -> &ObjectiveConfig {
        &self.view.index.description.objective
    }

    fn permits(&self, region: &RegionName) -> bool {
        self.query.rule.permits(&self.query.account.home, region)
    }

    fn is_tried(&self, name: &str) -> bool {
        self.query.excluded.iter().any(|it| it == name)
    }

    /// Options at engines here: those that are trusted, and those that failed lately.
    fn engine_options(&self) -> (Vec<RouteOption>, Vec<RouteOption>) {
        let region = self.view.index.region_of(&self.view.centre);
        let Some(region) = region.filter(|region| self.permits(region)) else {
            return (Vec::new(), Vec::new());
        };
        let name = |engine: &&EngineView| engine.load.engine.as_str().to_owned();
        let engines = self.view.engines.iter();
        let engines = engines.filter(|engine| engine.load.holds(self.query.model));
        let untried = engines.filter(|engine| !self.is_tried(&name(engine)));
        let is_ejected = |engine: &&EngineView| self.facts.is_ejected(&name(engine), self.now);
        let (ejected, trusted): (Vec<&EngineView>, Vec<&EngineView>) =
            untried.partition(is_ejected);
        let price = |engines: Vec<&EngineView>| {
            engines.into_iter().map(|engine| self.engine_option(engine, region)).collect()
        };
        (price(trusted), price(ejected))
    }

    fn engine_option(&self, engine: &EngineView, region: &RegionName) -> RouteOption {
        let query = self.query;
        let name = &engine.load.engine;
        let cached = self.facts.cached_tokens(name, query.blocks, self.now);
        let cached = cached.min(query.prompt_tokens);
        let wait = expected_wait(engine, self.facts.recent_work(engine), self.now);
        let network = self.view.index.description.network.caller.0;
        let target = RouteTarget::Engine(name.clone());
        self.price(target, region, cached, wait, network * 2, &self.view.centre)
    }

    /// Options in other data centres, and whether any was permitted at all.
    fn centre_options(&self) -> (Vec<RouteOption>, bool) {
        let mut options = Vec::new();
        let mut permitted = false;
        for centre in &self.view.centres {
            let name = &centre.summary.data_centre;
            let Some(region) = self.view.index.region_of(name) else { continue };
            let model = &self.query.model.name;
            let capacity = centre.summary.models.iter().find(|it| it.model == *model);
            let Some(capacity) = capacity.filter(|it| it.slots > 0) else { continue };
            if !self.permits(region) || centre.summary.vms.is_empty() {
                continue;
            }
            permitted = true;
            let ejected = self.facts.is_ejected(name.as_str(), self.now);
            if !self.is_tried(name.as_str()) && !ejected && self.is_offered(name) {
                options.push(self.centre_option(name, region, capacity));
            }
        }
        (options, permitted)
    }

    /// Whether this data centre may send there now: within its lease, or because no engine
    /// of its own can be used for the model, or because the request may not run here.
    fn is_offered(&self, centre: &DataCentreName) -> bool {
        if self.facts.is_offered(centre, self.query.model, self.now) {
            return true;
        }
        let here = self.view.index.region_of(&self.view.centre);
        let own_engine = self.view.engines.iter().any(|engine| {
            let name = engine.load.engine.as_str();
            let is_open = !self.is_tried(name) && !self.facts.is_ejected(name, self.now);
            is_open && engine.load.holds(self.query.model)
        });
        !own_engine || !here.is_some_and(|region| self.permits(region))
    }

    fn centre_option(
        &self,
        centre: &DataCentreName,
        region: &RegionName,
        capacity: &ModelCapacity,
    ) -> RouteOption {
        let network = &self.view.index.description.network;
        let here = self.view.index.region_of(&self.view.centre);
        let one_way = match here == Some(region) {
            true => network.same_region.0,
            false => network.cross_region.0,
        };
        let wait = Duration::from_millis(capacity.wait_ms.into());
        let target = RouteTarget::Centre(centre.clone());
        self.price(target, region, 0, wait, (network.caller.0 + one_way) * 2, centre)
    }

    fn price(
        &self,
        target: RouteTarget,
        region: &RegionName,
        cached_tokens: u64,
        wait: Duration,
        network: Duration,
        centre: &DataCentreName,
    ) -> RouteOption {
        let query = self.query;
        let cold_tokens = query.prompt_tokens.saturating_sub(cached_tokens);
        let work = WorkSize { cold_tokens, output_tokens: query.output_tokens };
        let slot_time = work.slot_time(query.model);
        let estimate = (network + wait + slot_time).mul_f64(self.error.bias());
        let late = chance_late(estimate, query.remaining, self.error.spread());
        let objective = self.objective();
        let is_away = *region != query.account.home;
        let local = matches!(target, RouteTarget::Engine(_));
        let pressure = if local { self.pressure(wait, is_away) } else { 0.0 };
        let price = RoutePrice {
            lateness: objective.lateness * query.worth * late,
            away: if is_away { objective.away } else { 0.0 },
            cost: objective.cost * slot_time.as_secs_f64() * self.view.index.price_of(centre),
            pressure: pressure * slot_time.as_secs_f64(),
        };
        RouteOption { target, estimate, wait, slot_time, cached_tokens, chance_late: late, price }
    }

    /// The price of a slot second that others wait for.
    ///
    /// It is in proportion to the wait: where a request would spend [`WAIT_LIMIT`] of its time
    /// waiting, a slot second costs as much as it brings in on average, so that requests of mean
    /// worth are refused and the queue stays that short. Accounts that used more than their part
    /// pay more, and so do requests from elsewhere, so that these give way first.
    fn pressure(&self, wait: Duration, is_away: bool) -> f64 {
        let limit = self.query.remaining.mul_f64(WAIT_LIMIT);
        let share = wait.as_secs_f64() / limit.as_secs_f64().max(1e-3);
        let base = share * self.facts.worth_density(self.query.model);
        let base = base * self.facts.fairness_factor(self.query.account);
        if is_away { base * AWAY_FACTOR } else { base }
    }
}
