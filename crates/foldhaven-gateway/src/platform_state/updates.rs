//! Applies updates of the platform state, whatever their source.

use std::collections::BTreeSet;
use std::sync::Arc;

use foldhaven_core::ids::{DataCentreName, SoftwareVersion, UpstreamName};
use foldhaven_core::opaque::feed_position::FeedPosition;
use foldhaven_core::opaque::route_delta::{DeltaError, RouteDelta};
use foldhaven_core::opaque::route_table::{RouteDescription, RouteTable, RouteVersion};
use foldhaven_core::opaque::upstream_table::UpstreamRecord;
use foldhaven_core::time::MonoTime;

use super::description_digest::description_digest;
use super::{AppliedChanges, ApplyContext, EarlyChanges, PlatformState};
use crate::feed::{ChangeSet, ChangeSubject, FeedChange, FeedSnapshot, NumberedChange};

impl PlatformState {
    /// Replaces the state by a snapshot, unless the snapshot is older. Returns those differences
    /// from the state before that other VMs may apply early.
    pub fn apply_snapshot(
        &mut self,
        snapshot: FeedSnapshot,
        context: ApplyContext,
    ) -> Option<ChangeSet> {
        let FeedSnapshot { revision, description, upstreams, unusable, evacuated } = snapshot;
        if revision < self.revision {
            tracing::warn!(held = self.revision, offered = revision, "older snapshot ignored");
            return None;
        }
        // A platform that came back from a copy lacks changes that are known here.
        let is_copy = self.has_state && !FeedPosition::is_same_era(revision, self.revision);
        if is_copy {
            let (held, offered) =
                (FeedPosition::from_packed(self.revision), FeedPosition::from_packed(revision));
            tracing::warn!(%held, %offered, "the platform came back from a copy");
        }
        let is_gap = !self.has_state || revision != self.revision || self.needs_snapshot;
        self.revision = revision;
        // The difference between the states does not show changes that were undone in between, so
        // VMs with an earlier revision get the whole state.
        self.log.reset(revision);
        let is_replacement = std::mem::replace(&mut self.needs_snapshot, false);
        self.unusable.clear();
        for name in &unusable {
            self.withdraw(name, context.now);
        }
        let difference = match is_copy {
            true => self.table.replace_by_copy(upstreams, context.now),
            false => self.table.replace(upstreams, context.now),
        };
        if is_gap {
            // Upstreams may have been listed and removed in between.
            self.table.restart_software_span(revision, context.now);
        }
        let mut changes = self.replace_evacuated(evacuated, is_copy, context.now);
        let upstreams = difference.listed.len();
        changes.extend(difference.listed.into_iter().map(FeedChange::UpstreamWritten));
        // Upstreams that a copy lacks are probably written again.
        let unlisted = difference.unlisted.into_iter().filter(|_| !is_copy);
        changes.extend(unlisted.map(FeedChange::UpstreamRemoved));
        match std::mem::replace(&mut self.has_state, true) {
            true => changes.iter().for_each(|change| self.log_change(change)),
            false => tracing::info!(upstreams, revision, "first list of upstreams"),
        }
        let offered = description.as_ref().map(|description| description.version);
        let held = self.routes.as_deref().map(RouteTable::version);
        // After deltas failed to apply, the known description may differ from the platform's of the
        // same version.
        let is_newer = offered > held || is_replacement && offered == held;
        match description.filter(|_| is_newer) {
            Some(description) => drop(self.install_description(description, context)),
            None => offered.into_iter().for_each(|offered| self.warn_older_description(offered)),
        }
        self.reapply_early_changes(context.now);
        changes.retain(EarlyChanges::may_apply_early);
        let numbered = changes.into_iter().map(|change| NumberedChange { revision, change });
        // The set builds on no earlier revision.
        Some(ChangeSet { after: revision, revision, changes: numbered.collect() })
    }

    /// Returns whether no changes are missing between the known state and a change set. No changes
    /// lead from one era of the platform to another.
    pub fn can_apply(&self, set: &ChangeSet) -> bool {
        let is_one_era = FeedPosition::is_same_era(set.after, self.revision)
            && FeedPosition::is_same_era(set.after, set.revision);
        self.has_state && is_one_era && set.after <= self.revision
    }

    /// Applies changes. Returns the new ones, to be forwarded to other VMs, or `None` if changes
    /// before them are missing.
    pub fn apply_changes(
        &mut self,
        set: ChangeSet,
        context: ApplyContext,
    ) -> Option<AppliedChanges> {
        if !self.can_apply(&set) {
            return None;
        }
        if context.is_late && set.revision > self.revision {
            // Of several changes of an upstream, the set holds only the last one.
            self.table.restart_software_span(set.revision, context.now);
        }
        let (known, after) = (self.revision, self.log.last_revision());
        let new_changes: Vec<NumberedChange> =
            set.changes.into_iter().filter(|numbered| numbered.revision > known).collect();
        let description = match self.newer_description(&new_changes) {
            Ok(description) => description,
            Err(error) => {
                tracing::warn!(revision = known, error = %error, "changes cannot be applied, requesting a snapshot");
                self.needs_snapshot = true;
                return None;
            }
        };
        self.revision = known.max(set.revision);
        self.needs_snapshot = false;
        let is_urgent = new_changes
            .iter()
            .any(|numbered| numbered.change.is_urgent() || self.brings_version(&numbered.change));
        let mut applied: Vec<NumberedChange> = Vec::new();
        let mut described = None;
        for numbered in new_changes {
            if numbered.change.subject() == ChangeSubject::Description {
                described = Some(numbered.revision);
                continue;
            }
            self.log_change(&numbered.change);
            self.apply_change(numbered.clone(), context.now);
            applied.push(numbered);
        }
        let change = match description {
            Some(description) => Some(self.install_description(description, context)),
            // The description arrived earlier by another way. VMs that get the forwarded changes
            // may not have it.
            None => self.held_description().map(FeedChange::Description),
        };
        let described = described.zip(change);
        applied.extend(described.map(|(revision, change)| NumberedChange { revision, change }));
        applied.sort_by_key(|numbered| numbered.revision);
        applied.iter().for_each(|numbered| self.log.push(numbered.clone()));
        self.reapply_early_changes(context.now);
        let changes = ChangeSet { after, revision: self.revision, changes: applied };
        Some(AppliedChanges { changes, is_urgent })
    }

    /// Returns whether a change lists the first upstream of a software version in its service. Streams
    /// must not be resumed without knowing of it.
    fn brings_version(&self, change: &FeedChange) -> bool {
        let FeedChange::UpstreamWritten(record) = change else { return false };
        !self.table.census().has_version(&record.service, &record.software)
    }

    /// Applies changes although their predecessors are missing, if requests could be sent to wrong
    /// destinations without them. Returns whether there were any.
    pub fn apply_early_changes(&mut self, changes: Vec<NumberedChange>, now: MonoTime) -> bool {
        if !self.has_state {
            return false;
        }
        let known = self.revision;
        let mut is_news = false;
        for numbered in changes {
            let revision = numbered.revision;
            let Some(change) = self.early.insert(numbered, known) else { continue };
            tracing::info!(revision, known, "change applied before its predecessors");
            self.log_change(&change);
            self.apply_change(NumberedChange { revision, change }, now);
            is_news = true;
        }
        is_news
    }

    /// Applies the remaining early changes again.
    fn reapply_early_changes(&mut self, now: MonoTime) {
        let revision = self.revision;
        for change in self.early.drop_through(revision) {
            self.apply_change(NumberedChange { revision, change }, now);
        }
    }

    /// Installs a description that is newer than the known one. Returns the change, as a delta to
    /// the known one where possible.
    fn install_description(
        &mut self,
        description: RouteDescription,
        context: ApplyContext,
    ) -> FeedChange {
        let (held, offered) = (self.version(), description.version);
        let routes = description.routes.len();
        let known = self.routes.as_deref().map(RouteTable::description);
        let delta = known.and_then(|known| RouteDelta::between(known, &description));
        let touched = delta.as_ref().map_or(routes, RouteDelta::size);
        let change = match delta {
            Some(delta) => FeedChange::DescriptionDelta(Box::new(delta)),
            None => FeedChange::Description(Box::new(description.clone())),
        };
        let digest = description_digest(&description).unwrap_or_else(|error| {
            tracing::error!(error = %error, "serializing a description failed");
            0
        });
        self.digest = digest;
        let table = Arc::new(RouteTable::new(description));
        let moved = self.routes.as_ref().and_then(|held| held.moved_route(&table));
        if let Some(route) = moved {
            // Streams of the path may have begun at a service that the route no longer uses.
            tracing::info!(route = %route.name, revision = self.revision, "the services of a route have changed");
            self.table.restart_software_span(self.revision, context.now);
        }
        self.routes = Some(table);
        tracing::info!(
            version = offered.0,
            before = held.0,
            digest = format!("{digest:016x}"),
            routes,
            touched,
            revision = self.revision,
            behind_ms = context.lag.as_millis() as u64,
            "description adopted"
        );
        change
    }

    /// Returns the description that results from the changes, or `None` if they contain no newer
    /// one.
    fn newer_description(
        &self,
        changes: &[NumberedChange],
    ) -> Result<Option<RouteDescription>, DeltaError> {
        let mut newer: Option<RouteDescription> = None;
        for numbered in changes {
            let known = self.routes.as_deref().map(RouteTable::description);
            let known = newer.as_ref().or(known);
            let held = known.map(|known| known.version);
            newer = match (&numbered.change, known) {
                (FeedChange::Description(it), _) if held < Some(it.version) => Some((**it).clone()),
                (FeedChange::Description(it), _) => {
                    self.warn_older_description(it.version);
                    continue;
                }
                (FeedChange::DescriptionDelta(it), Some(known)) if it.version() > known.version => {
                    Some(it.apply(known)?)
                }
                (FeedChange::DescriptionDelta(it), None) => {
                    let (after, held) = (it.version(), RouteVersion::default());
                    return Err(DeltaError::Gap { after, base: held });
                }
                _ => continue,
            };
        }
        Ok(newer)
    }

    fn warn_older_description(&self, offered: RouteVersion) {
        let held = self.version();
        if offered < held {
            tracing::warn!(held = held.0, offered = offered.0, "older description ignored");
        }
    }

    fn log_change(&self, change: &FeedChange) {
        match change {
            FeedChange::Description(_) | FeedChange::DescriptionDelta(_) => {}
            FeedChange::UpstreamWritten(record) => self.log_listed(record),
            FeedChange::UpstreamRemoved(name) | FeedChange::UpstreamUnusable(name) => {
                self.log_unlisted(name);
            }
            FeedChange::EvacuationStarted(centre) => {
                tracing::info!(data_centre = %centre, "evacuation starts");
            }
            FeedChange::EvacuationEnded(centre) => {
                tracing::info!(data_centre = %centre, "evacuation ends");
            }
        }
    }

    /// Applies a change that is not about the description.
    fn apply_change(&mut self, numbered: NumberedChange, now: MonoTime) {
        let NumberedChange { revision, change } = numbered;
        match change {
            FeedChange::Description(_) | FeedChange::DescriptionDelta(_) => {}
            FeedChange::UpstreamWritten(record) => {
                self.unusable.remove(&record.name);
                self.table.put(record, now);
            }
            FeedChange::UpstreamRemoved(name) => self.remove_upstream(&name, revision, now),
            FeedChange::UpstreamUnusable(name) => self.withdraw(&name, now),
            FeedChange::EvacuationStarted(centre) => self.table.update_evacuation(centre, true),
            FeedChange::EvacuationEnded(centre) => self.table.update_evacuation(centre, false),
        }
    }

    /// Removes an upstream that is no longer listed. The software of one that was never seen is not
    /// known.
    fn remove_upstream(&mut self, name: &UpstreamName, revision: u64, now: MonoTime) {
        if !self.unusable.remove(name) && !self.table.is_known(name) {
            tracing::info!(upstream = %name, revision, "an upstream left that was never seen listed");
            self.table.restart_software_span(revision.max(self.revision), now);
        }
        self.table.remove(name, now);
    }

    /// Removes an upstream whose record has become invalid.
    fn withdraw(&mut self, name: &UpstreamName, now: MonoTime) {
        self.unusable_count += 1;
        self.unusable.insert(name.clone());
        self.table.withdraw(name, now);
    }

    /// Replaces the evacuated data centres. Returns the changes.
    fn replace_evacuated(
        &mut self,
        evacuated: BTreeSet<DataCentreName>,
        is_copy: bool,
        now: MonoTime,
    ) -> Vec<FeedChange> {
        let held = self.table.evacuated();
        let started = evacuated.difference(held).cloned().map(FeedChange::EvacuationStarted);
        if is_copy {
            let changes = started.collect();
            self.table.set_evacuated_by_copy(evacuated, now);
            return changes;
        }
        let ended = held.difference(&evacuated).cloned().map(FeedChange::EvacuationEnded);
        let changes = started.chain(ended).collect();
        self.table.set_evacuated(evacuated);
        changes
    }

    fn log_listed(&self, record: &UpstreamRecord) {
        tracing::info!(
        upstream = %record.name,
        birth = record.birth.0,
        software = record.software.as_ref().map(SoftwareVersion::as_str),
        leaving = record.leaving,
        cold_ms = record.cold_for.as_millis() as u64,
        revision = self.revision,
        "upstream listed"
        );
    }

    fn log_unlisted(&self, name: &UpstreamName) {
        tracing::info!(upstream = %name, revision = self.revision, "upstream unlisted");
    }
}
