//! Changes that were received before their predecessors. Urgent ones, such as an upstream that is
//! leaving, are applied immediately: they must not wait for a large description.

use crate::feed::{ChangeSubject, FeedChange, NumberedChange};

/// Maximum number of early changes. Further ones are applied in order. There are few, since they
/// are dropped once their predecessors are known.
const MAX_EARLY: usize = 1_024;

/// Changes that were applied early, in the order of their revisions.
#[derive(Debug, Default)]
pub struct EarlyChanges {
    held: Vec<NumberedChange>,
}

impl EarlyChanges {
    /// Returns whether a change may be applied although its predecessors are missing. A description
    /// may not, since its version must never decrease.
    pub fn may_apply_early(change: &FeedChange) -> bool {
        change.is_urgent() && change.subject() != ChangeSubject::Description
    }

    /// Stores a change and returns it if it is to be applied now: it is newer than the revision
    /// `known`, may be applied early, and no later change of the same subject is stored.
    pub fn insert(&mut self, numbered: NumberedChange, known: u64) -> Option<FeedChange> {
        let (revision, change) = (numbered.revision, numbered.change.clone());
        let subject = change.subject();
        let is_held =
            |held: &NumberedChange| held.revision >= revision && held.change.subject() == subject;
        let is_new = revision > known && !self.held.iter().any(is_held);
        if !is_new || !Self::may_apply_early(&change) || self.held.len() >= MAX_EARLY {
            return None;
        }
        self.held.push(numbered);
        self.held.sort_by_key(|held| held.revision);
        Some(change)
    }

    /// Drops the changes up to the revision `known`. Returns the remaining ones, which have to be
    /// applied again, since older changes may have overwritten them.
    pub fn drop_through(&mut self, known: u64) -> Vec<FeedChange> {
        self.held.retain(|held| held.revision > known);
        self.held.iter().map(|held| held.change.clone()).collect()
    }
}
