//! Takes in what the platform publishes, by whichever way it came.

use std::collections::BTreeSet;
use std::sync::Arc;

use foldhaven_core::ids::{DataCentreName, UpstreamName};
use foldhaven_core::opaque::route_delta::{DeltaError, RouteDelta};
use foldhaven_core::opaque::route_table::{RouteDescription, RouteTable, RouteVersion};
use foldhaven_core::opaque::upstream_table::UpstreamRecord;
use foldhaven_core::time::MonoTime;

use super::description_digest::description_digest;
use super::{EarlyChanges, PlatformKnowledge, TakeMoment, TakenChanges};
use crate::feed::{ChangeSet, ChangeSubject, CountedChange, FeedChange, FeedSnapshot};

impl PlatformKnowledge {
    /// Replaces what is known by a snapshot, unless the snapshot is older. Returns what of it may be in force at
    /// others before they know all of it.
    pub fn take_snapshot(
        &mut self,
        snapshot: FeedSnapshot,
        moment: TakeMoment,
    ) -> Option<ChangeSet> {
        let FeedSnapshot { revision, description, upstreams, unusable, evacuated } = snapshot;
        if revision < self.revision {
            tracing::warn!(held = self.revision, offered = revision, "older state ignored");
            return None;
        }
        self.revision = revision;
        // What came and went since is in no difference: whoever knows less is told everything.
        self.log.reset(revision);
        let replaces = std::mem::replace(&mut self.needs_all, false);
        for name in &unusable {
            self.withdraw(name);
        }
        let difference = self.table.replace(upstreams, moment.now);
        let mut changes = self.change_evacuations(evacuated);
        let upstreams = difference.listed.len();
        changes.extend(difference.listed.into_iter().map(FeedChange::UpstreamWritten));
        changes.extend(difference.unlisted.into_iter().map(FeedChange::UpstreamRemoved));
        match std::mem::replace(&mut self.has_state, true) {
            true => changes.iter().for_each(|change| self.log_change(change)),
            false => tracing::info!(upstreams, revision, "first list of upstreams"),
        }
        let offered = description.as_ref().map(|description| description.version);
        let held = self.routes.as_deref().map(RouteTable::version);
        // When differences do not lead on, the description that is held may be another one of its version.
        let is_newer = offered > held || replaces && offered == held;
        match description.filter(|_| is_newer) {
            Some(description) => drop(self.adopt(description, moment)),
            None => offered.into_iter().for_each(|offered| self.note_older(offered)),
        }
        self.renew_early(moment.now);
        changes.retain(EarlyChanges::may_precede);
        let counted = changes.into_iter().map(|change| CountedChange { revision, change });
        // They follow on nothing before this revision.
        Some(ChangeSet { after: revision, revision, changes: counted.collect() })
    }

    /// Whether nothing is missing between what is known and these changes.
    pub fn follows(&self, set: &ChangeSet) -> bool {
        self.has_state && set.after <= self.revision
    }

    /// Takes in changes. Returns what of them is new, as others are to be told of it; nothing when some
    /// before them are missing.
    pub fn take_changes(&mut self, set: ChangeSet, moment: TakeMoment) -> Option<TakenChanges> {
        if !self.follows(&set) {
            return None;
        }
        let (known, after) = (self.revision, self.log.last_revision());
        let news: Vec<CountedChange> =
            set.changes.into_iter().filter(|counted| counted.revision > known).collect();
        let description = match self.newer_description(&news) {
            Ok(description) => description,
            Err(error) => {
                tracing::warn!(revision = known, error = %error, "everything is asked for");
                self.needs_all = true;
                return None;
            }
        };
        self.revision = known.max(set.revision);
        self.needs_all = false;
        let is_urgent = news.iter().any(|counted| counted.change.is_urgent());
        let mut taken: Vec<CountedChange> = Vec::new();
        let mut described = None;
        for counted in news {
            if counted.change.subject() == ChangeSubject::Description {
                described = Some(counted.revision);
                continue;
            }
            self.log_change(&counted.change);
            self.apply_change(counted.change.clone(), moment.now);
            taken.push(counted);
        }
        let change = match description {
            Some(description) => Some(self.adopt(description, moment)),
            // It came some other way before its turn. Others that follow what is passed on may not have it.
            None => self.held_description().map(FeedChange::Description),
        };
        let described = described.zip(change);
        taken.extend(described.map(|(revision, change)| CountedChange { revision, change }));
        taken.sort_by_key(|counted| counted.revision);
        taken.iter().for_each(|counted| self.log.push(counted.clone()));
        self.renew_early(moment.now);
        let changes = ChangeSet { after, revision: self.revision, changes: taken };
        Some(TakenChanges { changes, is_urgent })
    }

    /// Puts changes in force of which some before them are missing, as far as requests could go wrong until
    /// these are known. Returns whether there are such.
    pub fn take_early(&mut self, changes: Vec<CountedChange>, now: MonoTime) -> bool {
        if !self.has_state {
            return false;
        }
        let known = self.revision;
        let mut is_news = false;
        for counted in changes {
            let revision = counted.revision;
            let Some(change) = self.early.hold(counted, known) else { continue };
            tracing::info!(revision, known, "a change is put in force before its turn");
            self.log_change(&change);
            self.apply_change(change, now);
            is_news = true;
        }
        is_news
    }

    /// Puts in force again what is still ahead of what is known.
    fn renew_early(&mut self, now: MonoTime) {
        for change in self.early.drop_until(self.revision) {
            self.apply_change(change, now);
        }
    }

    /// Puts a description in force that is newer than the one held. Returns what it changes.
    fn adopt(&mut self, description: RouteDescription, moment: TakeMoment) -> FeedChange {
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
            tracing::error!(error = %error, "writing a description failed");
            0
        });
        self.digest = digest;
        self.routes = Some(Arc::new(RouteTable::new(description)));
        tracing::info!(
            version = offered.0,
            before = held.0,
            digest = format!("{digest:016x}"),
            routes,
            touched,
            revision = self.revision,
            behind_ms = moment.behind.as_millis() as u64,
            "description adopted"
        );
        change
    }

    /// The description that changes lead to; nothing when they hold none that is newer than the one held.
    fn newer_description(
        &self,
        changes: &[CountedChange],
    ) -> Result<Option<RouteDescription>, DeltaError> {
        let mut newer: Option<RouteDescription> = None;
        for counted in changes {
            let known = self.routes.as_deref().map(RouteTable::description);
            let known = newer.as_ref().or(known);
            let held = known.map(|known| known.version);
            newer = match (&counted.change, known) {
                (FeedChange::Description(it), _) if held < Some(it.version) => Some((**it).clone()),
                (FeedChange::Description(it), _) => {
                    self.note_older(it.version);
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

    fn note_older(&self, offered: RouteVersion) {
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

    /// Puts a change in force that is not about the description.
    fn apply_change(&mut self, change: FeedChange, now: MonoTime) {
        match change {
            FeedChange::Description(_) | FeedChange::DescriptionDelta(_) => {}
            FeedChange::UpstreamWritten(record) => self.table.put(record, now),
            FeedChange::UpstreamRemoved(name) => self.table.remove(&name, now),
            FeedChange::UpstreamUnusable(name) => self.withdraw(&name),
            FeedChange::EvacuationStarted(centre) => {
                self.change_evacuated(|evacuated| evacuated.insert(centre));
            }
            FeedChange::EvacuationEnded(centre) => {
                self.change_evacuated(|evacuated| evacuated.remove(&centre));
            }
        }
    }

    /// Drops an upstream whose record names none any more.
    fn withdraw(&mut self, name: &UpstreamName) {
        self.unusable_seen += 1;
        self.table.withdraw(name);
    }

    /// Replaces the evacuated data centres. Returns the changes.
    fn change_evacuations(&mut self, evacuated: BTreeSet<DataCentreName>) -> Vec<FeedChange> {
        let held = self.table.evacuated();
        let started = evacuated.difference(held).cloned().map(FeedChange::EvacuationStarted);
        let ended = held.difference(&evacuated).cloned().map(FeedChange::EvacuationEnded);
        let changes = started.chain(ended).collect();
        self.table.set_evacuated(evacuated);
        changes
    }

    fn change_evacuated(&mut self, change: impl FnOnce(&mut BTreeSet<DataCentreName>) -> bool) {
        let mut evacuated = self.table.evacuated().clone();
        change(&mut evacuated);
        self.table.set_evacuated(evacuated);
    }

    fn log_listed(&self, record: &UpstreamRecord) {
        tracing::info!(
            upstream = %record.name,
            birth = record.birth.0,
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
