//! State of the traffic threads that the published view does not contain yet.

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

/// Maximum number of blocks in the prefix index.
const MAX_PREFIX_BLOCKS: NonZeroUsize = NonZeroUsize::new(65_536).expect("the number is not zero");
/// Time after which an entry of the prefix index expires.
const PREFIX_RETENTION: Duration = Duration::from_secs(600);
/// Retention of dispatched work. Load reports are younger, so older work is contained in them.
const DISPATCH_RETENTION: Duration = Duration::from_secs(10);
/// Retries that each success adds to the retry budget.
const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Maximum number of retries in the retry budget.
const RETRY_CAPACITY: f64 = 20.0;

/// One request that this daemon dispatched to an engine, with its expected slot time.
#[derive(Debug, Clone, Copy)]
struct Dispatch {
    at: MonoTime,
    work: Duration,
}

struct StateInner {
    dispatched: BTreeMap<UpstreamName, Vec<Dispatch>>,
    /// Number of VMs of this data centre that dispatch to the same engines, at least 1.
    serving_vms: f64,
    prefixes: PrefixIndex,
    offers: OfferTracker,
    health: HealthTracker,
    calibration: EstimateCalibration,
    usage: UsageTracker,
    retries: RetryBudget,
    /// Moving average of the worth per slot second of admitted requests, by model.
    worth_density: BTreeMap<ModelName, f64>,
    /// Requests of other data centres in flight here, by model.
    lent_requests: BTreeMap<ModelName, u32>,
    /// Calls in flight, by service instance.
    service_calls: BTreeMap<UpstreamName, u32>,
}

/// The state of the traffic threads, behind one lock that is never held across an await.
#[derive(Clone)]
pub struct TrafficState {
    inner: Arc<Mutex<StateInner>>,
}

impl Default for TrafficState {
    fn default() -> Self {
        let inner = StateInner {
            dispatched: BTreeMap::new(),
            serving_vms: 1.0,
            prefixes: PrefixIndex::new(MAX_PREFIX_BLOCKS, PREFIX_RETENTION),
            offers: OfferTracker::default(),
            health: HealthTracker::default(),
            calibration: EstimateCalibration::default(),
            usage: UsageTracker::default(),
            retries: RetryBudget::new(RETRIES_PER_SUCCESS, RETRY_CAPACITY),
            worth_density: BTreeMap::new(),
            lent_requests: BTreeMap::new(),
            service_calls: BTreeMap::new(),
        };
        Self { inner: Arc::new(Mutex::new(inner)) }
    }
}

impl TrafficState {
    /// Records work dispatched to an engine, which will soon have the prompt's prefix in its cache.
    pub fn record_dispatch(
        &self,
        engine: &UpstreamName,
        work: Duration,
        blocks: &[u64],
        now: MonoTime,
    ) {
        let mut inner = self.inner.lock();
        let dispatched = inner.dispatched.entry(engine.clone()).or_default();
        dispatched.retain(|dispatch| now.since(dispatch.at) < DISPATCH_RETENTION);
        dispatched.push(Dispatch { at: now, work });
        inner.prefixes.insert(engine, blocks, now);
    }

    /// Sets the number of VMs of this data centre that dispatch to the same engines.
    pub fn set_serving_vms(&self, serving: u32) {
        self.inner.lock().serving_vms = f64::from(serving.max(1));
    }

    /// Updates the slice of spare capacity that the data centre `from` offers to this one. It
    /// expires [`OFFER_LIFETIME`] after `written`, when `from` wrote the summary that contains it.
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

    /// Deducts the slot time of one request that is sent to another data centre from its offer.
    pub fn spend_offer(
        &self,
        from: &DataCentreName,
        model: &ModelName,
        slot_time: Duration,
        now: MonoTime,
    ) {
        self.inner.lock().offers.spend(from, model, slot_time, now);
    }

    /// Marks an offer as exhausted after the receiver refused a request that it covered.
    pub fn exhaust_offer(&self, from: &DataCentreName, model: &ModelName, now: MonoTime) {
        self.inner.lock().offers.exhaust(from, model, now);
    }

    /// Counts a request of another data centre as in flight here until the guard is dropped.
    pub fn enter_lent_request(&self, model: &ModelName) -> LentRequestGuard {
        *self.inner.lock().lent_requests.entry(model.clone()).or_default() += 1;
        LentRequestGuard { state: self.clone(), model: model.clone() }
    }

    /// Returns the number of requests of other data centres in flight here, by model.
    pub fn lent_requests(&self) -> Vec<(ModelName, u32)> {
        let inner = self.inner.lock();
        inner.lent_requests.iter().map(|(model, count)| (model.clone(), *count)).collect()
    }

    /// Records a successful call, which also adds to the retry budget.
    pub fn record_success(&self, target: &str) {
        let mut inner = self.inner.lock();
        inner.health.record_success(target);
        inner.retries.deposit();
    }

    /// Records a failed call to a target. A severe failure ejects the target at once.
    pub fn record_failure(&self, target: &str, is_severe: bool, now: MonoTime) {
        self.inner.lock().health.record_failure(target, is_severe, now);
    }

    /// Withdraws one retry from the retry budget. Returns whether one was available.
    pub fn try_withdraw_retry(&self) -> bool {
        self.inner.lock().retries.try_withdraw()
    }

    /// Records an estimated and the actual duration of a request. Returns the new spread of the
    /// estimates.
    pub fn record_estimate(&self, estimate: Duration, actual: Duration) -> f64 {
        let mut inner = self.inner.lock();
        inner.calibration.record(estimate, actual);
        inner.calibration.spread()
    }

    /// Records that a request was admitted, for fairness and for the mean worth of slot time.
    pub fn record_usage(
        &self,
        account: &AccountConfig,
        model: &ModelName,
        worth: f64,
        slot_time: Duration,
        now: MonoTime,
    ) {
        // Weight of one request in the moving average.
        const WEIGHT: f64 = 0.02;
        let mut inner = self.inner.lock();
        inner.usage.record(&account.name, account.share, slot_time, now);
        let worth_density = worth / slot_time.as_secs_f64().max(1e-3);
        let mean = inner.worth_density.entry(model.clone()).or_insert(worth_density);
        *mean += WEIGHT * (worth_density - *mean);
    }

    /// Records that an engine reported blocks as cached.
    pub fn record_cache_stored(&self, engine: &UpstreamName, blocks: &[u64], now: MonoTime) {
        self.inner.lock().prefixes.insert(engine, blocks, now);
    }

    /// Records that an engine reported blocks as evicted.
    pub fn record_cache_evicted(&self, engine: &UpstreamName, blocks: &[u64]) {
        self.inner.lock().prefixes.remove_blocks(engine, blocks);
    }

    /// Removes all cached blocks of an engine.
    pub fn clear_cache(&self, engine: &UpstreamName) {
        self.inner.lock().prefixes.remove_engine(engine);
    }

    /// Counts a call to a service instance as in flight until the guard is dropped.
    pub fn enter_service(&self, instance: &UpstreamName) -> ServiceGuard {
        *self.inner.lock().service_calls.entry(instance.clone()).or_default() += 1;
        ServiceGuard { state: self.clone(), instance: instance.clone() }
    }

    /// Returns the number of calls in flight at a service instance.
    pub fn calls_in_flight(&self, instance: &UpstreamName) -> u32 {
        self.inner.lock().service_calls.get(instance).copied().unwrap_or_default()
    }
}

impl LocalRouteState for TrafficState {
    fn recent_work(&self, engine: &EngineView) -> RecentWork {
        let inner = self.inner.lock();
        let Some(dispatched) = inner.dispatched.get(&engine.load.engine) else {
            return RecentWork::default();
        };
        let since = dispatched.iter().filter(|dispatch| dispatch.at > engine.observed);
        let (count, work) = since.fold((0.0, Duration::ZERO), |(count, work), dispatch| {
            (count + 1.0, work + dispatch.work)
        });
        // The other VMs of this data centre choose by the same reports and therefore probably
        // dispatched as much work to the same engine since the last report.
        RecentWork { requests: count * inner.serving_vms, work: work.mul_f64(inner.serving_vms) }
    }

    fn cached_tokens(&self, engine: &UpstreamName, blocks: &[u64], now: MonoTime) -> u64 {
        self.inner.lock().prefixes.cached_tokens(engine, blocks, now)
    }

    fn is_offered(&self, centre: &DataCentreName, model: &ModelConfig, now: MonoTime) -> bool {
        self.inner.lock().offers.is_available(centre, &model.name, now)
    }

    fn worth_density(&self, model: &ModelConfig) -> f64 {
        self.inner.lock().worth_density.get(&model.name).copied().unwrap_or_default()
    }

    fn is_ejected(&self, target: &str, now: MonoTime) -> bool {
        self.inner.lock().health.is_ejected(target, now)
    }

    fn estimate_calibration(&self) -> EstimateCalibration {
        self.inner.lock().calibration.clone()
    }

    fn fairness_factor(&self, account: &AccountConfig) -> f64 {
        self.inner.lock().usage.price_factor(&account.name, account.share)
    }
}

/// A guard that counts a request of another data centre as in flight here.
pub struct LentRequestGuard {
    state: TrafficState,
    model: ModelName,
}

impl Drop for LentRequestGuard {
    fn drop(&mut self) {
        let mut inner = self.state.inner.lock();
        if let Some(count) = inner.lent_requests.get_mut(&self.model) {
            *count = count.saturating_sub(1);
        }
    }
}

/// A guard that counts a call to a service instance as in flight.
pub struct ServiceGuard {
    state: TrafficState,
    instance: UpstreamName,
}

impl Drop for ServiceGuard {
    fn drop(&mut self) {
        let mut inner = self.state.inner.lock();
        if let Some(busy) = inner.service_calls.get_mut(&self.instance) {
            *busy = busy.saturating_sub(1);
        }
    }
}
