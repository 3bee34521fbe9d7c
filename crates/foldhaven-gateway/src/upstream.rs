//! The upstreams as traffic sees them: what is listed of each, and what calls to it have shown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use foldhaven_core::health::TargetHealth;
use foldhaven_core::ids::{DataCentreName, RegionName, ServiceName, UpstreamName};
use foldhaven_core::opaque::cold::ColdPacer;
use foldhaven_core::time::MonoTime;
use parking_lot::Mutex;

use crate::connection::ConnectionPool;

/// One process of an upstream. It lives as long as the process is listed; views share it.
pub struct Upstream {
    pub name: UpstreamName,
    pub service: ServiceName,
    pub address: SocketAddr,
    pub data_centre: DataCentreName,
    pub region: RegionName,
    pub slots: u32,
    pub pool: ConnectionPool,
    pub health: Mutex<TargetHealth>,
    pub pacer: Mutex<ColdPacer>,
    cold_until: AtomicU64,
    /// The rate at which this VM may send while it is cold, as the bits of a number.
    cold_rate: AtomicU64,
    in_flight: AtomicU32,
}

/// What is listed of an upstream and stays the same during its life.
pub struct UpstreamIdentity {
    pub name: UpstreamName,
    pub service: ServiceName,
    pub address: SocketAddr,
    pub data_centre: DataCentreName,
    pub region: RegionName,
    pub slots: u32,
}

impl Upstream {
    pub fn new(identity: UpstreamIdentity) -> Arc<Self> {
        let UpstreamIdentity { name, service, address, data_centre, region, slots } = identity;
        Arc::new(Self {
            name,
            service,
            address,
            data_centre,
            region,
            slots,
            pool: ConnectionPool::default(),
            health: Mutex::default(),
            pacer: Mutex::default(),
            cold_until: AtomicU64::new(0),
            cold_rate: AtomicU64::new(0),
            in_flight: AtomicU32::new(0),
        })
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

    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request as running there until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> UpstreamSeat {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        UpstreamSeat { upstream: self.clone() }
    }
}

/// One request at an upstream.
pub struct UpstreamSeat {
    upstream: Arc<Upstream>,
}

impl Drop for UpstreamSeat {
    fn drop(&mut self) {
        self.upstream.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
