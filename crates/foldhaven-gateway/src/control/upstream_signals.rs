//! Takes in what upstreams have said of themselves to other VMs, and chooses whom to tell what they have said to this one.

use std::net::SocketAddr;

use foldhaven_core::opaque::upstream_signals::{LeavingNotice, LimitNotice};
use xtra::{Context, Handler};

use super::{ControlActor, SendReason};
use crate::leaving_desk::note_leaving;
use crate::limit_desk::note_change;

/// Another VM of the region told of limits.
pub struct ReceiveLimits {
    pub limits: Vec<LimitNotice>,
}

impl Handler<ReceiveLimits> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveLimits, _: &mut Context<Self>) {
        let now = self.now();
        let mut has_changed = false;
        for notice in &message.limits {
            let Some(change) = self.shared.limits.hear(notice, now) else { continue };
            // One that is not listed yet is bounded from when it is.
            let Some(upstream) = self.by_tag.get(&notice.upstream) else { continue };
            self.shared.limits.apply(upstream);
            note_change(&self.shared, upstream, &change, "peer");
            has_changed = true;
        }
        if has_changed {
            self.update_rate_shares(now);
        }
    }
}

/// Another VM of the region told of upstreams that leave.
pub struct ReceiveLeavingNotices {
    pub leavers: Vec<LeavingNotice>,
}

impl Handler<ReceiveLeavingNotices> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveLeavingNotices, _: &mut Context<Self>) {
        let now = self.now();
        for notice in &message.leavers {
            if !self.shared.leavers.hear(notice, now) {
                continue;
            }
            let Some(upstream) = self.by_tag.get(&notice.upstream) else { continue };
            self.shared.leavers.apply(upstream);
            note_leaving(&self.shared, upstream, "peer");
        }
    }
}

/// Puts in force what this VM has heard, and asks whom to tell of it.
pub struct PlanSignalTargets {
    pub reason: SendReason,
}

impl Handler<PlanSignalTargets> for ControlActor {
    type Return = Vec<SocketAddr>;

    async fn handle(&mut self, plan: PlanSignalTargets, _: &mut Context<Self>) -> Vec<SocketAddr> {
        let now = self.now();
        match plan.reason {
            SendReason::Change => {
                self.update_rate_shares(now);
                self.local_peers()
            }
            SendReason::Repeat => self.peers.next_told_targets(now).near,
        }
    }
}

impl ControlActor {
    /// Forgets what upstreams said that are gone.
    pub(super) fn forget_signals(&self) {
        let is_listed = |tag| self.by_tag.contains_key(&tag);
        self.shared.limits.forget(is_listed, &self.shared);
        self.shared.leavers.forget(is_listed, &self.shared);
    }
}
