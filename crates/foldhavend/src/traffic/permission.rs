//! Where the description in force permits a request.

use foldhaven_core::description::DescriptionIndex;
use foldhaven_core::ids::DataCentreName;
use foldhaven_core::planner::RouteTarget;
use foldhaven_core::residency::ResidencyRule;

use super::request::{ModelJob, RequestHead};
use crate::views::PublishedView;

/// Whether the description in force permits a request at a target.
pub fn is_permitted(job: &ModelJob, view: &PublishedView, target: &RouteTarget) -> bool {
    let centre = match target {
        RouteTarget::Engine(_) => &view.route.centre,
        RouteTarget::Centre(centre) => centre,
    };
    permits(&job.head, view, centre)
}

/// Whether the description in force permits a request in a data centre.
pub fn permits(head: &RequestHead, view: &PublishedView, centre: &DataCentreName) -> bool {
    let index = &view.route.index;
    let permitted = || {
        let account = index.account(&head.account)?;
        let class = index.class(&head.class)?;
        let rule = index.residency_of(account, class)?;
        Some(rule.permits(&account.home, index.region_of(centre)?))
    };
    permitted().unwrap_or(false)
}

/// Whether any region at all is permitted for the account and class of a request.
pub fn any_region_permitted(
    index: &DescriptionIndex,
    rule: &ResidencyRule,
    head: &RequestHead,
) -> bool {
    let Some(account) = index.account(&head.account) else { return false };
    index.description.regions.iter().any(|region| rule.permits(&account.home, &region.name))
}
