//! The order of descriptions: generation first, then digest.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::sections::SectionDigest;

/// What a description is called in the order of descriptions.
///
/// Of two descriptions the one with the larger stamp is in force. Two operators who publish the
/// same generation get different digests, so that every daemon prefers the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DescriptionStamp {
    /// The generation that the operator's tool counted up.
    pub generation: u64,
    /// The digest of the content, the parent's stamp included.
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
