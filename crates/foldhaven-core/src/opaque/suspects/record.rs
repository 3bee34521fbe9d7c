//! What the VMs know together of one suspected request.

use serde::{Deserialize, Serialize};

use crate::opaque::affinity::UpstreamTag;
use crate::opaque::request_print::RequestPrint;

/// How many ends are kept of one request: one more than suffice to refuse it.
pub const MAX_ENDS: usize = 4;
/// How many trials are counted. With the longest pause between them that is hours.
pub const MAX_TRIALS: u8 = 32;
/// How often a request can have been spoken for, as far as another VM is believed. Each time takes an end of an
/// upstream and an answer.
const MAX_PARDONS: u32 = 1_000_000;

/// A record of another VM that is not taken in
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum RecordFault {
    /// more ends than are kept: {0}
    Ends(usize),
    /// ends that are not in order, or doubled
    Order,
    /// more trials than are counted: {0}
    Trials(u8),
    /// more pardons than can have been: {0}
    Pardons(u32),
}

/// What the VMs know together of one suspected request.
///
/// Records of one request are joined; the outcome depends neither on their order nor on how often each is heard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The request.
    pub print: RequestPrint,
    /// How often a whole answer has spoken for it. All ends before that are forgiven.
    pub pardons: u32,
    /// The upstreams that ended under it since, in order, at most [`MAX_ENDS`]. Several VMs that saw the same end name the
    /// same upstream.
    pub ends: Vec<UpstreamTag>,
    /// How many trials were begun since.
    pub trials: u8,
    /// How many ends answers have cleared it of in all. A request that some upstreams answer and others end under has many.
    pub cleared: u8,
}

impl SuspectRecord {
    /// A record of a request that nothing is known of.
    pub fn new(print: RequestPrint) -> Self {
        Self { print, pardons: 0, ends: Vec::new(), trials: 0, cleared: 0 }
    }

    /// Checks a record that came from another VM.
    ///
    /// # Errors
    ///
    /// When no sound VM can have made it.
    pub fn check(&self) -> Result<(), RecordFault> {
        if self.ends.len() > MAX_ENDS {
            return Err(RecordFault::Ends(self.ends.len()));
        }
        if !self.ends.windows(2).all(|pair| pair[0] < pair[1]) {
            return Err(RecordFault::Order);
        }
        if self.trials > MAX_TRIALS {
            return Err(RecordFault::Trials(self.trials));
        }
        if self.pardons > MAX_PARDONS {
            return Err(RecordFault::Pardons(self.pardons));
        }
        Ok(())
    }

    /// Takes in that an upstream ended under it.
    pub fn add_end(&mut self, upstream: UpstreamTag) {
        if let Err(at) = self.ends.binary_search(&upstream) {
            self.ends.insert(at, upstream);
            // The first ones in order, so that all VMs keep the same ones.
            self.ends.truncate(MAX_ENDS);
        }
    }

    /// Takes in that a trial has begun.
    pub fn add_trial(&mut self) {
        self.trials = (self.trials + 1).min(MAX_TRIALS);
    }

    /// Forgives everything so far.
    pub fn pardon(&mut self) {
        let forgiven = u8::try_from(self.ends.len()).unwrap_or(u8::MAX);
        let cleared = self.cleared.saturating_add(forgiven);
        *self = Self { pardons: self.pardons + 1, cleared, ..Self::new(self.print) };
    }

    /// Joins what another VM knows of the same request. Returns whether that was news.
    pub fn join(&mut self, other: &Self) -> bool {
        let before = self.clone();
        if other.pardons > self.pardons {
            self.clone_from(other);
        }
        if other.pardons == self.pardons {
            other.ends.iter().for_each(|end| self.add_end(*end));
            self.trials = self.trials.max(other.trials);
        }
        self.cleared = before.cleared.max(other.cleared);
        *self != before
    }
}
