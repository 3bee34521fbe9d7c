//! A round of heartbeats: who gets which message, and what a message that arrives is answered with.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::{HeartbeatMessage, HeartbeatTargets, PeerHeartbeat, PeerTable, RequestedHeartbeats};
use crate::ids::IncarnationId;
use crate::time::MonoTime;

/// Seeds get a heartbeat in every n-th round, so that two halves that lost each other meet again.
const SEED_ROUND_INTERVAL: u32 = 8;
/// How many heartbeats go into one message, so that it fits a datagram.
const MAX_HEARTBEATS_PER_MESSAGE: usize = 7;

/// What a round is planned by.
#[derive(Debug, Clone)]
pub struct RoundInput {
    /// The heartbeat of this VM; its sequence counts the rounds.
    pub own: PeerHeartbeat,
    /// Where the VMs that are asked first take heartbeats.
    pub seeds: Vec<SocketAddr>,
    /// Whether all VMs get one, because there is news.
    pub is_to_all: bool,
}

/// Messages with their receivers.
pub type PlannedHeartbeats = Vec<(SocketAddr, HeartbeatMessage)>;

/// What a message brought.
#[derive(Debug, Clone, PartialEq)]
pub struct MessageOutcome {
    /// Whether it is news that others decide by.
    pub is_membership_change: bool,
    /// Whether its sender is news.
    pub is_sender_change: bool,
    /// The lifetime that this process took, when others held a later one than its own.
    pub adopted_incarnation: Option<IncarnationId>,
    /// A later lifetime of the sender that is held, of which it is told.
    pub later_incarnation: Option<PeerHeartbeat>,
}

impl PeerTable {
    /// Plans the heartbeats of a round.
    pub fn plan_round(&mut self, input: RoundInput, now: MonoTime) -> PlannedHeartbeats {
        let round = input.own.sequence;
        let requests = self.take_heartbeat_requests();
        let HeartbeatTargets { local, remote } = match input.is_to_all {
            true => HeartbeatTargets { local: self.all_addresses(), remote: Vec::new() },
            false => self.next_targets(now),
        };
        let is_seed_round =
            requests == RequestedHeartbeats::All || round.is_multiple_of(SEED_ROUND_INTERVAL);
        let seeds = if is_seed_round { input.seeds } else { Vec::new() };
        let liveness = self.next_liveness_updates(now);
        let to_remote = HeartbeatMessage::of(input.own, Vec::new());
        let to_local = HeartbeatMessage { liveness, ..to_remote.clone() };
        let local: BTreeSet<SocketAddr> = local.into_iter().collect();
        let remote: BTreeSet<SocketAddr> = remote.into_iter().chain(seeds).collect();
        let remote = remote.into_iter().filter(|target| !local.contains(target));
        let to_remote = remote.map(|target| (target, to_remote.clone()));
        let to_local = local.iter().map(|target| (*target, to_local.clone()));
        let mut planned: PlannedHeartbeats = to_local.chain(to_remote).collect();
        // One VM is asked in a round, another one each time: each answers with all that it knows.
        let receivers = match local.len() {
            0 => planned.len(),
            local => local,
        };
        if let Some((_, message)) = planned.get_mut(round as usize % receivers.max(1)) {
            message.requests = requests;
        }
        planned
    }

    /// Takes in a message.
    pub fn apply_message(&mut self, message: &HeartbeatMessage, now: MonoTime) -> MessageOutcome {
        let HeartbeatMessage { own, liveness, others, .. } = message;
        let before = self.incarnation();
        let is_sender_change = self.apply_heartbeat(own.clone(), now);
        self.record_contact(&own.vm, now);
        let mut is_membership_change = is_sender_change;
        for heartbeat in others {
            is_membership_change |= self.apply_heartbeat(heartbeat.clone(), now);
        }
        for update in liveness {
            is_membership_change |= self.apply_liveness_update(*update, now);
        }
        let adopted_incarnation =
            Some(self.incarnation()).filter(|incarnation| *incarnation != before);
        let later_incarnation = self.later_incarnation(&own.vm, own.incarnation).cloned();
        MessageOutcome {
            is_membership_change,
            is_sender_change,
            adopted_incarnation,
            later_incarnation,
        }
    }

    /// The answer to a message: the heartbeats that its sender asked for. One that knows nobody gets at least the one
    /// of this VM, `own`.
    pub fn reply_to(
        &self,
        message: &HeartbeatMessage,
        own: &PeerHeartbeat,
        now: MonoTime,
    ) -> PlannedHeartbeats {
        let sender = message.own.peer;
        let mut planned =
            heartbeat_messages(sender, own, self.requested_heartbeats(&message.requests, now));
        if planned.is_empty() && message.requests == RequestedHeartbeats::All {
            planned.push((sender, HeartbeatMessage::of(own.clone(), Vec::new())));
        }
        if let Some(later_incarnation) =
            self.later_incarnation(&message.own.vm, message.own.incarnation)
        {
            planned
                .push((sender, HeartbeatMessage::of(own.clone(), vec![later_incarnation.clone()])));
        }
        planned
    }
}

/// Heartbeats for one receiver, in messages that fit a datagram.
pub(super) fn heartbeat_messages(
    to: SocketAddr,
    own: &PeerHeartbeat,
    heartbeats: Vec<PeerHeartbeat>,
) -> PlannedHeartbeats {
    let chunks = heartbeats.chunks(MAX_HEARTBEATS_PER_MESSAGE);
    chunks.map(|chunk| (to, HeartbeatMessage::of(own.clone(), chunk.to_vec()))).collect()
}
