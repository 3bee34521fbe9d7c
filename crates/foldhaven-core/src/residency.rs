//! Residency: in which regions a request may run, and whether a forwarded one may be run here.

use std::collections::BTreeSet;

use crate::description::{DescriptionIndex, DescriptionStamp, ResidencyConfig};
use crate::ids::{DataCentreName, RegionName};
use crate::refusal::RefusalReason;

/// A residency rule, ready for look-ups.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResidencyRule {
    regions: BTreeSet<RegionName>,
    home: bool,
}

impl ResidencyRule {
    /// Prepares a rule of the description.
    pub fn new(config: &ResidencyConfig) -> Self {
        Self { regions: config.regions.iter().cloned().collect(), home: config.home }
    }

    /// Whether a request of an account with this home may run in `region`.
    pub fn permits(&self, home: &RegionName, region: &RegionName) -> bool {
        (self.home && home == region) || self.regions.contains(region)
    }
}

/// Where a place is looked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearchScope<'a> {
    /// In every region, as the origin of a request does.
    Anywhere,
    /// In one data centre, as the receiver of a forwarded request does.
    DataCentre(&'a DataCentreName),
}

/// A request for which no place was found.
#[derive(Debug, Clone, Copy)]
pub struct UnroutableRequest<'a> {
    /// The residency rule that holds.
    pub rule: &'a ResidencyRule,
    /// The home of its account.
    pub home: &'a RegionName,
    /// Where a place was looked for.
    pub scope: SearchScope<'a>,
}

impl UnroutableRequest<'_> {
    /// Whether the description forbids the request wherever a place was looked for. A data centre that it does not name
    /// is not forbidden: this may be an old description.
    pub fn is_forbidden(&self, index: &DescriptionIndex) -> bool {
        let permits = |region: &RegionName| self.rule.permits(self.home, region);
        match self.scope {
            SearchScope::Anywhere => {
                !index.description.regions.iter().any(|region| permits(&region.name))
            }
            SearchScope::DataCentre(centre) => {
                index.region_of(centre).is_some_and(|region| !permits(region))
            }
        }
    }

    /// Why it is refused. [`RefusalReason::Residency`] tells a caller not to come back, so it is never given for a lack of
    /// engines, instances or reports.
    pub fn reason(&self, index: &DescriptionIndex) -> RefusalReason {
        match self.is_forbidden(index) {
            true => RefusalReason::Residency,
            false => RefusalReason::NoUpstream,
        }
    }
}

/// What a forwarded request says of its path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardPath {
    /// The data centres that the request has been in, the origin's first.
    pub visited: Vec<DataCentreName>,
    /// The stamp of the description that the sender decided by.
    pub stamp: DescriptionStamp,
}

/// Why a receiver refuses a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum ForwardFault {
    /// the request says of no data centre that it came from one
    NoPath,
    /// the request has been in {0} data centres, and only its origin may forward it
    TooLong(usize),
    /// the request has been in this data centre
    Loop,
    /// the sender decided by description {theirs}, newer than {ours} here
    SenderNewer {
        /// The sender's stamp.
        theirs: DescriptionStamp,
        /// The stamp in force here.
        ours: DescriptionStamp,
    },
}

/// Checks the path of a forwarded request against this data centre and the description in force.
///
/// A request that passes may still be refused by residency, which the receiver checks against its
/// own description: that is the newer of the two, or the same.
///
/// # Errors
///
/// The first fault found. [`ForwardFault::SenderNewer`] goes away once the receiver has the
/// sender's description.
pub fn check_forward(
    path: &ForwardPath,
    here: &DataCentreName,
    ours: DescriptionStamp,
) -> Result<(), ForwardFault> {
    match path.visited.as_slice() {
        [] => return Err(ForwardFault::NoPath),
        [origin] if origin == here => return Err(ForwardFault::Loop),
        [_] => {}
        [.., last] if last == here => return Err(ForwardFault::Loop),
        more => return Err(ForwardFault::TooLong(more.len())),
    }
    if path.stamp > ours {
        return Err(ForwardFault::SenderNewer { theirs: path.stamp, ours });
    }
    Ok(())
}
