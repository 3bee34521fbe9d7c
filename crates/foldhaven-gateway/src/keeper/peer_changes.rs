//! Takes in what other VMs tell of the platform's changes, when asked and unasked.

use std::net::SocketAddr;

use xtra::{Context, Handler};

use super::ControlKeeper;
use crate::feed::{ChangeSet, CountedChange, FeedSnapshot};

/// Another VM of the region told of changes that it read.
pub struct HearChanges {
    pub changes: ChangeSet,
}

impl Handler<HearChanges> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, message: HearChanges, _: &mut Context<Self>) {
        let HearChanges { changes } = message;
        if self.known.follows(&changes) {
            self.take_changes(changes);
        } else {
            // What is missing is asked for, like after a lost datagram.
            self.take_early(changes.changes);
        }
    }
}

/// Another VM of the region told of changes without those that precede them.
pub struct HearEarly {
    pub changes: Vec<CountedChange>,
}

impl Handler<HearEarly> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, message: HearEarly, _: &mut Context<Self>) {
        self.take_early(message.changes);
    }
}

/// What a VM that was asked told of the platform's changes.
pub struct OfferSnapshot {
    pub snapshot: FeedSnapshot,
    pub peer: SocketAddr,
}

impl Handler<OfferSnapshot> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, offer: OfferSnapshot, _: &mut Context<Self>) {
        let OfferSnapshot { snapshot, peer } = offer;
        self.peers.record_delivered_revision(peer, snapshot.revision);
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
pub struct TakeChanges {
    pub changes: ChangeSet,
    pub peer: SocketAddr,
}

impl Handler<TakeChanges> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, message: TakeChanges, _: &mut Context<Self>) {
        let TakeChanges { changes, peer } = message;
        self.peers.record_delivered_revision(peer, changes.revision);
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
