//! Logs and counts the known VMs of the region.

use std::time::Duration;

use foldhaven_core::opaque::peer_table::PeerPhase;
use foldhaven_core::time::MonoTime;

use super::ControlActor;

/// Maximum number of VM names in one log line.
const MAX_LOGGED_NAMES: usize = 12;
/// The known VMs are logged again after this time even if nothing changed, since log collectors may
/// lose lines in bursts.
const RELOG_INTERVAL: Duration = Duration::from_secs(10);

/// The last logged members, and when they were logged.
#[derive(Debug, Default)]
pub(super) struct LoggedMembers {
    members: RegionMembers,
    logged_at: MonoTime,
}

/// The counts of the region's VMs as this VM sees them, itself included.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct RegionMembers {
    known: usize,
    live: usize,
    serving: usize,
    /// Equal on all VMs that consider the same VM incarnations live.
    digest: u64,
}

impl ControlActor {
    /// Updates the metrics on the region's VMs, and logs them on changes and every
    /// [`RELOG_INTERVAL`].
    pub(super) fn report_members(&mut self, now: MonoTime) {
        let local = || self.peers.live_local(now);
        let members = RegionMembers {
            known: self.peers.region_vm_count(),
            live: local().count() + 1,
            serving: local().filter(|heartbeat| heartbeat.phase == PeerPhase::Serving).count() + 1,
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
        let names: Vec<&str> =
            local().map(|heartbeat| heartbeat.vm.as_str()).take(MAX_LOGGED_NAMES).collect();
        let digest = format!("{digest:016x}");
        let heartbeat_rounds = self.heartbeat_rounds;
        tracing::info!(
        known,
        live,
        serving,
        digest,
        beats = heartbeat_rounds,
        others = ?names,
        "known VMs of the region"
        );
    }
}
