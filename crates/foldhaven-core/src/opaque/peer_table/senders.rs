//! The VMs of the region that share its limits, as this one knows them.

use std::net::SocketAddr;

use super::{PeerEntry, PeerHeartbeat, PeerPhase, PeerTable, VmIncarnation, VmTag};
use crate::ids::VmName;
use crate::opaque::rate_part::SenderList;
use crate::opaque::sender_pact::ListDigest;
use crate::opaque::service_order::{ServiceCandidate, ServiceOrder};
use crate::rank::rank_hash;
use crate::time::MonoTime;

/// Who shares the limits of the region, and where the others are told of that.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SenderView {
    /// The VMs.
    pub list: SenderList,
    /// The same at all VMs that hold the same lives for senders; nothing when this VM is none.
    pub digest: Option<ListDigest>,
    /// The others of them.
    pub others: Vec<(VmTag, SocketAddr)>,
}

impl PeerTable {
    /// The VMs of the region that take requests at any load: those that share its limits. `is_serving` tells whether this VM
    /// takes requests; one that starts or leaves has no part.
    pub fn senders(&self, is_serving: bool, now: MonoTime) -> SenderView {
        if !is_serving {
            return SenderView::default();
        }
        let serving: Vec<&PeerEntry> = self.serving_local().collect();
        let live = || serving.iter().copied().filter(|entry| self.is_live(entry, now));
        let live_names = self.standing_of(live());
        let with_silent = self.standing_of(serving.iter().copied());
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
        SenderView { list: SenderList { live: live_names, with_silent }, digest, others }
    }

    /// The other VMs of this region that served when they were heard last.
    fn serving_local(&self) -> impl Iterator<Item = &PeerEntry> {
        let local = self.peers.values().filter(|entry| entry.heartbeat.region == self.region);
        local.filter(|entry| entry.heartbeat.phase == PeerPhase::Serving)
    }

    /// The names of those of these VMs and this one that take requests at any load.
    fn standing_of<'a>(&'a self, entries: impl Iterator<Item = &'a PeerEntry>) -> Vec<VmName> {
        let others = entries.map(|entry| ServiceCandidate::of(&entry.heartbeat));
        let order = ServiceOrder::of(others.chain([self.own_candidate()]));
        order.standing().iter().map(|candidate| candidate.vm.clone()).collect()
    }
}

/// A digest of lives, whatever the order in which they are known.
fn digest_incarnations(mut incarnations: Vec<VmIncarnation>) -> ListDigest {
    incarnations.sort_unstable();
    let words: Vec<String> = incarnations
        .iter()
        .map(|incarnation| format!("{:08x}{:04x}", incarnation.vm.0, incarnation.incarnation_bits))
        .collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    ListDigest(rank_hash(&words))
}
