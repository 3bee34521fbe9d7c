//! Handles the rate limits and leaving notices of upstreams that other VMs relay, and chooses the
//! VMs to which this VM relays those that it received from upstreams itself.

use std::net::SocketAddr;

use foldhaven_core::opaque::brittle_services::BrittleNotice;
use foldhaven_core::opaque::upstream_signals::{LeavingNotice, LimitNotice};
use xtra::{Context, Handler};

use super::{ControlActor, SendReason};
use crate::leaving_tracker::record_leaving;
use crate::rate_limit_tracker::record_limit_change;

/// Rate limits of upstreams, received from another VM of the region.
pub struct ReceiveUpstreamRateLimits {
    pub limits: Vec<LimitNotice>,
}

impl Handler<ReceiveUpstreamRateLimits> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveUpstreamRateLimits, _: &mut Context<Self>) {
        let now = self.now();
        let mut has_changed = false;
        for notice in &message.limits {
            let Some(change) = self.shared.upstream_limits.apply_notice(notice, now) else {
                continue;
            };
            // The limit of an upstream that is not listed yet is applied once it is.
            let Some(upstream) = self.upstreams.find(notice.upstream) else { continue };
            self.shared.upstream_limits.apply(upstream);
            record_limit_change(&self.shared, upstream, &change, "peer");
            has_changed = true;
        }
        if has_changed {
            self.update_rate_shares(now);
        }
    }
}

/// Notices of leaving upstreams received from another VM of the region.
pub struct ReceiveLeavingNotices {
    pub leavers: Vec<LeavingNotice>,
}

impl Handler<ReceiveLeavingNotices> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveLeavingNotices, _: &mut Context<Self>) {
        let now = self.now();
        for notice in &message.leavers {
            if !self.shared.leaving_upstreams.apply_notice(notice, now) {
                continue;
            }
            let Some(upstream) = self.upstreams.find(notice.upstream) else { continue };
            self.shared.leaving_upstreams.apply(upstream);
            record_leaving(&self.shared, upstream, "peer");
        }
    }
}

/// Services whose upstreams are brittle, received from another VM of the region.
pub struct ReceiveBrittleNotices {
    pub notices: Vec<BrittleNotice>,
}

impl Handler<ReceiveBrittleNotices> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveBrittleNotices, _: &mut Context<Self>) {
        for notice in &message.notices {
            self.shared.brittle_services.apply_notice(&self.shared, notice);
        }
    }
}

/// Requests the VMs that upstream signals are sent to. After a change, the control thread also
/// updates the rate shares, which depend on the limits that upstreams have announced.
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
            SendReason::Repeat => self.peers.next_resend_targets(now).local,
        }
    }
}

impl ControlActor {
    /// Removes the signals of upstreams that are no longer listed.
    pub(super) fn forget_signals(&self) {
        let is_listed = |tag| self.upstreams.find(tag).is_some();
        self.shared.upstream_limits.forget(is_listed, &self.shared);
        self.shared.leaving_upstreams.forget(is_listed, &self.shared);
        self.shared.brittle_services.forget(&self.shared);
    }
}
