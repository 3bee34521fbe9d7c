//! Which VMs a caller is told to use.

use std::net::SocketAddr;

use crate::ids::RegionName;
use crate::opaque::peer_table::{PeerBeat, PeerPhase};

/// The most addresses that one answer names; callers use no more.
pub const MAX_NAMED: usize = 64;

/// The VMs for a caller of a region: those of its own region; when none of them serves, those of the
/// regions that the most routes of its host are bound to.
///
/// `bound` tells how many routes of the host are bound to a region.
pub fn name_vms(
    serving: &[PeerBeat],
    region: &RegionName,
    bound: impl Fn(&RegionName) -> usize,
) -> Vec<SocketAddr> {
    let own = select(serving, |beat| beat.region == *region);
    if !own.is_empty() {
        return own;
    }
    let open = serving.iter().filter(|beat| beat.phase == PeerPhase::Serving);
    let most = open.map(|beat| bound(&beat.region)).max().unwrap_or_default();
    select(serving, |beat| bound(&beat.region) == most)
}

fn select(serving: &[PeerBeat], passes: impl Fn(&PeerBeat) -> bool) -> Vec<SocketAddr> {
    let open = serving.iter().filter(|beat| beat.phase == PeerPhase::Serving && passes(beat));
    open.take(MAX_NAMED).map(|beat| beat.caller).collect()
}
