//! The gateway for opaque requests. It routes requests by host and path, passes them to upstreams
//! unchanged, and returns only complete answers of upstreams, or a refusal or an aborted stream.
//!
//! The names and formats of the surrounding platform (headers, paths, encodings) are supplied
//! through [`names::HeaderNames`], [`directory::DirectoryCodec`] and [`feed::PlatformFeed`].

mod account_limiter;
mod attempts;
mod call;
mod caller_front;
mod codec;
mod connection;
mod control;
mod credential;
mod daemon;
mod datagrams;
mod demand_meter;
mod destinations;
mod events;
mod explain;
mod front;
mod job;
mod leaving_tracker;
mod metrics;
mod operator_front;
mod peer_front;
mod peer_state;
mod rate_limit_tracker;
mod reload;
mod shared;
mod signal_sender;
mod stop;
mod suspect_sender;
mod suspects;
mod suspension;
mod told_change;
mod update_sender;
mod upstream;
mod upstream_exits;
mod upstream_listener;
mod view;
mod warm_links;
pub mod answer;
pub mod clock;
pub mod directory;
pub mod feed;
pub mod logging;
pub mod names;
pub mod peer_message;
pub mod platform_state;
pub mod settings;

pub use self::daemon::{DaemonError, PlatformAdapter, run_gateway};
