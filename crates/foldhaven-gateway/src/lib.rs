//! Serves opaque requests: routes them by host and path, passes them on to upstreams as they are,
//! and answers only with what an upstream gave whole, or says that it did not.
//!
//! The words of the surrounding platform (header names, paths, formats) come in through
//! [`names::HeaderNames`], [`directory::DirectoryCodec`] and [`feed::PlatformFeed`].

mod account_desk;
pub mod answer;
mod attempts;
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
mod front;
mod job;
mod leaving_desk;
mod limit_desk;
pub mod logging;
mod metrics;
pub mod names;
mod news_teller;
mod operator_front;
mod peer_front;
pub mod peer_message;
mod peer_state;
pub mod platform_state;
mod reload;
pub mod settings;
mod shared;
mod signal_news;
mod stop;
mod suspect_news;
mod suspects;
mod told_change;
mod upstream;
mod upstream_ends;
mod upstream_listener;
mod view;
mod wake;
mod warm_links;

pub use self::daemon::{DaemonError, GatewayParts, run_gateway};
