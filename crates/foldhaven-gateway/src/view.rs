//! What the control thread publishes for traffic; replaced as a whole, never changed.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::{DataCentreName, RegionName, ServiceName, VmName};
use foldhaven_core::opaque::load_share::{UpstreamShare, share_interval};
use foldhaven_core::opaque::peer_table::PeerBeat;
use foldhaven_core::opaque::queue_rank::QueueRank;
use foldhaven_core::opaque::route_table::RouteTable;
use foldhaven_core::time::MonoTime;
use foldhaven_core::units::CoreShare;
use parking_lot::Mutex;

use crate::connection::{ConnectionPool, PEER_IDLE_LIMIT};
use crate::platform_state::StateOffer;
use crate::upstream::{LoadCounter, LoadSeat, Upstream};

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
    pub fn new(beat: &PeerBeat) -> Self {
        Self {
            vm: beat.vm.clone(),
            region: beat.region.clone(),
            address: beat.peer,
            pool: ConnectionPool::new(PEER_IDLE_LIMIT),
            loads: Mutex::default(),
        }
    }

    /// Counts a request of a service there until the guard is dropped.
    pub fn enter(&self, service: &ServiceName, tokens: u32, rank: QueueRank) -> LoadSeat {
        self.loads.lock().entry(service.clone()).or_default().enter(tokens, rank)
    }

    /// The requests of a service that this VM has there.
    pub fn share(&self, service: &ServiceName) -> UpstreamShare {
        self.loads.lock().get(service).map_or(UpstreamShare::default(), |load| load.share())
    }
}

/// What a request would meet in another region.
#[derive(Debug, Clone, Copy)]
pub struct RegionWait {
    /// The wait of timely requests, by the last heartbeats from there.
    pub wait: Duration,
    /// How many upstreams the service has there.
    pub upstreams: usize,
    /// How many requests one of them runs at once.
    pub slots: u32,
    /// How many requests one of them has, by the same heartbeats.
    pub load: u32,
    /// The share of pauses between events that were longer than wanted, by the same heartbeats.
    pub long_pauses: f64,
}

/// Everything that a decision on a request reads.
pub struct GatewayView {
    pub routes: Arc<RouteTable>,
    /// The upstreams of each service that may get new requests, in all regions.
    pub upstreams: HashMap<ServiceName, Vec<Arc<Upstream>>>,
    /// The other VMs that serve.
    pub peers: Vec<Arc<PeerLink>>,
    /// The waits in the other regions.
    pub expected_waits: HashMap<(RegionName, ServiceName), RegionWait>,
    /// Those of each other region that take requests there at any load.
    pub remote_in_service: HashMap<RegionName, Vec<Arc<PeerLink>>>,
    /// The heartbeats of all VMs that live, the own one included.
    pub heartbeats: Vec<PeerBeat>,
    /// VMs of this region of which nothing has come for a while.
    pub unresponsive_vms: BTreeSet<VmName>,
    /// The processor time that the requests of this region took in the last seconds at most.
    pub demand: CoreShare,
    /// How many VMs of this region send requests to its upstreams, this one included.
    pub senders: usize,
    /// When something was heard of any VM of each data centre.
    pub last_seen: HashMap<DataCentreName, MonoTime>,
    /// The number of VMs by which limits are divided; nothing while it is not known.
    pub assumed_vms: Option<usize>,
    /// What a VM that cannot read the platform may take over.
    pub offer: Arc<StateOffer>,
}

impl GatewayView {
    /// The way to a region and back, as measured to any of its VMs; nothing before the first measurement.
    pub fn round_trip(&self, region: &RegionName) -> Option<Duration> {
        let there = self.peers.iter().filter(|peer| peer.region == *region);
        there.filter_map(|peer| peer.pool.round_trip()).min()
    }

    /// How old reports of other VMs are at most when the next ones come.
    pub fn report_age(&self) -> Duration {
        share_interval(self.senders.saturating_sub(1))
    }

    /// The upstreams of a service.
    pub fn upstreams_of(&self, service: &ServiceName) -> &[Arc<Upstream>] {
        self.upstreams.get(service).map_or(&[], Vec::as_slice)
    }
}
