//! The foldhaven daemon: sockets, timers and threads around the decision logic of `foldhaven-core`.
//!
//! The control thread owns the control state (description, membership, load, placement). The
//! traffic threads read immutable views that it publishes, and never wait for it.

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
