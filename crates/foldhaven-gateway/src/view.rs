//! The immutable view that the control thread publishes for traffic. It is always replaced as a
//! whole, but shares all parts that did not change with the view before.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::{DataCentreName, RegionName, ServiceName, VmName};
use foldhaven_core::opaque::load_reports::{UpstreamShare, report_interval};
use foldhaven_core::opaque::peer_table::{PeerHeartbeat, VmTag};
use foldhaven_core::opaque::route_table::RouteTable;
use foldhaven_core::opaque::slot_share::HolderLists;
use foldhaven_core::opaque::software::SoftwareCensus;
use foldhaven_core::time::MonoTime;
use foldhaven_core::units::CoreShare;
use parking_lot::Mutex;

use crate::connection::{ConnectionPool, PEER_IDLE_LIMIT, RoundTripMeter};
use crate::load_counter::{LoadCounter, LoadGuard, RequestLoad};
use crate::platform_state::StateOffer;
use crate::upstream_set::{RegionGroups, ServiceGroups, UpstreamGroup};

/// The requests that this VM has forwarded to a region, and the round trip to it. Shared by the
/// links to all VMs of the region, so that a decision needs not look at each of them.
#[derive(Default)]
pub struct RegionTraffic {
    loads: Mutex<HashMap<ServiceName, Arc<LoadCounter>>>,
    round_trip: Arc<RoundTripMeter>,
}

impl RegionTraffic {
    /// Returns the load of a service that this VM has forwarded to the region.
    pub fn share(&self, service: &ServiceName) -> UpstreamShare {
        self.loads.lock().get(service).map_or(UpstreamShare::default(), |load| load.share())
    }

    /// Returns the shortest measured round trip to a VM of the region. `None` before the first
    /// measurement.
    pub fn round_trip(&self) -> Option<Duration> {
        self.round_trip.shortest()
    }

    fn enter(&self, service: &ServiceName, load: RequestLoad) -> LoadGuard {
        self.loads.lock().entry(service.clone()).or_default().enter(load)
    }
}

/// Another VM that takes forwarded requests.
pub struct PeerLink {
    pub vm: VmName,
    /// Its identifier in messages between VMs.
    pub tag: VmTag,
    pub data_centre: DataCentreName,
    pub region: RegionName,
    pub address: SocketAddr,
    pub pool: ConnectionPool,
    traffic: Arc<RegionTraffic>,
}

impl PeerLink {
    pub fn new(heartbeat: &PeerHeartbeat, traffic: Arc<RegionTraffic>) -> Self {
        Self {
            vm: heartbeat.vm.clone(),
            tag: VmTag::of(&heartbeat.vm),
            data_centre: heartbeat.data_centre.clone(),
            region: heartbeat.region.clone(),
            address: heartbeat.peer,
            pool: ConnectionPool::with_meter(PEER_IDLE_LIMIT, traffic.round_trip.clone()),
            traffic,
        }
    }

    /// Counts a forwarded request of a service until the returned guard is dropped.
    pub fn enter(&self, service: &ServiceName, load: RequestLoad) -> LoadGuard {
        self.traffic.enter(service, load)
    }
}

/// The VMs of another region, or of this one, that take forwarded requests.
pub struct RegionPeers {
    /// All VMs of the region that serve.
    pub links: Vec<Arc<PeerLink>>,
    /// Those that take requests at any load. Empty for this VM's own region.
    pub in_service: Vec<Arc<PeerLink>>,
    /// What this VM has sent there.
    pub traffic: Arc<RegionTraffic>,
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

/// The other VMs, as far as decisions on requests depend on them.
#[derive(Default)]
pub struct MemberView {
    /// The heartbeats of all live VMs, including this one.
    pub heartbeats: Vec<PeerHeartbeat>,
    /// The other VMs that serve, by region.
    pub regions: HashMap<RegionName, RegionPeers>,
    /// The VMs of this region that have not been heard from for a while, but may still be live.
    pub unresponsive_vms: BTreeSet<VmName>,
    /// When any VM of each data centre was last heard from.
    pub last_seen: HashMap<DataCentreName, MonoTime>,
    /// The number of VMs by which limits are divided. `None` while it is not known.
    pub assumed_vms: Option<usize>,
}

/// Everything that decisions on requests depend on.
pub struct GatewayView {
    pub routes: Arc<RouteTable>,
    /// The upstreams that may get new requests, in all regions.
    pub upstreams: ServiceGroups,
    /// The software of all upstreams, also of those that get no new requests.
    pub software: SoftwareCensus,
    /// The other VMs.
    pub members: Arc<MemberView>,
    /// The expected waits by region and service, as reported by other regions.
    pub expected_waits: HashMap<(RegionName, ServiceName), RegionWait>,
    /// The peak processor time that the region's requests used in the last few seconds.
    pub demand: CoreShare,
    /// The number of VMs of this region that send requests to its upstreams, including this one.
    pub senders: usize,
    /// The VMs of this region that share the slots of brittle upstreams.
    pub slot_holders: HolderLists,
    /// The platform state that VMs that do not read the platform can fetch.
    pub offer: Arc<StateOffer>,
}

impl GatewayView {
    /// Returns the maximum age of other VMs' load reports, which is the interval between two of
    /// them.
    pub fn report_age(&self) -> Duration {
        report_interval(self.senders.saturating_sub(1))
    }

    /// Returns the upstreams of a service, by region. `None` if it has none.
    pub fn upstreams_of(&self, service: &ServiceName) -> Option<&RegionGroups> {
        self.upstreams.get(service)
    }

    /// Returns the upstreams of a service in a region. `None` if it has none there.
    pub fn group(&self, service: &ServiceName, region: &RegionName) -> Option<&UpstreamGroup> {
        self.upstreams_of(service)?.get(region)
    }
}
