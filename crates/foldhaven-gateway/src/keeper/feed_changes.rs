//! Takes in what the platform publishes: from the feed itself, and from VMs that have read more.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::{DataCentreName, UpstreamName};
use foldhaven_core::opaque::peer_table::{PeerBeat, PeerTable};
use foldhaven_core::opaque::route_table::{RouteDescription, RouteTable};
use foldhaven_core::opaque::upstream_table::UpstreamRecord;
use xtra::{Context, Handler};

use super::ControlKeeper;
use crate::feed::{ChangeSet, CountedChange, FeedChange, FeedNews, FeedSnapshot};

/// A VM of this region that has read more of the platform's changes than this one for so long is asked
/// for them.
const BEHIND_LIMIT: Duration = Duration::from_millis(350);
/// The same for a VM of another region, when no near one knows more: bytes between regions are paid for.
const FAR_BEHIND_LIMIT: Duration = Duration::from_millis(1_000);

/// From when on being behind is logged.
const LONG_BEHIND: Duration = Duration::from_millis(1_000);

/// Changes that other VMs are to be told of.
pub struct ToldChanges {
    pub targets: Vec<SocketAddr>,
    pub changes: ChangeSet,
}

impl Handler<FeedNews> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, news: FeedNews, _: &mut Context<Self>) {
        match news {
            FeedNews::Disturbed { cause } => return self.note_disturbed(&cause),
            FeedNews::Snapshot(snapshot) => {
                self.take_snapshot(snapshot);
                self.publish();
            }
            FeedNews::Changes(set) => self.take_and_tell(set),
        }
        if std::mem::replace(&mut self.is_disturbed, false) {
            tracing::info!(revision = self.revision, "platform regained");
            self.set_turn();
        }
    }
}

/// Another VM of the region told of changes that it read.
pub struct HearChanges {
    pub changes: ChangeSet,
}

impl Handler<HearChanges> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, message: HearChanges, _: &mut Context<Self>) {
        // When some are missing, they are asked for, like after a lost datagram.
        self.take_changes(message.changes);
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
        if snapshot.revision <= self.revision {
            return;
        }
        tracing::info!(
            peer = %peer,
            revision = snapshot.revision,
            before = self.revision,
            "state taken from a peer"
        );
        self.take_snapshot(snapshot);
        self.publish();
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
        let (before, revision) = (self.revision, changes.revision);
        if revision > before && self.take_changes(changes) {
            tracing::info!(peer = %peer, revision, before, "state taken from a peer");
        }
    }
}

/// Asks which VM knows more of the platform's changes.
pub struct FindAhead;

/// A VM that knows more, and the revision that this one knows.
pub struct AheadPeer {
    pub peer: SocketAddr,
    pub known: Option<u64>,
}

impl Handler<FindAhead> for ControlKeeper {
    type Return = Option<AheadPeer>;

    async fn handle(&mut self, _: FindAhead, _: &mut Context<Self>) -> Option<AheadPeer> {
        let now = self.now();
        let Some(ahead) = self.most_ahead() else {
            self.note_caught_up();
            return None;
        };
        let ahead_revision = ahead.revision;
        let is_near = ahead.region == *self.shared.settings.region();
        let limit = if is_near { BEHIND_LIMIT } else { FAR_BEHIND_LIMIT };
        let peer = ahead.peer;
        let since = *self.behind_since.get_or_insert(now);
        self.note_behind(now.since(since), peer, ahead_revision);
        let is_due = self.routes.is_none() || now.since(since) >= limit;
        let known = self.has_state.then_some(self.revision);
        is_due.then_some(AheadPeer { peer, known })
    }
}

impl ControlKeeper {
    /// Notes for how long this VM has known less than others do.
    fn note_behind(&mut self, behind: Duration, peer: SocketAddr, ahead: u64) {
        self.shared.metrics.set_level("behind_ms", behind.as_millis() as u64);
        if behind >= LONG_BEHIND && !std::mem::replace(&mut self.is_long_behind, true) {
            let behind_ms = behind.as_millis() as u64;
            let (revision, version) = (self.revision, self.version().0);
            tracing::warn!(peer = %peer, ahead, revision, version, behind_ms, "behind other VMs");
        }
    }

    /// Notes that no other VM is known to know more.
    fn note_caught_up(&mut self) {
        let Some(since) = self.behind_since.take() else { return };
        let behind = self.now().since(since);
        self.shared.metrics.note_span("behind", behind);
        self.shared.metrics.set_level("behind_ms", 0);
        if std::mem::replace(&mut self.is_long_behind, false) {
            let behind_ms = behind.as_millis() as u64;
            tracing::info!(revision = self.revision, behind_ms, "caught up with other VMs");
        }
    }

    /// Notes that the platform could not be read.
    fn note_disturbed(&mut self, cause: &str) {
        let now = self.now();
        self.table.note_disturbed(now);
        if !std::mem::replace(&mut self.is_disturbed, true) {
            tracing::warn!(cause, revision = self.revision, "platform lost");
            self.set_turn();
        }
    }

    /// Takes over from other VMs that the platform is away: what vanishes from its lists soon after may
    /// only have failed to renew its entry.
    pub(super) fn note_told_outage(&mut self) {
        let now = self.now();
        let is_told = self.peers.hears_of_outage(now);
        if is_told {
            self.table.note_disturbed(now);
        }
        if std::mem::replace(&mut self.is_told_outage, is_told) != is_told {
            tracing::info!(
                is_told,
                revision = self.revision,
                "other VMs tell of a platform outage"
            );
        }
    }

    /// Takes in changes that this VM read itself, and passes them on if they follow what is known.
    fn take_and_tell(&mut self, set: ChangeSet) {
        let told = (!set.changes.is_empty()).then(|| set.clone());
        if self.take_changes(set)
            && let Some(told) = told
        {
            self.tell_near(told);
        }
    }

    /// Passes changes on to the VMs of this region that do not read the platform themselves.
    fn tell_near(&self, changes: ChangeSet) {
        let targets = self.near_peers();
        if targets.len() >= PeerTable::ALL_READ {
            // Nobody takes them only when the process ends.
            let _ = self.news.send(ToldChanges { targets, changes });
        }
    }

    /// The VM that has read most of the platform's changes, if that is more than this one has. Those of
    /// this data centre go first, then those of this region.
    fn most_ahead(&self) -> Option<&PeerBeat> {
        let now = self.now();
        let settings = &self.shared.settings;
        let ahead = self.peers.live(now).filter(|beat| beat.revision > self.revision);
        ahead.max_by_key(|beat| {
            let is_here = beat.data_centre == settings.data_centre;
            (beat.region == *settings.region(), is_here, beat.revision)
        })
    }

    /// Puts a description in force, unless it is no newer than the one held.
    fn adopt(&mut self, description: RouteDescription) {
        let (held, offered) = (self.version(), description.version);
        if self.routes.is_some() && offered <= held {
            if offered < held {
                tracing::warn!(held = held.0, offered = offered.0, "older description ignored");
            }
            return;
        }
        let routes = description.routes.len();
        self.routes = Some(Arc::new(RouteTable::new(description)));
        self.shared.metrics.set_level("description_version", offered.0);
        tracing::info!(
            version = offered.0,
            before = held.0,
            routes,
            revision = self.revision,
            behind_ms =
                self.behind_since.map_or(0, |since| self.now().since(since).as_millis() as u64),
            "description adopted"
        );
    }

    /// Replaces what is known by a snapshot, unless the snapshot is older.
    fn take_snapshot(&mut self, snapshot: FeedSnapshot) {
        if snapshot.revision < self.revision {
            tracing::warn!(
                held = self.revision,
                offered = snapshot.revision,
                "older state ignored"
            );
            return;
        }
        let now = self.now();
        self.revision = snapshot.revision;
        self.log.reset(snapshot.revision);
        let difference = self.table.replace(snapshot.upstreams, now);
        if std::mem::replace(&mut self.has_state, true) {
            difference.listed.iter().for_each(|record| self.log_listed(record));
            difference.unlisted.iter().for_each(|name| self.log_unlisted(name));
        } else {
            let upstreams = difference.listed.len();
            tracing::info!(upstreams, revision = self.revision, "first list of upstreams");
        }
        self.table.set_evacuated(snapshot.evacuated);
        if let Some(description) = snapshot.description {
            self.adopt(description);
        }
    }

    /// Takes in changes. Returns whether they follow what is known, or bring nothing new.
    fn take_changes(&mut self, set: ChangeSet) -> bool {
        if !self.has_state || set.after > self.revision {
            return false;
        }
        let news: Vec<CountedChange> =
            set.changes.into_iter().filter(|counted| counted.revision > self.revision).collect();
        let is_urgent = news.iter().any(|counted| counted.change.is_urgent());
        self.is_stale |= !news.is_empty();
        for counted in news {
            self.take_change(counted.change.clone());
            self.log.push(counted);
        }
        self.revision = self.revision.max(set.revision);
        self.shared.metrics.set_level("revision", self.revision);
        match is_urgent {
            true => self.publish(),
            false => self.set_turn(),
        }
        true
    }

    fn take_change(&mut self, change: FeedChange) {
        let now = self.now();
        match change {
            FeedChange::Description(description) => self.adopt(*description),
            FeedChange::UpstreamWritten(record) => {
                self.log_listed(&record);
                self.table.put(record, now);
            }
            FeedChange::UpstreamRemoved(name) => {
                self.log_unlisted(&name);
                self.table.remove(&name, now);
            }
            FeedChange::EvacuationStarted(centre) => {
                tracing::info!(data_centre = %centre, "evacuation starts");
                self.change_evacuated(|evacuated| evacuated.insert(centre));
            }
            FeedChange::EvacuationEnded(centre) => {
                tracing::info!(data_centre = %centre, "evacuation ends");
                self.change_evacuated(|evacuated| evacuated.remove(&centre));
            }
        }
    }

    fn log_listed(&self, record: &UpstreamRecord) {
        tracing::info!(
            upstream = %record.name,
            leaving = record.leaving,
            cold_ms = record.cold_for.as_millis() as u64,
            revision = self.revision,
            "upstream listed"
        );
    }

    fn log_unlisted(&self, name: &UpstreamName) {
        tracing::info!(upstream = %name, revision = self.revision, "upstream unlisted");
    }

    fn change_evacuated(&mut self, change: impl FnOnce(&mut BTreeSet<DataCentreName>) -> bool) {
        let mut evacuated = self.table.evacuated().clone();
        change(&mut evacuated);
        self.table.set_evacuated(evacuated);
    }
}
