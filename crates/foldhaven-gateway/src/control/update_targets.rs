//! Chooses the VMs that get updates which are meant for all VMs of all regions.

use std::net::SocketAddr;

use foldhaven_core::opaque::peer_table::HeartbeatTargets;
use xtra::{Context, Handler};

use super::ControlActor;

/// How many VMs of each other region an update is sent to. Each of them relays it within its region.
const TARGETS_PER_REGION: usize = 2;

/// Why an update is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendReason {
    /// Something has changed.
    Change,
    /// Periodic resending, as an earlier message may have been lost.
    Repeat,
}

/// Requests the VMs that an update is sent to.
pub struct PlanUpdateTargets {
    pub reason: SendReason,
}

/// The VMs that an update is sent to.
#[derive(Debug, Default)]
pub struct UpdateTargets {
    /// VMs of this region.
    pub local: Vec<SocketAddr>,
    /// VMs of other regions.
    pub remote: Vec<SocketAddr>,
}

impl Handler<PlanUpdateTargets> for ControlActor {
    type Return = UpdateTargets;

    async fn handle(&mut self, plan: PlanUpdateTargets, _: &mut Context<Self>) -> UpdateTargets {
        let now = self.now();
        if plan.reason == SendReason::Repeat {
            let HeartbeatTargets { local, remote } = self.peers.next_resend_targets(now);
            return UpdateTargets { local, remote };
        }
        let mut remote = Vec::new();
        for _ in 0..TARGETS_PER_REGION {
            remote.extend(self.peers.one_serving_per_remote_region(now));
        }
        remote.sort_unstable();
        remote.dedup();
        UpdateTargets { local: self.local_peers(), remote }
    }
}
