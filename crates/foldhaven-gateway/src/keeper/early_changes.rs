//! Changes that were heard before others that precede them. What keeps requests from going wrong, such as an
//! upstream that leaves, is put in force at once: it must not wait behind a large description.

use std::collections::BTreeMap;

use crate::feed::{ChangeSubject, CountedChange, FeedChange};

/// How many are held. They are few: all of them are dropped once what precedes them is known.
const MAX_EARLY: usize = 256;

/// Changes in force ahead of their turn, by their revisions.
#[derive(Debug, Default)]
pub struct EarlyChanges {
    held: BTreeMap<u64, FeedChange>,
}

impl EarlyChanges {
    /// Whether a change may be put in force although others before it are not known. A description may
    /// not: its versions go upwards only.
    pub fn may_precede(change: &FeedChange) -> bool {
        change.is_urgent() && change.subject() != ChangeSubject::Description
    }

    /// Holds a change that is ahead of a revision. Returns it if it is new and the last about its subject.
    pub fn hold(&mut self, counted: CountedChange, known: u64) -> Option<FeedChange> {
        let CountedChange { revision, change } = counted;
        let is_ahead = revision > known && !self.held.contains_key(&revision);
        if !is_ahead || !Self::may_precede(&change) || self.held.len() >= MAX_EARLY {
            return None;
        }
        let mut later = self.held.range(revision..).map(|(_, held)| held.subject());
        let is_last = !later.any(|subject| subject == change.subject());
        self.held.insert(revision, change.clone());
        is_last.then_some(change)
    }

    /// Drops what has had its turn with a revision. The rest is to be put in force again, since changes
    /// before it may have undone it.
    pub fn drop_until(&mut self, known: u64) -> Vec<FeedChange> {
        self.held = self.held.split_off(&(known + 1));
        self.held.values().cloned().collect()
    }
}
