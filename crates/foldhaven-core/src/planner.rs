//! Routing of model requests: every permitted target is priced, and the cheapest one is chosen
//! unless a refusal is cheaper.
//!
//! All prices are on the scale of the description's objective: worth lost to lateness, requests
//! sent away from their home region, and cost. `foldhavenctl explain` prints these prices.

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

/// Another data centre in the routing view.
#[derive(Debug, Clone)]
pub struct CentreView {
    /// The data centre's freshest summary.
    pub summary: Arc<CentreSummary>,
    /// When the summary's content was true, on this process's clock.
    pub observed: MonoTime,
}

/// Immutable snapshot of the shared state for routing decisions, built by the control thread.
#[derive(Debug, Clone)]
pub struct RouteView {
    /// The adopted description, by which requests are routed.
    pub index: Arc<DescriptionIndex>,
    /// This data centre.
    pub centre: DataCentreName,
    /// The engines of this data centre that accept new work.
    pub engines: Vec<EngineView>,
    /// The other data centres.
    pub centres: Vec<CentreView>,
}

/// State of this process's traffic threads that the [`RouteView`] does not contain yet.
pub trait LocalRouteState {
    /// Returns the work dispatched to an engine since the engine's report was observed.
    fn recent_work(&self, engine: &EngineView) -> RecentWork;
    /// Returns the number of tokens at the start of the prompt that the engine probably caches.
    fn cached_tokens(&self, engine: &UpstreamName, blocks: &[u64], now: MonoTime) -> u64;
    /// Returns whether an offer allows sending a request to another data centre now.
    fn is_offered(&self, centre: &DataCentreName, model: &ModelConfig, now: MonoTime) -> bool;
    /// Returns whether an upstream or data centre is ejected: it gets no requests for now because
    /// calls to it failed.
    fn is_ejected(&self, target: &str, now: MonoTime) -> bool;
    /// Returns the observed bias and spread of estimates.
    fn estimate_calibration(&self) -> EstimateCalibration;
    /// Returns the moving average of the worth of one slot second of a model.
    fn worth_density(&self, model: &ModelConfig) -> f64;
    /// Returns the factor by which an account's price of scarce capacity is multiplied, given its
    /// recent usage.
    fn fairness_factor(&self, account: &AccountConfig) -> f64;
}

/// The properties of a request that a routing decision depends on.
#[derive(Debug, Clone)]
pub struct RouteQuery<'a> {
    /// The account that sent the request.
    pub account: &'a AccountConfig,
    /// The class of the request.
    pub class: &'a ClassConfig,
    /// The model that must answer the request.
    pub model: &'a ModelConfig,
    /// The residency rule of the request.
    pub rule: &'a ResidencyRule,
    /// The worth of the request if it completes on time.
    pub worth: f64,
    /// The time until the deadline.
    pub remaining: Duration,
    /// The number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// The maximum number of tokens of the answer.
    pub output_tokens: u64,
    /// The hashes of the prompt's prefix blocks.
    pub blocks: &'a [u64],
    /// Whether this daemon is the origin. Only the origin may send the request to another data
    /// centre.
    pub is_origin: bool,
    /// The names of targets that were tried already.
    pub excluded: &'a [String],
}

/// A target on which a request can run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteTarget {
    /// An engine of this data centre or, for a service request, an instance of the service.
    Engine(UpstreamName),
    /// Another data centre.
    Centre(DataCentreName),
}

impl RouteTarget {
    /// Returns the name of the engine or data centre.
    pub fn name(&self) -> &str {
        match self {
            Self::Engine(name) => name.as_str(),
            Self::Centre(name) => name.as_str(),
        }
    }
}

/// The components of the price of an option.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutePrice {
    /// Worth lost to lateness: weight × worth × probability of being late.
    pub lateness: f64,
    /// The price of running outside the home region.
    pub away: f64,
    /// Slot time at the price of the region.
    pub cost: f64,
    /// Slot time at the price of scarce capacity.
    pub pressure: f64,
}

impl RoutePrice {
    /// Returns the sum of the components.
    pub fn total(&self) -> f64 {
        self.lateness + self.away + self.cost + self.pressure
    }
}

/// A target with its estimates and its price.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteOption {
    /// The target.
    pub target: RouteTarget,
    /// The estimated time until the caller has the whole answer.
    pub estimate: Duration,
    /// The estimated wait for a slot, which `estimate` includes.
    pub wait: Duration,
    /// The slot time that the request needs.
    pub slot_time: Duration,
    /// The number of prompt tokens that the target probably caches.
    pub cached_tokens: u64,
    /// The probability of being late, 0 to 1.
    pub chance_late: f64,
    /// The price by which the target is compared with the others.
    pub price: RoutePrice,
}

/// Probability of being late from which a request is refused at once, since its worth would almost
/// certainly be lost.
pub const MAX_CHANCE_LATE: f64 = 0.9;

/// The options of a request, cheapest first, and the price of refusing it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutePlan {
    /// The targets that can run the request, cheapest first.
    pub options: Vec<RouteOption>,
    /// The price of refusing: the whole worth is lost.
    pub refusal: f64,
    /// Whether any target was permitted by residency and held the model.
    pub any_permitted: bool,
    /// The shortest time after which a retry may succeed.
    #[serde(rename = "come_back")]
    pub retry_after: Duration,
}

impl RoutePlan {
    /// Returns the cheapest option, or `None` if refusing is cheaper or the option would almost
    /// certainly be late.
    pub fn choice(&self) -> Option<&RouteOption> {
        let is_acceptable = |option: &&RouteOption| {
            self.refusal.is_infinite()
                || (option.price.total() < self.refusal && option.chance_late < MAX_CHANCE_LATE)
        };
        self.options.first().filter(is_acceptable)
    }
}

/// A routing policy for model requests.
pub trait RoutePolicy: Send + Sync {
    /// Prices all targets for one request. `draw` is a uniform random number in 0..1.
    fn plan(
        &self,
        query: &RouteQuery<'_>,
        view: &RouteView,
        local: &dyn LocalRouteState,
        now: MonoTime,
        draw: f64,
    ) -> RoutePlan;
}

/// The default policy, which minimizes the price of each request.
#[derive(Debug, Default)]
pub struct RoutePlanner;

impl RoutePolicy for RoutePlanner {
    fn plan(
        &self,
        query: &RouteQuery<'_>,
        view: &RouteView,
        local: &dyn LocalRouteState,
        now: MonoTime,
        _draw: f64,
    ) -> RoutePlan {
        let pricer =
            OptionPricer { query, view, local, now, calibration: local.estimate_calibration() };
        let (mut options, ejected) = pricer.engine_options();
        let mut any_permitted = !options.is_empty() || !ejected.is_empty();
        if query.is_origin {
            let (centres, permitted) = pricer.centre_options();
            any_permitted |= permitted;
            options.extend(centres);
        }
        if options.is_empty() {
            // Only ejected engines are left. If all of them failed, the requests are more likely at
            // fault than the engines.
            options = ejected;
        }
        options.sort_by(|left, right| left.price.total().total_cmp(&right.price.total()));
        let retry_after = retry_delay(&options, query.remaining);
        let refusal = view.index.description.objective.lateness * query.worth;
        RoutePlan { options, refusal, any_permitted, retry_after }
    }
}

/// Returns the time by which the fastest option exceeds the deadline, but at least a quarter of the
/// shortest wait for a slot. Returns 1 s if there are no options.
fn retry_delay(options: &[RouteOption], remaining: Duration) -> Duration {
    const DELAY_WITHOUT_OPTIONS: Duration = Duration::from_secs(1);
    let excess = options.iter().map(|option| option.estimate.saturating_sub(remaining));
    let shortest = excess.min().unwrap_or(DELAY_WITHOUT_OPTIONS);
    let wait = options.iter().map(|option| option.wait).min().unwrap_or_default();
    shortest.max(wait / 4)
}

/// Share of its remaining time that a request of mean worth may wait for a slot; beyond it the
/// request is refused.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Factor on the price of scarce capacity for requests whose home is another region.
const AWAY_FROM_HOME_FACTOR: f64 = 1.5;

struct OptionPricer<'a> {
    query: &'a RouteQuery<'a>,
    view: &'a RouteView,
    local: &'a dyn LocalRouteState,
    now: MonoTime,
    calibration: EstimateCalibration,
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

    /// Returns the options at engines of this data centre: those that are not ejected, and those
    /// that are.
    fn engine_options(&self) -> (Vec<RouteOption>, Vec<RouteOption>) {
        let region = self.view.index.region_of(&self.view.centre);
        let Some(region) = region.filter(|region| self.permits(region)) else {
            return (Vec::new(), Vec::new());
        };
        let name = |engine: &&EngineView| engine.load.engine.as_str().to_owned();
        let engines = self.view.engines.iter();
        let engines = engines.filter(|engine| engine.load.holds(self.query.model));
        let untried = engines.filter(|engine| !self.is_tried(&name(engine)));
        let is_ejected = |engine: &&EngineView| self.local.is_ejected(&name(engine), self.now);
        let (ejected, healthy): (Vec<&EngineView>, Vec<&EngineView>) =
            untried.partition(is_ejected);
        let price = |engines: Vec<&EngineView>| {
            engines.into_iter().map(|engine| self.engine_option(engine, region)).collect()
        };
        (price(healthy), price(ejected))
    }

    fn engine_option(&self, engine: &EngineView, region: &RegionName) -> RouteOption {
        let query = self.query;
        let name = &engine.load.engine;
        let cached = self.local.cached_tokens(name, query.blocks, self.now);
        let cached = cached.min(query.prompt_tokens);
        let wait = expected_wait(engine, self.local.recent_work(engine), self.now);
        let network = self.view.index.description.network.caller.0;
        let target = RouteTarget::Engine(name.clone());
        self.price(target, region, cached, wait, network * 2, &self.view.centre)
    }

    /// Returns the options in other data centres, and whether any of these data centres was
    /// permitted.
    fn centre_options(&self) -> (Vec<RouteOption>, bool) {
        let mut options = Vec::new();
        let mut any_permitted = false;
        for centre in &self.view.centres {
            let name = &centre.summary.data_centre;
            let Some(region) = self.view.index.region_of(name) else { continue };
            let model = &self.query.model.name;
            let capacity = centre.summary.models.iter().find(|it| it.model == *model);
            let Some(capacity) = capacity.filter(|it| it.slots > 0) else { continue };
            if !self.permits(region) || centre.summary.vms.is_empty() {
                continue;
            }
            any_permitted = true;
            let is_ejected = self.local.is_ejected(name.as_str(), self.now);
            if !self.is_tried(name.as_str()) && !is_ejected && self.may_send_to(name) {
                options.push(self.centre_option(name, region, capacity));
            }
        }
        (options, any_permitted)
    }

    /// Returns whether this data centre may send the request to `centre` now: an offer covers it,
    /// no local engine is usable for the model, or the request may not run here.
    fn may_send_to(&self, centre: &DataCentreName) -> bool {
        if self.local.is_offered(centre, self.query.model, self.now) {
            return true;
        }
        let here = self.view.index.region_of(&self.view.centre);
        let has_local_engine = self.view.engines.iter().any(|engine| {
            let name = engine.load.engine.as_str();
            let is_usable = !self.is_tried(name) && !self.local.is_ejected(name, self.now);
            is_usable && engine.load.holds(self.query.model)
        });
        !has_local_engine || !here.is_some_and(|region| self.permits(region))
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
        let estimate = (network + wait + slot_time).mul_f64(self.calibration.bias());
        let late = chance_late(estimate, query.remaining, self.calibration.spread());
        let objective = self.objective();
        let is_away_from_home = *region != query.account.home;
        let is_local = matches!(target, RouteTarget::Engine(_));
        let pressure = if is_local { self.pressure(wait, is_away_from_home) } else { 0.0 };
        let price = RoutePrice {
            lateness: objective.lateness * query.worth * late,
            away: if is_away_from_home { objective.away } else { 0.0 },
            cost: objective.cost * slot_time.as_secs_f64() * self.view.index.price_of(centre),
            pressure: pressure * slot_time.as_secs_f64(),
        };
        RouteOption { target, estimate, wait, slot_time, cached_tokens, chance_late: late, price }
    }

    /// Returns the price of a slot second for which other requests wait.
    ///
    /// The price is proportional to the wait. Where a request would spend [`MAX_WAIT_SHARE`] of its
    /// remaining time waiting, a slot second costs its mean worth, so that requests of mean worth
    /// are refused and the queue grows no longer. Accounts that used more than their share pay
    /// more, and so do requests from other regions, so that these are refused first.
    fn pressure(&self, wait: Duration, is_away_from_home: bool) -> f64 {
        let limit = self.query.remaining.mul_f64(MAX_WAIT_SHARE);
        let wait_share = wait.as_secs_f64() / limit.as_secs_f64().max(1e-3);
        let base = wait_share * self.local.worth_density(self.query.model);
        let base = base * self.local.fairness_factor(self.query.account);
        if is_away_from_home { base * AWAY_FROM_HOME_FACTOR } else { base }
    }
}
