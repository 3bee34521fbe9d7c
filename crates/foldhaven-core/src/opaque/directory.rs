//! Which VMs a caller is told to use.

use std::net::SocketAddr;

use crate::ids::RegionName;
use crate::opaque::peer_table::{PeerBeat, PeerPhase};

/// The most addresses that one answer names; callers use no more.
pub const MAX_NAMED: usize = 64;

/// The VMs for a caller of a region: those of its own region; when none of them serves, those of the
/// regions in which its requests may run; else all.
///
/// `homes` are the regions in which the host's requests may run, when that is restricted.
pub fn name_vms(
    serving: &[PeerBeat],
    region: &RegionName,
    homes: Option<&[RegionName]>,
) -> Vec<SocketAddr> {
    let is_home = |beat: &&PeerBeat| homes.is_none_or(|homes| homes.contains(&beat.region));
    let own = select(serving, |beat| beat.region == *region);
    if !own.is_empty() {
        return own;
    }
    let home = select(serving, |beat| is_home(&beat));
    if !home.is_empty() {
        return home;
    }
    select(serving, |_| true)
}

fn select(serving: &[PeerBeat], passes: impl Fn(&PeerBeat) -> bool) -> Vec<SocketAddr> {
    let open = serving.iter().filter(|beat| beat.phase == PeerPhase::Serving && passes(beat));
    open.take(MAX_NAMED).map(|beat| beat.caller).collect()
}
