//! Applies platform changes received from other VMs, both requested and unrequested.

use std::net::SocketAddr;

use xtra::{Context, Handler};

use super::ControlActor;
use crate::feed::{ChangeSet, FeedSnapshot, NumberedChange};

/// Changes that another VM of the region has read and forwarded.
pub struct ReceiveChanges {
    pub changes: ChangeSet,
}

impl Handler<ReceiveChanges> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveChanges, _: &mut Context<Self>) {
        let ReceiveChanges { changes } = message;
        if self.platform.can_apply(&changes) {
            let applied = self.apply_changes(changes);
            applied.into_iter().for_each(|applied| self.relay_changes(applied));
        } else {
            // The missing changes are requested, as after a lost datagram.
            self.apply_early_changes(changes.changes);
        }
    }
}

/// Urgent changes sent by another VM of the region without the changes that precede them.
pub struct ReceiveEarlyChanges {
    pub changes: Vec<NumberedChange>,
}

impl Handler<ReceiveEarlyChanges> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveEarlyChanges, _: &mut Context<Self>) {
        self.apply_early_changes(message.changes);
    }
}

/// Applies a snapshot that this VM requested from a peer.
pub struct ApplySnapshot {
    pub snapshot: FeedSnapshot,
    pub peer: SocketAddr,
}

impl Handler<ApplySnapshot> for ControlActor {
    type Return = ();

    async fn handle(&mut self, offer: ApplySnapshot, _: &mut Context<Self>) {
        let ApplySnapshot { snapshot, peer } = offer;
        self.peers.record_delivered_revision(peer, snapshot.revision);
        let (before, revision) = (self.platform.revision(), snapshot.revision);
        let is_newer = revision > before || self.platform.needs_snapshot() && revision == before;
        if is_newer {
            tracing::info!(peer = %peer, revision, before, "platform state received from a peer");
            let is_remote = self.is_behind_remote_only();
            let applied = self.apply_snapshot(snapshot);
            if let Some(applied) = applied.filter(|_| is_remote) {
                self.forward_changes(self.local_peers(), applied);
            }
        }
    }
}

/// Applies changes that this VM requested from a peer.
pub struct ApplyChanges {
    pub changes: ChangeSet,
    pub peer: SocketAddr,
}

impl Handler<ApplyChanges> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ApplyChanges, _: &mut Context<Self>) {
        let ApplyChanges { changes, peer } = message;
        self.peers.record_delivered_revision(peer, changes.revision);
        let (before, revision) = (self.platform.revision(), changes.revision);
        if revision <= before {
            return;
        }
        let is_remote = self.is_behind_remote_only();
        let Some(applied) = self.apply_changes(changes) else { return };
        tracing::info!(
        peer = %peer,
        revision,
        before,
        is_from_afar = is_remote,
        "platform state received from a peer"
        );
        if is_remote {
            self.forward_changes(self.local_peers(), applied);
        }
    }
}
