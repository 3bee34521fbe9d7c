//! The VMs that share the limits of the region, as this VM knows them.

use std::net::SocketAddr;

use super::{PeerEntry, PeerHeartbeat, PeerPhase, PeerTable, VmIncarnation, VmTag};
use crate::ids::VmName;
use crate::opaque::rate_share::SenderList;
use crate::opaque::sender_agreement::ListDigest;
use crate::opaque::service_order::{ServiceCandidate, ServiceOrder};
use crate::rank::rank_hash;
use crate::time::MonoTime;

/// The VMs that share the limits of the region (senders), with what this VM needs to reach
/// agreement with the other ones. Empty if this VM isn't a sender.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SenderView {
    /// Names of the senders.
    pub list: SenderList,
    /// Digest of the incarnations of the live senders, the same at all VMs that know the same ones;
    /// `None` if this VM isn't a sender.
    pub digest: Option<ListDigest>,
    /// Tags and peer addresses of the other senders.
    pub others: Vec<(VmTag, SocketAddr)>,
}

impl PeerTable {
    /// Returns the VMs of the region that take requests at any load, which share its limits.
    /// `is_serving` says whether this VM takes requests; a VM that is starting or leaving has no
    /// share.
    pub fn senders(&self, is_serving: bool, now: MonoTime) -> SenderView {
        if !is_serving {
            return SenderView::default();
        }
        let serving: Vec<&PeerEntry> = self.serving_local().collect();
        let live = || serving.iter().copied().filter(|entry| self.is_live(entry, now));
        let live_names = self.baseline_of(live());
        let with_unresponsive = self.baseline_of(serving.iter().copied());
        if !live_names.contains(&self.own) {
            return SenderView::default();
        }
        let others = live()
            .map(|entry| &entry.heartbeat)
            .filter(|heartbeat| live_names.contains(&heartbeat.vm));
        let others: Vec<&PeerHeartbeat> = others.collect();
        let own = VmIncarnation::of(&self.own, self.incarnation);
        let incarnations = others.iter().map(|heartbeat| heartbeat.vm_incarnation()).chain([own]);
        let digest = Some(digest_incarnations(incarnations.collect()));
        let others =
            others.iter().map(|heartbeat| (VmTag::of(&heartbeat.vm), heartbeat.peer)).collect();
        SenderView { list: SenderList { live: live_names, with_unresponsive }, digest, others }
    }

    /// Returns the other VMs of this region that were serving when last seen.
    fn serving_local(&self) -> impl Iterator<Item = &PeerEntry> {
        let local = self.peers.values().filter(|entry| entry.heartbeat.region == self.region);
        local.filter(|entry| entry.heartbeat.phase == PeerPhase::Serving)
    }

    /// Returns the names of the VMs that take requests at any load, among `entries` and this VM.
    fn baseline_of<'a>(&'a self, entries: impl Iterator<Item = &'a PeerEntry>) -> Vec<VmName> {
        let others = entries.map(|entry| ServiceCandidate::of(&entry.heartbeat));
        let order = ServiceOrder::of(others.chain([self.own_candidate()]));
        order.baseline().iter().map(|candidate| candidate.vm.clone()).collect()
    }
}

/// Returns a digest of incarnations that doesn't depend on their order.
fn digest_incarnations(mut incarnations: Vec<VmIncarnation>) -> ListDigest {
    incarnations.sort_unstable();
    let words: Vec<String> = incarnations
        .iter()
        .map(|incarnation| format!("{:08x}{:04x}", incarnation.vm.0, incarnation.incarnation_bits))
        .collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    ListDigest(rank_hash(&words))
}
