//! The messages of membership: heartbeats, pulses, and what they are made of.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreName, IncarnationId, RegionName, ServiceName, VmName};
use crate::opaque::route_table::RouteVersion;
use crate::rank::rank_hash;
use crate::units::CoreShare;

/// What one VM sends another in a round.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatMessage {
    /// The sender's heartbeat.
    pub own: PeerHeartbeat,
    /// Pulses of VMs that the sender heard.
    #[serde(rename = "pulses")]
    pub liveness: Vec<LivenessUpdate>,
    /// Heartbeats of VMs that the receiver did not know.
    #[serde(rename = "heard")]
    pub others: Vec<PeerHeartbeat>,
    /// Which heartbeats the sender asks for.
    #[serde(rename = "asks")]
    pub requests: RequestedHeartbeats,
}

impl HeartbeatMessage {
    /// A message with one's own heartbeat and some of others, that asks for nothing.
    pub fn of(own: PeerHeartbeat, others: Vec<PeerHeartbeat>) -> Self {
        Self { own, liveness: Vec::new(), others, requests: RequestedHeartbeats::Of(Vec::new()) }
    }
}

/// Which heartbeats of other VMs are asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestedHeartbeats {
    /// Those of these VMs, of which no more than their tags or another lifetime is known.
    Of(Vec<VmTag>),
    /// All, by a process that knows nobody yet.
    All,
}

/// The heartbeat of a VM: all that others know of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// The VM.
    pub vm: VmName,
    /// The process lifetime; a later one is larger.
    pub incarnation: IncarnationId,
    /// The number of this heartbeat within the lifetime; it rises with each.
    pub sequence: u32,
    /// The data centre that it stands in.
    pub data_centre: DataCentreName,
    /// The region of that data centre.
    pub region: RegionName,
    /// The processor that it has.
    pub cores: CoreShare,
    /// Where callers reach it.
    pub caller: SocketAddr,
    /// Where other VMs reach it.
    pub peer: SocketAddr,
    /// What it does.
    pub phase: PeerPhase,
    /// The description that it has in force.
    pub version: RouteVersion,
    /// How far it knows the platform's changes.
    pub revision: u64,
    /// Whether the platform turns it away.
    pub is_turned_away: bool,
}

impl PeerHeartbeat {
    /// The pulse that repeats what changes often in this heartbeat.
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

    /// This heartbeat with what a later pulse of the same lifetime says.
    pub(super) fn with_liveness_update(&self, update: &LivenessUpdate) -> Self {
        Self {
            sequence: update.sequence,
            phase: update.phase,
            revision: update.revision,
            is_turned_away: update.is_turned_away,
            ..self.clone()
        }
    }

    /// The lifetime that this heartbeat is of.
    pub fn vm_incarnation(&self) -> VmIncarnation {
        VmIncarnation::of(&self.vm, self.incarnation)
    }

    /// Where this heartbeat stands among all of its VM; later ones are larger.
    pub(super) fn order(&self) -> (IncarnationId, u32) {
        (self.incarnation, self.sequence)
    }
}

/// That the sequence of a VM has risen, and what changes often of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LivenessUpdate {
    /// The VM.
    pub vm: VmTag,
    /// Its process lifetime.
    pub incarnation: IncarnationId,
    /// Its sequence.
    pub sequence: u32,
    /// What it does.
    pub phase: PeerPhase,
    /// How far it knows the platform's changes.
    pub revision: u64,
    /// Whether the platform turns it away.
    pub is_turned_away: bool,
}

/// One lifetime of a VM, short enough to be told of all VMs of a region at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VmIncarnation {
    /// The VM.
    pub vm: VmTag,
    /// The last bits of its incarnation, by which it differs from the lifetimes next to it.
    #[serde(rename = "lifetime")]
    pub incarnation_bits: u16,
}

impl VmIncarnation {
    /// The lifetime of a VM.
    pub fn of(vm: &VmName, incarnation: IncarnationId) -> Self {
        Self { vm: VmTag::of(vm), incarnation_bits: incarnation.0 as u16 }
    }
}

/// What a VM says of itself for others' decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerPhase {
    /// It takes no requests: it has no description yet, or others have known a newer one for too long.
    Starting,
    /// It takes requests.
    Serving,
    /// It is about to end and takes nothing new.
    Leaving,
}

/// The wait that a request of a service would meet in a region.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWait {
    /// The service.
    pub service: ServiceTag,
    /// The wait of timely requests in milliseconds.
    pub wait_ms: u16,
    /// How many requests one of its upstreams has.
    pub load: u16,
    /// How many of a thousand pauses between events there were longer than wanted.
    pub long_pauses: u16,
}

/// A service in messages between VMs: the hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceTag(pub u32);

impl ServiceTag {
    /// The tag of a service.
    pub fn of(name: &ServiceName) -> Self {
        Self(rank_hash(&[name.as_str()]) as u32)
    }
}

/// A VM in pulses and load reports: the hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VmTag(pub u32);

impl VmTag {
    /// The tag of a VM.
    pub fn of(name: &VmName) -> Self {
        Self(rank_hash(&[name.as_str()]) as u32)
    }
}
