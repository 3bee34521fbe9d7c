//! The gateway for opaque requests. It routes requests by host and path, passes them to upstreams
//! unchanged, and returns only complete answers of upstreams, or a refusal or an aborted stream.
//!
//! The names and formats of the surrounding platform (headers, paths, encodings) are supplied
//! through [`names::HeaderNames`], [`directory::DirectoryCodec`] and [`feed::PlatformFeed`].

mod account_limiter;
pub mod answer;
mod attempts;
pub mod body_reader;
mod bounded_stream;
mod brittle_tracker;
mod busy_upstreams;
mod call;
mod caller_front;
pub mod clock;
mod codec;
mod connection;
mod control;
mod credential;
mod daemon;
mod datagrams;
mod demand_meter;
mod destinations;
pub mod directory;
mod events;
mod explain;
pub mod feed;
mod framed_events;
mod front;
pub mod held_memory;
mod job;
mod leaving_tracker;
mod load_counter;
pub mod logging;
mod metrics;
pub mod names;
mod operator_front;
mod origin_sender;
mod origin_tracker;
mod path_prober;
mod path_sender;
mod path_tracker;
mod peer_front;
mod peer_listener;
pub mod peer_message;
mod peer_socket;
mod peer_state;
mod pending_answer;
mod planned_exit;
pub mod platform_state;
mod rate_limit_tracker;
mod reload;
mod returning_callers;
mod served_connections;
mod served_stream;
pub mod settings;
mod shared;
mod signal_sender;
pub mod silent_peers;
mod slot_queues;
mod socket_inspector;
mod stop;
mod stream_resumption;
mod suspect_sender;
mod suspects;
mod suspension;
mod told_change;
mod update_sender;
mod upstream;
mod upstream_exits;
mod upstream_listener;
mod upstream_set;
mod view;
mod waiting_rooms;
mod warm_links;
mod watched_stream;

pub use self::daemon::{DaemonError, PlatformAdapter, run_gateway};
