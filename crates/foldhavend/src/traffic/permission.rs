//! Where the description in force permits a request.

use foldhaven_core::description::DescriptionIndex;
use foldhaven_core::ids::DataCentreName;
use foldhaven_core::planner::RouteTarget;
use foldhaven_core::refusal::RefusalReason;
use foldhaven_core::residency::{SearchScope, UnroutableRequest};

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

/// A request as its refusal is judged; nothing where the description does not know its account, class or rule.
fn unplaced<'a>(
    head: &RequestHead,
    index: &'a DescriptionIndex,
    scope: SearchScope<'a>,
) -> Option<UnroutableRequest<'a>> {
    let account = index.account(&head.account)?;
    let class = index.class(&head.class)?;
    let rule = index.residency_of(account, class)?;
    Some(UnroutableRequest { rule, home: &account.home, scope })
}

/// Why a request is refused for which no place was found.
pub fn unplaced_reason(
    head: &RequestHead,
    index: &DescriptionIndex,
    scope: SearchScope<'_>,
) -> RefusalReason {
    let request = unplaced(head, index, scope);
    request.map_or(RefusalReason::NoUpstream, |request| request.reason(index))
}
