//! Tests of the decisions, by topic.

mod support;

mod attempts;
mod descriptions;
mod load;
mod membership;
mod opaque_choice;
mod opaque_limits;
mod opaque_members;
mod opaque_routes;
mod opaque_support;
mod placement;
mod residency;
mod routing;
mod tickets;
mod units;
