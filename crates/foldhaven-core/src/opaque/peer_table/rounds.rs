//! A round of heartbeats: who gets which message, and what a message that arrives is answered with.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::{AskedBeats, BeatMessage, BeatTargets, PeerBeat, PeerTable};
use crate::ids::IncarnationId;
use crate::time::MonoTime;

/// Seeds get a heartbeat in every n-th round, so that two halves that lost each other meet again.
const SEED_ROUNDS: u32 = 8;
/// How many heartbeats go into one message, so that it fits a datagram.
const BEATS_PER_MESSAGE: usize = 7;

/// What a round is planned by.
#[derive(Debug, Clone)]
pub struct RoundCall {
    /// The heartbeat of this VM; its sequence counts the rounds.
    pub own: PeerBeat,
    /// Where the VMs that are asked first take heartbeats.
    pub seeds: Vec<SocketAddr>,
    /// Whether all VMs get one, because there is news.
    pub is_to_all: bool,
}

/// Messages with their receivers.
pub type PlannedBeats = Vec<(SocketAddr, BeatMessage)>;

/// What a message brought.
#[derive(Debug, Clone, PartialEq)]
pub struct HeardMessage {
    /// Whether it is news that others decide by.
    pub is_news: bool,
    /// Whether its sender is news.
    pub is_sender_news: bool,
    /// The lifetime that this process took, when others held a later one than its own.
    pub outlived: Option<IncarnationId>,
    /// A later lifetime of the sender that is held, of which it is told.
    pub later: Option<PeerBeat>,
}

impl PeerTable {
    /// Plans the heartbeats of a round.
    pub fn plan_round(&mut self, call: RoundCall, now: MonoTime) -> PlannedBeats {
        let round = call.own.sequence;
        let asks = self.take_asks();
        let BeatTargets { near, far } = match call.is_to_all {
            true => BeatTargets { near: self.all_addresses(), far: Vec::new() },
            false => self.next_targets(now),
        };
        let is_seed_round = asks == AskedBeats::All || round.is_multiple_of(SEED_ROUNDS);
        let seeds = if is_seed_round { call.seeds } else { Vec::new() };
        let pulses = self.relayed(now);
        let to_far = BeatMessage::of(call.own, Vec::new());
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
        if let Some((_, message)) = planned.get_mut(round as usize % asked.max(1)) {
            message.asks = asks;
        }
        planned
    }

    /// Takes in a message.
    pub fn take_message(&mut self, message: &BeatMessage, now: MonoTime) -> HeardMessage {
        let BeatMessage { own, pulses, heard, .. } = message;
        let before = self.incarnation();
        let is_sender_news = self.hear(own.clone(), now);
        self.note_heard(&own.vm, now);
        let mut is_news = is_sender_news;
        for beat in heard {
            is_news |= self.hear(beat.clone(), now);
        }
        for pulse in pulses {
            is_news |= self.hear_pulse(*pulse, now);
        }
        let outlived = Some(self.incarnation()).filter(|incarnation| *incarnation != before);
        let later = self.later_lifetime(&own.vm, own.incarnation).cloned();
        HeardMessage { is_news, is_sender_news, outlived, later }
    }

    /// The answer to a message: the heartbeats that its sender asked for. One that knows nobody gets at least the one
    /// of this VM, `own`.
    pub fn reply_to(&self, message: &BeatMessage, own: &PeerBeat, now: MonoTime) -> PlannedBeats {
        let sender = message.own.peer;
        let mut planned = told_beats(sender, own, self.answers(&message.asks, now));
        if planned.is_empty() && message.asks == AskedBeats::All {
            planned.push((sender, BeatMessage::of(own.clone(), Vec::new())));
        }
        if let Some(later) = self.later_lifetime(&message.own.vm, message.own.incarnation) {
            planned.push((sender, BeatMessage::of(own.clone(), vec![later.clone()])));
        }
        planned
    }
}

/// Heartbeats for one receiver, in messages that fit a datagram.
pub(super) fn told_beats(to: SocketAddr, own: &PeerBeat, beats: Vec<PeerBeat>) -> PlannedBeats {
    let chunks = beats.chunks(BEATS_PER_MESSAGE);
    chunks.map(|chunk| (to, BeatMessage::of(own.clone(), chunk.to_vec()))).collect()
}
