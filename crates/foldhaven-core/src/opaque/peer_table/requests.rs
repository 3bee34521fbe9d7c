//! Asking for the heartbeats of VMs of which only a tag or another lifetime is known.

use super::{PeerHeartbeat, PeerTable, RequestedHeartbeats};
use crate::time::MonoTime;

impl PeerTable {
    /// Which heartbeats the next round asks for: all of them after the start, later those of VMs that
    /// were told of and are not known.
    pub fn take_heartbeat_requests(&mut self) -> RequestedHeartbeats {
        let is_first = !std::mem::replace(&mut self.has_requested_all, true);
        let missing_heartbeats = std::mem::take(&mut self.missing_heartbeats);
        match is_first || self.peers.is_empty() {
            true => RequestedHeartbeats::All,
            false => RequestedHeartbeats::Of(missing_heartbeats.into_iter().collect()),
        }
    }

    /// Has the next round ask for all heartbeats again: those that are held are too old.
    pub fn ask_again(&mut self) {
        self.has_requested_all = false;
    }

    /// The heartbeats that were asked for, of those that are held.
    pub fn requested_heartbeats(
        &self,
        requested: &RequestedHeartbeats,
        now: MonoTime,
    ) -> Vec<PeerHeartbeat> {
        match requested {
            RequestedHeartbeats::All => self.live(now).cloned().collect(),
            RequestedHeartbeats::Of(tags) => {
                let held = tags.iter().filter_map(|tag| self.entry_of(*tag));
                let live = held.filter(|entry| self.is_live(entry, now));
                live.map(|entry| entry.heartbeat.clone()).collect()
            }
        }
    }
}
