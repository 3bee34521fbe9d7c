//! Checks where the adopted description permits a request to run.

use foldhaven_core::description::DescriptionIndex;
use foldhaven_core::ids::DataCentreName;
use foldhaven_core::planner::RouteTarget;
use foldhaven_core::refusal::RefusalReason;
use foldhaven_core::residency::{SearchScope, UnroutableRequest};

use super::request::{ModelJob, RequestHead};
use crate::views::PublishedView;

/// Returns whether the description in `view` permits a request at a target.
pub fn is_permitted(job: &ModelJob, view: &PublishedView, target: &RouteTarget) -> bool {
    let centre = match target {
        RouteTarget::Engine(_) => &view.route.centre,
        RouteTarget::Centre(centre) => centre,
    };
    is_permitted_in(&job.head, view, centre)
}

/// Returns whether the description in `view` permits a request in a data centre. This is false if
/// the description does not contain its account, class, residency rule or the data centre.
pub fn is_permitted_in(head: &RequestHead, view: &PublishedView, centre: &DataCentreName) -> bool {
    let index = &view.route.index;
    let permitted = || {
        let account = index.account(&head.account)?;
        let class = index.class(&head.class)?;
        let rule = index.residency_of(account, class)?;
        Some(rule.permits(&account.home, index.region_of(centre)?))
    };
    permitted().unwrap_or(false)
}

/// Returns the residency rule, home region and scope that decide the refusal reason of a request.
/// `None` if the description does not contain its account, class or residency rule.
fn unroutable_request<'a>(
    head: &RequestHead,
    index: &'a DescriptionIndex,
    scope: SearchScope<'a>,
) -> Option<UnroutableRequest<'a>> {
    let account = index.account(&head.account)?;
    let class = index.class(&head.class)?;
    let rule = index.residency_of(account, class)?;
    Some(UnroutableRequest { rule, home: &account.home, scope })
}

/// Returns the refusal reason of a request for which no destination was found.
pub fn unroutable_reason(
    head: &RequestHead,
    index: &DescriptionIndex,
    scope: SearchScope<'_>,
) -> RefusalReason {
    let request = unroutable_request(head, index, scope);
    request.map_or(RefusalReason::NoUpstream, |request| request.reason(index))
}
