//! Chooses the VMs that get messages about suspected requests.

use std::net::SocketAddr;

use foldhaven_core::opaque::peer_table::HeartbeatTargets;
use xtra::{Context, Handler};

use super::ControlActor;

/// How many VMs of each other region a changed record of a suspected request is sent to. Each of
/// them relays it within its region.
const TARGETS_PER_REGION: usize = 2;

/// Why a message about suspected requests or upstream signals is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendReason {
    /// A record or signal has changed.
    Change,
    /// Periodic resending, as an earlier message may have been lost.
    Repeat,
}

/// Requests the VMs that a message about suspected requests is sent to.
pub struct PlanSuspectTargets {
    pub reason: SendReason,
}

/// The VMs that a message about suspected requests is sent to.
#[derive(Debug, Default)]
pub struct SuspectTargets {
    /// VMs of this region.
    pub local: Vec<SocketAddr>,
    /// VMs of other regions.
    pub remote: Vec<SocketAddr>,
}

impl Handler<PlanSuspectTargets> for ControlActor {
    type Return = SuspectTargets;

    async fn handle(&mut self, plan: PlanSuspectTargets, _: &mut Context<Self>) -> SuspectTargets {
        let now = self.now();
        if plan.reason == SendReason::Repeat {
            let HeartbeatTargets { local, remote } = self.peers.next_resend_targets(now);
            return SuspectTargets { local, remote };
        }
        let mut remote = Vec::new();
        for _ in 0..TARGETS_PER_REGION {
            remote.extend(self.peers.one_serving_per_remote_region(now));
        }
        remote.sort_unstable();
        remote.dedup();
        SuspectTargets { local: self.local_peers(), remote }
    }
}
