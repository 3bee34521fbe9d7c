//! Versions of descriptions, ordered by generation, then by digest.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::sections::SectionDigest;

/// The version of a description.
///
/// Of two descriptions, daemons adopt the one with the larger stamp. If two operators publish the
/// same generation, the digests differ, so that every daemon prefers the same description.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DescriptionStamp {
    /// The generation, incremented by the operator's tool with each edit.
    pub generation: u64,
    /// The digest of the content, including the parent's stamp.
    pub digest: SectionDigest,
}

impl fmt::Display for DescriptionStamp {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.generation, self.digest)
    }
}

/// A text is not a stamp: `GENERATION-DIGEST` was expected
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct StampError;

impl FromStr for DescriptionStamp {
    type Err = StampError;

    fn from_str(text: &str) -> Result<Self, StampError> {
        let (generation, digest) = text.split_once('-').ok_or(StampError)?;
        Ok(Self {
            generation: generation.parse().map_err(|_| StampError)?,
            digest: digest.parse()?,
        })
    }
}
