//! The state of each upstream for request handling: its listed properties, and what the calls to it
//! have shown.

use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use foldhaven_core::health::TargetHealth;
use foldhaven_core::ids::{
    DataCentreName, RegionName, ServiceName, SoftwareVersion, UpstreamName, UpstreamStartTime,
};
use foldhaven_core::opaque::abandoned_requests::AbandonedRequests;
use foldhaven_core::opaque::affinity::{RingPosition, UpstreamTag};
use foldhaven_core::opaque::level_loads::LevelLoads;
use foldhaven_core::opaque::load_reports::UpstreamShare;
use foldhaven_core::opaque::peer_table::VmTag;
use foldhaven_core::opaque::performance::{QueueState, UpstreamPerformance};
use foldhaven_core::opaque::queue_rank::PrefillBacklog;
use foldhaven_core::opaque::rate_share::{RatePacer, RateShare};
use foldhaven_core::opaque::slot_share::HolderLists;
use foldhaven_core::opaque::software::SoftwareTag;
use foldhaven_core::opaque::suspects::{InFlightId, InFlightRequests, SuspectKeys};
use foldhaven_core::opaque::upstream_speed::SpeedFactors;
use foldhaven_core::opaque::upstream_table::UpstreamRecord;
use foldhaven_core::time::MonoTime;
use parking_lot::Mutex;

use crate::brittle_tracker::ServiceBrittleness;
use crate::clock::MonoClock;
use crate::connection::{ConnectionPool, IDLE_LIMIT};
use crate::load_counter::LoadCounter;

/// One process of an upstream. Shared by all views for as long as the process is listed.
pub struct Upstream {
    pub identity: UpstreamIdentity,
    /// Its identifier in messages between VMs.
    pub tag: UpstreamTag,
    /// Its software. A stream that began at it goes on only at upstreams with the same one.
    pub software: SoftwareTag,
    /// Its position among the upstreams of its service.
    pub ring_position: RingPosition,
    pub pool: ConnectionPool,
    /// Whether the upstreams of its service are brittle.
    pub brittleness: Arc<ServiceBrittleness>,
    /// Its recent failures, which decide whether it is ejected.
    pub health: Mutex<TargetHealth>,
    /// Its speed, the recent errors of its time estimates, and its failures.
    pub performance: Mutex<UpstreamPerformance>,
    /// Paces the requests of this VM while the upstream is cold or announces a rate limit.
    pub pacer: Mutex<RatePacer>,
    /// The requests of this VM at the upstream.
    pub load: Arc<LoadCounter>,
    /// The streams of this VM at the upstream that have begun.
    streams: AtomicU32,
    /// The requests of the other VMs of the region, as reported by them.
    others_in_flight: AtomicU32,
    /// Those of them that can still meet their targets.
    others_on_track: AtomicU32,
    /// Those that are deferred behind all timely requests and not answered yet.
    others_deferred: AtomicU32,
    /// The prompt tokens of the requests of other VMs that are not answered yet.
    others_prefill_backlog: Mutex<PrefillBacklog>,
    /// The requests of other VMs by priority level.
    others_levels: Mutex<LevelLoads>,
    /// The in-flight requests of this VM, from which the suspects are taken if the upstream
    /// crashes.
    in_flight_requests: Mutex<InFlightRequests<SuspectKeys>>,
    /// The requests of this VM that it has given up.
    abandoned_requests: Mutex<AbandonedRequests>,
    /// Whether a check for the exit of the upstream is running.
    is_exit_check_running: AtomicBool,
    /// When data was last received from the upstream.
    last_received: AtomicU64,
    /// The time until which the upstream is cold.
    cold_until: AtomicU64,
    /// The time until which this VM backs off.
    backoff_until: AtomicU64,
    /// Whether the upstream has announced that it is leaving.
    is_leaving: AtomicBool,
    /// Whether the upstream announces a rate limit.
    is_limited: AtomicBool,
    /// This VM's share of the slots while the upstream is brittle. `None` before it is needed.
    slot_share: Mutex<Option<CachedSlotShare>>,
    /// This VM's share of the rate while the upstream is cold or limited, as the bits of an `f64`.
    rate_share: AtomicU64,
    /// The time until which that share is valid.
    rate_share_until: AtomicU64,
    /// The number of requests that this VM has sent under that share.
    rate_limited_sent: AtomicU32,
}

/// A VM's share of an upstream's slots, computed from one version of the lists of VMs.
#[derive(Debug, Clone, Copy)]
struct CachedSlotShare {
    lists_version: u32,
    slots: u32,
}

/// The listed properties of an upstream, which do not change while its process runs.
pub struct UpstreamIdentity {
    pub name: UpstreamName,
    pub birth: UpstreamStartTime,
    pub service: ServiceName,
    pub address: SocketAddr,
    pub data_centre: DataCentreName,
    pub region: RegionName,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// The capacity of its prompt cache in tokens. 0 if it has none.
    pub prompt_memory: u64,
    /// The version of its software. `None` if it names none.
    pub software: Option<SoftwareVersion>,
}

impl UpstreamIdentity {
    /// Whether a record describes the same process with unchanged properties.
    pub fn matches_record(&self, record: &UpstreamRecord) -> bool {
        (self.birth, self.address, self.slots) == (record.birth, record.address, record.slots)
            && self.service == record.service
            && self.data_centre == record.data_centre
            && self.software == record.software
    }
}

impl Upstream {
    pub fn new(identity: UpstreamIdentity, brittleness: Arc<ServiceBrittleness>) -> Arc<Self> {
        let ring_position = RingPosition::of(&identity.name, identity.birth);
        Arc::new(Self {
            tag: ring_position.tag(),
            software: SoftwareTag::of(identity.software.as_ref(), &identity.name),
            ring_position,
            identity,
            pool: ConnectionPool::new(IDLE_LIMIT),
            brittleness,
            health: Mutex::default(),
            performance: Mutex::default(),
            pacer: Mutex::default(),
            load: Arc::default(),
            streams: AtomicU32::new(0),
            others_in_flight: AtomicU32::new(0),
            others_on_track: AtomicU32::new(0),
            others_deferred: AtomicU32::new(0),
            others_prefill_backlog: Mutex::default(),
            others_levels: Mutex::default(),
            in_flight_requests: Mutex::default(),
            abandoned_requests: Mutex::default(),
            is_exit_check_running: AtomicBool::new(false),
            last_received: AtomicU64::new(0),
            cold_until: AtomicU64::new(0),
            backoff_until: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            is_limited: AtomicBool::new(false),
            slot_share: Mutex::default(),
            rate_share: AtomicU64::new(0),
            rate_share_until: AtomicU64::new(0),
            rate_limited_sent: AtomicU32::new(0),
        })
    }

    pub fn name(&self) -> &UpstreamName {
        &self.identity.name
    }

    /// Returns the software version for log lines, `-` if it names none.
    pub fn software_label(&self) -> &str {
        self.identity.software.as_ref().map_or("-", SoftwareVersion::as_str)
    }

    /// Sets the time until which the upstream is cold.
    pub fn set_cold(&self, until: MonoTime) {
        self.cold_until.store(until.0, Ordering::Relaxed);
    }

    /// Whether the upstream is cold.
    pub fn is_cold(&self, now: MonoTime) -> bool {
        now.0 < self.cold_until.load(Ordering::Relaxed)
    }

    /// Sets the time until which this VM backs off. A longer earlier back-off stays in effect.
    /// Returns whether this VM was not backing off before.
    pub fn back_off_until(&self, until: MonoTime, now: MonoTime) -> bool {
        let before = self.backoff_until.fetch_max(until.0, Ordering::Relaxed);
        before <= now.0
    }

    /// Returns the remaining back-off time of this VM.
    pub fn remaining_backoff(&self, now: MonoTime) -> Duration {
        MonoTime(self.backoff_until.load(Ordering::Relaxed)).since(now)
    }

    /// Records that the upstream has announced that it is leaving.
    pub fn set_leaving(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Whether the upstream has announced that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Sets whether the upstream announces a rate limit.
    pub fn set_limited(&self, is_limited: bool) {
        self.is_limited.store(is_limited, Ordering::Relaxed);
    }

    /// Whether the upstream announces a rate limit.
    pub fn is_limited(&self) -> bool {
        self.is_limited.load(Ordering::Relaxed)
    }

    /// Returns how many requests the upstream can decline in a second. `None` if it is not brittle.
    pub fn max_declined_per_s(&self) -> Option<NonZeroU32> {
        self.brittleness.max_declined_per_s()
    }

    /// Returns how many requests this VM may have at the upstream while it is brittle.
    pub fn slot_share(&self, vm: VmTag, holders: &HolderLists) -> u32 {
        let lists_version = holders.version();
        let mut cached = self.slot_share.lock();
        if let Some(held) = cached.filter(|held| held.lists_version == lists_version) {
            return held.slots;
        }
        let slots = holders.slots_of(vm, self.name(), self.identity.slots);
        *cached = Some(CachedSlotShare { lists_version, slots });
        slots
    }

    /// Returns how many requests of this VM the upstream may be processing. `work_time` is the usual
    /// time of a request.
    pub fn used_slots(&self, work_time: Duration, now: MonoTime) -> u32 {
        u32::from(self.load.share().in_flight) + self.abandoned(work_time, now)
    }

    /// Sets this VM's share of the upstream's rate while it is cold or limited, and the time until
    /// which the share is valid. `None`: it is not valid.
    pub fn set_rate_share(&self, share: RateShare, until: Option<MonoTime>, now: MonoTime) {
        let has_share =
            now.0 < self.rate_share_until.load(Ordering::Relaxed) && self.last_rate_share() > 0.0;
        let mut pacer = self.pacer.lock();
        if share.per_s > self.last_rate_share() {
            pacer.raise_rate(share.per_s, now);
        }
        if !has_share {
            pacer.delay_until(now + share.first_delay);
        }
        drop(pacer);
        self.rate_share.store(share.per_s.to_bits(), Ordering::Relaxed);
        self.rate_share_until.store(until.map_or(0, |until| until.0), Ordering::Relaxed);
    }

    /// Returns the rate that applies to this VM now: zero without a valid share, `None` if the
    /// upstream is neither cold nor limited.
    pub fn allowed_rate(&self, now: MonoTime) -> Option<f64> {
        let is_rate_limited = self.is_cold(now) || self.is_limited();
        let may_send = now.0 < self.rate_share_until.load(Ordering::Relaxed);
        is_rate_limited.then(|| if may_send { self.last_rate_share() } else { 0.0 })
    }

    /// Returns the rate that was last set by [`Upstream::set_rate_share`].
    pub fn last_rate_share(&self) -> f64 {
        f64::from_bits(self.rate_share.load(Ordering::Relaxed))
    }

    /// Counts a request that this VM sends under its share of the rate.
    pub fn count_rate_limited(&self) {
        self.rate_limited_sent.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of requests counted by [`Upstream::count_rate_limited`].
    pub fn rate_limited_sent(&self) -> u32 {
        self.rate_limited_sent.load(Ordering::Relaxed)
    }

    /// Records that data was received from the upstream.
    pub fn record_received(&self, now: MonoTime) {
        self.last_received.store(now.0, Ordering::Relaxed);
    }

    /// Whether no data was received from the upstream since the given time.
    pub fn is_unresponsive_since(&self, moment: MonoTime) -> bool {
        self.last_received.load(Ordering::Relaxed) < moment.0
    }

    /// Marks a check for the exit of the upstream as running. Returns `false` if one is running
    /// already.
    pub fn begin_exit_check(&self) -> bool {
        !self.is_exit_check_running.swap(true, Ordering::Relaxed)
    }

    /// Whether a check for the exit of the upstream is running.
    pub fn is_exit_check_running(&self) -> bool {
        self.is_exit_check_running.load(Ordering::Relaxed)
    }

    /// Marks the check for the exit of the upstream as finished.
    pub fn end_exit_check(&self) {
        self.is_exit_check_running.store(false, Ordering::Relaxed);
    }

    /// Takes the requests of this VM that may have crashed the upstream, given the time at which a
    /// connection to it broke.
    pub fn take_affected(&self, broken_at: MonoTime) -> Vec<SuspectKeys> {
        self.in_flight_requests.lock().take_affected(broken_at)
    }

    /// Returns how many requests that this VM has given up the upstream may still be processing.
    /// `work_time` is the usual time of a request.
    pub fn abandoned(&self, work_time: Duration, now: MonoTime) -> u32 {
        let last_received = MonoTime(self.last_received.load(Ordering::Relaxed));
        self.abandoned_requests.lock().count(work_time, last_received, now)
    }

    /// Registers a request of this VM until the guard is dropped.
    pub fn register_request(
        self: &Arc<Self>,
        keys: SuspectKeys,
        clock: MonoClock,
    ) -> UpstreamRequestGuard {
        let id = self.in_flight_requests.lock().insert(keys);
        let sent_at = clock.now();
        UpstreamRequestGuard { upstream: self.clone(), id, clock, sent_at, is_harmless: false }
    }

    /// Records that the upstream is unresponsive, or that another process has its address: it is
    /// ejected at once, and the idle connections to it are closed.
    pub fn record_unreachable(&self, now: MonoTime) {
        self.health.lock().record_failure(true, now);
        self.pool.clear();
    }

    /// Whether the upstream gets no requests for now, because of recent failures or because no
    /// connection to it can be opened.
    pub fn is_ejected(&self, now: MonoTime) -> bool {
        self.health.lock().is_ejected(now) || !self.pool.can_send()
    }

    /// Counts a stream that has begun at the upstream until the guard is dropped.
    pub fn enter_stream(self: &Arc<Self>) -> StreamGuard {
        self.streams.fetch_add(1, Ordering::Relaxed);
        StreamGuard { upstream: self.clone() }
    }

    /// Returns the number of streams of this VM at the upstream that have begun.
    pub fn stream_count(&self) -> u32 {
        self.streams.load(Ordering::Relaxed)
    }

    /// Returns the lasting speed of the upstream.
    pub fn speed(&self, now: MonoTime) -> SpeedFactors {
        self.performance.lock().speed.factors(now)
    }

    /// Records that a request failed after it may have run. `usual` is the usual failure share of
    /// its route.
    pub fn record_failure(&self, usual: f64, now: MonoTime) {
        self.health.lock().record_failure(false, now);
        self.performance.lock().record_end(true, usual, now);
    }

    /// Sets the requests of the other VMs of the region.
    pub fn set_peer_load(&self, share: UpstreamShare) {
        self.others_in_flight.store(share.in_flight.into(), Ordering::Relaxed);
        self.others_on_track.store(share.on_track.into(), Ordering::Relaxed);
        self.others_deferred.store(share.deferred.into(), Ordering::Relaxed);
        *self.others_prefill_backlog.lock() = share.prefill_backlog;
    }

    /// Sets the requests of the other VMs of the region by priority level.
    pub fn set_peer_levels(&self, levels: LevelLoads) {
        *self.others_levels.lock() = levels;
    }

    /// Returns the queue of the upstream, with the requests of all VMs of the region.
    pub fn queue(&self) -> QueueState {
        let own = self.load.share();
        let others = self.others_in_flight.load(Ordering::Relaxed);
        QueueState {
            slots: self.identity.slots,
            memory_tokens: u32::try_from(self.identity.prompt_memory).unwrap_or(u32::MAX),
            in_flight: u32::from(own.in_flight) + others,
            on_track: u32::from(own.on_track) + self.others_on_track.load(Ordering::Relaxed),
            deferred: u32::from(own.deferred) + self.others_deferred.load(Ordering::Relaxed),
            prefill_backlog: own.prefill_backlog.plus(*self.others_prefill_backlog.lock()),
            levels: self.load.levels().plus(&self.others_levels.lock()),
        }
    }
}

/// Keeps one request registered at an upstream until dropped.
pub struct UpstreamRequestGuard {
    upstream: Arc<Upstream>,
    id: InFlightId,
    clock: MonoClock,
    sent_at: MonoTime,
    is_harmless: bool,
}

impl UpstreamRequestGuard {
    /// Returns the upstream.
    pub fn upstream(&self) -> &Arc<Upstream> {
        &self.upstream
    }

    /// Whether the request is still registered: the upstream was not found to have exited.
    pub fn is_registered(&self) -> bool {
        self.upstream.in_flight_requests.lock().contains(self.id)
    }

    /// Records that the request did not crash the upstream: it was answered completely, declined or
    /// never sent.
    pub fn mark_harmless(&mut self) {
        self.is_harmless = true;
    }
}

impl Drop for UpstreamRequestGuard {
    fn drop(&mut self) {
        let mut in_flight_requests = self.upstream.in_flight_requests.lock();
        if self.is_harmless {
            in_flight_requests.remove_harmless(self.id);
            return;
        }
        let now = self.clock.now();
        in_flight_requests.remove(self.id, now);
        self.upstream.abandoned_requests.lock().record(self.sent_at, now);
    }
}

/// Counts a stream of this VM that has begun at an upstream until dropped.
pub struct StreamGuard {
    upstream: Arc<Upstream>,
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.upstream.streams.fetch_sub(1, Ordering::Relaxed);
    }
}
