//! A position in the history of the platform.
//!
//! The platform counts its changes. If it comes back from a copy of its data, the count goes back
//! and the same numbers are given to other changes. Each such return begins a new era, so that
//! positions of different eras can be compared.

use std::fmt;
use std::str::FromStr;

/// Number of revisions in one era of a packed position. It is a power of ten, so that both parts
/// can be read in logs.
const REVISIONS_PER_ERA: u64 = 1_000_000_000_000;

/// A position in the history of the platform: all changes up to it are known. Ordered by era, then
/// by revision.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FeedPosition {
    /// The number of times that the platform came back from a copy.
    pub era: u64,
    /// The platform's count of changes in this era.
    pub revision: u64,
}

impl FeedPosition {
    /// Returns the position of a packed one.
    pub fn from_packed(packed: u64) -> Self {
        Self { era: packed / REVISIONS_PER_ERA, revision: packed % REVISIONS_PER_ERA }
    }

    /// Returns the position as one number with the same order. VMs exchange it, and store it as the
    /// revision of their state. In era 0 it is the revision itself.
    pub fn packed(self) -> u64 {
        let era = self.era.min(u64::MAX / REVISIONS_PER_ERA - 1);
        era * REVISIONS_PER_ERA + self.revision.min(REVISIONS_PER_ERA - 1)
    }

    /// Whether two packed positions belong to the same era.
    pub fn is_same_era(left: u64, right: u64) -> bool {
        Self::from_packed(left).era == Self::from_packed(right).era
    }
}

impl fmt::Display for FeedPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.era, self.revision)
    }
}

/// The text is not a position of the form `era:revision`
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct InvalidPosition;

impl FromStr for FeedPosition {
    type Err = InvalidPosition;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, revision) = text.split_once(':').ok_or(InvalidPosition)?;
        let era = era.parse().map_err(|_| InvalidPosition)?;
        let revision = revision.parse().map_err(|_| InvalidPosition)?;
        Ok(Self { era, revision })
    }
}
