//! Requests for the heartbeats of VMs of which only a tag or another incarnation is known.

use super::{PeerHeartbeat, PeerTable, RequestedHeartbeats};
use crate::time::MonoTime;

impl PeerTable {
    /// Returns the heartbeats that the next round requests: all of them after the start, later
    /// those of VMs that were reported but are not known.
    pub fn take_heartbeat_requests(&mut self) -> RequestedHeartbeats {
        let is_first = !std::mem::replace(&mut self.has_requested_all, true);
        let missing_heartbeats = std::mem::take(&mut self.missing_heartbeats);
        match is_first || self.peers.is_empty() {
            true => RequestedHeartbeats::All,
            false => RequestedHeartbeats::Of(missing_heartbeats.into_iter().collect()),
        }
    }

    /// Makes the next round request all heartbeats again, because the known ones are too old.
    pub fn request_all_again(&mut self) {
        self.has_requested_all = false;
    }

    /// Returns the requested heartbeats of VMs that are known and live.
    pub fn requested_heartbeats(
        &self,
        requested: &RequestedHeartbeats,
        now: MonoTime,
    ) -> Vec<PeerHeartbeat> {
        match requested {
            RequestedHeartbeats::All => self.live(now).cloned().collect(),
            RequestedHeartbeats::Of(tags) => {
                let known = tags.iter().filter_map(|tag| self.entry_of(*tag));
                let live = known.filter(|entry| self.is_live(entry, now));
                live.map(|entry| entry.heartbeat.clone()).collect()
            }
        }
    }
}
