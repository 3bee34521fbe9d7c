//! Selects the VMs whose addresses the directory returns to a caller.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::ids::{RegionName, VmName};
use crate::opaque::peer_table::{PeerHeartbeat, PeerPhase};
use crate::opaque::service_order::{ServiceCandidate, ServiceOrder};
use crate::rank::rank_hash;
use crate::units::CoreShare;

/// The maximum number of addresses in one answer; callers use no more.
pub const MAX_ADDRESSES: usize = 64;
/// Unresponsive VMs are left out if more than one in this many VMs is responsive, as when one of
/// two data centres is lost. If fewer are responsive, a faulty connection of this VM is the more
/// likely cause.
const MIN_RESPONSIVE_ONE_IN: usize = 3;

/// What the directory knows about its own region.
pub struct LocalService<'a> {
    /// The VM that answers.
    pub responder: &'a VmName,
    /// Its region.
    pub region: &'a RegionName,
    /// The CPU time that the requests of the region use.
    pub demand: CoreShare,
    /// VMs from which nothing has been received for a while, or that cannot reach upstreams.
    pub unresponsive: &'a BTreeSet<VmName>,
}

/// Returns the addresses for a caller of a region: those of the region's VMs in service or, if none
/// serves, those of the regions to which most routes of the host are bound. Returns no addresses if
/// the host has bound routes and no VM serves in any of their regions, for example while the few
/// VMs of a small deployment restart: the requests must not go elsewhere, and callers keep the
/// addresses that they have.
///
/// `bound_routes_in` returns how many routes of the host are bound to a region; `has_bound_routes`
/// is whether any route is bound to a region.
pub fn select_vms(
    serving: &[PeerHeartbeat],
    region: &RegionName,
    local: &LocalService<'_>,
    bound_routes_in: impl Fn(&RegionName) -> usize,
    has_bound_routes: bool,
) -> Vec<SocketAddr> {
    let own = select(serving, local, |heartbeat| heartbeat.region == *region);
    if !own.is_empty() {
        return own;
    }
    let candidates = serving.iter().filter(|heartbeat| heartbeat.phase == PeerPhase::Serving);
    let most =
        candidates.map(|heartbeat| bound_routes_in(&heartbeat.region)).max().unwrap_or_default();
    if most == 0 && has_bound_routes {
        return Vec::new();
    }
    select(serving, local, |heartbeat| bound_routes_in(&heartbeat.region) == most)
}

fn select(
    serving: &[PeerHeartbeat],
    local: &LocalService<'_>,
    passes: impl Fn(&PeerHeartbeat) -> bool,
) -> Vec<SocketAddr> {
    let candidates = serving
        .iter()
        .filter(|heartbeat| heartbeat.phase == PeerPhase::Serving && passes(heartbeat));
    let candidates: Vec<&PeerHeartbeat> = candidates.collect();
    let regions: BTreeSet<&RegionName> =
        candidates.iter().map(|heartbeat| &heartbeat.region).collect();
    let in_service = regions.into_iter().flat_map(|region| {
        let in_region =
            candidates.iter().copied().filter(|heartbeat| heartbeat.region == *region).collect();
        in_service(in_region, local, region)
    });
    sample_by_size(&in_service.collect::<Vec<_>>(), local.responder)
}

/// Returns the VMs that are to take the requests of one region.
fn in_service<'a>(
    candidates: Vec<&'a PeerHeartbeat>,
    local: &LocalService<'_>,
    region: &RegionName,
) -> Vec<&'a PeerHeartbeat> {
    let responsive: Vec<&PeerHeartbeat> = candidates
        .iter()
        .copied()
        .filter(|heartbeat| !local.unresponsive.contains(&heartbeat.vm))
        .collect();
    let candidates = if responsive.len() * MIN_RESPONSIVE_ONE_IN > candidates.len() {
        responsive
    } else {
        candidates
    };
    let order =
        ServiceOrder::of(candidates.iter().map(|heartbeat| ServiceCandidate::of(heartbeat)));
    let selected = match region == local.region {
        true => order.for_demand(local.demand),
        false => order.baseline(),
    };
    let names: BTreeSet<&VmName> = selected.iter().map(|candidate| candidate.vm).collect();
    candidates.into_iter().filter(|heartbeat| names.contains(&heartbeat.vm)).collect()
}

/// Returns the addresses for one answer. Callers use all addresses of an answer equally often, so
/// smaller VMs are left out of more answers. The choice depends on a rank that includes the
/// answering VM, so that its callers get the same addresses each time and keep their connections.
fn sample_by_size(selected: &[&PeerHeartbeat], responder: &VmName) -> Vec<SocketAddr> {
    let largest = selected.iter().map(|heartbeat| heartbeat.cores.as_cores()).fold(0.0, f64::max);
    let weight = |heartbeat: &PeerHeartbeat| {
        if largest > 0.0 { heartbeat.cores.as_cores() / largest } else { 1.0 }
    };
    let total_weight: f64 = selected.iter().map(|heartbeat| weight(heartbeat)).sum();
    let fit = (MAX_ADDRESSES as f64 / total_weight).min(1.0);
    let rank = |heartbeat: &PeerHeartbeat| rank_hash(&[responder.as_str(), heartbeat.vm.as_str()]);
    let mut ranked: Vec<(f64, &PeerHeartbeat)> = selected
        .iter()
        .map(|heartbeat| {
            (rank(heartbeat) as f64 / u64::MAX as f64 / (weight(heartbeat) * fit), *heartbeat)
        })
        .collect();
    ranked.sort_by(|left, right| left.0.total_cmp(&right.0));
    let count = ranked.iter().filter(|(rank, _)| *rank <= 1.0).count();
    let named = ranked.iter().take(count.clamp(1, MAX_ADDRESSES));
    named.map(|(_, heartbeat)| heartbeat.caller).collect()
}
