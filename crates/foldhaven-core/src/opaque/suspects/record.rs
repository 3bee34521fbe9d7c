//! The record of one suspected request that all VMs share.

use serde::{Deserialize, Serialize};

use super::policy::SuspectPolicy;
use crate::opaque::affinity::UpstreamTag;
use crate::opaque::request_fingerprint::RequestFingerprint;

/// Maximum number of probes counted. With the longest delay between them that is hours.
pub const MAX_PROBES: u8 = 32;
/// Maximum number of exonerations that a record of another VM may claim. Each one takes an exit of
/// an upstream and an answer.
const MAX_EXONERATIONS: u32 = 1_000_000;

/// A record of another VM that is not accepted
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum RecordError {
    /// more exits than are kept: {0}
    TooManyExits(usize),
    /// exits that are out of order or duplicated
    Unordered,
    /// more probes than are counted: {0}
    TooManyProbes(u8),
    /// more exonerations than are possible: {0}
    TooManyExonerations(u32),
}

/// What the VMs know together about one suspect: a request, or a segment of prompts.
///
/// Records of the same suspect are merged. The result depends neither on their order nor on how
/// often each one is received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// Fingerprint of the request.
    #[serde(rename = "print")]
    pub fingerprint: RequestFingerprint,
    /// Number of times a complete answer has exonerated the request. All exits before that are
    /// dropped.
    #[serde(rename = "pardons")]
    pub exonerations: u32,
    /// Upstreams that exited since the last exoneration with the request in flight, sorted, at most
    /// as many as the policy keeps. VMs that saw the same exit name the same upstream.
    #[serde(rename = "ends")]
    pub exits: Vec<UpstreamTag>,
    /// Number of probes started since the last exoneration.
    #[serde(rename = "trials")]
    pub probes: u8,
    /// Number of exits that complete answers have cleared the request of, in total. It is high for
    /// a request that some upstreams answer and that crashes others.
    #[serde(rename = "cleared")]
    pub cleared_exits: u8,
}

impl SuspectRecord {
    /// Creates the record of a request of which nothing is known.
    pub fn new(fingerprint: RequestFingerprint) -> Self {
        Self { fingerprint, exonerations: 0, exits: Vec::new(), probes: 0, cleared_exits: 0 }
    }

    /// Checks a record received from another VM.
    ///
    /// # Errors
    ///
    /// Returns an error if no correct VM can have made the record.
    pub fn check(&self, policy: &SuspectPolicy) -> Result<(), RecordError> {
        if self.exits.len() > policy.max_exits {
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

    /// Adds an upstream that exited with the request in flight.
    pub fn add_exit(&mut self, upstream: UpstreamTag, policy: &SuspectPolicy) {
        if let Err(at) = self.exits.binary_search(&upstream) {
            self.exits.insert(at, upstream);
            // Keeps the lowest tags, so that all VMs keep the same ones.
            self.exits.truncate(policy.max_exits);
        }
    }

    /// Counts the start of a probe.
    pub fn add_probe(&mut self) {
        self.probes = (self.probes + 1).min(MAX_PROBES);
    }

    /// Exonerates the request: drops its exits and probes.
    pub fn exonerate(&mut self) {
        let exonerated = u8::try_from(self.exits.len()).unwrap_or(u8::MAX);
        let cleared_exits = self.cleared_exits.saturating_add(exonerated);
        *self = Self {
            exonerations: self.exonerations + 1,
            cleared_exits,
            ..Self::new(self.fingerprint)
        };
    }

    /// Merges another VM's record of the same request. Returns whether that changed this record.
    pub fn merge(&mut self, other: &Self, policy: &SuspectPolicy) -> bool {
        let before = self.clone();
        if other.exonerations > self.exonerations {
            self.clone_from(other);
        }
        if other.exonerations == self.exonerations {
            other.exits.iter().for_each(|exit| self.add_exit(*exit, policy));
            self.probes = self.probes.max(other.probes);
        }
        self.cleared_exits = before.cleared_exits.max(other.cleared_exits);
        *self != before
    }
}
