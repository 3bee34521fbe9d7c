//! The plain views that the control thread publishes and traffic reads. Both sides know them; they
//! know neither side.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use foldhaven_core::ids::{IncarnationId, ServiceName, UpstreamName, VmName};
use foldhaven_core::membership::{MemberState, VmAddresses};
use foldhaven_core::planner::RouteView;
use foldhaven_core::time::MonoTime;

/// A member of this data centre as traffic sees it.
#[derive(Debug, Clone)]
pub struct MemberView {
    pub vm: VmName,
    pub incarnation: IncarnationId,
    pub addresses: VmAddresses,
    pub state: MemberState,
    pub in_flight: u32,
}

/// An instance of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceInstance {
    pub name: UpstreamName,
    pub address: SocketAddr,
}

/// What the control thread publishes for traffic; replaced as a whole, never changed.
#[derive(Debug)]
pub struct PublishedView {
    pub route: RouteView,
    pub made: MonoTime,
    pub engines: BTreeMap<UpstreamName, SocketAddr>,
    pub services: BTreeMap<ServiceName, Vec<ServiceInstance>>,
    pub members: Vec<MemberView>,
    /// How many VMs of this data centre serve, this one included.
    pub serving: u32,
}
