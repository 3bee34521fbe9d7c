//! State shared by the control thread and the traffic thread: the control thread publishes views,
//! and the traffic thread publishes measurements and counts.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use foldhaven_core::ids::{RouteName, ServiceName};
use foldhaven_core::opaque::affinity::PrefixCacheIndex;
use foldhaven_core::opaque::caller_timeouts::CallerTimeouts;
use foldhaven_core::opaque::numbering_table::NumberingTable;
use foldhaven_core::opaque::peer_table::{ServiceTag, VmTag};
use foldhaven_core::opaque::performance::{QueueState, ServicePerformance};
use foldhaven_core::opaque::placement_queue::PlacementQueue;
use foldhaven_core::opaque::priority_level::LEVEL_COUNT;
use foldhaven_core::opaque::queue_capacity::QueueCapacity;
use foldhaven_core::opaque::region_room::BoundShares;
use foldhaven_core::opaque::remote_room::RemoteRooms;
use foldhaven_core::opaque::request_class::RequestClass;
use foldhaven_core::opaque::retry_share::RetryShare;
use foldhaven_core::opaque::route_history::RouteHistory;
use foldhaven_core::opaque::waiting_memory::WaitingMemory;
use foldhaven_core::time::MonoTime;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::account_limiter::AccountLimiter;
use crate::brittle_tracker::BrittleTracker;
use crate::busy_upstreams::BusyUpstreams;
use crate::clock::BootInstant;
use crate::clock::MonoClock;
use crate::held_memory::HeldMemory;
use crate::job::GatewayJob;
use crate::leaving_tracker::LeavingTracker;
use crate::logging::LogQuota;
use crate::metrics::GatewayMetrics;
use crate::names::HeaderNames;
use crate::origin_tracker::OriginTracker;
use crate::path_tracker::PathTracker;
use crate::planned_exit::PlannedExit;
use crate::rate_limit_tracker::RateLimitTracker;
use crate::returning_callers::ReturningCallers;
use crate::served_connections::ConnectionTracker;
use crate::settings::GatewaySettings;
use crate::slot_queues::SlotQueues;
use crate::suspects::{ChangeContext, SuspectTracker};
use crate::suspension::SuspensionDetector;
use crate::upstream::Upstream;
use crate::view::GatewayView;
use crate::waiting_rooms::WaitingRooms;

/// Lag from which on this VM no longer concludes from its own state that something does not exist.
/// The operators require changes to be in force everywhere within five seconds; fetching them takes
/// well under one second.
const OUTDATED_AFTER: Duration = Duration::from_millis(1_000);
/// Staleness from which on the platform state rules nothing out, even if no VM is known to have
/// newer state: in a region whose VMs are all equally stale, none is ahead. Follows from the same
/// requirement of five seconds.
pub const STALE_AFTER: Duration = Duration::from_millis(5_000);
/// Lag behind another VM of the region from which on this VM accepts no requests. It is below the
/// five seconds, since newer state may forbid what this VM would do, and callers can use the other
/// VMs. In a region that is partitioned from the others no VM is ahead, so its VMs continue to
/// serve.
const REFUSE_REQUESTS_AFTER: Duration = Duration::from_millis(4_000);

/// A lag of this VM: other VMs know platform changes that it does not.
#[derive(Debug, Clone, Copy)]
pub struct ObservedLag {
    /// When the lag began.
    pub since: MonoTime,
    /// Whether a VM of this region is ahead.
    pub is_local: bool,
}

/// The stage of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopStage {
    /// Serving as usual.
    Serving,
    /// Other VMs are informed. Requests that still arrive are served, and their connections are
    /// then closed.
    Leaving,
    /// No new connections are accepted. Open ones are closed once their current requests are
    /// answered.
    Closing,
}

/// The state that the threads of one daemon share.
pub struct GatewayShared {
    /// The settings as read at startup.
    pub settings: GatewaySettings,
    /// The identifier of this VM in messages between VMs.
    pub vm_tag: VmTag,
    pub names: HeaderNames,
    pub metrics: GatewayMetrics,
    /// Limits the number of log lines about requests.
    pub quota: LogQuota,
    pub stage: watch::Sender<StopStage>,
    /// When the process exits after a planned stop.
    pub exit: PlannedExit,
    /// The open connections of callers and other VMs.
    pub connections: Arc<ConnectionTracker>,
    /// The prompt segments that each upstream has probably cached.
    pub prefix_caches: Mutex<PrefixCacheIndex>,
    /// The upstreams at which this VM has requests.
    pub busy_upstreams: BusyUpstreams,
    /// The destinations of long prompts since the last report to other VMs.
    pub placements: Mutex<PlacementQueue>,
    /// The measured performance of each service's upstreams.
    performance_by_service: Mutex<HashMap<ServiceName, ServicePerformance>>,
    /// The longest remaining times that callers of each route announce.
    caller_timeouts: Mutex<HashMap<RouteName, CallerTimeouts>>,
    /// The statistics of each route's requests.
    route_histories: Mutex<HashMap<RouteName, RouteHistory>>,
    /// How upstreams number the events of their streams.
    pub numberings: Mutex<NumberingTable>,
    /// The clock of the process.
    pub clock: MonoClock,
    view: ArcSwapOption<GatewayView>,
    /// When the first view was published. Empty before that.
    first_view: OnceLock<BootInstant>,
    /// This VM's share of each service's retry budget.
    retry_shares: Mutex<HashMap<ServiceName, RetryShare>>,
    /// The number of requests in flight.
    in_flight: AtomicU32,
    /// The number of requests accepted since startup.
    accepted_requests: AtomicU64,
    is_leaving: AtomicBool,
    /// The current lag behind other VMs. `None` if no VM is known to be ahead.
    lag: Mutex<Option<ObservedLag>>,
    /// Notified when another VM announces a newer revision of the platform state.
    pub newer_revision_notify: Notify,
    /// Notified when the platform is to be called at once.
    pub probe_request: Arc<Notify>,
    /// When the last call was made that the platform has answered at once. `None` if none was.
    probed_at: watch::Sender<Option<BootInstant>>,
    /// When the platform state was last confirmed to be current. `None` if it never was.
    confirmed_at: Mutex<Option<MonoTime>>,
    /// Requests that were in flight at upstreams that exited.
    pub suspects: SuspectTracker,
    /// The rate limits that upstreams announce.
    pub upstream_limits: RateLimitTracker,
    /// The services whose upstreams are brittle.
    pub brittle_services: BrittleTracker,
    /// The upstreams that have announced that they are leaving.
    pub leaving_upstreams: LeavingTracker,
    /// Which VMs have lost their paths to the upstreams of which services.
    pub paths: PathTracker,
    /// At which software streams began.
    pub origins: OriginTracker,
    /// Limits the usage of accounts.
    pub accounts: AccountLimiter,
    /// The requests that wait for this VM's share of the slots of brittle upstreams.
    pub slot_queues: SlotQueues,
    /// The requests that wait for room at the upstreams.
    pub waiting_rooms: WaitingRooms,
    /// The memory of the requests that wait in them.
    pub waiting_memory: Arc<WaitingMemory>,
    /// The memory of the bodies and answers that are held.
    pub held_memory: HeldMemory,
    /// The callers that were told to come again.
    pub returning_callers: ReturningCallers,
    /// The requests that wait at the other VMs of the region, by service and level.
    waiting_elsewhere: Mutex<HashMap<ServiceTag, [u32; LEVEL_COUNT]>>,
    /// The room that other regions offer.
    pub remote_rooms: Mutex<RemoteRooms>,
    /// The requests of callers that are bound to a part of the regions, by service.
    bound_shares: Mutex<HashMap<ServiceName, BoundShares>>,
    /// Detects that the process was suspended, so that its state may be outdated.
    pub wake: SuspensionDetector,
}

impl GatewayShared {
    pub fn new(settings: GatewaySettings, names: HeaderNames) -> Arc<Self> {
        Arc::new(Self {
            wake: SuspensionDetector::default(),
            waiting_rooms: WaitingRooms::new(settings.floor_share),
            waiting_memory: Arc::default(),
            held_memory: HeldMemory::of_vm(settings.vm_memory()),
            returning_callers: ReturningCallers::default(),
            waiting_elsewhere: Mutex::default(),
            remote_rooms: Mutex::default(),
            bound_shares: Mutex::default(),
            upstream_limits: RateLimitTracker::default(),
            brittle_services: BrittleTracker::default(),
            slot_queues: SlotQueues::default(),
            leaving_upstreams: LeavingTracker::default(),
            paths: PathTracker::new(VmTag::of(&settings.vm)),
            origins: OriginTracker::default(),
            suspects: SuspectTracker::new(VmTag::of(&settings.vm)),
            accounts: AccountLimiter::new(settings.region_count(), settings.limits.accounts()),
            vm_tag: VmTag::of(&settings.vm),
            settings,
            names,
            metrics: GatewayMetrics::default(),
            quota: LogQuota::default(),
            stage: watch::Sender::new(StopStage::Serving),
            exit: PlannedExit::default(),
            connections: Arc::default(),
            prefix_caches: Mutex::default(),
            busy_upstreams: BusyUpstreams::default(),
            placements: Mutex::default(),
            performance_by_service: Mutex::default(),
            caller_timeouts: Mutex::default(),
            route_histories: Mutex::default(),
            numberings: Mutex::default(),
            clock: MonoClock::start(),
            view: ArcSwapOption::empty(),
            first_view: OnceLock::new(),
            retry_shares: Mutex::default(),
            in_flight: AtomicU32::new(0),
            accepted_requests: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            lag: Mutex::default(),
            newer_revision_notify: Notify::new(),
            probe_request: Arc::default(),
            probed_at: watch::Sender::new(None),
            confirmed_at: Mutex::default(),
        })
    }

    /// Returns the current time of the monotonic clock.
    pub fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// Returns the time at which this process started.
    pub fn started(&self) -> MonoTime {
        self.now() - self.uptime()
    }

    /// Returns the time since this process started.
    pub fn uptime(&self) -> Duration {
        self.clock.uptime()
    }

    /// Returns the view by which requests are routed. `None` before the first description.
    pub fn view(&self) -> Option<Arc<GatewayView>> {
        self.view.load_full()
    }

    /// Replaces the view by which requests are routed.
    pub fn publish(&self, view: GatewayView) {
        self.view.store(Some(Arc::new(view)));
        self.first_view.get_or_init(BootInstant::now);
    }

    /// Returns the time since the first view was published. Zero before that.
    pub fn time_since_first_view(&self) -> Duration {
        self.first_view.get().map_or(Duration::ZERO, BootInstant::elapsed)
    }

    /// Returns the current lag behind other VMs. `None` if no VM is known to be ahead.
    pub fn lag(&self) -> Option<ObservedLag> {
        *self.lag.lock()
    }

    /// Returns the current time and the metrics, as needed to record a change of a suspected
    /// request.
    pub fn change_context(&self) -> ChangeContext<'_> {
        ChangeContext { metrics: &self.metrics, now: self.now() }
    }

    /// Returns whether this process has the state that it needs to accept requests: a description,
    /// and the records of suspected requests. It must not have been suspended a moment ago.
    pub fn is_ready(&self) -> bool {
        let is_informed = self.suspects.is_informed(self.time_since_first_view());
        self.view.load().is_some() && is_informed && self.is_awake()
    }

    /// Returns whether requests may be routed by the current state. Returns false if the process
    /// was suspended and does not know yet what happened meanwhile.
    pub fn is_awake(&self) -> bool {
        self.wake.is_awake(self.now())
    }

    /// Returns whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Sets the current lag behind other VMs.
    pub fn set_lag(&self, lag: Option<ObservedLag>) {
        *self.lag.lock() = lag;
    }

    /// Sets the time of the last call that the platform has answered at once.
    pub fn set_probed_at(&self, asked_at: BootInstant) {
        self.probed_at.send_replace(Some(asked_at));
    }

    /// Calls the platform, and waits until the state holds what it had published at `moment`. A VM that
    /// does not read the platform waits until it is dropped.
    pub async fn await_state_of(&self, moment: BootInstant) {
        let mut probed_at = self.probed_at.subscribe();
        self.probe_request.notify_one();
        // The sender exists as long as this value.
        let _ = probed_at.wait_for(|probed_at| *probed_at >= Some(moment)).await;
    }

    /// Sets the time at which the platform state was last confirmed.
    pub fn set_confirmed_at(&self, confirmed_at: Option<MonoTime>) {
        *self.confirmed_at.lock() = confirmed_at;
    }

    /// Returns the time since the platform state was last confirmed, or since startup if it never
    /// was.
    pub fn staleness(&self) -> Duration {
        let confirmed_at = *self.confirmed_at.lock();
        confirmed_at.map_or_else(|| self.uptime(), |confirmed_at| self.now().since(confirmed_at))
    }

    /// Returns whether something that this VM does not know may be known to other VMs or to the
    /// platform. The state of a process to which nobody has confirmed it may be of any age, since
    /// the VM that sent it may have been cut off from the platform.
    pub fn is_possibly_outdated(&self) -> bool {
        let is_confirmed = self.confirmed_at.lock().is_some();
        let is_behind = self.lag_of_at_least(OUTDATED_AFTER).is_some();
        !is_confirmed || is_behind || self.staleness() >= STALE_AFTER
    }

    /// Returns whether this VM has lagged behind another VM of its region for so long that it must
    /// not accept requests.
    pub fn is_too_far_behind(&self) -> bool {
        self.lag_of_at_least(REFUSE_REQUESTS_AFTER).is_some_and(|lag| lag.is_local)
    }

    /// Returns the current lag if it has lasted for at least `span`.
    fn lag_of_at_least(&self, span: Duration) -> Option<ObservedLag> {
        let lag = *self.lag.lock();
        lag.filter(|lag| self.now().since(lag.since) >= span)
    }

    /// Enters a stage of a planned stop.
    pub fn enter_stage(&self, stage: StopStage) {
        self.is_leaving.store(stage != StopStage::Serving, Ordering::Relaxed);
        self.stage.send_replace(stage);
    }

    /// Sets the requests that wait at the other VMs of the region.
    pub fn set_waiting_elsewhere(&self, waiting: HashMap<ServiceTag, [u32; LEVEL_COUNT]>) {
        *self.waiting_elsewhere.lock() = waiting;
    }

    /// Returns the requests of a service that wait at the other VMs of the region, by level.
    pub fn waiting_elsewhere(&self, service: &ServiceName) -> [u32; LEVEL_COUNT] {
        let waiting = self.waiting_elsewhere.lock();
        waiting.get(&ServiceTag::of(service)).copied().unwrap_or_default()
    }

    /// Records a request of a caller for a service whose requests have priority levels.
    pub fn record_class(&self, service: &ServiceName, class: &RequestClass) {
        let mut shares = self.bound_shares.lock();
        let shares = match shares.get_mut(service) {
            Some(shares) => shares,
            None => shares.entry(service.clone()).or_default(),
        };
        shares.record(class.level, class.is_bound);
    }

    /// Returns the shares of the requests of a service that are bound to a part of the regions.
    pub fn bound_shares(&self, service: &ServiceName) -> BoundShares {
        self.bound_shares.lock().get(service).copied().unwrap_or_default()
    }

    /// Returns the measured performance of a service's upstreams, with the fetch rate from the
    /// description (0 if the description has none).
    pub fn performance(&self, service: &ServiceName, view: &GatewayView) -> ServicePerformance {
        let measured = self.performance_by_service.lock().get(service).copied().unwrap_or_default();
        let described = view.routes.service(service).and_then(|service| service.fetch_rate);
        ServicePerformance { fetch_tokens_per_s: described.unwrap_or_default(), ..measured }
    }

    /// Returns the measured performance of the upstreams for a request.
    pub fn performance_for(&self, job: &GatewayJob, view: &GatewayView) -> ServicePerformance {
        let performance = self.performance(&job.service, view);
        match job.is_plain() {
            true => performance.for_plain_requests(),
            false => performance.for_model_requests(),
        }
    }

    /// Returns the measured performance of a service's upstreams.
    pub fn measured_performance(&self, service: &ServiceName) -> ServicePerformance {
        self.performance_by_service.lock().get(service).copied().unwrap_or_default()
    }

    /// Records how long a request occupied a slot of an upstream.
    pub fn record_slot_time(&self, upstream: &Upstream, held: Duration) {
        let usual = held.div_f64(upstream.speed(self.now()).decode);
        self.with_performance(&upstream.identity.service, |performance| {
            performance.record_slot_time(usual)
        });
    }

    /// Records the time to the answer of a plain request at an upstream that had `queue` when it
    /// was sent.
    pub fn record_work(&self, upstream: &Upstream, queue: QueueState, took: Duration) {
        self.with_performance(&upstream.identity.service, |performance| {
            performance.record_work(queue, took)
        });
    }

    /// Records the requests of this VM, and of all VMs, at the upstreams of a service.
    pub fn record_traffic(&self, service: &ServiceName, own: u32, all: u32) {
        self.with_performance(service, |performance| performance.traffic_share.record(own, all));
    }

    fn with_performance<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut ServicePerformance) -> T,
    ) -> T {
        let mut by_service = self.performance_by_service.lock();
        if let Some(performance) = by_service.get_mut(service) {
            return act(performance);
        }
        act(by_service.entry(service.clone()).or_default())
    }

    /// Records the remaining time that a caller of a route announces. Returns how long the caller
    /// has already waited.
    pub fn record_caller_timeout(&self, route: &RouteName, remaining: Duration) -> Duration {
        let now = self.now();
        let mut caller_timeouts = self.caller_timeouts.lock();
        if let Some(timeouts) = caller_timeouts.get_mut(route) {
            return timeouts.record(remaining, now);
        }
        caller_timeouts.entry(route.clone()).or_default().record(remaining, now)
    }

    /// Returns the statistics of a route's requests.
    pub fn route_history(&self, route: &RouteName) -> RouteHistory {
        self.route_histories.lock().get(route).copied().unwrap_or_default()
    }

    /// Updates the statistics of a route's requests, and returns them.
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

    /// Records how long an upstream took to prefill `tokens` prompt tokens and to begin its answer.
    pub fn record_prefill(&self, upstream: &Upstream, tokens: u32, took: Duration) {
        let now = self.now();
        let mut upstream_performance = upstream.performance.lock();
        let speed = &mut upstream_performance.speed;
        self.with_performance(&upstream.identity.service, |performance| {
            performance.record_prefill_at(speed, tokens, took, now)
        });
    }

    /// Updates the queue capacity of a service's upstreams with a request that one of them accepted
    /// or refused. Returns the result.
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

    /// Records whether a pause of a stream was too long, with the prefill backlog of its upstream
    /// when the pause began, in tokens.
    pub fn record_pause(&self, upstream: &Upstream, prefill_backlog: u32, is_long: bool) {
        let backlog = upstream.speed(self.now()).equivalent_tokens(prefill_backlog);
        self.with_performance(&upstream.identity.service, |performance| {
            performance.pause_statistics.record(backlog, is_long)
        });
    }

    /// Records the interval between two events of a stream, with the prefill backlog of its upstream
    /// in tokens, to notice whether the upstream is slow at this moment.
    pub fn record_interval(&self, upstream: &Upstream, prefill_backlog: u32, interval: Duration) {
        let now = self.now();
        let load = f64::from(upstream.queue().in_flight);
        let mut upstream_performance = upstream.performance.lock();
        let speed = upstream_performance.speed.factors(now);
        let expected = self.with_performance(&upstream.identity.service, |performance| {
            performance.at_speed(speed).interval_during_prefill(load, prefill_backlog)
        });
        upstream_performance.slowdown.record(interval, expected, now);
    }

    /// Records the time from the first to the last event of a stream, which are `intervals` apart,
    /// with the mean number of requests at its upstream.
    pub fn record_stream(&self, upstream: &Upstream, time: Duration, intervals: u32, load: f64) {
        let now = self.now();
        let mut upstream_performance = upstream.performance.lock();
        let speed = &mut upstream_performance.speed;
        self.with_performance(&upstream.identity.service, |performance| {
            performance.record_stream(speed, time, intervals, load, now)
        });
    }

    /// Records a request of a caller and its size, for the retry budget and the performance model
    /// of its service.
    pub fn record_request(&self, service: &ServiceName, size: u32) {
        let now = self.now();
        self.with_performance(service, |performance| performance.record_size(size));
        self.with_retry_share(service, |share| share.record_request(now));
    }

    /// Withdraws one retry from this VM's share of the budget. Returns whether the share permits
    /// it.
    pub fn try_withdraw_retry(&self, service: &ServiceName, view: &GatewayView) -> bool {
        let now = self.now();
        let uptime = self.uptime();
        self.with_retry_share(service, |share| {
            share.try_withdraw(view.members.assumed_vms, uptime, now)
        })
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

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the number of requests accepted since startup.
    pub fn accepted_requests(&self) -> u64 {
        self.accepted_requests.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn start_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.accepted_requests.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { shared: self.clone() }
    }
}

/// Guard of a request in flight.
pub struct InFlightGuard {
    shared: Arc<GatewayShared>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
