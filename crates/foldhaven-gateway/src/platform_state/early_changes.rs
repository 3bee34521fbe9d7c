//! Changes that were heard before others that precede them. What keeps requests from going wrong, such as an
//! upstream that leaves, is put in force at once: it must not wait behind a large description.

use crate::feed::{ChangeSubject, FeedChange, NumberedChange};

/// How many are held; others wait for their turn. They are few: all of them are dropped once what precedes them
/// is known.
const MAX_EARLY: usize = 1_024;

/// Changes in force ahead of their turn, in the order of their revisions.
#[derive(Debug, Default)]
pub struct EarlyChanges {
    held: Vec<NumberedChange>,
}

impl EarlyChanges {
    /// Whether a change may be put in force although others before it are not known. A description may
    /// not: its versions go upwards only.
    pub fn may_apply_early(change: &FeedChange) -> bool {
        change.is_urgent() && change.subject() != ChangeSubject::Description
    }

    /// Holds a change that is ahead of a revision. Returns it if it is new and the last about its subject.
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

    /// Drops what has had its turn with a revision. The rest is to be put in force again, since changes
    /// before it may have undone it.
    pub fn drop_through(&mut self, known: u64) -> Vec<FeedChange> {
        self.held.retain(|held| held.revision > known);
        self.held.iter().map(|held| held.change.clone()).collect()
    }
}
