//! State shared by the control thread and the traffic threads. The control thread publishes
//! immutable views; the traffic threads return counters and observations.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use foldhaven_core::burn::BurnMeter;
use foldhaven_core::description::DescriptionStamp;
use foldhaven_core::ids::{AttemptId, IncarnationId, RequestId};
use foldhaven_core::pause::PauseDetector;
use foldhaven_core::refusal::{RefusalAnswer, RefusalReason};
use foldhaven_core::time::MonoTime;
use foldhaven_core::waits::WaitLedger;
use foldhaven_wire::counted::ByteCounter;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::clock::{Clock, SystemClock, new_incarnation};
use crate::control::ControlHandle;
use crate::metrics::MetricsRegistry;
use crate::settings::DaemonSettings;
use crate::traffic::{TicketRegistry, TrafficState};
use crate::views::PublishedView;

/// Maximum age of a view for decisions about other data centres.
const MAX_VIEW_AGE: Duration = Duration::from_secs(3);

/// The state shared by the threads of one daemon.
pub struct SharedState {
    pub settings: DaemonSettings,
    pub clock: Arc<dyn Clock>,
    pub incarnation: IncarnationId,
    pub traffic_state: TrafficState,
    pub tickets: TicketRegistry,
    pub metrics: MetricsRegistry,
    pub burn: Mutex<BurnMeter>,
    pub control_bytes: Arc<ByteCounter>,
    pub control: OnceLock<ControlHandle>,
    /// Wakes the exchange task before its next interval when there is an update to announce.
    pub exchange_wakeup: Notify,
    view: ArcSwapOption<PublishedView>,
    stamps: watch::Sender<Option<DescriptionStamp>>,
    /// Tracks by which description each waiting request was last checked.
    waits: Mutex<WaitLedger>,
    leaving: AtomicBool,
    in_flight: AtomicU32,
    /// Notified when the last request in flight ends.
    idle: Notify,
    /// Number of the next attempt.
    next_attempt: AtomicU64,
    pause_detector: Mutex<PauseDetector>,
    /// When the state was last compared with the peers' after a pause, as a [`MonoTime`].
    refreshed_at: AtomicU64,
}

impl SharedState {
    pub fn new(settings: DaemonSettings) -> Arc<Self> {
        let clock = SystemClock::default();
        let incarnation = new_incarnation();
        let now = clock.now();
        let tickets = TicketRegistry::new(settings.vm.clone(), incarnation);
        let pause_detector = PauseDetector::new(settings.times.pause.0, now);
        Arc::new(Self {
            settings,
            clock: Arc::new(clock),
            incarnation,
            traffic_state: TrafficState::default(),
            tickets,
            metrics: MetricsRegistry::default(),
            burn: Mutex::default(),
            control_bytes: Arc::default(),
            control: OnceLock::new(),
            exchange_wakeup: Notify::new(),
            view: ArcSwapOption::empty(),
            stamps: watch::Sender::new(None),
            waits: Mutex::default(),
            leaving: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            idle: Notify::new(),
            next_attempt: AtomicU64::new(1),
            pause_detector: Mutex::new(pause_detector),
            refreshed_at: AtomicU64::new(now.0),
        })
    }

    pub fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// Returns the current view, or a refusal if none has been published yet.
    pub fn view(&self) -> Result<Arc<PublishedView>, RefusalAnswer> {
        self.view.load_full().ok_or_else(|| {
            let detail = "expected an adopted description, there is none yet";
            RefusalAnswer::not_run("reading the view", RefusalReason::NoDescription, detail)
                .with_retry_after(Duration::from_millis(500))
        })
    }

    /// Publishes a view to the traffic threads.
    pub fn publish(&self, view: PublishedView) {
        let stamp = view.route.index.stamp;
        self.view.store(Some(Arc::new(view)));
        // The stamp is adopted after the view is stored, so that a request that enters with this
        // stamp reads this view or a later one.
        self.waits.lock().adopt(stamp);
        self.stamps.send_if_modified(|held| held.replace(stamp) != Some(stamp));
    }

    /// Counts a request that is about to be routed as waiting until the guard is dropped. It must
    /// be routed by a view that is read after this call.
    pub fn enter_wait(self: &Arc<Self>) -> WaitGuard {
        let checked_stamp = self.waits.lock().enter();
        WaitGuard { shared: self.clone(), checked_stamp }
    }

    /// Returns the description that applies to every request of this VM that can still start,
    /// `None` before the first view.
    pub fn stamp_in_force(&self) -> Option<DescriptionStamp> {
        self.waits.lock().in_force(self.now())
    }

    /// Returns a receiver that changes with each published description.
    pub fn watch_stamp(&self) -> watch::Receiver<Option<DescriptionStamp>> {
        self.stamps.subscribe()
    }

    /// Returns whether a view is fresh enough for decisions about other data centres.
    pub fn is_fresh(&self, view: &PublishedView) -> bool {
        self.now().since(view.published_at) < MAX_VIEW_AGE
    }

    /// Returns whether this daemon is draining.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Starts to drain this daemon: it issues no more tickets.
    pub fn start_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
        self.tickets.stop_issuing();
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard { shared: self.clone() }
    }

    /// Waits until no request is in flight.
    pub async fn wait_idle(&self) {
        loop {
            let idle = self.idle.notified();
            if self.in_flight() == 0 {
                return;
            }
            idle.await;
        }
    }

    /// Returns a new attempt id for a request.
    pub fn new_attempt(&self, request: &RequestId) -> AttemptId {
        AttemptId {
            request: request.clone(),
            origin: self.settings.vm.clone(),
            incarnation: self.incarnation,
            number: self.next_attempt.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Returns a random request id, for a request without one.
    pub fn new_request_id(&self) -> RequestId {
        let id = format!("{}-{:016x}", self.settings.vm, rand::random::<u64>());
        id.parse().expect("a VM name and a number make a request id")
    }

    /// Ticks the pause detector. Returns the length of a pause of the process that just ended,
    /// `None` if there was none.
    pub fn tick(&self) -> Option<Duration> {
        self.pause_detector.lock().tick(self.now())
    }

    /// Records that the state was compared with the peers' after a pause.
    pub fn record_refresh(&self) {
        self.refreshed_at.store(self.now().0, Ordering::SeqCst);
    }

    /// Waits until the process may act on its view: it has not paused since the state was last
    /// refreshed.
    ///
    /// # Errors
    ///
    /// Returns a `not_run` refusal if that takes longer than [`FRESH_TIMEOUT`].
    pub async fn wait_fresh(&self) -> Result<(), RefusalAnswer> {
        const FRESH_TIMEOUT: Duration = Duration::from_millis(2_500);
        const CHECK_INTERVAL: Duration = Duration::from_millis(10);
        let started = self.now();
        loop {
            let now = self.now();
            let refreshed_at = MonoTime(self.refreshed_at.load(Ordering::SeqCst));
            if self.pause_detector.lock().may_act(now, refreshed_at) {
                return Ok(());
            }
            if now.since(started) > FRESH_TIMEOUT {
                let detail = "expected a view newer than the last pause of this process";
                let reason = RefusalReason::Paused;
                return Err(RefusalAnswer::not_run("checking for a pause", reason, detail)
                    .with_retry_after(Duration::from_millis(500)));
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}

/// A guard that counts a request as in flight until it is dropped.
pub struct InFlightGuard {
    shared: Arc<SharedState>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if self.shared.in_flight.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.shared.idle.notify_waiters();
        }
    }
}

/// A guard that counts a request as waiting until it is dropped. A waiting request is being routed,
/// or waits at an upstream for the first part of its answer.
pub struct WaitGuard {
    shared: Arc<SharedState>,
    /// The description by which the request was last checked.
    checked_stamp: Option<DescriptionStamp>,
}

impl WaitGuard {
    /// Records that the description with this stamp permits the request.
    pub fn record_permitted(&mut self, stamp: DescriptionStamp) {
        if self.checked_stamp != Some(stamp) {
            self.shared.waits.lock().recheck(self.checked_stamp, Some(stamp));
            self.checked_stamp = Some(stamp);
        }
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.shared.waits.lock().leave(self.checked_stamp, self.shared.now());
    }
}
