//! The other VMs of the system, by their heartbeats.
//!
//! Inside a region each daemon sends its heartbeat to a few others in turn, and with it the pulses of
//! others that it heard: no more than whose sequence has risen. Nobody can keep a dead VM alive by
//! repeating what it said, since only a sequence that goes on rising counts. The load reports, which go
//! to everybody in a region, serve as pulses too, so that near VMs are missed sooner than far ones.
//! Between regions a few delegates speak for all VMs of theirs: they list those that they heard from
//! themselves a moment ago. A VM of which only a tag is known is asked for.

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

/// The time between two rounds of heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// A process that has just started does not take the VMs that it heard of for all there are.
pub const LEARNING_TIME: Duration = Duration::from_millis(1_500);
/// The time between two rounds of such a process: its seeds may start at the same moment and not have listened yet, and
/// until it hears of others it can send nothing to their regions.
pub const LEARNING_INTERVAL: Duration = Duration::from_millis(100);
/// A VM of this region whose sequence has not risen for this long is not named to callers and gets
/// nothing. Load reports and heartbeats of it arrive several times in this time.
const LOCAL_LIVENESS_TIMEOUT: Duration = Duration::from_millis(2_600);
/// The same in a region with more VMs than heartbeats reach directly within two rounds: pulses of one that has no
/// requests need up to five rounds to reach all.
const LARGE_FLEET_LIVENESS_TIMEOUT: Duration = Duration::from_millis(3_600);
/// The same for VMs of other regions, of which their delegates tell; callers must not be sent to a VM
/// that has been dead for eight seconds, and a delegate may have heard of it `CONTACT_WINDOW` before.
const REMOTE_LIVENESS_TIMEOUT: Duration = Duration::from_millis(5_000);
/// A VM of this region that was silent for this long is not named to callers while others are: one that takes
/// requests is heard of several times a second, and half of the callers of one that has died are led elsewhere a
/// second sooner.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1_500);
/// A VM silent for this long is forgotten. Until then it counts where limits are divided.
const EXPIRE_AFTER: Duration = Duration::from_secs(30);

/// The VM that holds a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnVm {
    /// Its name.
    pub vm: VmName,
    /// The data centre that it stands in.
    pub data_centre: DataCentreName,
    /// The region of that data centre.
    pub region: RegionName,
    /// The processor that it has.
    pub cores: CoreShare,
}

/// The VMs heard of.
#[derive(Debug)]
pub struct PeerTable {
    own: VmName,
    data_centre: DataCentreName,
    cores: CoreShare,
    /// The lifetime of this process, as others tell it from earlier ones.
    incarnation: IncarnationId,
    region: RegionName,
    peers: BTreeMap<VmName, PeerEntry>,
    /// The names behind the tags in pulses.
    tags: HashMap<VmTag, VmName>,
    /// VMs that were told of by tags or lifetimes that are not known.
    missing_heartbeats: BTreeSet<VmTag>,
    /// Whether all heartbeats were asked for after the start.
    has_requested_all: bool,
    /// Where in the common order of VMs of this data centre the next round of heartbeats begins.
    local_cursor: usize,
    /// The same for VMs of other data centres of the region.
    cross_centre_cursor: usize,
    /// The same for far VMs.
    remote_cursor: usize,
    /// The same for what is told again beside heartbeats.
    resend_cursor: usize,
    /// The same for the pulses that go with them.
    relay_cursor: usize,
    /// The heartbeats of which others were told last.
    last_relayed: HashMap<VmTag, (IncarnationId, u32)>,
    /// How many rounds of heartbeats were planned.
    rounds: u32,
    /// Whose turn it is to get this VM's view.
    view_cursor: usize,
    /// When a list of lives was sent last.
    last_list_sent: Option<MonoTime>,
    /// When another VM told of another view last.
    last_view_difference: Option<MonoTime>,
}

impl PeerTable {
    /// An empty table of the process `incarnation` of the daemon on a VM.
    pub fn new(own: OwnVm, incarnation: IncarnationId) -> Self {
        let OwnVm { vm: own, data_centre, region, cores } = own;
        // Each VM begins at another place of the common order; if all began at the first, they would
        // all turn to the same few VMs at a time.
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

    /// Takes in a heartbeat. Returns whether it is news that others decide by: a new VM, a new
    /// lifetime, another phase, or the end of a silence.
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
        // What was told is of the lifetime that told it.
        let is_same_life = heartbeat.incarnation == known.heartbeat.incarnation;
        let reported_counts = known.reported_counts.filter(|_| is_same_life);
        let last_contact = known.last_contact;
        if is_same_life {
            // A notice may have told of more than this heartbeat, which was sent before it.
            heartbeat.revision = heartbeat.revision.max(known.heartbeat.revision);
        }
        self.peers.insert(
            heartbeat.vm.clone(),
            PeerEntry { heartbeat, last_seen: now, last_contact, reported_counts },
        );
        is_membership_change
    }

    /// Takes in a pulse; as [`PeerTable::apply_heartbeat`]. An unknown VM, or a new lifetime of a known one, is
    /// asked for.
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

    /// The lifetime of this process.
    pub fn incarnation(&self) -> IncarnationId {
        self.incarnation
    }

    /// Takes a lifetime after one that others still hold for this VM. Lifetimes are named by the time
    /// of day, which may have been set back between two starts; others ignore an earlier one.
    fn supersede_incarnation(&mut self, held: IncarnationId) {
        if held > self.incarnation {
            self.incarnation = IncarnationId(held.0 + 1);
        }
    }

    /// The heartbeat held of a later lifetime of the VM that sent this one; the sender is to be told.
    pub fn later_incarnation(
        &self,
        vm: &VmName,
        incarnation: IncarnationId,
    ) -> Option<&PeerHeartbeat> {
        let held = &self.peers.get(vm)?.heartbeat;
        (held.incarnation > incarnation).then_some(held)
    }

    /// Takes in that a VM of this region reported its load: it lives.
    pub fn record_load_report(&mut self, vm: VmTag, incarnation: IncarnationId, now: MonoTime) {
        if let Some(entry) = self.tags.get(&vm).and_then(|name| self.peers.get_mut(name))
            && entry.heartbeat.incarnation == incarnation
        {
            entry.last_seen = now;
            entry.last_contact = Some(now);
        }
    }

    /// Takes in that a message came from a VM itself.
    pub fn record_contact(&mut self, vm: &VmName, now: MonoTime) {
        if let Some(entry) = self.peers.get_mut(vm) {
            entry.last_contact = Some(now);
        }
    }

    /// Drops VMs that have been silent for very long.
    pub fn forget(&mut self, now: MonoTime) {
        self.peers.retain(|_, entry| now.since(entry.last_seen) < EXPIRE_AFTER);
        let peers = &self.peers;
        self.tags.retain(|_, name| peers.contains_key(name));
        let tags = &self.tags;
        self.last_relayed.retain(|tag, _| tags.contains_key(tag));
    }

    /// How many VMs are known, live or silent for a short time, this one included.
    pub fn vm_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Where the VM behind a tag hears others.
    pub fn address_of(&self, tag: VmTag) -> Option<SocketAddr> {
        self.entry_of(tag).map(|entry| entry.heartbeat.peer)
    }

    /// Whether a VM is known that hears others at this address.
    pub fn is_known_at(&self, peer: SocketAddr) -> bool {
        self.peers.values().any(|entry| entry.heartbeat.peer == peer)
    }

    /// What is known of the VM behind a tag.
    fn entry_of(&self, tag: VmTag) -> Option<&PeerEntry> {
        self.peers.get(self.tags.get(&tag)?)
    }

    fn entry_of_mut(&mut self, tag: VmTag) -> Option<&mut PeerEntry> {
        self.peers.get_mut(self.tags.get(&tag)?)
    }

    /// Whether there are more VMs than heartbeats reach directly within two rounds.
    fn is_large_fleet(&self) -> bool {
        self.peers.len() > 2 * FAN_OUT + 2
    }

    /// Whether an entry's sequence has risen a short time ago.
    fn is_live(&self, entry: &PeerEntry, now: MonoTime) -> bool {
        let limit = match entry.heartbeat.region == self.region {
            true if self.is_large_fleet() => LARGE_FLEET_LIVENESS_TIMEOUT,
            true => LOCAL_LIVENESS_TIMEOUT,
            false => REMOTE_LIVENESS_TIMEOUT,
        };
        now.since(entry.last_seen) <= limit
    }

    /// The VMs whose heartbeats go on rising.
    pub fn live(&self, now: MonoTime) -> impl Iterator<Item = &PeerHeartbeat> {
        self.peers
            .values()
            .filter(move |entry| self.is_live(entry, now))
            .map(|entry| &entry.heartbeat)
    }

    /// The live VMs of this region.
    pub fn live_local(&self, now: MonoTime) -> impl Iterator<Item = &PeerHeartbeat> {
        self.live(now).filter(|heartbeat| heartbeat.region == self.region)
    }

    /// How many VMs of this region are known, live or not; this one included.
    pub fn region_vm_count(&self) -> usize {
        self.peers.values().filter(|entry| entry.heartbeat.region == self.region).count() + 1
    }

    /// When something was heard of any VM of each data centre.
    pub fn last_seen_by_data_centre(&self) -> HashMap<DataCentreName, MonoTime> {
        let mut last_seen: HashMap<DataCentreName, MonoTime> = HashMap::new();
        for entry in self.peers.values() {
            let newest = last_seen.entry(entry.heartbeat.data_centre.clone()).or_default();
            *newest = entry.last_seen.max(*newest);
        }
        last_seen
    }

    /// This VM as the order of service looks at it.
    fn own_candidate(&self) -> ServiceCandidate<'_> {
        ServiceCandidate { vm: &self.own, data_centre: &self.data_centre, cores: self.cores }
    }

    /// Whether this VM is among the first so many for a duty, in the rank for its key, which is the same at all
    /// VMs. Only those that take requests at any load have duties: they know the load of the region, and the
    /// largest VMs are among them.
    fn is_among_first(
        &self,
        count: usize,
        key: &str,
        candidates: Vec<ServiceCandidate<'_>>,
    ) -> bool {
        let order = ServiceOrder::of(candidates);
        let names = order.standing().iter().map(|candidate| candidate.vm);
        let ranked = rank_by(key, names, |name| name.as_str());
        ranked.into_iter().take(count).any(|name| *name == self.own)
    }

    /// The VMs of this region that serve and are heard of, this one included, in the order in which they take
    /// requests.
    pub fn local_service_order(&self, now: MonoTime) -> ServiceOrder<'_> {
        let local = self.live_local(now).filter(|heartbeat| heartbeat.phase == PeerPhase::Serving);
        let others = local.map(ServiceCandidate::of);
        ServiceOrder::of(others.chain([self.own_candidate()]))
    }

    /// The other VMs of this region of which something has come a moment ago.
    pub fn responsive_local_vms(&self, now: MonoTime) -> BTreeSet<VmTag> {
        let local = self.peers.values().filter(|entry| entry.heartbeat.region == self.region);
        let responsive = local.filter(|entry| now.since(entry.last_seen) <= UNRESPONSIVE_AFTER);
        responsive.map(|entry| VmTag::of(&entry.heartbeat.vm)).collect()
    }

    /// The VMs of this region of which nothing has come for a while, though they may still live.
    pub fn unresponsive_local_vms(&self, now: MonoTime) -> BTreeSet<VmName> {
        let local = self.peers.values().filter(|entry| entry.heartbeat.region == self.region);
        let unresponsive = local.filter(|entry| now.since(entry.last_seen) > UNRESPONSIVE_AFTER);
        unresponsive.map(|entry| entry.heartbeat.vm.clone()).collect()
    }
}

/// What is known of one VM.
#[derive(Debug, Clone)]
struct PeerEntry {
    heartbeat: PeerHeartbeat,
    /// When its sequence rose last, a load report of it came, or its delegate told of it.
    last_seen: MonoTime,
    /// When a message came from itself.
    last_contact: Option<MonoTime>,
    /// How many VMs it knows, as it told last.
    reported_counts: Option<KnownCounts>,
}
