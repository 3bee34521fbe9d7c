//! The upstreams as traffic sees them: what is listed of each, and what calls to it have shown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use foldhaven_core::health::TargetHealth;
use foldhaven_core::ids::{
    DataCentreName, RegionName, ServiceName, UpstreamName, UpstreamStartTime,
};
use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::load_reports::UpstreamShare;
use foldhaven_core::opaque::performance::{QueueState, UpstreamPerformance};
use foldhaven_core::opaque::queue_rank::{PrefillBacklog, QueueRank};
use foldhaven_core::opaque::rate_share::{RatePacer, RateShare};
use foldhaven_core::opaque::request_fingerprint::RequestFingerprint;
use foldhaven_core::opaque::suspects::{InFlightId, InFlightRequests};
use foldhaven_core::opaque::upstream_table::UpstreamRecord;
use foldhaven_core::time::MonoTime;
use parking_lot::Mutex;

use crate::clock::MonoClock;
use crate::connection::{ConnectionPool, IDLE_LIMIT};

/// One process of an upstream. It lives as long as the process is listed; views share it.
pub struct Upstream {
    pub identity: UpstreamIdentity,
    /// What it is called in messages between VMs.
    pub tag: UpstreamTag,
    pub pool: ConnectionPool,
    /// Whether it is ejected after failures.
    pub health: Mutex<TargetHealth>,
    /// How far its times were off lately, and how often it failed.
    pub pace: Mutex<UpstreamPerformance>,
    /// Spaces the requests that this VM sends while it is cold or names a limit.
    pub pacer: Mutex<RatePacer>,
    /// The requests of this VM.
    pub load: Arc<LoadCounter>,
    /// The requests of the other VMs of the region, as they reported them.
    others_in_flight: AtomicU32,
    /// Those of them that can still be answered as wanted.
    others_whole: AtomicU32,
    /// Those that go behind all others, and were not answered yet.
    others_behind: AtomicU32,
    /// The prompt tokens of those that were not answered yet.
    others_unread: Mutex<PrefillBacklog>,
    /// The requests of this VM there, by which it is known under which ones it ended.
    guests: Mutex<InFlightRequests>,
    /// Whether it is being found out whether it has ended.
    is_probed: AtomicBool,
    /// When anything was received from it last.
    heard: AtomicU64,
    /// Until when it is cold.
    cold_until: AtomicU64,
    /// Until when this VM is to back off.
    backoff_until: AtomicU64,
    /// Whether it has said that it leaves.
    is_leaving: AtomicBool,
    /// Whether it names a limit.
    is_limited: AtomicBool,
    /// The rate at which this VM may send while it is cold or names a limit, as the bits of a number.
    part_rate: AtomicU64,
    /// Until when that rate may be used.
    part_until: AtomicU64,
    /// How many requests this VM has sent at that rate.
    bounded_sent: AtomicU32,
}

/// What is listed of an upstream and stays the same during its life.
pub struct UpstreamIdentity {
    pub name: UpstreamName,
    pub birth: UpstreamStartTime,
    pub service: ServiceName,
    pub address: SocketAddr,
    pub data_centre: DataCentreName,
    pub region: RegionName,
    /// How many requests it runs at once.
    pub slots: u32,
    /// The tokens that its prompt memory holds; 0 when it keeps none.
    pub prompt_memory: u64,
}

impl UpstreamIdentity {
    /// Whether a record is still of the same process at the same place.
    pub fn is_of(&self, record: &UpstreamRecord) -> bool {
        (self.birth, self.address, self.slots) == (record.birth, record.address, record.slots)
            && self.service == record.service
            && self.data_centre == record.data_centre
    }
}

impl Upstream {
    pub fn new(identity: UpstreamIdentity) -> Arc<Self> {
        Arc::new(Self {
            tag: UpstreamTag::of(&identity.name, identity.birth),
            identity,
            pool: ConnectionPool::new(IDLE_LIMIT),
            health: Mutex::default(),
            pace: Mutex::default(),
            pacer: Mutex::default(),
            load: Arc::default(),
            others_in_flight: AtomicU32::new(0),
            others_whole: AtomicU32::new(0),
            others_behind: AtomicU32::new(0),
            others_unread: Mutex::default(),
            guests: Mutex::default(),
            is_probed: AtomicBool::new(false),
            heard: AtomicU64::new(0),
            cold_until: AtomicU64::new(0),
            backoff_until: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            is_limited: AtomicBool::new(false),
            part_rate: AtomicU64::new(0),
            part_until: AtomicU64::new(0),
            bounded_sent: AtomicU32::new(0),
        })
    }

    pub fn name(&self) -> &UpstreamName {
        &self.identity.name
    }

    /// Takes in until when it is cold.
    pub fn set_cold(&self, until: MonoTime) {
        self.cold_until.store(until.0, Ordering::Relaxed);
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: MonoTime) -> bool {
        now.0 < self.cold_until.load(Ordering::Relaxed)
    }

    /// Takes in until when this VM is to back off; a longer back-off that was asked for before stands. Returns whether it was not backing off
    /// before.
    pub fn back_off_until(&self, until: MonoTime, now: MonoTime) -> bool {
        let before = self.backoff_until.fetch_max(until.0, Ordering::Relaxed);
        before <= now.0
    }

    /// For how much longer this VM is to back off.
    pub fn backoff_left(&self, now: MonoTime) -> Duration {
        MonoTime(self.backoff_until.load(Ordering::Relaxed)).since(now)
    }

    /// Takes in that it has said that it leaves.
    pub fn set_leaving(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Whether it has said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Takes in whether it names a limit.
    pub fn set_limited(&self, is_limited: bool) {
        self.is_limited.store(is_limited, Ordering::Relaxed);
    }

    /// Whether it names a limit.
    pub fn is_limited(&self) -> bool {
        self.is_limited.load(Ordering::Relaxed)
    }

    /// Takes in this VM's part of what it may get while it is cold or names a limit, and until when that may be used.
    pub fn set_part(&self, part: RateShare, until: Option<MonoTime>, now: MonoTime) {
        let has_part = now.0 < self.part_until.load(Ordering::Relaxed) && self.noted_part() > 0.0;
        let mut pacer = self.pacer.lock();
        if part.per_s > self.noted_part() {
            pacer.raise_rate(part.per_s, now);
        }
        if !has_part {
            pacer.delay_until(now + part.first_delay);
        }
        drop(pacer);
        self.part_rate.store(part.per_s.to_bits(), Ordering::Relaxed);
        self.part_until.store(until.map_or(0, |until| until.0), Ordering::Relaxed);
    }

    /// The rate to keep to now; nothing when it is neither cold nor names a limit.
    pub fn bound_rate(&self, now: MonoTime) -> Option<f64> {
        let is_bounded = self.is_cold(now) || self.is_limited();
        let may_send = now.0 < self.part_until.load(Ordering::Relaxed);
        is_bounded.then(|| if may_send { self.noted_part() } else { 0.0 })
    }

    /// The rate of [`Upstream::set_part`] that was taken in last.
    pub fn noted_part(&self) -> f64 {
        f64::from_bits(self.part_rate.load(Ordering::Relaxed))
    }

    /// Counts a request that this VM sends at its part of a rate.
    pub fn count_bounded(&self) {
        self.bounded_sent.fetch_add(1, Ordering::Relaxed);
    }

    /// How many those are.
    pub fn bounded_sent(&self) -> u32 {
        self.bounded_sent.load(Ordering::Relaxed)
    }

    /// Notes that something was received from it.
    pub fn note_heard(&self, now: MonoTime) {
        self.heard.store(now.0, Ordering::Relaxed);
    }

    /// Whether nothing was received from it since a moment.
    pub fn is_silent_since(&self, moment: MonoTime) -> bool {
        self.heard.load(Ordering::Relaxed) < moment.0
    }

    /// Begins to find out whether it has ended, unless somebody does already.
    pub fn begin_probe(&self) -> bool {
        !self.is_probed.swap(true, Ordering::Relaxed)
    }

    /// Ends that.
    pub fn end_probe(&self) {
        self.is_probed.store(false, Ordering::Relaxed);
    }

    /// The requests of this VM that it may have ended under, when a connection to it broke at this time.
    pub fn take_victims(&self, broke: MonoTime) -> Vec<RequestFingerprint> {
        self.guests.lock().take_affected(broke)
    }

    /// Notes a request of this VM there until the guard is dropped.
    pub fn admit(self: &Arc<Self>, print: RequestFingerprint, clock: MonoClock) -> GuestSeat {
        let id = self.guests.lock().insert(print);
        GuestSeat { upstream: self.clone(), id, clock, is_harmless: false }
    }

    /// Notes that it cannot be reached or says nothing: it is ejected at once, and connections to it
    /// are closed.
    pub fn note_unreachable(&self, now: MonoTime) {
        self.health.lock().record_failure(true, now);
        self.pool.clear();
    }

    /// Notes that a request failed there after it may have run, of a route of which a share usually fails.
    pub fn note_failure(&self, usual: f64, now: MonoTime) {
        self.health.lock().record_failure(false, now);
        self.pace.lock().record_end(true, usual, now);
    }

    /// Takes in the requests that other VMs have there.
    pub fn set_others(&self, share: UpstreamShare) {
        self.others_in_flight.store(share.in_flight.into(), Ordering::Relaxed);
        self.others_whole.store(share.on_track.into(), Ordering::Relaxed);
        self.others_behind.store(share.deferred.into(), Ordering::Relaxed);
        *self.others_unread.lock() = share.prefill_backlog;
    }

    /// The queue that all VMs of the region make.
    pub fn queue(&self) -> QueueState {
        let own = self.load.share();
        let others = self.others_in_flight.load(Ordering::Relaxed);
        QueueState {
            slots: self.identity.slots,
            in_flight: u32::from(own.in_flight) + others,
            on_track: u32::from(own.on_track) + self.others_whole.load(Ordering::Relaxed),
            deferred: u32::from(own.deferred) + self.others_behind.load(Ordering::Relaxed),
            prefill_backlog: own.prefill_backlog.plus(*self.others_unread.lock()),
        }
    }
}

/// One request at an upstream.
pub struct GuestSeat {
    upstream: Arc<Upstream>,
    id: InFlightId,
    clock: MonoClock,
    is_harmless: bool,
}

impl GuestSeat {
    /// Notes that it has not harmed the upstream: it was answered whole, declined or never sent.
    pub fn note_harmless(&mut self) {
        self.is_harmless = true;
    }
}

impl Drop for GuestSeat {
    fn drop(&mut self) {
        let mut guests = self.upstream.guests.lock();
        match self.is_harmless {
            true => guests.remove_harmless(self.id),
            false => guests.remove(self.id, self.clock.now()),
        }
    }
}

/// The requests of this VM at one place.
#[derive(Debug, Default)]
pub struct LoadCounter {
    in_flight: AtomicU32,
    /// Those of them that can still be answered as wanted.
    whole: AtomicU32,
    /// Those that go behind all others, and were not answered yet.
    behind: AtomicU32,
    /// The prompt tokens of timely requests that were not answered yet.
    unread_timely: AtomicU32,
    /// Those of requests that go behind them.
    unread_behind: AtomicU32,
}

impl LoadCounter {
    /// What is counted now.
    pub fn share(&self) -> UpstreamShare {
        let read =
            |count: &AtomicU32| u16::try_from(count.load(Ordering::Relaxed)).unwrap_or(u16::MAX);
        UpstreamShare {
            in_flight: read(&self.in_flight),
            on_track: read(&self.whole),
            deferred: read(&self.behind),
            prefill_backlog: PrefillBacklog {
                timely: self.unread_timely.load(Ordering::Relaxed),
                deferred: self.unread_behind.load(Ordering::Relaxed),
            },
        }
    }

    /// Counts a request of a rank with so many prompt tokens to read until the guard is dropped.
    pub fn enter(self: &Arc<Self>, tokens: u32, rank: QueueRank) -> LoadSeat {
        let is_whole = rank == QueueRank::Timely;
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let is_behind = rank == QueueRank::Deferred;
        self.whole.fetch_add(is_whole.into(), Ordering::Relaxed);
        self.behind.fetch_add(is_behind.into(), Ordering::Relaxed);
        self.unread(rank).fetch_add(tokens, Ordering::Relaxed);
        LoadSeat { counter: self.clone(), unread: tokens, rank, is_whole, is_behind }
    }

    fn unread(&self, rank: QueueRank) -> &AtomicU32 {
        match rank {
            QueueRank::Timely => &self.unread_timely,
            QueueRank::Deferred => &self.unread_behind,
        }
    }
}

/// One request at a place.
pub struct LoadSeat {
    counter: Arc<LoadCounter>,
    /// The prompt tokens still counted as to be read.
    unread: u32,
    rank: QueueRank,
    /// Whether it can still be answered as wanted.
    is_whole: bool,
    /// Whether it goes behind all others, and was not answered yet.
    is_behind: bool,
}

impl LoadSeat {
    /// Notes that the answer has begun: the prompt was read.
    pub fn note_answered(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        self.counter.unread(self.rank).fetch_sub(unread, Ordering::Relaxed);
        let was_behind = std::mem::replace(&mut self.is_behind, false);
        self.counter.behind.fetch_sub(was_behind.into(), Ordering::Relaxed);
    }

    /// Notes that it cannot be answered as wanted any more.
    pub fn note_late(&mut self) {
        let was_whole = std::mem::replace(&mut self.is_whole, false);
        self.counter.whole.fetch_sub(was_whole.into(), Ordering::Relaxed);
    }
}

impl Drop for LoadSeat {
    fn drop(&mut self) {
        self.note_answered();
        self.note_late();
        self.counter.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
