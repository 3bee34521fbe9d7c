//! Keeps the newest platform changes, so that a VM that missed some can get just those.

use std::collections::BTreeSet;
use std::sync::Arc;

use foldhaven_core::ids::DataCentreName;
use foldhaven_core::opaque::route_table::RouteTable;
use foldhaven_core::opaque::upstream_table::{UpstreamList, UpstreamRecord};
use foldhaven_core::time::MonoTime;
use imbl::Vector;

use crate::feed::{
    ChangeSet, FeedChange, FeedSnapshot, NumberedChange, PeerState, drop_superseded,
};

/// Maximum weight of the log, counted in changes and in the routes that they write or remove. A VM
/// that is further behind gets the whole state.
const MAX_WEIGHT: usize = 2_048;

/// The newest changes, in the order of their revisions. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct ChangeLog {
    /// The log contains all changes after this revision.
    after: u64,
    changes: Vector<Arc<NumberedChange>>,
    /// The sum of the weights of all changes.
    weight: usize,
}

impl ChangeLog {
    /// Clears the log after a snapshot of this revision was applied.
    pub fn reset(&mut self, revision: u64) {
        *self = Self { after: revision, ..Self::default() };
    }

    /// Appends a change, and drops the oldest ones if the log is too large.
    pub fn push(&mut self, change: NumberedChange) {
        self.weight += weight_of(&change.change);
        self.changes.push_back(Arc::new(change));
        while self.weight > MAX_WEIGHT
            && let Some(dropped) = self.changes.pop_front()
        {
            self.weight -= weight_of(&dropped.change);
            self.after = dropped.revision;
        }
    }

    /// Returns the revision of the newest change, or the one after which the log is complete if the
    /// log is empty.
    pub fn last_revision(&self) -> u64 {
        self.changes.last().map_or(self.after, |change| change.revision)
    }

    /// Returns the changes after a revision without superseded ones, or `None` if the log does not
    /// go back that far.
    pub fn since(&self, after: u64) -> Option<Vec<NumberedChange>> {
        if after < self.after {
            return None;
        }
        let newer = self.changes.iter().filter(|change| change.revision > after);
        match drop_superseded(newer.map(Arc::as_ref)) {
            Ok(changes) => Some(changes),
            Err(error) => {
                tracing::error!(after, error = %error, "changes in the log do not follow each other");
                None
            }
        }
    }
}

/// Returns the weight of a change. Descriptions are kept as deltas, which weigh as much as the
/// routes that they touch.
fn weight_of(change: &FeedChange) -> usize {
    1 + match change {
        FeedChange::Description(description) => {
            let accounts = description.accounts.as_ref().map_or(0, |it| it.accounts.len());
            description.routes.len() + accounts
        }
        FeedChange::DescriptionDelta(delta) => delta.size(),
        _ => 0,
    }
}

/// What a VM that fetches the platform state understands. Earlier daemons do not understand all of
/// it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StateFormat {
    /// Whether it understands deltas that span several versions of the description.
    pub accepts_spanning: bool,
    /// Whether it reads the software versions of upstreams.
    pub accepts_software: bool,
}

/// The platform state that other VMs can fetch from this one.
#[derive(Debug)]
pub struct StateOffer {
    /// The revision of the state.
    pub revision: u64,
    /// The current description.
    pub routes: Arc<RouteTable>,
    /// The digest of the description.
    pub digest: u64,
    /// The listed upstreams.
    pub upstreams: UpstreamList,
    /// When the state was current. Remaining cold times are given for this moment.
    pub taken_at: MonoTime,
    /// The data centres whose upstreams get no requests.
    pub evacuated: BTreeSet<DataCentreName>,
    /// The newest changes.
    pub log: ChangeLog,
}

impl StateOffer {
    /// Returns the answer for a VM that knows all changes up to `known`, or no state at all if
    /// `known` is `None`.
    pub fn state_after(&self, known: Option<u64>, format: StateFormat) -> PeerState {
        let changes = known.and_then(|after| Some((after, self.log.since(after)?)));
        match changes {
            Some((after, mut changes)) => {
                if !format.accepts_software {
                    changes.iter_mut().for_each(|numbered| drop_software(&mut numbered.change));
                }
                let revision = self.revision.max(after);
                let set = ChangeSet { after, revision, changes };
                let through = set.spanned_versions();
                match format.accepts_spanning && !through.is_empty() {
                    true => PeerState::SpanningChanges(set, through),
                    false => PeerState::Changes(set),
                }
            }
            None if format.accepts_software => PeerState::of_versioned_snapshot(self.snapshot()),
            None => PeerState::of_snapshot(self.snapshot()),
        }
    }

    fn snapshot(&self) -> FeedSnapshot {
        FeedSnapshot {
            revision: self.revision,
            description: Some(self.routes.description().clone()),
            upstreams: self.upstreams.records(self.taken_at),
            unusable: BTreeSet::new(),
            evacuated: self.evacuated.clone(),
        }
    }
}

/// Removes the software version from the record of an upstream.
fn drop_software(change: &mut FeedChange) {
    if let FeedChange::UpstreamWritten(UpstreamRecord { software, .. }) = change {
        *software = None;
    }
}
