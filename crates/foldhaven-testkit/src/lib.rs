//! Test toolkit for foldhaven: stand-ins, scenarios, load measurements and simulations.
//!
//! This is the only crate that starts processes. Its binary contains the daemon and every stand-in
//! as a subcommand, so one build provides all processes of a deployment.

pub mod caller;
pub mod cmd;
pub mod demo;
pub mod fleet;
pub mod harm;
mod html;
pub mod limits;
pub mod measure;
pub mod membership;
pub mod relay;
pub mod scenario;
pub mod simulate;
pub mod stall;
pub mod stand_in;
