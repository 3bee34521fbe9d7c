//! Decisions on opaque requests: requests that are routed by host and path and whose bodies are
//! passed on as they are.

pub mod account_table;
pub mod admission;
pub mod affinity;
pub mod belief_age;
pub mod choice;
pub mod cold;
pub mod connection_share;
pub mod demand;
pub mod demand_book;
pub mod demand_share;
pub mod directory;
pub mod event_order;
pub mod event_pace;
pub mod far_queue;
pub mod limit_part;
pub mod load_share;
pub mod pace;
pub mod patience;
pub mod pause_book;
pub mod peer_table;
pub mod queue_rank;
pub mod queue_room;
pub mod reading_pace;
pub mod region_book;
pub mod report_plan;
pub mod request_print;
pub mod retry_share;
pub mod round_trip;
pub mod route_delta;
pub mod route_history;
pub mod route_table;
pub mod sender_pact;
pub mod service_order;
pub mod suspects;
pub mod upstream_table;
