//! Residency: the regions in which a request may run, and the checks of a forwarded request.

use std::collections::BTreeSet;

use crate::description::{DescriptionIndex, DescriptionStamp, ResidencyConfig};
use crate::ids::{DataCentreName, RegionName};
use crate::refusal::RefusalReason;

/// A residency rule, prepared for lookups.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResidencyRule {
    regions: BTreeSet<RegionName>,
    home: bool,
}

impl ResidencyRule {
    /// Creates the rule from its configuration in the description.
    pub fn new(config: &ResidencyConfig) -> Self {
        Self { regions: config.regions.iter().cloned().collect(), home: config.home }
    }

    /// Returns whether a request of an account with home region `home` may run in `region`.
    pub fn permits(&self, home: &RegionName, region: &RegionName) -> bool {
        (self.home && home == region) || self.regions.contains(region)
    }
}

/// The scope in which a target for a request was searched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearchScope<'a> {
    /// Every region, as at the origin of a request.
    Anywhere,
    /// One data centre, as at the receiver of a forwarded request.
    DataCentre(&'a DataCentreName),
}

/// A request for which no target was found.
#[derive(Debug, Clone, Copy)]
pub struct UnroutableRequest<'a> {
    /// The residency rule of the request.
    pub rule: &'a ResidencyRule,
    /// The home region of the request's account.
    pub home: &'a RegionName,
    /// The scope in which a target was searched.
    pub scope: SearchScope<'a>,
}

impl UnroutableRequest<'_> {
    /// Returns whether the description forbids the request in the whole search scope. A data centre
    /// that the description does not name is not forbidden, since the description may be outdated.
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

    /// Returns the reason of the refusal. [`RefusalReason::Residency`] tells a caller not to retry,
    /// so it is never returned for a lack of engines, instances or reports.
    pub fn reason(&self, index: &DescriptionIndex) -> RefusalReason {
        match self.is_forbidden(index) {
            true => RefusalReason::Residency,
            false => RefusalReason::NoUpstream,
        }
    }
}

/// The path of a forwarded request, from its headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardPath {
    /// The data centres that the request passed through, the origin's first.
    pub visited: Vec<DataCentreName>,
    /// The stamp of the description by which the sender routed the request.
    pub stamp: DescriptionStamp,
}

/// The reason why a receiver refuses a forwarded request.
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
        /// The stamp of the description adopted here.
        ours: DescriptionStamp,
    },
}

/// Checks the path of a forwarded request against this data centre and the adopted description.
///
/// A request that passes may still be refused for residency, which the receiver checks against its
/// own description: the same as the sender's, or a newer one.
///
/// # Errors
///
/// Returns the first fault found. [`ForwardFault::SenderNewer`] is resolved once the receiver has
/// the sender's description.
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
