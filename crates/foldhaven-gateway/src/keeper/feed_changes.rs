//! Takes in what the platform publishes, as the feed reads it or other VMs tell of it, and passes it on.

use xtra::{Context, Handler};

use super::ControlActor;
use crate::feed::{ChangeSet, CountedChange, FeedSnapshot, FeedUpdate};
use crate::known::{AppliedChanges, ApplyContext};

impl Handler<FeedUpdate> for ControlActor {
    type Return = ();

    async fn handle(&mut self, news: FeedUpdate, _: &mut Context<Self>) {
        match news {
            FeedUpdate::Disturbed { cause } => return self.note_disturbed(&cause),
            FeedUpdate::Snapshot(snapshot) => {
                let taken = self.take_snapshot(snapshot);
                if let Some(taken) = taken {
                    self.note_answer();
                    self.tell_near(taken);
                }
            }
            FeedUpdate::Changes(set) => self.take_and_tell(set),
        }
        if std::mem::replace(&mut self.is_disturbed, false) {
            tracing::info!(revision = self.known.revision(), "platform regained");
            self.set_turn();
        }
    }
}

impl ControlActor {
    /// Notes that the platform could not be read.
    fn note_disturbed(&mut self, cause: &str) {
        let now = self.now();
        self.known.table.note_disturbed(now);
        if !std::mem::replace(&mut self.is_disturbed, true) {
            tracing::warn!(cause, revision = self.known.revision(), "platform lost");
            self.set_turn();
        }
    }

    /// Takes over from other VMs that the platform is away: what vanishes from its lists soon after may
    /// only have failed to renew its entry.
    pub(super) fn note_told_outage(&mut self) {
        let now = self.now();
        let is_told = self.peers.hears_of_outage(now);
        if is_told {
            self.known.table.note_disturbed(now);
        }
        if std::mem::replace(&mut self.is_told_outage, is_told) != is_told {
            tracing::info!(
                is_told,
                revision = self.known.revision(),
                "other VMs tell of a platform outage"
            );
        }
    }

    /// Takes in changes that this VM read itself, and passes on what is new.
    fn take_and_tell(&mut self, set: ChangeSet) {
        if let Some(taken) = self.take_changes(set) {
            self.note_answer();
            self.tell_near(taken);
        }
    }

    /// Replaces what is known by a snapshot, unless the snapshot is older. Returns what of it others are to be told.
    pub(super) fn take_snapshot(&mut self, snapshot: FeedSnapshot) -> Option<ChangeSet> {
        let moment = self.take_moment();
        let taken = self.known.take_snapshot(snapshot, moment);
        self.show_known();
        self.publish();
        taken
    }

    /// Takes in changes. Returns what of them is new, as others are to be told of it; nothing when some before them are
    /// missing.
    pub(super) fn take_changes(&mut self, set: ChangeSet) -> Option<ChangeSet> {
        let moment = self.take_moment();
        let AppliedChanges { changes, is_urgent } = self.known.take_changes(set, moment)?;
        self.show_known();
        self.is_stale |= !changes.changes.is_empty();
        match is_urgent {
            true => self.publish(),
            false => self.set_turn(),
        }
        Some(changes)
    }

    /// Puts changes in force of which some before them are missing.
    pub(super) fn take_early(&mut self, changes: Vec<CountedChange>) {
        let now = self.now();
        if self.known.take_early(changes, now) {
            self.publish();
        }
    }

    fn take_moment(&self) -> ApplyContext {
        ApplyContext { now: self.now(), behind: self.behind_for() }
    }

    /// Shows in the metrics what is known.
    fn show_known(&mut self) {
        let metrics = &self.shared.metrics;
        metrics.set_level("revision", self.known.revision());
        metrics.set_level("description_version", self.known.version().0);
        // Gauges are floating point, exact up to 53 bits.
        metrics.set_level("description_digest", self.known.digest() >> 16);
        (0..self.known.take_unusable_seen()).for_each(|_| metrics.count_event("upstream_unusable"));
    }
}
