//! The view types that the control thread publishes and traffic threads read. They depend on
//! neither side.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use foldhaven_core::ids::{IncarnationId, ServiceName, UpstreamName, VmName};
use foldhaven_core::membership::{MemberState, VmAddresses};
use foldhaven_core::planner::RouteView;
use foldhaven_core::time::MonoTime;

/// A member of this data centre in the published view.
#[derive(Debug, Clone)]
pub struct MemberView {
    pub vm: VmName,
    pub incarnation: IncarnationId,
    pub addresses: VmAddresses,
    pub state: MemberState,
    /// Number of requests in flight at the member, from its last heartbeat.
    pub in_flight: u32,
}

/// An instance of a plain service, one that serves no model.
#[derive(Debug, Clone)]
pub struct ServiceInstance {
    pub name: UpstreamName,
    /// The address to dial.
    pub address: SocketAddr,
}

/// The view that the control thread publishes for traffic threads. It is immutable, and replaced as
/// a whole.
#[derive(Debug)]
pub struct PublishedView {
    pub route: RouteView,
    /// When the view was published.
    pub published_at: MonoTime,
    /// The engines that accept work, with the addresses to dial.
    pub engines: BTreeMap<UpstreamName, SocketAddr>,
    /// The service instances that accept work.
    pub services: BTreeMap<ServiceName, Vec<ServiceInstance>>,
    /// The other members of this data centre, in any state.
    pub members: Vec<MemberView>,
    /// Number of VMs of this data centre that serve requests, including this one if it does.
    pub serving_vms: u32,
}
