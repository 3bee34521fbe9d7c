//! Plays one limited account over many VMs, in simulated time, with several ways of keeping its limit.
//!
//! What VMs tell each other and how they divide by it is the code that the daemon runs, for the way that the daemon uses. The
//! other ways are there to be compared with it. Simulated are callers, the ways of messages, cuts, and processes that
//! die, stand still and come back.

mod experiment;
mod page;
mod trial;
mod trouble;
mod vm;
mod world;

pub use self::experiment::{LimitsExperiment, LimitsPlan};
pub use self::page::make_page;
pub use self::trial::{LimitsTrial, play_limits};
pub use self::trouble::LimitTrouble;
pub use self::vm::LimitWay;
