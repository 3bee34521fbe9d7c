//! The VMs of the region that share its limits, as this one knows them.

use std::net::SocketAddr;

use super::{PeerBeat, PeerEntry, PeerPhase, PeerTable, VmLife, VmTag};
use crate::ids::VmName;
use crate::opaque::rate_share::SenderList;
use crate::opaque::sender_agreement::ListDigest;
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
        let serving: Vec<&PeerEntry> = self.serving_near().collect();
        let live = || serving.iter().copied().filter(|entry| self.is_live(entry, now));
        let live_names = self.standing_of(live());
        let with_unresponsive = self.standing_of(serving.iter().copied());
        if !live_names.contains(&self.own) {
            return SenderView::default();
        }
        let others = live().map(|entry| &entry.beat).filter(|beat| live_names.contains(&beat.vm));
        let others: Vec<&PeerBeat> = others.collect();
        let own = VmLife::of(&self.own, self.incarnation);
        let lives = others.iter().map(|beat| beat.life()).chain([own]);
        let digest = Some(digest_of(lives.collect()));
        let others = others.iter().map(|beat| (VmTag::of(&beat.vm), beat.peer)).collect();
        SenderView { list: SenderList { live: live_names, with_unresponsive }, digest, others }
    }

    /// The other VMs of this region that served when they were heard last.
    fn serving_near(&self) -> impl Iterator<Item = &PeerEntry> {
        let near = self.peers.values().filter(|entry| entry.beat.region == self.region);
        near.filter(|entry| entry.beat.phase == PeerPhase::Serving)
    }

    /// The names of those of these VMs and this one that take requests at any load.
    fn standing_of<'a>(&'a self, entries: impl Iterator<Item = &'a PeerEntry>) -> Vec<VmName> {
        let others = entries.map(|entry| ServiceCandidate::of(&entry.beat));
        let order = ServiceOrder::of(others.chain([self.own_candidate()]));
        order.baseline().iter().map(|candidate| candidate.vm.clone()).collect()
    }
}

/// A digest of lives, whatever the order in which they are known.
fn digest_of(mut lives: Vec<VmLife>) -> ListDigest {
    lives.sort_unstable();
    let words: Vec<String> =
        lives.iter().map(|life| format!("{:08x}{:04x}", life.vm.0, life.lifetime)).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    ListDigest(rank_hash(&words))
}
