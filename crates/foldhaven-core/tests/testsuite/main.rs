//! Integration tests of the decision logic, by topic.

mod support;

mod attempts;
mod descriptions;
mod load;
mod membership;
mod opaque_account_limits;
mod opaque_admission;
mod opaque_choice;
mod opaque_deltas;
mod opaque_estimates;
mod opaque_events;
mod opaque_heartbeats;
mod opaque_limits;
mod opaque_news;
mod opaque_peers;
mod opaque_readers;
mod opaque_remote;
mod opaque_reports;
mod opaque_routes;
mod opaque_sender_agreement;
mod opaque_service;
mod opaque_signals;
mod opaque_stale_reports;
mod opaque_support;
mod opaque_suspect_orders;
mod opaque_suspects;
mod opaque_upstream_ring;
mod opaque_upstreams;
mod placement;
mod refusals;
mod residency;
mod routing;
mod tickets;
mod units;
mod waits;
