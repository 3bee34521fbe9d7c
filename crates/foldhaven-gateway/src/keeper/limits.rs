//! Takes in the limits of upstreams that other VMs tell of, and chooses whom to tell of those that this VM has heard.

use std::net::SocketAddr;

use foldhaven_core::opaque::upstream_words::ToldLimit;
use xtra::{Context, Handler};

use super::{ControlKeeper, TellOccasion};
use crate::limit_desk::note_change;

/// Another VM of the region told of limits.
pub struct HearLimits {
    pub limits: Vec<ToldLimit>,
}

impl Handler<HearLimits> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, message: HearLimits, _: &mut Context<Self>) {
        let now = self.now();
        let mut has_changed = false;
        for told in &message.limits {
            let Some(change) = self.shared.limits.hear(told, now) else { continue };
            // One that is not listed yet is bounded from when it is.
            let Some(upstream) = self.by_tag.get(&told.upstream) else { continue };
            self.shared.limits.apply(upstream);
            note_change(&self.shared, upstream, &change, "peer");
            has_changed = true;
        }
        if has_changed {
            self.share_rates(now);
        }
    }
}

/// Puts the limits in force that this VM has heard, and asks whom to tell of them.
pub struct PlanLimitTargets {
    pub occasion: TellOccasion,
}

impl Handler<PlanLimitTargets> for ControlKeeper {
    type Return = Vec<SocketAddr>;

    async fn handle(&mut self, plan: PlanLimitTargets, _: &mut Context<Self>) -> Vec<SocketAddr> {
        let now = self.now();
        match plan.occasion {
            TellOccasion::News => {
                self.share_rates(now);
                self.near_peers()
            }
            TellOccasion::Repeat => self.peers.next_targets(now).near,
        }
    }
}

impl ControlKeeper {
    /// Forgets the limits of upstreams that are gone.
    pub(super) fn forget_limits(&self) {
        let is_listed = |tag| self.by_tag.contains_key(&tag);
        self.shared.limits.forget(is_listed, &self.shared);
    }
}
