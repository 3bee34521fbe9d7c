//! Takes in heartbeats of other VMs, and plans those of this one.

use foldhaven_core::opaque::peer_table::{BeatMessage, PeerBeat, PlannedBeats, RoundCall};
use xtra::{Context, Handler};

use super::ControlKeeper;

/// A heartbeat arrived.
pub struct HearBeat {
    pub message: BeatMessage,
}

/// Asks for the heartbeats of a round.
pub struct PlanBeats {
    /// Whether all VMs get one, because there is news.
    pub to_all: bool,
}

impl Handler<HearBeat> for ControlKeeper {
    type Return = PlannedBeats;

    async fn handle(&mut self, message: HearBeat, _: &mut Context<Self>) -> PlannedBeats {
        let message = message.message;
        let now = self.now();
        let (vm, phase) = (&message.own.vm, message.own.phase);
        let before = self.peers.incarnation().0;
        let heard = self.peers.take_message(&message, now);
        if heard.is_sender_news {
            tracing::info!(peer = %vm, phase = ?phase, "peer heard");
        }
        if let Some(after) = heard.outlived {
            let after = after.0;
            tracing::info!(before, after, "took a later lifetime, since others held one");
        }
        if let Some(later) = &heard.later {
            tracing::warn!(
                peer = %vm,
                held = later.incarnation.0,
                heard = message.own.incarnation.0,
                "a VM names an earlier lifetime than it had"
            );
        }
        if heard.is_news {
            self.publish_soon();
        }
        self.peers.reply_to(&message, &self.own_beat(), now)
    }
}

impl Handler<PlanBeats> for ControlKeeper {
    type Return = PlannedBeats;

    async fn handle(&mut self, plan: PlanBeats, _: &mut Context<Self>) -> PlannedBeats {
        self.beats += 1;
        let call = RoundCall {
            own: self.own_beat(),
            seeds: self.settings.seed_peers(),
            is_to_all: plan.to_all,
        };
        let now = self.now();
        self.peers.plan_round(call, now)
    }
}

impl ControlKeeper {
    pub(super) fn own_beat(&self) -> PeerBeat {
        let settings = &self.shared.settings;
        PeerBeat {
            vm: settings.vm.clone(),
            incarnation: self.peers.incarnation(),
            sequence: self.beats,
            data_centre: settings.data_centre.clone(),
            region: settings.region().clone(),
            cores: settings.cores,
            caller: settings.addresses.caller,
            peer: settings.addresses.peer,
            phase: self.phase(),
            version: self.version(),
            revision: self.revision,
            is_turned_away: self.is_disturbed,
        }
    }
}
