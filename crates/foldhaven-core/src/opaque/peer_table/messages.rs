//! Messages of the membership protocol: heartbeats, liveness updates, and their parts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreName, IncarnationId, RegionName, ServiceName, VmName};
use crate::opaque::route_table::RouteVersion;
use crate::rank::rank_hash;
use crate::units::CoreShare;

/// Message that one VM sends to another in a round of heartbeats.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatMessage {
    /// Heartbeat of the sender.
    pub own: PeerHeartbeat,
    /// Liveness updates of other VMs that the sender relays.
    #[serde(rename = "pulses")]
    pub liveness: Vec<LivenessUpdate>,
    /// Heartbeats of other VMs that the receiver lacks.
    #[serde(rename = "heard")]
    pub others: Vec<PeerHeartbeat>,
    /// Heartbeats that the sender requests.
    #[serde(rename = "asks")]
    pub requests: RequestedHeartbeats,
}

impl HeartbeatMessage {
    /// Creates a message with the sender's heartbeat and heartbeats of other VMs, without requests.
    pub fn of(own: PeerHeartbeat, others: Vec<PeerHeartbeat>) -> Self {
        Self { own, liveness: Vec::new(), others, requests: RequestedHeartbeats::Of(Vec::new()) }
    }
}

/// Selects the heartbeats of other VMs that are requested.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestedHeartbeats {
    /// Heartbeats of these VMs, of which only the tag or another incarnation is known.
    Of(Vec<VmTag>),
    /// All heartbeats, requested by a process that knows no other VM yet.
    All,
}

/// Heartbeat of a VM: its full state as known to other VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Name of the VM.
    pub vm: VmName,
    /// Incarnation of the process; a later one is larger.
    pub incarnation: IncarnationId,
    /// Number of this heartbeat within the incarnation; rises with each heartbeat.
    pub sequence: u32,
    /// Data centre that the VM runs in.
    pub data_centre: DataCentreName,
    /// Region of that data centre.
    pub region: RegionName,
    /// Processor capacity of the VM.
    pub cores: CoreShare,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other VMs.
    pub peer: SocketAddr,
    /// Phase of the process.
    pub phase: PeerPhase,
    /// Version of the description in force.
    pub version: RouteVersion,
    /// Revision up to which the VM knows the platform's changes.
    pub revision: u64,
    /// Whether the VM currently fails to read the platform.
    pub is_turned_away: bool,
}

impl PeerHeartbeat {
    /// Returns the liveness update with the frequently changing part of this heartbeat.
    pub(super) fn liveness_update(&self) -> LivenessUpdate {
        LivenessUpdate {
            vm: VmTag::of(&self.vm),
            incarnation: self.incarnation,
            sequence: self.sequence,
            phase: self.phase,
            revision: self.revision,
            is_turned_away: self.is_turned_away,
        }
    }

    /// Returns this heartbeat updated by a later liveness update of the same incarnation.
    pub(super) fn with_liveness_update(&self, update: &LivenessUpdate) -> Self {
        Self {
            sequence: update.sequence,
            phase: update.phase,
            revision: update.revision,
            is_turned_away: update.is_turned_away,
            ..self.clone()
        }
    }

    /// Returns the incarnation of the VM in its short form.
    pub fn vm_incarnation(&self) -> VmIncarnation {
        VmIncarnation::of(&self.vm, self.incarnation)
    }

    /// Returns the order of this heartbeat among all heartbeats of its VM; later ones are larger.
    pub(super) fn order(&self) -> (IncarnationId, u32) {
        (self.incarnation, self.sequence)
    }
}

/// Short form of a heartbeat that other VMs relay: the sequence and the frequently changing fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LivenessUpdate {
    /// Tag of the VM.
    pub vm: VmTag,
    /// Incarnation of the process.
    pub incarnation: IncarnationId,
    /// Sequence of the heartbeat.
    pub sequence: u32,
    /// Phase of the process.
    pub phase: PeerPhase,
    /// Revision up to which the VM knows the platform's changes.
    pub revision: u64,
    /// Whether the VM currently fails to read the platform.
    pub is_turned_away: bool,
}

/// Short form of a VM and its incarnation, so that one message can list all VMs of a region.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VmIncarnation {
    /// Tag of the VM.
    pub vm: VmTag,
    /// Low 16 bits of the incarnation, which tell it apart from adjacent incarnations.
    #[serde(rename = "lifetime")]
    pub incarnation_bits: u16,
}

impl VmIncarnation {
    /// Creates the short form of an incarnation.
    pub fn of(vm: &VmName, incarnation: IncarnationId) -> Self {
        Self { vm: VmTag::of(vm), incarnation_bits: incarnation.0 as u16 }
    }
}

/// Phase of a daemon process, as announced to other VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerPhase {
    /// It takes no requests: it has no description yet, or other VMs have known a newer one for too
    /// long.
    Starting,
    /// It takes requests.
    Serving,
    /// It is about to exit and takes no new requests.
    Leaving,
}

/// Wait that a request of a service would have in a region.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWait {
    /// Tag of the service.
    pub service: ServiceTag,
    /// Mean wait of timely requests at the better half of the upstreams, in milliseconds.
    pub wait_ms: u16,
    /// Mean number of requests in flight at those upstreams.
    pub load: u16,
    /// Share of pauses between events that were longer than the target at those upstreams, per
    /// thousand.
    pub long_pauses: u16,
}

/// Identifies a service in messages between VMs by the hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceTag(pub u32);

impl ServiceTag {
    /// Returns the tag of a service.
    pub fn of(name: &ServiceName) -> Self {
        Self(rank_hash(&[name.as_str()]) as u32)
    }
}

/// Identifies a VM in messages between VMs by the hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VmTag(pub u32);

impl VmTag {
    /// Returns the tag of a VM.
    pub fn of(name: &VmName) -> Self {
        Self(rank_hash(&[name.as_str()]) as u32)
    }
}
