//! The upstreams as traffic sees them: what is listed of each, and what calls to it have shown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use foldhaven_core::health::TargetHealth;
use foldhaven_core::ids::{DataCentreName, RegionName, ServiceName, UpstreamName};
use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::cold::ColdPacer;
use foldhaven_core::opaque::load_share::UpstreamShare;
use foldhaven_core::opaque::pace::{QueueFacts, UpstreamPace};
use foldhaven_core::time::MonoTime;
use parking_lot::Mutex;

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
    pub pace: Mutex<UpstreamPace>,
    /// Spaces the requests that this VM sends while it is cold.
    pub pacer: Mutex<ColdPacer>,
    /// The requests of this VM.
    pub load: Arc<LoadCounter>,
    /// The requests of the other VMs of the region, as they reported them.
    others_in_flight: AtomicU32,
    /// The prompt tokens of those that were not answered yet.
    others_pending: AtomicU32,
    /// Those of requests that go behind all others.
    others_behind: AtomicU32,
    /// When anything was received from it last.
    heard: AtomicU64,
    /// Until when it is cold.
    cold_until: AtomicU64,
    /// The rate at which this VM may send while it is cold, as the bits of a number.
    cold_rate: AtomicU64,
}

/// What is listed of an upstream and stays the same during its life.
pub struct UpstreamIdentity {
    pub name: UpstreamName,
    pub service: ServiceName,
    pub address: SocketAddr,
    pub data_centre: DataCentreName,
    pub region: RegionName,
    /// How many requests it runs at once.
    pub slots: u32,
    /// The tokens that its prompt memory holds; 0 when it keeps none.
    pub prompt_memory: u64,
}

impl Upstream {
    pub fn new(identity: UpstreamIdentity) -> Arc<Self> {
        Arc::new(Self {
            tag: UpstreamTag::of(&identity.name),
            identity,
            pool: ConnectionPool::new(IDLE_LIMIT),
            health: Mutex::default(),
            pace: Mutex::default(),
            pacer: Mutex::default(),
            load: Arc::default(),
            others_in_flight: AtomicU32::new(0),
            others_pending: AtomicU32::new(0),
            others_behind: AtomicU32::new(0),
            heard: AtomicU64::new(0),
            cold_until: AtomicU64::new(0),
            cold_rate: AtomicU64::new(0),
        })
    }

    pub fn name(&self) -> &UpstreamName {
        &self.identity.name
    }

    /// Takes in until when it is cold and how fast this VM may send until then.
    pub fn set_cold(&self, until: MonoTime, rate: f64) {
        self.cold_until.store(until.0, Ordering::Relaxed);
        self.cold_rate.store(rate.to_bits(), Ordering::Relaxed);
    }

    /// The rate to keep to now; nothing when it is warm.
    pub fn cold_rate(&self, now: MonoTime) -> Option<f64> {
        let is_cold = now.0 < self.cold_until.load(Ordering::Relaxed);
        is_cold.then(|| f64::from_bits(self.cold_rate.load(Ordering::Relaxed)))
    }

    /// Notes that something was received from it.
    pub fn note_heard(&self, now: MonoTime) {
        self.heard.store(now.0, Ordering::Relaxed);
    }

    /// Whether nothing was received from it since a moment.
    pub fn is_silent_since(&self, moment: MonoTime) -> bool {
        self.heard.load(Ordering::Relaxed) < moment.0
    }

    /// Notes that it cannot be reached or says nothing: it is ejected at once, and connections to it
    /// are closed.
    pub fn note_unreachable(&self, now: MonoTime) {
        self.health.lock().fail(true, now);
        self.pool.clear();
    }

    /// Notes that a request failed there after it may have run, of a route of which a share usually fails.
    pub fn note_failure(&self, usual: f64, now: MonoTime) {
        self.health.lock().fail(false, now);
        self.pace.lock().note_end(true, usual, now);
    }

    /// Takes in the requests that other VMs have there.
    pub fn set_others(&self, share: UpstreamShare) {
        self.others_in_flight.store(share.in_flight.into(), Ordering::Relaxed);
        self.others_pending.store(share.pending_tokens, Ordering::Relaxed);
        self.others_behind.store(share.behind_tokens, Ordering::Relaxed);
    }

    /// The queue that all VMs of the region make.
    pub fn queue(&self) -> QueueFacts {
        let own = self.load.share();
        let others = self.others_in_flight.load(Ordering::Relaxed);
        QueueFacts {
            slots: self.identity.slots,
            in_flight: u32::from(own.in_flight) + others,
            pending_tokens: own.pending_tokens + self.others_pending.load(Ordering::Relaxed),
            behind_tokens: own.behind_tokens + self.others_behind.load(Ordering::Relaxed),
        }
    }
}

/// The requests of this VM at one place.
#[derive(Debug, Default)]
pub struct LoadCounter {
    in_flight: AtomicU32,
    /// The prompt tokens of requests that were not answered yet.
    pending_tokens: AtomicU32,
    /// Those of requests that go behind all others.
    behind_tokens: AtomicU32,
}

impl LoadCounter {
    /// What is counted now.
    pub fn share(&self) -> UpstreamShare {
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        UpstreamShare {
            in_flight: u16::try_from(in_flight).unwrap_or(u16::MAX),
            pending_tokens: self.pending_tokens.load(Ordering::Relaxed),
            behind_tokens: self.behind_tokens.load(Ordering::Relaxed),
        }
    }

    /// Counts a request with so many prompt tokens to read until the guard is dropped.
    pub fn enter(self: &Arc<Self>, tokens: u32, is_behind: bool) -> LoadSeat {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.unread(is_behind).fetch_add(tokens, Ordering::Relaxed);
        LoadSeat { counter: self.clone(), pending: tokens, is_behind }
    }

    /// The count of the prompt tokens of requests that do, or do not, go behind all others.
    fn unread(&self, is_behind: bool) -> &AtomicU32 {
        if is_behind { &self.behind_tokens } else { &self.pending_tokens }
    }
}

/// One request at a place.
pub struct LoadSeat {
    counter: Arc<LoadCounter>,
    /// The prompt tokens still counted as to be read.
    pending: u32,
    is_behind: bool,
}

impl LoadSeat {
    /// Notes that the answer has begun: the prompt was read.
    pub fn note_answered(&mut self) {
        let pending = std::mem::take(&mut self.pending);
        self.counter.unread(self.is_behind).fetch_sub(pending, Ordering::Relaxed);
    }
}

impl Drop for LoadSeat {
    fn drop(&mut self) {
        self.note_answered();
        self.counter.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
