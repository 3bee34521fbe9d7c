//! Rounds of heartbeats: the messages that are sent, and the replies to messages that arrive.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::{HeartbeatMessage, HeartbeatTargets, PeerHeartbeat, PeerTable, RequestedHeartbeats};
use crate::ids::IncarnationId;
use crate::time::MonoTime;

/// Seeds get a heartbeat in every n-th round, so that the two sides of a partition find each other
/// again.
const SEED_ROUND_INTERVAL: u32 = 8;
/// Maximum number of heartbeats in one message, so that it fits a datagram.
const MAX_HEARTBEATS_PER_MESSAGE: usize = 7;

/// Input for planning a round.
#[derive(Debug, Clone)]
pub struct RoundInput {
    /// Heartbeat of this VM; its sequence counts the rounds.
    pub own: PeerHeartbeat,
    /// Peer addresses of the seeds.
    pub seeds: Vec<SocketAddr>,
    /// Whether the heartbeat goes to all VMs, because of a change that must not wait.
    pub is_to_all: bool,
}

/// Messages with their receivers.
pub type PlannedHeartbeats = Vec<(SocketAddr, HeartbeatMessage)>;

/// Outcome of applying a message.
#[derive(Debug, Clone, PartialEq)]
pub struct MessageOutcome {
    /// Whether it changes the membership that others decide by.
    pub is_membership_change: bool,
    /// Whether the sender's own heartbeat is such a change.
    pub is_sender_change: bool,
    /// Incarnation that this process adopted because other VMs knew a later one than its own;
    /// `None` if it kept its incarnation.
    pub adopted_incarnation: Option<IncarnationId>,
    /// Known heartbeat of a later incarnation of the sender, which is sent to it.
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
        // One VM per round gets the requests, another one each time, because it answers with all
        // that it knows.
        let receivers = match local.len() {
            0 => planned.len(),
            local => local,
        };
        if let Some((_, message)) = planned.get_mut(round as usize % receivers.max(1)) {
            message.requests = requests;
        }
        planned
    }

    /// Applies a message.
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

    /// Returns the replies to a message: the heartbeats that its sender requested. A sender that
    /// knows no other VM gets at least `own`, the heartbeat of this VM.
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

/// Splits heartbeats for one receiver into messages that fit a datagram.
pub(super) fn heartbeat_messages(
    to: SocketAddr,
    own: &PeerHeartbeat,
    heartbeats: Vec<PeerHeartbeat>,
) -> PlannedHeartbeats {
    let chunks = heartbeats.chunks(MAX_HEARTBEATS_PER_MESSAGE);
    chunks.map(|chunk| (to, HeartbeatMessage::of(own.clone(), chunk.to_vec()))).collect()
}
