//! Takes in heartbeats of other VMs, and plans those of this one.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use foldhaven_core::opaque::peer_table::{AskedBeats, BeatMessage, BeatTargets, PeerBeat};
use xtra::{Context, Handler};

use super::ControlKeeper;

/// Seeds get a heartbeat in every n-th round, so that two halves that lost each other meet again.
const SEED_ROUNDS: u32 = 8;

/// A heartbeat arrived.
pub struct HearBeat {
    pub message: BeatMessage,
}

/// Asks for the heartbeats of a round.
pub struct PlanBeats {
    /// Whether all VMs get one, because there is news.
    pub to_all: bool,
}

/// Heartbeats to be sent.
pub type PlannedBeats = Vec<(SocketAddr, BeatMessage)>;

impl Handler<HearBeat> for ControlKeeper {
    type Return = PlannedBeats;

    async fn handle(&mut self, message: HearBeat, _: &mut Context<Self>) -> PlannedBeats {
        let BeatMessage { own, pulses, heard, asks } = message.message;
        let now = self.now();
        let sender = own.peer;
        let (vm, phase, incarnation) = (own.vm.clone(), own.phase, own.incarnation);
        let mut is_news = self.peers.hear(own, now);
        self.peers.note_heard(&vm, now);
        if is_news {
            tracing::info!(peer = %vm, phase = ?phase, "peer heard");
        }
        let lifetime = self.peers.incarnation();
        for beat in heard {
            is_news |= self.peers.hear(beat, now);
        }
        for pulse in pulses {
            is_news |= self.peers.hear_pulse(pulse, now);
        }
        if self.peers.incarnation() != lifetime {
            tracing::info!(
                before = lifetime.0,
                after = self.peers.incarnation().0,
                "took a later lifetime, since others held one"
            );
        }
        if is_news {
            self.publish_soon();
        }
        let mut replies = self.answer(sender, &asks);
        if let Some(later) = self.peers.later_lifetime(&vm, incarnation).cloned() {
            tracing::warn!(
                peer = %vm,
                held = later.incarnation.0,
                heard = incarnation.0,
                "a VM names an earlier lifetime than it had"
            );
            replies.push((sender, self.message(vec![later])));
        }
        replies
    }
}

impl Handler<PlanBeats> for ControlKeeper {
    type Return = PlannedBeats;

    async fn handle(&mut self, plan: PlanBeats, _: &mut Context<Self>) -> PlannedBeats {
        self.beats += 1;
        let now = self.now();
        let asks = self.peers.take_asks();
        let BeatTargets { near, far } = match plan.to_all {
            true => BeatTargets { near: self.peers.all_addresses(), far: Vec::new() },
            false => self.peers.next_targets(now),
        };
        let is_seed_round = asks == AskedBeats::All || self.beats.is_multiple_of(SEED_ROUNDS);
        let seeds = if is_seed_round { self.settings.seed_peers() } else { Vec::new() };
        let pulses = self.peers.relayed(now);
        let to_far = self.message(Vec::new());
        let to_near = BeatMessage { pulses, ..to_far.clone() };
        let near: BTreeSet<SocketAddr> = near.into_iter().collect();
        let far: BTreeSet<SocketAddr> = far.into_iter().chain(seeds).collect();
        let far = far.into_iter().filter(|target| !near.contains(target));
        let to_far = far.map(|target| (target, to_far.clone()));
        let to_near = near.iter().map(|target| (*target, to_near.clone()));
        let mut planned: PlannedBeats = to_near.chain(to_far).collect();
        // One VM is asked in a round, another one each time: each answers with all that it knows.
        let asked = match near.len() {
            0 => planned.len(),
            near => near,
        };
        if let Some((_, message)) = planned.get_mut(self.beats as usize % asked.max(1)) {
            message.asks = asks;
        }
        planned
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

    fn message(&self, heard: Vec<PeerBeat>) -> BeatMessage {
        let asks = AskedBeats::Of(Vec::new());
        BeatMessage { own: self.own_beat(), pulses: Vec::new(), heard, asks }
    }

    /// The heartbeats that a VM asks for, in messages that fit a datagram. One that knows nobody gets at
    /// least this VM's own.
    fn answer(&self, address: SocketAddr, asked: &AskedBeats) -> PlannedBeats {
        const PER_MESSAGE: usize = 7;
        let beats = self.peers.answers(asked, self.now());
        let chunks = beats.chunks(PER_MESSAGE);
        let mut planned: PlannedBeats =
            chunks.map(|chunk| (address, self.message(chunk.to_vec()))).collect();
        if planned.is_empty() && *asked == AskedBeats::All {
            planned.push((address, self.message(Vec::new())));
        }
        planned
    }
}
