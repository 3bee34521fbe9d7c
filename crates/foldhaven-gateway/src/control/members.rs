//! Tells operators which VMs of the region this one knows.

use std::time::Duration;

use foldhaven_core::opaque::peer_table::PeerPhase;
use foldhaven_core::time::MonoTime;

use super::ControlActor;

/// How many names one line holds.
const MAX_LOGGED_NAMES: usize = 12;
/// What is believed is logged again after this time, as collectors may lose lines when many come at once.
const RELOG_INTERVAL: Duration = Duration::from_secs(10);

/// What was logged last, and when.
#[derive(Debug, Default)]
pub(super) struct LoggedMembers {
    members: RegionMembers,
    logged_at: MonoTime,
}

/// The VMs of the region as this one knows them, itself included.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct RegionMembers {
    known: usize,
    live: usize,
    serving: usize,
    /// The same at all VMs that hold the same lifetimes to live.
    digest: u64,
}

impl ControlActor {
    /// Counts and logs which VMs of the region are known, when that has changed and now and then.
    pub(super) fn report_members(&mut self, now: MonoTime) {
        let near = || self.peers.near(now);
        let members = RegionMembers {
            known: self.peers.region_count(),
            live: near().count() + 1,
            serving: near().filter(|beat| beat.phase == PeerPhase::Serving).count() + 1,
            digest: self.peers.region_digest(now),
        };
        let metrics = &self.shared.metrics;
        metrics.set_level("region_vms_known", members.known as u64);
        metrics.set_level("region_vms_live", members.live as u64);
        let is_recent = now.since(self.members.logged_at) < RELOG_INTERVAL;
        if members == self.members.members && is_recent {
            return;
        }
        self.members = LoggedMembers { members, logged_at: now };
        let RegionMembers { known, live, serving, digest } = members;
        let names: Vec<&str> = near().map(|beat| beat.vm.as_str()).take(MAX_LOGGED_NAMES).collect();
        let digest = format!("{digest:016x}");
        let heartbeat_rounds = self.heartbeat_rounds;
        tracing::info!(known, live, serving, digest, beats = heartbeat_rounds, others = ?names, "VMs of the region");
    }
}
