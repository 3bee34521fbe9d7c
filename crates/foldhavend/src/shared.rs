//! What the control thread and the traffic threads share: immutable views one way, counters and
//! notes the other.

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
use crate::metrics::MetricsBook;
use crate::settings::DaemonSettings;
use crate::traffic::{TicketDesk, TrafficFacts};
use crate::views::PublishedView;

/// A view older than this says nothing any more about other data centres.
const VIEW_LIFETIME: Duration = Duration::from_secs(3);

/// Everything that the threads of one daemon share.
pub struct SharedState {
    pub settings: DaemonSettings,
    pub clock: Arc<dyn Clock>,
    pub incarnation: IncarnationId,
    pub traffic_state: TrafficFacts,
    pub tickets: TicketDesk,
    pub metrics: MetricsBook,
    pub burn: Mutex<BurnMeter>,
    pub control_bytes: Arc<ByteCounter>,
    pub control: OnceLock<ControlHandle>,
    /// Wakes the exchange loop before its time, when there is news.
    pub exchange_now: Notify,
    view: ArcSwapOption<PublishedView>,
    stamps: watch::Sender<Option<DescriptionStamp>>,
    waits: Mutex<WaitLedger>,
    leaving: AtomicBool,
    in_flight: AtomicU32,
    settled: Notify,
    attempts: AtomicU64,
    pulse: Mutex<PauseDetector>,
    refreshed: AtomicU64,
}

impl SharedState {
    pub fn new(settings: DaemonSettings) -> Arc<Self> {
        let clock = SystemClock::default();
        let incarnation = new_incarnation();
        let now = clock.now();
        let tickets = TicketDesk::new(settings.vm.clone(), incarnation);
        let pulse = PauseDetector::new(settings.times.pause.0, now);
        Arc::new(Self {
            settings,
            clock: Arc::new(clock),
            incarnation,
            traffic_state: TrafficFacts::default(),
            tickets,
            metrics: MetricsBook::default(),
            burn: Mutex::default(),
            control_bytes: Arc::default(),
            control: OnceLock::new(),
            exchange_now: Notify::new(),
            view: ArcSwapOption::empty(),
            stamps: watch::Sender::new(None),
            waits: Mutex::default(),
            leaving: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            settled: Notify::new(),
            attempts: AtomicU64::new(1),
            pulse: Mutex::new(pulse),
            refreshed: AtomicU64::new(now.0),
        })
    }

    pub fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// The present view, or the refusal that there is none.
    pub fn view(&self) -> Result<Arc<PublishedView>, RefusalAnswer> {
        self.view.load_full().ok_or_else(|| {
            let detail = "expected an adopted description, there is none yet";
            RefusalAnswer::not_run("reading the view", RefusalReason::NoDescription, detail)
                .with_retry_after(Duration::from_millis(500))
        })
    }

    pub fn publish(&self, view: PublishedView) {
        let stamp = view.route.index.stamp;
        self.view.store(Some(Arc::new(view)));
        // After the view: a request that enters with this stamp reads this view or a later one.
        self.waits.lock().adopt(stamp);
        self.stamps.send_if_modified(|held| held.replace(stamp) != Some(stamp));
    }

    /// Counts a request that is about to be placed as waiting, until the guard is dropped. Only a view
    /// that is read afterwards may place it.
    pub fn enter_wait(self: &Arc<Self>) -> WaitGuard {
        let checked = self.waits.lock().enter();
        WaitGuard { shared: self.clone(), checked }
    }

    /// The description that holds for every request of this VM that can still begin; nothing before the
    /// first view.
    pub fn stamp_in_force(&self) -> Option<DescriptionStamp> {
        self.waits.lock().in_force(self.now())
    }

    /// Changes with each adopted description.
    pub fn watch_stamp(&self) -> watch::Receiver<Option<DescriptionStamp>> {
        self.stamps.subscribe()
    }

    /// Whether what a view says of other data centres may still be acted on.
    pub fn is_fresh(&self, view: &PublishedView) -> bool {
        self.now().since(view.made) < VIEW_LIFETIME
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    pub fn start_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
        self.tickets.stop_issuing();
    }

    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Counts one request as under way until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
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

    pub fn new_attempt(&self, request: &RequestId) -> AttemptId {
        AttemptId {
            request: request.clone(),
            origin: self.settings.vm.clone(),
            incarnation: self.incarnation,
            number: self.attempts.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// A request id for a caller who chose none.
    pub fn new_request_id(&self) -> RequestId {
        let id = format!("{}-{:016x}", self.settings.vm, rand::random::<u64>());
        id.parse().expect("a VM name and a number make a request id")
    }

    /// Ticks the pause detector; returns the length of a pause that just ended.
    pub fn tick(&self) -> Option<Duration> {
        self.pulse.lock().tick(self.now())
    }

    /// Notes that the view was compared with others' after a pause.
    pub fn note_refreshed(&self) {
        self.refreshed.store(self.now().0, Ordering::SeqCst);
    }

    /// Holds a request back until the process is known not to have slept since its view was made.
    ///
    /// # Errors
    ///
    /// A refusal, `not_run` for this step, when that takes longer than [`FRESH_LIMIT`].
    pub async fn wait_fresh(&self) -> Result<(), RefusalAnswer> {
        const FRESH_LIMIT: Duration = Duration::from_millis(2_500);
        const CHECK: Duration = Duration::from_millis(10);
        let started = self.now();
        loop {
            let now = self.now();
            let refreshed = MonoTime(self.refreshed.load(Ordering::SeqCst));
            if self.pulse.lock().may_act(now, refreshed) {
                return Ok(());
            }
            if now.since(started) > FRESH_LIMIT {
                let detail = "expected a view newer than the last pause of this process";
                let reason = RefusalReason::Paused;
                return Err(RefusalAnswer::not_run("checking for a pause", reason, detail)
                    .with_retry_after(Duration::from_millis(500)));
            }
            tokio::time::sleep(CHECK).await;
        }
    }
}

/// One request under way.
pub struct InFlightGuard {
    shared: Arc<SharedState>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if self.shared.in_flight.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.shared.settled.notify_waiters();
        }
    }
}

/// One request that is being placed or waits at an upstream for its first part.
pub struct WaitGuard {
    shared: Arc<SharedState>,
    checked: Option<DescriptionStamp>,
}

impl WaitGuard {
    /// Notes that the request is permitted by the description with this stamp.
    pub fn record_permitted(&mut self, stamp: DescriptionStamp) {
        if self.checked != Some(stamp) {
            self.shared.waits.lock().recheck(self.checked, Some(stamp));
            self.checked = Some(stamp);
        }
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.shared.waits.lock().leave(self.checked, self.shared.now());
    }
}
