//! What the traffic threads know and the view does not show yet.

use std::collections::BTreeMap;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::description::{AccountConfig, ModelConfig};
use foldhaven_core::fairness::UsageTracker;
use foldhaven_core::health::HealthTracker;
use foldhaven_core::ids::{DataCentreName, ModelName, UpstreamName};
use foldhaven_core::load::{EngineView, EstimateCalibration, RecentWork};
use foldhaven_core::offers::{OFFER_LIFETIME, OfferTracker};
use foldhaven_core::planner::LocalRouteState;
use foldhaven_core::prefix::PrefixIndex;
use foldhaven_core::retry::RetryBudget;
use foldhaven_core::time::MonoTime;
use parking_lot::Mutex;

const PREFIX_BLOCKS: NonZeroUsize = NonZeroUsize::new(65_536).expect("the number is not zero");
const PREFIX_LIFETIME: Duration = Duration::from_secs(600);
/// Dispatched work is remembered for this long at most; reports are younger.
const RECENT_LIFETIME: Duration = Duration::from_secs(10);
const RETRY_SHARE: f64 = 0.1;
const RETRY_CAP: f64 = 20.0;

/// One piece of work that this daemon gave to an engine.
#[derive(Debug, Clone, Copy)]
struct DispatchedWork {
    at: MonoTime,
    work: Duration,
}

struct FactsInner {
    dispatched: BTreeMap<UpstreamName, Vec<DispatchedWork>>,
    peers: f64,
    prefixes: PrefixIndex,
    offers: OfferTracker,
    health: HealthTracker,
    error: EstimateCalibration,
    usage: UsageTracker,
    retries: RetryBudget,
    density: BTreeMap<ModelName, f64>,
    lent_requests: BTreeMap<ModelName, u32>,
    busy_services: BTreeMap<UpstreamName, u32>,
}

/// The facts, behind one lock that is held for moments only.
#[derive(Clone)]
pub struct TrafficState {
    inner: Arc<Mutex<FactsInner>>,
}

impl Default for TrafficState {
    fn default() -> Self {
        let inner = FactsInner {
            dispatched: BTreeMap::new(),
            peers: 1.0,
            prefixes: PrefixIndex::new(PREFIX_BLOCKS, PREFIX_LIFETIME),
            offers: OfferTracker::default(),
            health: HealthTracker::default(),
            error: EstimateCalibration::default(),
            usage: UsageTracker::default(),
            retries: RetryBudget::new(RETRY_SHARE, RETRY_CAP),
            density: BTreeMap::new(),
            lent_requests: BTreeMap::new(),
            busy_services: BTreeMap::new(),
        };
        Self { inner: Arc::new(Mutex::new(inner)) }
    }
}

impl TrafficState {
    /// Notes work given to an engine, which is now about to hold the prompt's prefix.
    pub fn note_dispatch(
        &self,
        engine: &UpstreamName,
        work: Duration,
        blocks: &[u64],
        now: MonoTime,
    ) {
        let mut inner = self.inner.lock();
        let dispatched = inner.dispatched.entry(engine.clone()).or_default();
        dispatched.retain(|it| now.since(it.at) < RECENT_LIFETIME);
        dispatched.push(DispatchedWork { at: now, work });
        inner.prefixes.insert(engine, blocks, now);
    }

    /// Notes how many VMs of this data centre dispatch to the same engines.
    pub fn set_serving_vms(&self, serving: u32) {
        self.inner.lock().peers = f64::from(serving.max(1));
    }

    /// Takes in a slice of another data centre's spare capacity.
    pub fn update_offer(
        &self,
        from: &DataCentreName,
        model: &ModelName,
        slots: u32,
        members: u32,
        (now, written): (MonoTime, MonoTime),
    ) {
        let span = (now, written + OFFER_LIFETIME);
        self.inner.lock().offers.update_slice(from, model, slots, members, span);
    }

    /// Spends the slot time of one request that is sent to another data centre.
    pub fn spend_offer(
        &self,
        from: &DataCentreName,
        model: &ModelName,
        slot_time: Duration,
        now: MonoTime,
    ) {
        self.inner.lock().offers.spend(from, model, slot_time, now);
    }

    /// Notes that the receiver refused what the slice had promised.
    pub fn void_offer(&self, from: &DataCentreName, model: &ModelName, now: MonoTime) {
        self.inner.lock().offers.exhaust(from, model, now);
    }

    /// Counts a request of another data centre as under way here until the guard is dropped.
    pub fn lend(&self, model: &ModelName) -> LentGuard {
        *self.inner.lock().lent_requests.entry(model.clone()).or_default() += 1;
        LentGuard { facts: self.clone(), model: model.clone() }
    }

    /// Requests of other data centres under way here, by model.
    pub fn lent_requests(&self) -> Vec<(ModelName, u32)> {
        let inner = self.inner.lock();
        inner.lent_requests.iter().map(|(model, count)| (model.clone(), *count)).collect()
    }

    pub fn note_success(&self, target: &str) {
        let mut inner = self.inner.lock();
        inner.health.record_success(target);
        inner.retries.deposit();
    }

    pub fn note_failure(&self, target: &str, severe: bool, now: MonoTime) {
        self.inner.lock().health.record_failure(target, severe, now);
    }

    pub fn take_retry(&self) -> bool {
        self.inner.lock().retries.try_withdraw()
    }

    pub fn note_estimate(&self, estimate: Duration, actual: Duration) -> f64 {
        let mut inner = self.inner.lock();
        inner.error.record(estimate, actual);
        inner.error.spread()
    }

    /// Notes that a request was admitted, for fairness and for the worth of slot time.
    pub fn note_usage(
        &self,
        account: &AccountConfig,
        model: &ModelName,
        worth: f64,
        slot_time: Duration,
        now: MonoTime,
    ) {
        const WEIGHT: f64 = 0.02;
        let mut inner = self.inner.lock();
        inner.usage.record(&account.name, account.share, slot_time, now);
        let density = worth / slot_time.as_secs_f64().max(1e-3);
        let mean = inner.density.entry(model.clone()).or_insert(density);
        *mean += WEIGHT * (density - *mean);
    }

    pub fn record_cache_stored(&self, engine: &UpstreamName, blocks: &[u64], now: MonoTime) {
        self.inner.lock().prefixes.insert(engine, blocks, now);
    }

    pub fn record_cache_evicted(&self, engine: &UpstreamName, blocks: &[u64]) {
        self.inner.lock().prefixes.remove_blocks(engine, blocks);
    }

    pub fn clear_cache(&self, engine: &UpstreamName) {
        self.inner.lock().prefixes.remove_engine(engine);
    }

    /// Counts one call to a service instance as under way until the guard is dropped.
    pub fn enter_service(&self, instance: &UpstreamName) -> ServiceGuard {
        *self.inner.lock().busy_services.entry(instance.clone()).or_default() += 1;
        ServiceGuard { facts: self.clone(), instance: instance.clone() }
    }

    pub fn service_busy(&self, instance: &UpstreamName) -> u32 {
        self.inner.lock().busy_services.get(instance).copied().unwrap_or_default()
    }
}

impl LocalRouteState for TrafficState {
    fn recent_work(&self, engine: &EngineView) -> RecentWork {
        let inner = self.inner.lock();
        let Some(dispatched) = inner.dispatched.get(&engine.load.engine) else {
            return RecentWork::default();
        };
        let since = dispatched.iter().filter(|it| it.at > engine.observed);
        let (count, work) =
            since.fold((0.0, Duration::ZERO), |(count, work), it| (count + 1.0, work + it.work));
        // The other VMs of this data centre choose by the same reports, and so probably gave as
        // much to the same engine in the meantime.
        RecentWork { requests: count * inner.peers, work: work.mul_f64(inner.peers) }
    }

    fn cached_tokens(&self, engine: &UpstreamName, blocks: &[u64], now: MonoTime) -> u64 {
        self.inner.lock().prefixes.cached_tokens(engine, blocks, now)
    }

    fn is_offered(&self, centre: &DataCentreName, model: &ModelConfig, now: MonoTime) -> bool {
        self.inner.lock().offers.is_available(centre, &model.name, now)
    }

    fn worth_density(&self, model: &ModelConfig) -> f64 {
        self.inner.lock().density.get(&model.name).copied().unwrap_or_default()
    }

    fn is_ejected(&self, target: &str, now: MonoTime) -> bool {
        self.inner.lock().health.is_ejected(target, now)
    }

    fn estimate_calibration(&self) -> EstimateCalibration {
        self.inner.lock().error.clone()
    }

    fn fairness_factor(&self, account: &AccountConfig) -> f64 {
        self.inner.lock().usage.price_factor(&account.name, account.share)
    }
}

/// A request of another data centre under way here.
pub struct LentGuard {
    facts: TrafficState,
    model: ModelName,
}

impl Drop for LentGuard {
    fn drop(&mut self) {
        let mut inner = self.facts.inner.lock();
        if let Some(count) = inner.lent_requests.get_mut(&self.model) {
            *count = count.saturating_sub(1);
        }
    }
}

/// A call under way at a service instance.
pub struct ServiceGuard {
    facts: TrafficState,
    instance: UpstreamName,
}

impl Drop for ServiceGuard {
    fn drop(&mut self) {
        let mut inner = self.facts.inner.lock();
        if let Some(busy) = inner.busy_services.get_mut(&self.instance) {
            *busy = busy.saturating_sub(1);
        }
    }
}
