//! Membership: the VMs that one VM knows, learnt from their heartbeats.
//!
//! Inside a region each daemon sends its heartbeat to a few other VMs in rotation, together with
//! liveness updates (the sequence numbers) of other VMs that it received. A VM counts as live only
//! while its sequence keeps rising, so repeating the last message of a dead VM doesn't keep it
//! alive. Load reports, which go to every VM of a region, count as signs of life too, so failures
//! are detected sooner in the own region than in other regions. Between regions a few delegates
//! report all VMs of their region: they list the VMs that they recently received messages from
//! directly. If only the tag of a VM is known, its heartbeat is requested.

mod announcements;
mod delegates;
mod messages;
mod readers;
mod requests;
mod rounds;
mod senders;
mod targets;
mod views;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

pub use self::announcements::{OfferedRevision, RevisionAnnouncement};
pub use self::messages::{
    HeartbeatMessage, LivenessUpdate, PeerHeartbeat, PeerPhase, RequestedHeartbeats, ServiceTag,
    ServiceWait, VmIncarnation, VmTag,
};
pub use self::readers::ForwardTargets;
pub use self::rounds::{MessageOutcome, PlannedHeartbeats, RoundInput};
pub use self::senders::SenderView;
use self::targets::FAN_OUT;
pub use self::targets::HeartbeatTargets;
pub use self::views::{KnownCounts, RegionTag, ViewAnswer, ViewDigest, ViewList};
use crate::ids::{DataCentreName, IncarnationId, RegionName, VmName};
use crate::opaque::service_order::{ServiceCandidate, ServiceOrder};
use crate::rank::rank_by;
use crate::time::MonoTime;
use crate::units::CoreShare;

/// Interval between two rounds of heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the start of a process in which it doesn't yet assume that it knows all VMs.
pub const LEARNING_TIME: Duration = Duration::from_millis(1_500);
/// Interval between two rounds of heartbeats during [`LEARNING_TIME`]. Short because the seeds may
/// start at the same moment and not listen yet, and until the process knows other VMs it can't send
/// anything to their regions.
pub const LEARNING_INTERVAL: Duration = Duration::from_millis(100);
/// How long after the last rise of its sequence a VM of this region is still live. Later it isn't
/// named to callers and gets no requests. Several load reports and heartbeats arrive within this
/// time.
const LOCAL_LIVENESS_TIMEOUT: Duration = Duration::from_millis(2_600);
/// As [`LOCAL_LIVENESS_TIMEOUT`], if there are more VMs than heartbeats reach directly within two
/// rounds: the liveness updates of a VM without requests need up to five rounds to reach all
/// others.
const LARGE_FLEET_LIVENESS_TIMEOUT: Duration = Duration::from_millis(3_600);
/// As [`LOCAL_LIVENESS_TIMEOUT`], for VMs of other regions, which their delegates report. Callers
/// must not be sent to a VM that has been dead for eight seconds, and a delegate may have last
/// received a message from it up to `CONTACT_WINDOW` before its report.
const REMOTE_LIVENESS_TIMEOUT: Duration = Duration::from_millis(5_000);
/// A VM of this region that was last seen longer ago than this isn't named to callers while there
/// are responsive ones. A VM that takes requests is seen several times a second, so half of the
/// callers of one that died are redirected a second sooner than with the liveness timeout alone.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1_500);
/// A VM that was last seen this long ago is removed from the table. Until then it is one of the VMs
/// that limits are divided by.
const EXPIRE_AFTER: Duration = Duration::from_secs(30);

/// Describes the VM that a table belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnVm {
    /// Name of the VM.
    pub vm: VmName,
    /// Data centre that the VM runs in.
    pub data_centre: DataCentreName,
    /// Region of that data centre.
    pub region: RegionName,
    /// Processor capacity of the VM.
    pub cores: CoreShare,
}

/// Tracks the other VMs and their liveness.
#[derive(Debug)]
pub struct PeerTable {
    own: VmName,
    data_centre: DataCentreName,
    cores: CoreShare,
    /// Incarnation of this process, which tells it apart from earlier processes of the VM.
    incarnation: IncarnationId,
    region: RegionName,
    peers: BTreeMap<VmName, PeerEntry>,
    /// VM names by the tags used in liveness updates.
    tags: HashMap<VmTag, VmName>,
    /// VMs whose heartbeat is to be requested, because only a tag or an incarnation other than the
    /// known one was reported.
    missing_heartbeats: BTreeSet<VmTag>,
    /// Whether all heartbeats have been requested after the start.
    has_requested_all: bool,
    /// Rotation position of the next round of heartbeats among the VMs of this data centre.
    local_cursor: usize,
    /// Rotation position among the VMs of other data centres of the region.
    cross_centre_cursor: usize,
    /// Rotation position among the VMs of other regions.
    remote_cursor: usize,
    /// Rotation position for updates other than heartbeats that are resent.
    resend_cursor: usize,
    /// Rotation position among the liveness updates that are relayed.
    relay_cursor: usize,
    /// Incarnation and sequence of each VM that were last relayed to others.
    last_relayed: HashMap<VmTag, (IncarnationId, u32)>,
    /// Number of rounds of heartbeats planned so far.
    rounds: u32,
    /// Rotation position among the receivers of this VM's view.
    view_cursor: usize,
    /// When a list of incarnations was last sent.
    last_list_sent: Option<MonoTime>,
    /// When a view that differs from this VM's was last received.
    last_view_difference: Option<MonoTime>,
}

impl PeerTable {
    /// Creates the empty table of a VM whose process has the given incarnation.
    pub fn new(own: OwnVm, incarnation: IncarnationId) -> Self {
        let OwnVm { vm: own, data_centre, region, cores } = own;
        // Each VM starts at another position of the common order. If all started at the first one,
        // they would all send to the same few VMs at a time.
        let cursor = VmTag::of(&own).0 as usize;
        Self {
            own,
            data_centre,
            cores,
            incarnation,
            region,
            peers: BTreeMap::new(),
            tags: HashMap::new(),
            missing_heartbeats: BTreeSet::new(),
            has_requested_all: false,
            local_cursor: cursor,
            cross_centre_cursor: cursor,
            remote_cursor: cursor,
            resend_cursor: cursor,
            relay_cursor: cursor,
            last_relayed: HashMap::new(),
            rounds: 0,
            view_cursor: cursor,
            last_list_sent: None,
            last_view_difference: None,
        }
    }

    /// Applies a heartbeat. Returns whether it changes the membership that others decide by: a new
    /// VM, a new incarnation, another phase, or a VM that is live again.
    pub fn apply_heartbeat(&mut self, mut heartbeat: PeerHeartbeat, now: MonoTime) -> bool {
        if heartbeat.vm == self.own {
            self.supersede_incarnation(heartbeat.incarnation);
            return false;
        }
        let Some(known) = self.peers.get(&heartbeat.vm) else {
            self.tags.insert(VmTag::of(&heartbeat.vm), heartbeat.vm.clone());
            self.peers.insert(
                heartbeat.vm.clone(),
                PeerEntry { heartbeat, last_seen: now, last_contact: None, reported_counts: None },
            );
            return true;
        };
        if heartbeat.order() <= known.heartbeat.order() {
            return false;
        }
        let is_membership_change = !self.is_live(known, now)
            || heartbeat.incarnation != known.heartbeat.incarnation
            || heartbeat.phase != known.heartbeat.phase;
        // The reported counts are valid only for the incarnation that reported them.
        let is_same_incarnation = heartbeat.incarnation == known.heartbeat.incarnation;
        let reported_counts = known.reported_counts.filter(|_| is_same_incarnation);
        let last_contact = known.last_contact;
        if is_same_incarnation {
            // An announcement may have reported a later revision than this heartbeat, if the
            // heartbeat was sent before it.
            heartbeat.revision = heartbeat.revision.max(known.heartbeat.revision);
        }
        self.peers.insert(
            heartbeat.vm.clone(),
            PeerEntry { heartbeat, last_seen: now, last_contact, reported_counts },
        );
        is_membership_change
    }

    /// Applies a liveness update, as [`PeerTable::apply_heartbeat`] does a heartbeat. The heartbeat
    /// of an unknown VM or a new incarnation is requested.
    pub fn apply_liveness_update(&mut self, update: LivenessUpdate, now: MonoTime) -> bool {
        if update.vm == VmTag::of(&self.own) {
            self.supersede_incarnation(update.incarnation);
            return false;
        }
        let Some(entry) = self.entry_of(update.vm) else {
            self.missing_heartbeats.insert(update.vm);
            return false;
        };
        if update.incarnation > entry.heartbeat.incarnation {
            self.missing_heartbeats.insert(update.vm);
            return false;
        }
        if (update.incarnation, update.sequence) <= entry.heartbeat.order() {
            return false;
        }
        let heartbeat = entry.heartbeat.with_liveness_update(&update);
        self.apply_heartbeat(heartbeat, now)
    }

    /// Returns the incarnation of this process.
    pub fn incarnation(&self) -> IncarnationId {
        self.incarnation
    }

    /// Adopts an incarnation later than one that other VMs still know for this VM. Incarnations are
    /// numbered by the wall clock, which may have been set back between two starts, and other VMs
    /// ignore an earlier incarnation.
    fn supersede_incarnation(&mut self, known: IncarnationId) {
        if known > self.incarnation {
            self.incarnation = IncarnationId(known.0 + 1);
        }
    }

    /// Returns the known heartbeat of an incarnation of `vm` later than `incarnation`, if any. It
    /// is sent to the VM, so that it adopts a later incarnation.
    pub fn later_incarnation(
        &self,
        vm: &VmName,
        incarnation: IncarnationId,
    ) -> Option<&PeerHeartbeat> {
        let known = &self.peers.get(vm)?.heartbeat;
        (known.incarnation > incarnation).then_some(known)
    }

    /// Records a load report of a VM of this region as a sign of life.
    pub fn record_load_report(&mut self, vm: VmTag, incarnation: IncarnationId, now: MonoTime) {
        if let Some(entry) = self.tags.get(&vm).and_then(|name| self.peers.get_mut(name))
            && entry.heartbeat.incarnation == incarnation
        {
            entry.last_seen = now;
            entry.last_contact = Some(now);
        }
    }

    /// Records that a message arrived from a VM directly.
    pub fn record_contact(&mut self, vm: &VmName, now: MonoTime) {
        if let Some(entry) = self.peers.get_mut(vm) {
            entry.last_contact = Some(now);
        }
    }

    /// Removes VMs that were last seen longer than `EXPIRE_AFTER` ago.
    pub fn remove_expired(&mut self, now: MonoTime) {
        self.peers.retain(|_, entry| now.since(entry.last_seen) < EXPIRE_AFTER);
        let peers = &self.peers;
        self.tags.retain(|_, name| peers.contains_key(name));
        let tags = &self.tags;
        self.last_relayed.retain(|tag, _| tags.contains_key(tag));
    }

    /// Returns the number of known VMs, live or stale, including this one.
    pub fn vm_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the peer address of the VM with a tag.
    pub fn address_of(&self, tag: VmTag) -> Option<SocketAddr> {
        self.entry_of(tag).map(|entry| entry.heartbeat.peer)
    }

    /// Returns whether a VM with this peer address is known.
    pub fn is_known_at(&self, peer: SocketAddr) -> bool {
        self.peers.values().any(|entry| entry.heartbeat.peer == peer)
    }

    /// Returns the entry of the VM with a tag.
    fn entry_of(&self, tag: VmTag) -> Option<&PeerEntry> {
        self.peers.get(self.tags.get(&tag)?)
    }

    fn entry_of_mut(&mut self, tag: VmTag) -> Option<&mut PeerEntry> {
        self.peers.get_mut(self.tags.get(&tag)?)
    }

    /// Returns whether there are more VMs, over all regions, than heartbeats reach directly within
    /// two rounds.
    fn is_large_fleet(&self) -> bool {
        self.peers.len() > 2 * FAN_OUT + 2
    }

    /// Returns whether the VM of an entry was seen within its liveness timeout.
    fn is_live(&self, entry: &PeerEntry, now: MonoTime) -> bool {
        let limit = match entry.heartbeat.region == self.region {
            true if self.is_large_fleet() => LARGE_FLEET_LIVENESS_TIMEOUT,
            true => LOCAL_LIVENESS_TIMEOUT,
            false => REMOTE_LIVENESS_TIMEOUT,
        };
        now.since(entry.last_seen) <= limit
    }

    /// Returns the live VMs of all regions, without this one.
    pub fn live(&self, now: MonoTime) -> impl Iterator<Item = &PeerHeartbeat> {
        self.peers
            .values()
            .filter(move |entry| self.is_live(entry, now))
            .map(|entry| &entry.heartbeat)
    }

    /// Returns the live VMs of this region, without this one.
    pub fn live_local(&self, now: MonoTime) -> impl Iterator<Item = &PeerHeartbeat> {
        self.live(now).filter(|heartbeat| heartbeat.region == self.region)
    }

    /// Returns the number of known VMs of this region, live or stale, including this one.
    pub fn region_vm_count(&self) -> usize {
        self.peers.values().filter(|entry| entry.heartbeat.region == self.region).count() + 1
    }

    /// Returns when any VM of each data centre was last seen.
    pub fn last_seen_by_data_centre(&self) -> HashMap<DataCentreName, MonoTime> {
        let mut last_seen: HashMap<DataCentreName, MonoTime> = HashMap::new();
        for entry in self.peers.values() {
            let newest = last_seen.entry(entry.heartbeat.data_centre.clone()).or_default();
            *newest = entry.last_seen.max(*newest);
        }
        last_seen
    }

    /// Returns this VM as a candidate of the service order.
    fn own_candidate(&self) -> ServiceCandidate<'_> {
        ServiceCandidate { vm: &self.own, data_centre: &self.data_centre, cores: self.cores }
    }

    /// Returns whether this VM is among the first `count` candidates ranked by `key`. The ranking
    /// is the same at all VMs. Only the VMs that take requests at any load are ranked: they know
    /// the load of the region, and the largest VMs are among them.
    fn is_among_first(
        &self,
        count: usize,
        key: &str,
        candidates: Vec<ServiceCandidate<'_>>,
    ) -> bool {
        let order = ServiceOrder::of(candidates);
        let names = order.baseline().iter().map(|candidate| candidate.vm);
        let ranked = rank_by(key, names, |name| name.as_str());
        ranked.into_iter().take(count).any(|name| *name == self.own)
    }

    /// Returns the live and serving VMs of this region, including this one, in the order in which
    /// they take requests.
    pub fn local_service_order(&self, now: MonoTime) -> ServiceOrder<'_> {
        let local = self.live_local(now).filter(|heartbeat| heartbeat.phase == PeerPhase::Serving);
        let others = local.map(ServiceCandidate::of);
        ServiceOrder::of(others.chain([self.own_candidate()]))
    }

    /// Returns the other VMs of this region that were seen within `UNRESPONSIVE_AFTER`.
    pub fn responsive_local_vms(&self, now: MonoTime) -> BTreeSet<VmTag> {
        let local = self.peers.values().filter(|entry| entry.heartbeat.region == self.region);
        let responsive = local.filter(|entry| now.since(entry.last_seen) <= UNRESPONSIVE_AFTER);
        responsive.map(|entry| VmTag::of(&entry.heartbeat.vm)).collect()
    }

    /// Returns the VMs of this region that weren't seen within `UNRESPONSIVE_AFTER`, though they
    /// may still be live.
    pub fn unresponsive_local_vms(&self, now: MonoTime) -> BTreeSet<VmName> {
        let local = self.peers.values().filter(|entry| entry.heartbeat.region == self.region);
        let unresponsive = local.filter(|entry| now.since(entry.last_seen) > UNRESPONSIVE_AFTER);
        unresponsive.map(|entry| entry.heartbeat.vm.clone()).collect()
    }
}

/// Holds the state of one other VM.
#[derive(Debug, Clone)]
struct PeerEntry {
    heartbeat: PeerHeartbeat,
    /// When its sequence last rose, its last load report arrived, or a delegate last reported it.
    last_seen: MonoTime,
    /// When the last message arrived from the VM itself; `None` if there was none.
    last_contact: Option<MonoTime>,
    /// Number of VMs that it knows, by its last report.
    reported_counts: Option<KnownCounts>,
}
