//! Simulates the gateway's routing decisions for hundreds of VMs and the engines of one region,
//! without sockets and faster than real time.
//!
//! The decisions are made by `foldhaven-core`: the service order, the receivers of load reports,
//! the totals over other VMs' reports, and the upstream of each request. Callers, network delays
//! and engines are simulated. Prefix caches, partitioned data centres and other regions are not.

mod engine;
mod experiment;
mod page;
mod tally;
mod vm;
mod world;

pub use self::experiment::{ChoicePolicy, Experiment, ExperimentError, LoadStep, ServicePolicy};
pub use self::page::make_page;
pub use self::tally::SecondCounts;
pub use self::world::{Trial, run_trial};
