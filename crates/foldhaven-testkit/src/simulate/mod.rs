//! Plays the gateway's decisions in simulated time: hundreds of VMs before the engines of one region, without
//! sockets and faster than the clock.
//!
//! The decisions are those of `foldhaven-core`: the order of service, whom reports go to, what others' reports
//! add up to, and which upstream gets a request. What is simulated is the rest: callers, ways, engines. Kept
//! prompt memory, data centres that are cut off and other regions are not simulated.

mod engine;
mod experiment;
mod page;
mod tally;
mod vm;
mod world;

pub use self::experiment::{ChoicePolicy, Experiment, ExperimentError, LoadStep, ServicePolicy};
pub use self::page::make_page;
pub use self::tally::SecondCounts;
pub use self::world::{Trial, play};
