//! What the VMs know together of one suspected request.

use serde::{Deserialize, Serialize};

use crate::opaque::affinity::UpstreamTag;
use crate::opaque::request_fingerprint::RequestFingerprint;

/// How many ends are kept of one request: one more than suffice to refuse it.
pub const MAX_EXITS: usize = 4;
/// How many trials are counted. With the longest pause between them that is hours.
pub const MAX_PROBES: u8 = 32;
/// How often a request can have been spoken for, as far as another VM is believed. Each time takes an end of an
/// upstream and an answer.
const MAX_EXONERATIONS: u32 = 1_000_000;

/// A record of another VM that is not taken in
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum RecordError {
    /// more ends than are kept: {0}
    TooManyExits(usize),
    /// ends that are not in order, or doubled
    Unordered,
    /// more trials than are counted: {0}
    TooManyProbes(u8),
    /// more pardons than can have been: {0}
    TooManyExonerations(u32),
}

/// What the VMs know together of one suspected request.
///
/// Records of one request are joined; the outcome depends neither on their order nor on how often each is heard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The request.
    #[serde(rename = "print")]
    pub fingerprint: RequestFingerprint,
    /// How often a whole answer has spoken for it. All ends before that are forgiven.
    #[serde(rename = "pardons")]
    pub exonerations: u32,
    /// The upstreams that ended under it since, in order, at most [`MAX_EXITS`]. Several VMs that saw the same end name the
    /// same upstream.
    #[serde(rename = "ends")]
    pub exits: Vec<UpstreamTag>,
    /// How many trials were begun since.
    #[serde(rename = "trials")]
    pub probes: u8,
    /// How many ends answers have cleared it of in all. A request that some upstreams answer and others end under has many.
    #[serde(rename = "cleared")]
    pub cleared_exits: u8,
}

impl SuspectRecord {
    /// A record of a request that nothing is known of.
    pub fn new(fingerprint: RequestFingerprint) -> Self {
        Self { fingerprint, exonerations: 0, exits: Vec::new(), probes: 0, cleared_exits: 0 }
    }

    /// Checks a record that came from another VM.
    ///
    /// # Errors
    ///
    /// When no sound VM can have made it.
    pub fn check(&self) -> Result<(), RecordError> {
        if self.exits.len() > MAX_EXITS {
            return Err(RecordError::TooManyExits(self.exits.len()));
        }
        if !self.exits.windows(2).all(|pair| pair[0] < pair[1]) {
            return Err(RecordError::Unordered);
        }
        if self.probes > MAX_PROBES {
            return Err(RecordError::TooManyProbes(self.probes));
        }
        if self.exonerations > MAX_EXONERATIONS {
            return Err(RecordError::TooManyExonerations(self.exonerations));
        }
        Ok(())
    }

    /// Takes in that an upstream ended under it.
    pub fn add_exit(&mut self, upstream: UpstreamTag) {
        if let Err(at) = self.exits.binary_search(&upstream) {
            self.exits.insert(at, upstream);
            // The first ones in order, so that all VMs keep the same ones.
            self.exits.truncate(MAX_EXITS);
        }
    }

    /// Takes in that a trial has begun.
    pub fn add_probe(&mut self) {
        self.probes = (self.probes + 1).min(MAX_PROBES);
    }

    /// Forgives everything so far.
    pub fn exonerate(&mut self) {
        let exonerated = u8::try_from(self.exits.len()).unwrap_or(u8::MAX);
        let cleared_exits = self.cleared_exits.saturating_add(exonerated);
        *self = Self {
            exonerations: self.exonerations + 1,
            cleared_exits,
            ..Self::new(self.fingerprint)
        };
    }

    /// Joins what another VM knows of the same request. Returns whether that was news.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        if other.exonerations > self.exonerations {
            self.clone_from(other);
        }
        if other.exonerations == self.exonerations {
            other.exits.iter().for_each(|exit| self.add_exit(*exit));
            self.probes = self.probes.max(other.probes);
        }
        self.cleared_exits = before.cleared_exits.max(other.cleared_exits);
        *self != before
    }
}
