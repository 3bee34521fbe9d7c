//! Handles heartbeats and views of other VMs, and plans those of this one.

use std::net::SocketAddr;
use std::time::Duration;

use foldhaven_core::opaque::peer_table::{
    HeartbeatMessage, LEARNING_TIME, PeerHeartbeat, PlannedHeartbeats, RegionTag,
    RevisionAnnouncement, RoundInput, ViewAnswer, ViewDigest, ViewList, VmTag,
};
use foldhaven_core::time::MonoTime;
use xtra::{Context, Handler};

use super::ControlActor;

/// A received heartbeat.
pub struct ReceiveHeartbeat {
    pub message: HeartbeatMessage,
}

/// A received digest of the live VMs that another VM sees in its region.
pub struct ReceiveView {
    pub notice: ViewDigest,
}

/// A received list of the live VMs that another VM sees in a region.
pub struct ReceiveViewList {
    pub list: ViewList,
}

/// The messages of one heartbeat round, and the delay until the next round.
pub struct HeartbeatRound {
    pub heartbeats: PlannedHeartbeats,
    /// The VMs that get this VM's view.
    pub view_targets: Vec<SocketAddr>,
    pub view: ViewDigest,
    /// The announcement of this VM's revision for all VMs that get a heartbeat. `None` before the
    /// first snapshot.
    pub notice: Option<RevisionAnnouncement>,
    pub next_in: Duration,
}

/// Requests the messages of a heartbeat round.
pub struct PlanHeartbeats {
    /// Whether to send to all VMs, because this VM's state has changed.
    pub to_all: bool,
}

impl Handler<ReceiveHeartbeat> for ControlActor {
    type Return = PlannedHeartbeats;

    async fn handle(
        &mut self,
        message: ReceiveHeartbeat,
        _: &mut Context<Self>,
    ) -> PlannedHeartbeats {
        let message = message.message;
        let now = self.now();
        let (vm, phase) = (&message.own.vm, message.own.phase);
        let before = self.peers.incarnation().0;
        let outcome = self.peers.apply_message(&message, now);
        if outcome.is_sender_change {
            tracing::info!(peer = %vm, phase = ?phase, "heartbeat of a peer changed");
        }
        if let Some(after) = outcome.adopted_incarnation {
            let after = after.0;
            tracing::info!(before, after, "adopted a later incarnation because other VMs held one");
        }
        if let Some(later) = &outcome.later_incarnation {
            tracing::warn!(
            peer = %vm,
            held = later.incarnation.0,
            heard = message.own.incarnation.0,
            "a VM announced an earlier incarnation than before"
            );
        }
        if outcome.is_membership_change {
            self.publish_members_later();
        }
        self.peers.reply_to(&message, &self.own_heartbeat(), now)
    }
}

impl Handler<PlanHeartbeats> for ControlActor {
    type Return = HeartbeatRound;

    async fn handle(&mut self, plan: PlanHeartbeats, _: &mut Context<Self>) -> HeartbeatRound {
        self.heartbeat_rounds += 1;
        let call = RoundInput {
            own: self.own_heartbeat(),
            seeds: self.settings.seed_peers(),
            is_to_all: plan.to_all,
        };
        let now = self.now();
        let is_learning = self.shared.uptime() < LEARNING_TIME;
        let heartbeats = self.peers.plan_round(call, now);
        let view_targets = self.peers.view_targets(&heartbeats, is_learning, now);
        let next_in = self.peers.round_interval(is_learning, now);
        if self.assignment.borrow().is_reader {
            // Announces a revision that followed the last announcement too closely to be announced
            // at once.
            self.announce_remotely();
        }
        let notice = self.platform.has_state().then(|| self.own_revision_notice());
        HeartbeatRound { heartbeats, view_targets, view: self.own_view(now), notice, next_in }
    }
}

impl Handler<ReceiveView> for ControlActor {
    type Return = ViewAnswer;

    async fn handle(&mut self, message: ReceiveView, _: &mut Context<Self>) -> ViewAnswer {
        let now = self.now();
        let answer = self.peers.apply_view_digest(&message.notice, now);
        if let ViewAnswer::List(peer, list) = &answer {
            self.shared.metrics.count_event("views_differed");
            if self.shared.quota.take(true) {
                tracing::info!(peer = %peer, lives = list.incarnations.len(), "a VM has a different view of the region");
            }
        }
        answer
    }
}

impl Handler<ReceiveViewList> for ControlActor {
    type Return = PlannedHeartbeats;

    async fn handle(
        &mut self,
        message: ReceiveViewList,
        _: &mut Context<Self>,
    ) -> PlannedHeartbeats {
        let now = self.now();
        let own = self.own_heartbeat();
        self.peers.apply_view_list(&message.list, &own, now)
    }
}

impl ControlActor {
    /// Returns the digest of the live VMs that this VM sees in its region.
    pub(super) fn own_view(&self, now: MonoTime) -> ViewDigest {
        ViewDigest {
            vm: VmTag::of(&self.shared.settings.vm),
            incarnation: self.peers.incarnation(),
            region: RegionTag::of(self.shared.settings.region()),
            digest: self.peers.region_digest(now),
            known: self.peers.known_counts(),
        }
    }

    pub(super) fn own_heartbeat(&self) -> PeerHeartbeat {
        let settings = &self.shared.settings;
        PeerHeartbeat {
            vm: settings.vm.clone(),
            incarnation: self.peers.incarnation(),
            sequence: self.heartbeat_rounds,
            data_centre: settings.data_centre.clone(),
            region: settings.region().clone(),
            cores: settings.cores,
            caller: settings.addresses.caller,
            peer: settings.addresses.peer,
            phase: self.phase(),
            version: self.version(),
            revision: self.platform.revision(),
            is_turned_away: self.is_platform_unreachable,
        }
    }
}
