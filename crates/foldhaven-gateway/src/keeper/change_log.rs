//! Keeps the newest changes of the platform, so that a VM that missed some can be told just those.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::feed::{ChangeSet, CountedChange, FeedSnapshot, PeerState};

/// How many changes are kept. A VM that is further behind is told everything.
const MAX_CHANGES: usize = 512;

/// The newest changes.
#[derive(Debug, Clone, Default)]
pub struct ChangeLog {
    /// The revision after which no change is missing here.
    after: u64,
    changes: VecDeque<Arc<CountedChange>>,
}

impl ChangeLog {
    /// Begins anew: everything up to a revision was taken over as a whole.
    pub fn reset(&mut self, revision: u64) {
        self.after = revision;
        self.changes.clear();
    }

    /// Keeps one more change.
    pub fn push(&mut self, change: CountedChange) {
        self.changes.push_back(Arc::new(change));
        if self.changes.len() > MAX_CHANGES
            && let Some(dropped) = self.changes.pop_front()
        {
            self.after = dropped.revision;
        }
    }

    /// The changes after a revision; nothing when some of them are not kept.
    pub fn since(&self, after: u64) -> Option<Vec<CountedChange>> {
        let newer = self.changes.iter().filter(|change| change.revision > after);
        (after >= self.after).then(|| newer.map(|change| CountedChange::clone(change)).collect())
    }
}

/// What other VMs may take over from this one.
#[derive(Debug)]
pub struct StateOffer {
    /// Everything.
    pub snapshot: FeedSnapshot,
    /// The newest changes.
    pub log: ChangeLog,
}

impl StateOffer {
    /// What a VM is told that knows the changes up to a revision, or none.
    pub fn state_after(&self, known: Option<u64>) -> PeerState {
        let Some(after) = known else { return PeerState::Snapshot(self.snapshot.clone()) };
        match self.log.since(after) {
            Some(changes) => {
                let revision = self.snapshot.revision.max(after);
                PeerState::Changes(ChangeSet { after, revision, changes })
            }
            None => PeerState::Snapshot(self.snapshot.clone()),
        }
    }
}
