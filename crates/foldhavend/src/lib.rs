//! The foldhaven daemon: sockets, timers and threads around the decisions of `foldhaven-core`.
//!
//! One thread holds the control state (description, membership, load, placement); the traffic
//! threads read immutable views that it publishes and never wait for it.

pub mod clock;
pub mod cmd;
mod control;
mod daemon;
mod logging;
mod metrics;
mod platform;
pub mod settings;
mod shared;
mod traffic;
mod views;

pub use self::daemon::{DaemonError, run_daemon};
pub use self::logging::start_logging;
