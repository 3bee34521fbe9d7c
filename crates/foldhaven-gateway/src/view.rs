//! The immutable view that the control thread publishes for traffic. It is always replaced as a
//! whole.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::{DataCentreName, RegionName, ServiceName, VmName};
use foldhaven_core::opaque::load_reports::{UpstreamShare, report_interval};
use foldhaven_core::opaque::peer_table::PeerHeartbeat;
use foldhaven_core::opaque::queue_rank::QueueRank;
use foldhaven_core::opaque::route_table::RouteTable;
use foldhaven_core::time::MonoTime;
use foldhaven_core::units::CoreShare;
use parking_lot::Mutex;

use crate::connection::{ConnectionPool, PEER_IDLE_LIMIT};
use crate::platform_state::StateOffer;
use crate::upstream::{LoadCounter, LoadGuard, Upstream};

/// Another VM that takes forwarded requests.
pub struct PeerLink {
    pub vm: VmName,
    pub region: RegionName,
    pub address: SocketAddr,
    pub pool: ConnectionPool,
    /// The requests that this VM has forwarded there, by service.
    loads: Mutex<HashMap<ServiceName, Arc<LoadCounter>>>,
}

impl PeerLink {
    pub fn new(heartbeat: &PeerHeartbeat) -> Self {
        Self {
            vm: heartbeat.vm.clone(),
            region: heartbeat.region.clone(),
            address: heartbeat.peer,
            pool: ConnectionPool::new(PEER_IDLE_LIMIT),
            loads: Mutex::default(),
        }
    }

    /// Counts a forwarded request of a service until the returned guard is dropped.
    pub fn enter(&self, service: &ServiceName, tokens: u32, rank: QueueRank) -> LoadGuard {
        self.loads.lock().entry(service.clone()).or_default().enter(tokens, rank)
    }

    /// Returns the load of a service that this VM has forwarded there.
    pub fn share(&self, service: &ServiceName) -> UpstreamShare {
        self.loads.lock().get(service).map_or(UpstreamShare::default(), |load| load.share())
    }
}

/// The expected wait and load of a service in a region.
#[derive(Debug, Clone, Copy)]
pub struct RegionWait {
    /// The wait of timely requests, by the last report from the region.
    pub wait: Duration,
    /// The number of upstreams that the service has there.
    pub upstreams: usize,
    /// The number of requests that one of them runs at once.
    pub slots: u32,
    /// The number of requests at one of them, by the last report.
    pub load: u32,
    /// The share of pauses between events that were longer than wanted, by the last report.
    pub long_pauses: f64,
}

/// Everything that decisions on requests depend on.
pub struct GatewayView {
    pub routes: Arc<RouteTable>,
    /// The upstreams of each service that may get new requests, in all regions.
    pub upstreams: HashMap<ServiceName, Vec<Arc<Upstream>>>,
    /// The other VMs that serve.
    pub peers: Vec<Arc<PeerLink>>,
    /// The expected waits by region and service, as reported by other regions.
    pub expected_waits: HashMap<(RegionName, ServiceName), RegionWait>,
    /// The VMs of each other region that take requests there at any load.
    pub remote_in_service: HashMap<RegionName, Vec<Arc<PeerLink>>>,
    /// The heartbeats of all live VMs, including this one.
    pub heartbeats: Vec<PeerHeartbeat>,
    /// The VMs of this region that have not been heard from for a while, but may still be live.
    pub unresponsive_vms: BTreeSet<VmName>,
    /// The peak processor time that the region's requests used in the last few seconds.
    pub demand: CoreShare,
    /// The number of VMs of this region that send requests to its upstreams, including this one.
    pub senders: usize,
    /// When any VM of each data centre was last heard from.
    pub last_seen: HashMap<DataCentreName, MonoTime>,
    /// The number of VMs by which limits are divided. `None` while it is not known.
    pub assumed_vms: Option<usize>,
    /// The platform state that VMs that do not read the platform can fetch.
    pub offer: Arc<StateOffer>,
}

impl GatewayView {
    /// Returns the shortest measured round trip to a VM of a region. `None` before the first
    /// measurement.
    pub fn round_trip(&self, region: &RegionName) -> Option<Duration> {
        let there = self.peers.iter().filter(|peer| peer.region == *region);
        there.filter_map(|peer| peer.pool.round_trip()).min()
    }

    /// Returns the maximum age of other VMs' load reports, which is the interval between two of
    /// them.
    pub fn report_age(&self) -> Duration {
        report_interval(self.senders.saturating_sub(1))
    }

    /// Returns the upstreams of a service.
    pub fn upstreams_of(&self, service: &ServiceName) -> &[Arc<Upstream>] {
        self.upstreams.get(service).map_or(&[], Vec::as_slice)
    }
}
