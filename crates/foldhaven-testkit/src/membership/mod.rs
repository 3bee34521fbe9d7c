//! Plays how VMs that start learn of each other, in simulated time and by the code that the daemon runs.
//!
//! What is simulated is the rest: the ways of messages, their loss, cuts, and processes that start and die. Load reports,
//! which also tell that a VM lives, are left out.

mod experiment;
mod page;
mod trial;
mod world;

pub use self::experiment::{MembershipExperiment, StartKind, TellingWay};
pub use self::page::make_page;
pub use self::trial::{COMPLETE_AFTER, StartPlan, StartTrial, play_starts, strangers_after};
