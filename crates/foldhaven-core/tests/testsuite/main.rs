//! Tests of the decisions, by topic.

mod support;

mod attempts;
mod descriptions;
mod load;
mod membership;
mod placement;
mod residency;
mod routing;
mod tickets;
mod units;
