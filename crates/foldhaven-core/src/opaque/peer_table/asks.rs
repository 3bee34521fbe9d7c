//! Asking for the heartbeats of VMs of which only a tag or another lifetime is known.

use super::{AskedBeats, PeerBeat, PeerTable};
use crate::time::MonoTime;

impl PeerTable {
    /// Which heartbeats the next round asks for: all of them after the start, later those of VMs that
    /// were told of and are not known.
    pub fn take_asks(&mut self) -> AskedBeats {
        let is_first = !std::mem::replace(&mut self.has_asked_all, true);
        let wanted = std::mem::take(&mut self.wanted);
        match is_first || self.peers.is_empty() {
            true => AskedBeats::All,
            false => AskedBeats::Of(wanted.into_iter().collect()),
        }
    }

    /// Has the next round ask for all heartbeats again: those that are held are too old.
    pub fn ask_again(&mut self) {
        self.has_asked_all = false;
    }

    /// The heartbeats that were asked for, of those that are held.
    pub fn answers(&self, asked: &AskedBeats, now: MonoTime) -> Vec<PeerBeat> {
        match asked {
            AskedBeats::All => self.live(now).cloned().collect(),
            AskedBeats::Of(tags) => {
                let held = tags.iter().filter_map(|tag| self.entry_of(*tag));
                let live = held.filter(|entry| self.is_live(entry, now));
                live.map(|entry| entry.beat.clone()).collect()
            }
        }
    }
}
