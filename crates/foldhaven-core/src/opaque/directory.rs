//! Which VMs a caller is told to use.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::ids::{RegionName, VmName};
use crate::opaque::peer_table::{PeerHeartbeat, PeerPhase};
use crate::opaque::service_order::{ServiceCandidate, ServiceOrder};
use crate::rank::rank_hash;
use crate::units::CoreShare;

/// The most addresses that one answer names; callers use no more.
pub const MAX_NAMED: usize = 64;
/// Silent VMs are left out while more than one in so many is heard of, as when one of two data centres is lost;
/// when fewer are, the fault is rather one of hearing them.
const LEAST_HEARD: usize = 3;

/// What the directory knows of its own region.
pub struct NearService<'a> {
    /// The VM that answers.
    pub teller: &'a VmName,
    /// Its region.
    pub region: &'a RegionName,
    /// The processor time that the requests of the region take.
    pub demand: CoreShare,
    /// VMs of the region of which nothing has come for a while.
    pub doubted: &'a BTreeSet<VmName>,
}

/// The VMs for a caller of a region: those in service of its own region; when none of them serves, those of the
/// regions that the most routes of its host are bound to. Nobody is named when the host has bound routes
/// and none of their regions serves, as while the few VMs of a small deployment restart: their requests
/// must not be led elsewhere, and callers go on with the addresses that they have.
///
/// `bound` tells how many routes of the host are bound to a region, `has_bound` whether any is bound at
/// all.
pub fn name_vms(
    serving: &[PeerHeartbeat],
    region: &RegionName,
    near: &NearService<'_>,
    bound: impl Fn(&RegionName) -> usize,
    has_bound: bool,
) -> Vec<SocketAddr> {
    let own = select(serving, near, |beat| beat.region == *region);
    if !own.is_empty() {
        return own;
    }
    let open = serving.iter().filter(|beat| beat.phase == PeerPhase::Serving);
    let most = open.map(|beat| bound(&beat.region)).max().unwrap_or_default();
    if most == 0 && has_bound {
        return Vec::new();
    }
    select(serving, near, |beat| bound(&beat.region) == most)
}

fn select(
    serving: &[PeerHeartbeat],
    near: &NearService<'_>,
    passes: impl Fn(&PeerHeartbeat) -> bool,
) -> Vec<SocketAddr> {
    let open = serving.iter().filter(|beat| beat.phase == PeerPhase::Serving && passes(beat));
    let open: Vec<&PeerHeartbeat> = open.collect();
    let regions: BTreeSet<&RegionName> = open.iter().map(|beat| &beat.region).collect();
    let in_service = regions.into_iter().flat_map(|region| {
        let there = open.iter().copied().filter(|beat| beat.region == *region).collect();
        in_service(there, near, region)
    });
    draw(&in_service.collect::<Vec<_>>(), near.teller)
}

/// Those that are to take the requests of one region.
fn in_service<'a>(
    open: Vec<&'a PeerHeartbeat>,
    near: &NearService<'_>,
    region: &RegionName,
) -> Vec<&'a PeerHeartbeat> {
    let heard: Vec<&PeerHeartbeat> =
        open.iter().copied().filter(|beat| !near.doubted.contains(&beat.vm)).collect();
    let open = if heard.len() * LEAST_HEARD > open.len() { heard } else { open };
    let order = ServiceOrder::of(open.iter().map(|beat| ServiceCandidate::of(beat)));
    let chosen = match region == near.region {
        true => order.for_demand(near.demand),
        false => order.standing(),
    };
    let names: BTreeSet<&VmName> = chosen.iter().map(|candidate| candidate.vm).collect();
    open.into_iter().filter(|beat| names.contains(&beat.vm)).collect()
}

/// The VMs that one answer names. Callers take each of them as often as any other, so that a VM is left out of
/// answers the more often the smaller it is; by a rank of the VM that answers, so that its callers are told of the
/// same ones each time and keep their connections.
fn draw(chosen: &[&PeerHeartbeat], teller: &VmName) -> Vec<SocketAddr> {
    let largest = chosen.iter().map(|beat| beat.cores.as_cores()).fold(0.0, f64::max);
    let part =
        |beat: &PeerHeartbeat| if largest > 0.0 { beat.cores.as_cores() / largest } else { 1.0 };
    let parts: f64 = chosen.iter().map(|beat| part(beat)).sum();
    let fitting = (MAX_NAMED as f64 / parts).min(1.0);
    let lot = |beat: &PeerHeartbeat| rank_hash(&[teller.as_str(), beat.vm.as_str()]);
    let mut drawn: Vec<(f64, &PeerHeartbeat)> = chosen
        .iter()
        .map(|beat| (lot(beat) as f64 / u64::MAX as f64 / (part(beat) * fitting), *beat))
        .collect();
    drawn.sort_by(|left, right| left.0.total_cmp(&right.0));
    let count = drawn.iter().filter(|(lot, _)| *lot <= 1.0).count();
    let named = drawn.iter().take(count.clamp(1, MAX_NAMED));
    named.map(|(_, beat)| beat.caller).collect()
}
