//! Applies the platform state that the feed reads, and forwards it to other VMs.

use xtra::{Context, Handler};

use super::ControlActor;
use crate::feed::{ChangeSet, FeedSnapshot, FeedUpdate, NumberedChange};
use crate::platform_state::{AppliedChanges, ApplyContext};

impl Handler<FeedUpdate> for ControlActor {
    type Return = ();

    async fn handle(&mut self, update: FeedUpdate, _: &mut Context<Self>) {
        match update {
            FeedUpdate::Probed { asked_at } => {
                self.publish_deferred();
                return self.shared.set_probed_at(asked_at);
            }
            FeedUpdate::Failed { cause } => return self.record_platform_failure(&cause),
            FeedUpdate::Snapshot { snapshot, is_recent } => {
                let applied = self.apply_snapshot(snapshot);
                if let Some(applied) = applied {
                    if is_recent {
                        self.confirm_revision();
                    }
                    self.announce_changes(applied);
                }
            }
            FeedUpdate::Changes(set) => self.apply_and_announce(set),
        }
        if std::mem::replace(&mut self.is_platform_unreachable, false) {
            tracing::info!(revision = self.platform.revision(), "platform regained");
            self.update_reader_role();
        }
    }
}

impl ControlActor {
    /// Records that the platform could not be read.
    fn record_platform_failure(&mut self, cause: &str) {
        let now = self.now();
        self.platform.table.record_list_failure(now);
        if !std::mem::replace(&mut self.is_platform_unreachable, true) {
            tracing::warn!(cause, revision = self.platform.revision(), "platform lost");
            self.update_reader_role();
        }
    }

    /// Checks whether other VMs report a platform outage. An entry that vanishes from the
    /// platform's lists soon after an outage may merely not have been renewed in time.
    pub(super) fn check_reported_outage(&mut self) {
        let now = self.now();
        let is_reported = self.peers.is_outage_reported(now);
        if is_reported {
            self.platform.table.record_list_failure(now);
        }
        if std::mem::replace(&mut self.is_outage_reported, is_reported) != is_reported {
            tracing::info!(
                is_told = is_reported,
                revision = self.platform.revision(),
                "platform outage reported by other VMs changed"
            );
        }
    }

    /// Applies changes that this VM read itself, and announces the new ones.
    fn apply_and_announce(&mut self, set: ChangeSet) {
        if let Some(applied) = self.apply_changes(set) {
            self.confirm_revision();
            self.announce_changes(applied);
        }
    }

    /// Replaces the platform state by a snapshot, unless the snapshot is older. Returns the changes
    /// to forward to other VMs.
    pub(super) fn apply_snapshot(&mut self, snapshot: FeedSnapshot) -> Option<ChangeSet> {
        let context = self.current_context();
        let applied = self.platform.apply_snapshot(snapshot, context);
        self.publish_metrics();
        self.publish();
        applied
    }

    /// Applies changes. Returns the new ones, to be forwarded to other VMs, or `None` if changes
    /// before them are missing.
    pub(super) fn apply_changes(&mut self, set: ChangeSet) -> Option<ChangeSet> {
        let context = self.current_context();
        let AppliedChanges { changes, is_urgent } = self.platform.apply_changes(set, context)?;
        self.publish_metrics();
        self.needs_publish |= !changes.changes.is_empty();
        match is_urgent {
            true => self.publish(),
            false => self.update_read_assignment(),
        }
        Some(changes)
    }

    /// Applies urgent changes although changes before them are missing.
    pub(super) fn apply_early_changes(&mut self, changes: Vec<NumberedChange>) {
        let now = self.now();
        if self.platform.apply_early_changes(changes, now) {
            self.publish();
        }
    }

    fn current_context(&self) -> ApplyContext {
        let is_late = self.shared.is_possibly_outdated();
        ApplyContext { now: self.now(), lag: self.lag_time(), is_late }
    }

    /// Updates the metrics on the platform state.
    fn publish_metrics(&mut self) {
        let metrics = &self.shared.metrics;
        metrics.set_level("revision", self.platform.revision());
        metrics.set_level("description_version", self.platform.version().0);
        // Gauges are floating point numbers, which are exact up to 53 bits.
        metrics.set_level("description_digest", self.platform.digest() >> 16);
        (0..self.platform.take_unusable_count())
            .for_each(|_| metrics.count_event("upstream_unusable"));
    }
}
