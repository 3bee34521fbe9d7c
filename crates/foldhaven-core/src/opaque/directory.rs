//! Which VMs a caller is told to use.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::ids::{RegionName, VmName};
use crate::opaque::peer_table::{PeerBeat, PeerPhase};
use crate::opaque::service_order::{ServiceCandidate, ServiceOrder};
use crate::rank::rank_hash;
use crate::units::CoreShare;

/// The most addresses that one answer names; callers use no more.
pub const MAX_ADDRESSES: usize = 64;
/// Silent VMs are left out while more than one in so many is heard of, as when one of two data centres is lost;
/// when fewer are, the fault is rather one of hearing them.
const MIN_RESPONSIVE_RATIO: usize = 3;

/// What the directory knows of its own region.
pub struct LocalService<'a> {
    /// The VM that answers.
    pub responder: &'a VmName,
    /// Its region.
    pub region: &'a RegionName,
    /// The processor time that the requests of the region take.
    pub demand: CoreShare,
    /// VMs of the region of which nothing has come for a while.
    pub unresponsive: &'a BTreeSet<VmName>,
}

/// The VMs for a caller of a region: those in service of its own region; when none of them serves, those of the
/// regions that the most routes of its host are bound to. Nobody is named when the host has bound routes
/// and none of their regions serves, as while the few VMs of a small deployment restart: their requests
/// must not be led elsewhere, and callers go on with the addresses that they have.
///
/// `bound` tells how many routes of the host are bound to a region, `has_bound` whether any is bound at
/// all.
pub fn select_vms(
    serving: &[PeerBeat],
    region: &RegionName,
    local: &LocalService<'_>,
    bound: impl Fn(&RegionName) -> usize,
    has_bound: bool,
) -> Vec<SocketAddr> {
    let own = select(serving, local, |beat| beat.region == *region);
    if !own.is_empty() {
        return own;
    }
    let candidates = serving.iter().filter(|beat| beat.phase == PeerPhase::Serving);
    let most = candidates.map(|beat| bound(&beat.region)).max().unwrap_or_default();
    if most == 0 && has_bound {
        return Vec::new();
    }
    select(serving, local, |beat| bound(&beat.region) == most)
}

fn select(
    serving: &[PeerBeat],
    local: &LocalService<'_>,
    passes: impl Fn(&PeerBeat) -> bool,
) -> Vec<SocketAddr> {
    let candidates = serving.iter().filter(|beat| beat.phase == PeerPhase::Serving && passes(beat));
    let candidates: Vec<&PeerBeat> = candidates.collect();
    let regions: BTreeSet<&RegionName> = candidates.iter().map(|beat| &beat.region).collect();
    let in_service = regions.into_iter().flat_map(|region| {
        let in_region = candidates.iter().copied().filter(|beat| beat.region == *region).collect();
        in_service(in_region, local, region)
    });
    sample_by_size(&in_service.collect::<Vec<_>>(), local.responder)
}

/// Those that are to take the requests of one region.
fn in_service<'a>(
    candidates: Vec<&'a PeerBeat>,
    local: &LocalService<'_>,
    region: &RegionName,
) -> Vec<&'a PeerBeat> {
    let responsive: Vec<&PeerBeat> =
        candidates.iter().copied().filter(|beat| !local.unresponsive.contains(&beat.vm)).collect();
    let candidates = if responsive.len() * MIN_RESPONSIVE_RATIO > candidates.len() {
        responsive
    } else {
        candidates
    };
    let order = ServiceOrder::of(candidates.iter().map(|beat| ServiceCandidate::of(beat)));
    let selected = match region == local.region {
        true => order.for_demand(local.demand),
        false => order.baseline(),
    };
    let names: BTreeSet<&VmName> = selected.iter().map(|candidate| candidate.vm).collect();
    candidates.into_iter().filter(|beat| names.contains(&beat.vm)).collect()
}

/// The VMs that one answer names. Callers take each of them as often as any other, so that a VM is left out of
/// answers the more often the smaller it is; by a rank of the VM that answers, so that its callers are told of the
/// same ones each time and keep their connections.
fn sample_by_size(selected: &[&PeerBeat], responder: &VmName) -> Vec<SocketAddr> {
    let largest = selected.iter().map(|beat| beat.cores.as_f64()).fold(0.0, f64::max);
    let weight = |beat: &PeerBeat| if largest > 0.0 { beat.cores.as_f64() / largest } else { 1.0 };
    let total_weight: f64 = selected.iter().map(|beat| weight(beat)).sum();
    let fit = (MAX_ADDRESSES as f64 / total_weight).min(1.0);
    let rank = |beat: &PeerBeat| rank_hash(&[responder.as_str(), beat.vm.as_str()]);
    let mut ranked: Vec<(f64, &PeerBeat)> = selected
        .iter()
        .map(|beat| (rank(beat) as f64 / u64::MAX as f64 / (weight(beat) * fit), *beat))
        .collect();
    ranked.sort_by(|left, right| left.0.total_cmp(&right.0));
    let count = ranked.iter().filter(|(rank, _)| *rank <= 1.0).count();
    let named = ranked.iter().take(count.clamp(1, MAX_ADDRESSES));
    named.map(|(_, beat)| beat.caller).collect()
}
