//! Simulates how starting VMs discover each other, with the membership code that the daemon runs.
//!
//! Network delays, message loss, partitions, and processes that start and are killed are simulated.
//! Load reports, which also show that a VM is live, are left out.

mod experiment;
mod page;
mod trial;
mod world;

pub use self::experiment::{DiscoveryMethod, MembershipExperiment, StartKind};
pub use self::page::make_page;
pub use self::trial::{
    COMPLETION_DEADLINE, StartPlan, StartTrial, incomplete_views_after, run_start_trial,
};
