//! Keeps the newest changes of the platform, so that a VM that missed some can be told just those.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use foldhaven_core::ids::DataCentreName;
use foldhaven_core::opaque::route_table::RouteTable;
use foldhaven_core::opaque::upstream_table::UpstreamRecord;

use crate::feed::{
    ChangeSet, FeedChange, FeedSnapshot, NumberedChange, PeerState, drop_superseded,
};

/// How much is kept: changes, and the routes that they write or remove. A VM that is further behind is
/// told everything.
const MAX_WEIGHT: usize = 2_048;

/// The newest changes.
#[derive(Debug, Clone, Default)]
pub struct ChangeLog {
    /// The revision after which no change is missing here.
    after: u64,
    changes: VecDeque<Arc<NumberedChange>>,
    /// The sum of the weights of all changes.
    weight: usize,
}

impl ChangeLog {
    /// Begins anew: everything up to a revision was taken over as a whole.
    pub fn reset(&mut self, revision: u64) {
        *self = Self { after: revision, ..Self::default() };
    }

    /// Keeps one more change.
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

    /// The revision of the newest change; there was none since.
    pub fn last_revision(&self) -> u64 {
        self.changes.back().map_or(self.after, |change| change.revision)
    }

    /// The changes after a revision, without what later ones supersede; nothing when some of them are not
    /// kept.
    pub fn since(&self, after: u64) -> Option<Vec<NumberedChange>> {
        if after < self.after {
            return None;
        }
        let newer = self.changes.iter().filter(|change| change.revision > after);
        match drop_superseded(newer.map(Arc::as_ref)) {
            Ok(changes) => Some(changes),
            Err(error) => {
                tracing::error!(after, error = %error, "kept changes do not follow each other");
                None
            }
        }
    }
}

/// Descriptions are kept as differences, whose size is that of the routes they touch.
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

/// What other VMs may take over from this one.
#[derive(Debug)]
pub struct StateOffer {
    /// The platform's count of changes that all of it is of.
    pub revision: u64,
    /// The description in force.
    pub routes: Arc<RouteTable>,
    /// Its digest.
    pub digest: u64,
    /// The upstreams as they are listed.
    pub upstreams: Vec<UpstreamRecord>,
    /// The data centres whose upstreams get nothing.
    pub evacuated: BTreeSet<DataCentreName>,
    /// The newest changes.
    pub log: ChangeLog,
}

impl StateOffer {
    /// What a VM is told that knows the changes up to a revision, or none, and understands differences that span several versions
    /// or not.
    pub fn state_after(&self, known: Option<u64>, accepts_spanning: bool) -> PeerState {
        let changes = known.and_then(|after| Some((after, self.log.since(after)?)));
        match changes {
            Some((after, changes)) => {
                let revision = self.revision.max(after);
                let set = ChangeSet { after, revision, changes };
                let through = set.spanned_versions();
                match accepts_spanning && !through.is_empty() {
                    true => PeerState::SpanningChanges(set, through),
                    false => PeerState::Changes(set),
                }
            }
            None => PeerState::of_snapshot(self.snapshot()),
        }
    }

    fn snapshot(&self) -> FeedSnapshot {
        FeedSnapshot {
            revision: self.revision,
            description: Some(self.routes.description().clone()),
            upstreams: self.upstreams.clone(),
            unusable: BTreeSet::new(),
            evacuated: self.evacuated.clone(),
        }
    }
}
