//! Which VMs a caller is told to use.

use std::net::SocketAddr;

use crate::ids::RegionName;
use crate::opaque::peer_table::{PeerBeat, PeerPhase};

/// The most addresses that one answer names; callers use no more.
pub const MAX_NAMED: usize = 64;

/// The VMs for a caller of a region: those of its own region; when none of them serves, those of the
/// regions that the most routes of its host are bound to. Nobody is named when the host has bound routes
/// and none of their regions serves, as while the few VMs of a small deployment restart: their requests
/// must not be led elsewhere, and callers go on with the addresses that they have.
///
/// `bound` tells how many routes of the host are bound to a region, `has_bound` whether any is bound at
/// all.
pub fn name_vms(
    serving: &[PeerBeat],
    region: &RegionName,
    bound: impl Fn(&RegionName) -> usize,
    has_bound: bool,
) -> Vec<SocketAddr> {
    let own = select(serving, |beat| beat.region == *region);
    if !own.is_empty() {
        return own;
    }
    let open = serving.iter().filter(|beat| beat.phase == PeerPhase::Serving);
    let most = open.map(|beat| bound(&beat.region)).max().unwrap_or_default();
    if most == 0 && has_bound {
        return Vec::new();
    }
    select(serving, |beat| bound(&beat.region) == most)
}

fn select(serving: &[PeerBeat], passes: impl Fn(&PeerBeat) -> bool) -> Vec<SocketAddr> {
    let open = serving.iter().filter(|beat| beat.phase == PeerPhase::Serving && passes(beat));
    open.take(MAX_NAMED).map(|beat| beat.caller).collect()
}
