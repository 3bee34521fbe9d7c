//! What the control thread and the traffic thread share: views one way, counts the other.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use foldhaven_core::ids::{RouteName, ServiceName};
use foldhaven_core::opaque::affinity::{PrefixCacheIndex, PromptPlacement};
use foldhaven_core::opaque::caller_timeouts::CallerTimeouts;
use foldhaven_core::opaque::peer_table::VmTag;
use foldhaven_core::opaque::performance::ServicePerformance;
use foldhaven_core::opaque::queue_capacity::QueueCapacity;
use foldhaven_core::opaque::retry_share::RetryShare;
use foldhaven_core::opaque::route_history::RouteHistory;
use foldhaven_core::time::MonoTime;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::account_limiter::AccountLimiter;
use crate::clock::BootInstant;
use crate::clock::MonoClock;
use crate::leaving_tracker::LeavingTracker;
use crate::logging::LogQuota;
use crate::metrics::GatewayMetrics;
use crate::names::HeaderNames;
use crate::rate_limit_tracker::RateLimitTracker;
use crate::settings::GatewaySettings;
use crate::suspects::{ChangeContext, SuspectTracker};
use crate::view::GatewayView;
use crate::wake::WakeWatch;

/// From when on a VM that others are ahead of does not rule out what it does not know. Changes are in force
/// everywhere within five seconds, by the operators' word; asking for them takes well under one.
const OUTDATED_AFTER: Duration = Duration::from_millis(1_000);
/// From when on what was not proven since rules nothing out, by the same word of the operators: a region all of which is equally
/// old has nobody ahead in it.
pub const STALE_AFTER: Duration = Duration::from_millis(5_000);
/// From when on a VM that others of its region are ahead of takes no requests, short of those five seconds: what
/// it would do with them may be forbidden by now, and its callers have others to ask. A region that is cut off has
/// nobody ahead in it and goes on.
const REFUSE_REQUESTS_AFTER: Duration = Duration::from_millis(4_000);

/// That other VMs know changes of the platform that this one does not.
#[derive(Debug, Clone, Copy)]
pub struct ObservedLag {
    /// Since when.
    pub since: MonoTime,
    /// Whether a VM of this region is among them.
    pub is_local: bool,
}

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopStage {
    /// Serving as usual.
    Serving,
    /// Others are told; requests that still come are served, and their connections closed.
    Leaving,
    /// No new connections; only what is under way is finished.
    Closing,
}

/// Everything that the threads of one daemon share.
pub struct GatewayShared {
    /// The settings as they were read at the start.
    pub settings: GatewaySettings,
    pub names: HeaderNames,
    pub metrics: GatewayMetrics,
    /// Limits how many lines on requests are logged.
    pub quota: LogQuota,
    pub stage: watch::Sender<StopStage>,
    /// Which upstreams of the region probably hold which prompts.
    pub prefix_caches: Mutex<PrefixCacheIndex>,
    /// Long prompts that were sent since other VMs were told last.
    pub placements: Mutex<Vec<PromptPlacement>>,
    /// How long requests of each service held their upstreams, as measured.
    performance: Mutex<HashMap<ServiceName, ServicePerformance>>,
    /// The longest times that callers of each route give.
    caller_timeouts: Mutex<HashMap<RouteName, CallerTimeouts>>,
    /// What the requests of each route have shown.
    route_histories: Mutex<HashMap<RouteName, RouteHistory>>,
    /// The clock of the process.
    pub clock: MonoClock,
    view: ArcSwapOption<GatewayView>,
    /// When the first view was published.
    first_view: OnceLock<BootInstant>,
    /// This VM's part of each service's retry budget.
    retry_shares: Mutex<HashMap<ServiceName, RetryShare>>,
    /// Requests under way.
    in_flight: AtomicU32,
    /// Requests that were taken since the start.
    accepted_requests: AtomicU64,
    /// Told when none is under way any more.
    idle: Notify,
    is_leaving: AtomicBool,
    /// What is believed of others that know more.
    lag: Mutex<Option<ObservedLag>>,
    /// Told when another VM says that it knows more of the platform's changes.
    pub newer_revision_notify: Notify,
    /// When what is believed of the platform was proven last.
    confirmed_at: Mutex<Option<MonoTime>>,
    /// Requests under which upstreams ended.
    pub suspects: SuspectTracker,
    /// The limits that upstreams name.
    pub limits: RateLimitTracker,
    /// The upstreams that have said that they leave.
    pub leaving_upstreams: LeavingTracker,
    /// What limited accounts use.
    pub accounts: AccountLimiter,
    /// Whether what is believed is of now.
    pub wake: WakeWatch,
}

impl GatewayShared {
    pub fn new(settings: GatewaySettings, names: HeaderNames) -> Arc<Self> {
        Arc::new(Self {
            wake: WakeWatch::default(),
            limits: RateLimitTracker::default(),
            leaving_upstreams: LeavingTracker::default(),
            suspects: SuspectTracker::new(VmTag::of(&settings.vm)),
            accounts: AccountLimiter::new(settings.region_count(), settings.limits.accounts()),
            settings,
            names,
            metrics: GatewayMetrics::default(),
            quota: LogQuota::default(),
            stage: watch::Sender::new(StopStage::Serving),
            prefix_caches: Mutex::default(),
            placements: Mutex::default(),
            performance: Mutex::default(),
            caller_timeouts: Mutex::default(),
            route_histories: Mutex::default(),
            clock: MonoClock::start(),
            view: ArcSwapOption::empty(),
            first_view: OnceLock::new(),
            retry_shares: Mutex::default(),
            in_flight: AtomicU32::new(0),
            accepted_requests: AtomicU64::new(0),
            idle: Notify::new(),
            is_leaving: AtomicBool::new(false),
            lag: Mutex::default(),
            newer_revision_notify: Notify::new(),
            confirmed_at: Mutex::default(),
        })
    }

    /// The time on the clock that never steps back.
    pub fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// When this process started.
    pub fn started(&self) -> MonoTime {
        self.now() - self.uptime()
    }

    /// How long this process has run.
    pub fn uptime(&self) -> Duration {
        self.clock.uptime()
    }

    /// What requests are decided by; nothing before the first description.
    pub fn view(&self) -> Option<Arc<GatewayView>> {
        self.view.load_full()
    }

    /// Replaces what requests are decided by.
    pub fn publish(&self, view: GatewayView) {
        self.view.store(Some(Arc::new(view)));
        self.first_view.get_or_init(BootInstant::now);
    }

    /// For how long this process has known what to decide by.
    pub fn time_since_first_view(&self) -> Duration {
        self.first_view.get().map_or(Duration::ZERO, BootInstant::elapsed)
    }

    /// What is believed of others that know more.
    pub fn lag(&self) -> Option<ObservedLag> {
        *self.lag.lock()
    }

    /// When and where a change of what is believed of a request is noted.
    pub fn change_context(&self) -> ChangeContext<'_> {
        ChangeContext { metrics: &self.metrics, now: self.now() }
    }

    /// Whether this process knows all that it needs to take requests: a description, and which requests must not be
    /// sent on.
    pub fn is_ready(&self) -> bool {
        let is_informed = self.suspects.is_informed(self.time_since_first_view());
        self.view.load().is_some() && is_informed && self.is_awake()
    }

    /// Whether requests may be decided by what is believed: the process did not stand still a moment ago.
    pub fn is_awake(&self) -> bool {
        self.wake.is_awake(self.now())
    }

    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Notes whether other VMs know changes of the platform that this one does not.
    pub fn set_lag(&self, lag: Option<ObservedLag>) {
        *self.lag.lock() = lag;
    }

    /// Notes when what is believed of the platform was proven last.
    pub fn set_confirmed_at(&self, confirmed_at: Option<MonoTime>) {
        *self.confirmed_at.lock() = confirmed_at;
    }

    /// For how long what is believed of the platform has not been proven; since the start when it never was.
    pub fn staleness(&self) -> Duration {
        let confirmed_at = *self.confirmed_at.lock();
        confirmed_at.map_or_else(|| self.uptime(), |confirmed_at| self.now().since(confirmed_at))
    }

    /// Whether what is not known here may well be known to others, or to the platform alone.
    pub fn is_possibly_outdated(&self) -> bool {
        self.lag_of_at_least(OUTDATED_AFTER).is_some() || self.staleness() >= STALE_AFTER
    }

    /// Whether others of the region have known more for so long that this VM is to take no requests.
    pub fn is_too_far_behind(&self) -> bool {
        self.lag_of_at_least(REFUSE_REQUESTS_AFTER).is_some_and(|lag| lag.is_local)
    }

    fn lag_of_at_least(&self, span: Duration) -> Option<ObservedLag> {
        let lag = *self.lag.lock();
        lag.filter(|lag| self.now().since(lag.since) >= span)
    }

    /// Goes on to a stage of a planned stop.
    pub fn enter_stage(&self, stage: StopStage) {
        self.is_leaving.store(stage != StopStage::Serving, Ordering::Relaxed);
        self.stage.send_replace(stage);
    }

    /// How fast the upstreams of a service are.
    pub fn performance(&self, service: &ServiceName, view: &GatewayView) -> ServicePerformance {
        let measured = self.performance.lock().get(service).copied().unwrap_or_default();
        let described = view.routes.service(service).and_then(|service| service.fetch_rate);
        ServicePerformance { fetch_tokens_per_s: described.unwrap_or_default(), ..measured }
    }

    /// How fast the upstreams of a service have been.
    pub fn measured_performance(&self, service: &ServiceName) -> ServicePerformance {
        self.performance.lock().get(service).copied().unwrap_or_default()
    }

    /// Notes how long a request held its place at an upstream of a service.
    pub fn record_slot_time(&self, service: &ServiceName, held: Duration) {
        self.with_performance(service, |performance| performance.record_slot_time(held));
    }

    fn with_performance<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut ServicePerformance) -> T,
    ) -> T {
        let mut performance = self.performance.lock();
        if let Some(performance) = performance.get_mut(service) {
            return act(performance);
        }
        act(performance.entry(service.clone()).or_default())
    }

    /// Takes in the time that a caller of a route still gives. Returns how long it has waited already.
    pub fn record_caller_timeout(&self, route: &RouteName, remaining: Duration) -> Duration {
        let now = self.now();
        let mut caller_timeouts = self.caller_timeouts.lock();
        if let Some(timeouts) = caller_timeouts.get_mut(route) {
            return timeouts.record(remaining, now);
        }
        caller_timeouts.entry(route.clone()).or_default().record(remaining, now)
    }

    /// What the requests of a route have shown.
    pub fn route_history(&self, route: &RouteName) -> RouteHistory {
        self.route_histories.lock().get(route).copied().unwrap_or_default()
    }

    /// Takes in what a request of a route has shown, and gives what all of them have.
    pub fn update_route_history(
        &self,
        route: &RouteName,
        update: impl FnOnce(&mut RouteHistory),
    ) -> RouteHistory {
        let mut route_histories = self.route_histories.lock();
        if let Some(history) = route_histories.get_mut(route) {
            update(history);
            return *history;
        }
        let history = route_histories.entry(route.clone()).or_default();
        update(history);
        *history
    }

    /// Takes in how long an upstream of a service took to read so many prompt tokens and to answer.
    pub fn record_prefill(&self, service: &ServiceName, tokens: u32, took: Duration) {
        self.with_performance(service, |performance| performance.record_prefill(tokens, took));
    }

    /// Takes in whether an upstream of a service took a request or declined it. Returns what is known by then.
    pub fn update_queue_capacity(
        &self,
        service: &ServiceName,
        update: impl FnOnce(&mut QueueCapacity),
    ) -> QueueCapacity {
        self.with_performance(service, |performance| {
            update(&mut performance.queue_capacity);
            performance.queue_capacity
        })
    }

    /// Takes in whether a pause of a stream was longer than wanted, and the prompt tokens that its upstream
    /// had to read when it began.
    pub fn record_pause(&self, service: &ServiceName, prefill_backlog: u32, is_long: bool) {
        self.with_performance(service, |performance| {
            performance.pause_statistics.record(prefill_backlog, is_long)
        });
    }

    /// Takes in the time between two events of a stream, and how many requests its upstream had.
    pub fn record_event_interval(&self, service: &ServiceName, between: Duration, load: f64) {
        self.with_performance(service, |performance| {
            performance.event_interval.record(between, load)
        });
    }

    /// Counts a request of a caller, and its size, for the retry budget and the pace of its service.
    pub fn record_request(&self, service: &ServiceName, size: u32) {
        let now = self.now();
        self.with_performance(service, |performance| performance.record_size(size));
        self.with_retry_share(service, |share| share.record_request(now));
    }

    /// Takes one retry out of this VM's part of the budget.
    pub fn try_withdraw_retry(&self, service: &ServiceName, view: &GatewayView) -> bool {
        let now = self.now();
        let uptime = self.uptime();
        self.with_retry_share(service, |share| share.try_withdraw(view.assumed_vms, uptime, now))
    }

    fn with_retry_share<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut RetryShare) -> T,
    ) -> T {
        let mut retry_shares = self.retry_shares.lock();
        if let Some(share) = retry_shares.get_mut(service) {
            return act(share);
        }
        let share = RetryShare::new(self.settings.limits.retries());
        act(retry_shares.entry(service.clone()).or_insert(share))
    }

    /// How many requests are under way.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// How many requests were taken since the start.
    pub fn accepted_requests(&self) -> u64 {
        self.accepted_requests.load(Ordering::Relaxed)
    }

    /// Counts one request as under way until the guard is dropped.
    pub fn start_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.accepted_requests.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { shared: self.clone() }
    }

    /// Waits until no request is under way.
    pub async fn wait_idle(&self) {
        loop {
            let idle = self.idle.notified();
            if self.in_flight() == 0 {
                return;
            }
            idle.await;
        }
    }
}

/// One request under way.
pub struct InFlightGuard {
    shared: Arc<GatewayShared>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if self.shared.in_flight.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.shared.idle.notify_waiters();
        }
    }
}
