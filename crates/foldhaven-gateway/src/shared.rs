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

use crate::account_desk::AccountDesk;
use crate::clock::BootInstant;
use crate::clock::MonoClock;
use crate::leaving_desk::LeavingDesk;
use crate::limit_desk::LimitDesk;
use crate::logging::LogQuota;
use crate::metrics::GatewayMetrics;
use crate::names::HeaderNames;
use crate::settings::GatewaySettings;
use crate::suspects::{ChangeContext, SuspectDesk};
use crate::suspension::SuspensionDetector;
use crate::view::GatewayView;

/// From when on a VM that others are ahead of does not rule out what it does not know. Changes are in force
/// everywhere within five seconds, by the operators' word; asking for them takes well under one.
const DOUBT_AFTER: Duration = Duration::from_millis(1_000);
/// From when on what was not proven since rules nothing out, by the same word of the operators: a region all of which is equally
/// old has nobody ahead in it.
pub const OLD_BELIEF: Duration = Duration::from_millis(5_000);
/// From when on a VM that others of its region are ahead of takes no requests, short of those five seconds: what
/// it would do with them may be forbidden by now, and its callers have others to ask. A region that is cut off has
/// nobody ahead in it and goes on.
const REFUSE_AFTER: Duration = Duration::from_millis(4_000);

/// That other VMs know changes of the platform that this one does not.
#[derive(Debug, Clone, Copy)]
pub struct BehindBelief {
    /// Since when.
    pub since: MonoTime,
    /// Whether a VM of this region is among them.
    pub is_near: bool,
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
    pub hints: Mutex<PrefixCacheIndex>,
    /// Long prompts that were sent since other VMs were told last.
    pub placements: Mutex<Vec<PromptPlacement>>,
    /// How long requests of each service held their upstreams, as measured.
    paces: Mutex<HashMap<ServiceName, ServicePerformance>>,
    /// The longest times that callers of each route give.
    patiences: Mutex<HashMap<RouteName, CallerTimeouts>>,
    /// What the requests of each route have shown.
    histories: Mutex<HashMap<RouteName, RouteHistory>>,
    /// The clock of the process.
    pub clock: MonoClock,
    view: ArcSwapOption<GatewayView>,
    /// When the first view was published.
    first_view: OnceLock<BootInstant>,
    /// This VM's part of each service's retry budget.
    retries: Mutex<HashMap<ServiceName, RetryShare>>,
    /// Requests under way.
    in_flight: AtomicU32,
    /// Requests that were taken since the start.
    taken: AtomicU64,
    /// Told when none is under way any more.
    settled: Notify,
    is_leaving: AtomicBool,
    /// What is believed of others that know more.
    behind: Mutex<Option<BehindBelief>>,
    /// Told when another VM says that it knows more of the platform's changes.
    pub ahead_news: Notify,
    /// When what is believed of the platform was proven last.
    proven: Mutex<Option<MonoTime>>,
    /// Requests under which upstreams ended.
    pub suspects: SuspectDesk,
    /// The limits that upstreams name.
    pub limits: LimitDesk,
    /// The upstreams that have said that they leave.
    pub leavers: LeavingDesk,
    /// What limited accounts use.
    pub accounts: AccountDesk,
    /// Whether what is believed is of now.
    pub wake: SuspensionDetector,
}

impl GatewayShared {
    pub fn new(settings: GatewaySettings, names: HeaderNames) -> Arc<Self> {
        Arc::new(Self {
            wake: SuspensionDetector::default(),
            limits: LimitDesk::default(),
            leavers: LeavingDesk::default(),
            suspects: SuspectDesk::new(VmTag::of(&settings.vm)),
            accounts: AccountDesk::new(settings.region_count(), settings.limits.accounts()),
            settings,
            names,
            metrics: GatewayMetrics::default(),
            quota: LogQuota::default(),
            stage: watch::Sender::new(StopStage::Serving),
            hints: Mutex::default(),
            placements: Mutex::default(),
            paces: Mutex::default(),
            patiences: Mutex::default(),
            histories: Mutex::default(),
            clock: MonoClock::start(),
            view: ArcSwapOption::empty(),
            first_view: OnceLock::new(),
            retries: Mutex::default(),
            in_flight: AtomicU32::new(0),
            taken: AtomicU64::new(0),
            settled: Notify::new(),
            is_leaving: AtomicBool::new(false),
            behind: Mutex::default(),
            ahead_news: Notify::new(),
            proven: Mutex::default(),
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
    pub fn viewed_for(&self) -> Duration {
        self.first_view.get().map_or(Duration::ZERO, BootInstant::elapsed)
    }

    /// What is believed of others that know more.
    pub fn behind(&self) -> Option<BehindBelief> {
        *self.behind.lock()
    }

    /// When and where a change of what is believed of a request is noted.
    pub fn change_context(&self) -> ChangeContext<'_> {
        ChangeContext { metrics: &self.metrics, now: self.now() }
    }

    /// Whether this process knows all that it needs to take requests: a description, and which requests must not be
    /// sent on.
    pub fn is_prepared(&self) -> bool {
        let is_informed = self.suspects.is_informed(self.viewed_for());
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
    pub fn set_behind(&self, belief: Option<BehindBelief>) {
        *self.behind.lock() = belief;
    }

    /// Notes when what is believed of the platform was proven last.
    pub fn set_proven(&self, proven: Option<MonoTime>) {
        *self.proven.lock() = proven;
    }

    /// For how long what is believed of the platform has not been proven; since the start when it never was.
    pub fn belief_age(&self) -> Duration {
        let proven = *self.proven.lock();
        proven.map_or_else(|| self.uptime(), |proven| self.now().since(proven))
    }

    /// Whether what is not known here may well be known to others, or to the platform alone.
    pub fn is_in_doubt(&self) -> bool {
        self.behind_for(DOUBT_AFTER).is_some() || self.belief_age() >= OLD_BELIEF
    }

    /// Whether others of the region have known more for so long that this VM is to take no requests.
    pub fn is_too_far_behind(&self) -> bool {
        self.behind_for(REFUSE_AFTER).is_some_and(|belief| belief.is_near)
    }

    fn behind_for(&self, span: Duration) -> Option<BehindBelief> {
        let belief = *self.behind.lock();
        belief.filter(|belief| self.now().since(belief.since) >= span)
    }

    /// Goes on to a stage of a planned stop.
    pub fn enter_stage(&self, stage: StopStage) {
        self.is_leaving.store(stage != StopStage::Serving, Ordering::Relaxed);
        self.stage.send_replace(stage);
    }

    /// How fast the upstreams of a service are.
    pub fn pace(&self, service: &ServiceName, view: &GatewayView) -> ServicePerformance {
        let measured = self.paces.lock().get(service).copied().unwrap_or_default();
        let described = view.routes.service(service).and_then(|service| service.fetch_rate);
        ServicePerformance { fetch_tokens_per_s: described.unwrap_or_default(), ..measured }
    }

    /// How fast the upstreams of a service have been.
    pub fn measured_pace(&self, service: &ServiceName) -> ServicePerformance {
        self.paces.lock().get(service).copied().unwrap_or_default()
    }

    /// Notes how long a request held its place at an upstream of a service.
    pub fn note_hold(&self, service: &ServiceName, held: Duration) {
        self.with_pace(service, |pace| pace.record_slot_time(held));
    }

    fn with_pace<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut ServicePerformance) -> T,
    ) -> T {
        let mut paces = self.paces.lock();
        if let Some(pace) = paces.get_mut(service) {
            return act(pace);
        }
        act(paces.entry(service.clone()).or_default())
    }

    /// Takes in the time that a caller of a route still gives. Returns how long it has waited already.
    pub fn note_patience(&self, route: &RouteName, remaining: Duration) -> Duration {
        let now = self.now();
        let mut patiences = self.patiences.lock();
        if let Some(patience) = patiences.get_mut(route) {
            return patience.record(remaining, now);
        }
        patiences.entry(route.clone()).or_default().record(remaining, now)
    }

    /// What the requests of a route have shown.
    pub fn route_history(&self, route: &RouteName) -> RouteHistory {
        self.histories.lock().get(route).copied().unwrap_or_default()
    }

    /// Takes in what a request of a route has shown, and gives what all of them have.
    pub fn note_history(
        &self,
        route: &RouteName,
        note: impl FnOnce(&mut RouteHistory),
    ) -> RouteHistory {
        let mut histories = self.histories.lock();
        if let Some(history) = histories.get_mut(route) {
            note(history);
            return *history;
        }
        let history = histories.entry(route.clone()).or_default();
        note(history);
        *history
    }

    /// Takes in how long an upstream of a service took to read so many prompt tokens and to answer.
    pub fn note_reading(&self, service: &ServiceName, tokens: u32, took: Duration) {
        self.with_pace(service, |pace| pace.record_prefill(tokens, took));
    }

    /// Takes in whether an upstream of a service took a request or declined it. Returns what is known by then.
    pub fn note_room(
        &self,
        service: &ServiceName,
        note: impl FnOnce(&mut QueueCapacity),
    ) -> QueueCapacity {
        self.with_pace(service, |pace| {
            note(&mut pace.queue_capacity);
            pace.queue_capacity
        })
    }

    /// Takes in whether a pause of a stream was longer than wanted, and the prompt tokens that its upstream
    /// had to read when it began.
    pub fn note_pause(&self, service: &ServiceName, unread_tokens: u32, is_long: bool) {
        self.with_pace(service, |pace| pace.pause_statistics.record(unread_tokens, is_long));
    }

    /// Takes in the time between two events of a stream, and how many requests its upstream had.
    pub fn note_event_pace(&self, service: &ServiceName, between: Duration, load: f64) {
        self.with_pace(service, |pace| pace.event_interval.record(between, load));
    }

    /// Counts a request of a caller, and its size, for the retry budget and the pace of its service.
    pub fn note_request(&self, service: &ServiceName, size: u32) {
        let now = self.now();
        self.with_pace(service, |pace| pace.record_size(size));
        self.with_share(service, |share| share.record_request(now));
    }

    /// Takes one retry out of this VM's part of the budget.
    pub fn take_retry(&self, service: &ServiceName, view: &GatewayView) -> bool {
        let now = self.now();
        let uptime = self.uptime();
        self.with_share(service, |share| share.try_withdraw(view.assumed_vms, uptime, now))
    }

    fn with_share<T>(&self, service: &ServiceName, act: impl FnOnce(&mut RetryShare) -> T) -> T {
        let mut retries = self.retries.lock();
        if let Some(share) = retries.get_mut(service) {
            return act(share);
        }
        let share = RetryShare::new(self.settings.limits.retries());
        act(retries.entry(service.clone()).or_insert(share))
    }

    /// How many requests are under way.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// How many requests were taken since the start.
    pub fn taken(&self) -> u64 {
        self.taken.load(Ordering::Relaxed)
    }

    /// Counts one request as under way until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.taken.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { shared: self.clone() }
    }

    /// Waits until no request is under way.
    pub async fn wait_settled(&self) {
        loop {
            let settled = self.settled.notified();
            if self.in_flight() == 0 {
                return;
            }
            settled.await;
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
            self.shared.settled.notify_waiters();
        }
    }
}
