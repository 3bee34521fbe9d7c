//! The event numberings that were learned, by route and software version. Their number is bounded.

use std::collections::HashMap;

use crate::ids::RouteName;
use crate::opaque::event_sequence::{EventSequenceChecker, LearnedNumbering};
use crate::opaque::peer_table::ServiceTag;
use crate::opaque::software::SoftwareTag;

/// Maximum number of numberings that are remembered.
pub const MAX_NUMBERINGS: usize = 4_096;
/// The part of them, as a divisor, that is dropped when there are more: the least recently used.
const DROPPED_PART: usize = 4;

/// Identifies streams whose events are numbered in the same way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct NumberingKey {
    /// The route of the streams.
    pub route: RouteName,
    /// The service of the upstreams.
    pub service: ServiceTag,
    /// The software of the upstreams.
    pub software: SoftwareTag,
}

#[derive(Debug, Default)]
struct NumberingEntry {
    numbering: LearnedNumbering,
    /// The count of uses of the table at the last use of the entry.
    used: u64,
}

/// The numberings of all routes and software versions. Nothing is learned about software that is
/// not known, since it may be that of several versions.
#[derive(Debug, Default)]
pub struct NumberingTable {
    entries: HashMap<NumberingKey, NumberingEntry>,
    uses: u64,
}

impl NumberingTable {
    /// Returns the checker for a stream. `resumed_after` is the id after which it was resumed.
    pub fn checker(
        &mut self,
        key: &NumberingKey,
        resumed_after: Option<&str>,
    ) -> EventSequenceChecker {
        let learned = self.entry(key).map(|numbering| *numbering).unwrap_or_default();
        EventSequenceChecker::of_learned(&learned, resumed_after)
    }

    /// Records a complete stream.
    pub fn record_stream(&mut self, key: &NumberingKey, checker: &EventSequenceChecker) {
        if key.software == SoftwareTag::UNKNOWN || !checker.is_informative() {
            return;
        }
        if !self.entries.contains_key(key) {
            self.make_room();
            self.entries.insert(key.clone(), NumberingEntry::default());
        }
        if let Some(numbering) = self.entry(key) {
            numbering.record_stream(checker.numbering());
        }
    }

    /// Whether complete streams of the same software number their events as `checker` expected.
    pub fn suspects_gap(&mut self, key: &NumberingKey, checker: &EventSequenceChecker) -> bool {
        self.entry(key).is_some_and(|numbering| numbering.suspects_gap(checker))
    }

    /// Whether complete streams of the same software make a gap likely where `checker` suspects one.
    pub fn confirm_gap(&mut self, key: &NumberingKey, checker: &EventSequenceChecker) -> bool {
        self.entry(key).is_some_and(|numbering| numbering.confirm_gap(checker))
    }

    /// Returns the number of numberings that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no numbering is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn entry(&mut self, key: &NumberingKey) -> Option<&mut LearnedNumbering> {
        self.uses += 1;
        let entry = self.entries.get_mut(key)?;
        entry.used = self.uses;
        Some(&mut entry.numbering)
    }

    /// Drops the least recently used entries if there is no room for another one.
    fn make_room(&mut self) {
        if self.entries.len() < MAX_NUMBERINGS {
            return;
        }
        let mut uses: Vec<u64> = self.entries.values().map(|entry| entry.used).collect();
        let (_, oldest_kept, _) = uses.select_nth_unstable(MAX_NUMBERINGS / DROPPED_PART);
        let oldest_kept = *oldest_kept;
        self.entries.retain(|_, entry| entry.used >= oldest_kept);
    }
}
