//! Takes in what other VMs tell of the platform's changes, when asked and unasked.

use std::net::SocketAddr;

use xtra::{Context, Handler};

use super::ControlActor;
use crate::feed::{ChangeSet, CountedChange, FeedSnapshot};

/// Another VM of the region told of changes that it read.
pub struct ReceiveChanges {
    pub changes: ChangeSet,
}

impl Handler<ReceiveChanges> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveChanges, _: &mut Context<Self>) {
        let ReceiveChanges { changes } = message;
        if self.known.follows(&changes) {
            self.take_changes(changes);
        } else {
            // What is missing is asked for, like after a lost datagram.
            self.take_early(changes.changes);
        }
    }
}

/// Another VM of the region told of changes without those that precede them.
pub struct ReceiveEarlyChanges {
    pub changes: Vec<CountedChange>,
}

impl Handler<ReceiveEarlyChanges> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveEarlyChanges, _: &mut Context<Self>) {
        self.take_early(message.changes);
    }
}

/// What a VM that was asked told of the platform's changes.
pub struct ApplySnapshot {
    pub snapshot: FeedSnapshot,
    pub peer: SocketAddr,
}

impl Handler<ApplySnapshot> for ControlActor {
    type Return = ();

    async fn handle(&mut self, offer: ApplySnapshot, _: &mut Context<Self>) {
        let ApplySnapshot { snapshot, peer } = offer;
        self.peers.note_told_revision(peer, snapshot.revision);
        let (before, revision) = (self.known.revision(), snapshot.revision);
        let is_news = revision > before || self.known.needs_all() && revision == before;
        if is_news {
            tracing::info!(peer = %peer, revision, before, "state taken from a peer");
            let is_from_afar = self.is_behind_far_only();
            let taken = self.take_snapshot(snapshot);
            if let Some(taken) = taken.filter(|_| is_from_afar) {
                self.pass_on(taken);
            }
        }
    }
}

/// The changes that a VM was asked for.
pub struct ApplyChanges {
    pub changes: ChangeSet,
    pub peer: SocketAddr,
}

impl Handler<ApplyChanges> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ApplyChanges, _: &mut Context<Self>) {
        let ApplyChanges { changes, peer } = message;
        self.peers.note_told_revision(peer, changes.revision);
        let (before, revision) = (self.known.revision(), changes.revision);
        if revision <= before {
            return;
        }
        let is_from_afar = self.is_behind_far_only();
        let Some(taken) = self.take_changes(changes) else { return };
        tracing::info!(peer = %peer, revision, before, is_from_afar, "state taken from a peer");
        if is_from_afar {
            self.pass_on(taken);
        }
    }
}
