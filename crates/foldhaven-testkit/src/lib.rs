//! Stand-ins, scenarios and load for foldhaven.
//!
//! This is the only part that starts processes. Its binary contains the daemon and every stand-in
//! as a subcommand, so that one build gives a whole deployment of separate processes.

pub mod caller;
pub mod cmd;
pub mod demo;
pub mod fleet;
pub mod harm;
pub mod hold_up;
mod html;
pub mod limits;
pub mod measure;
pub mod membership;
pub mod relay;
pub mod scenario;
pub mod simulate;
pub mod stand_in;
