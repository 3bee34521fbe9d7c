//! Chooses whom to tell of suspected requests.

use std::net::SocketAddr;

use foldhaven_core::opaque::peer_table::BeatTargets;
use xtra::{Context, Handler};

use super::ControlActor;

/// How many VMs of each other region are told of news; each tells the others of its region.
const TARGETS_PER_REGION: usize = 2;

/// Why something is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendReason {
    /// Something has changed.
    Change,
    /// It may not have been heard.
    Repeat,
}

/// Asks whom to tell.
pub struct PlanSuspectTargets {
    pub reason: SendReason,
}

/// Whom to tell.
#[derive(Debug, Default)]
pub struct SuspectTargets {
    /// VMs of this region.
    pub near: Vec<SocketAddr>,
    /// VMs of other regions.
    pub far: Vec<SocketAddr>,
}

impl Handler<PlanSuspectTargets> for ControlActor {
    type Return = SuspectTargets;

    async fn handle(&mut self, plan: PlanSuspectTargets, _: &mut Context<Self>) -> SuspectTargets {
        let now = self.now();
        if plan.reason == SendReason::Repeat {
            let BeatTargets { near, far } = self.peers.next_told_targets(now);
            return SuspectTargets { near, far };
        }
        let mut far = Vec::new();
        for _ in 0..TARGETS_PER_REGION {
            far.extend(self.peers.one_in_service_of_each_region(now));
        }
        far.sort_unstable();
        far.dedup();
        SuspectTargets { near: self.local_peers(), far }
    }
}
