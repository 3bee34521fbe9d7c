//! Simulates one rate-limited account on many VMs, with several strategies to enforce its limit.
//!
//! For the daemon's own strategy, the messages and the division of the limit are the code that the
//! daemon runs. The other strategies are for comparison. Callers, network delays, partitions, and
//! processes that are killed, frozen and restarted are simulated.

mod experiment;
mod page;
mod scenario;
mod trial;
mod vm;
mod world;

pub use self::experiment::{LimitsExperiment, LimitsPlan};
pub use self::page::make_page;
pub use self::scenario::LimitScenario;
pub use self::trial::{LimitsTrial, run_limits_trial};
pub use self::vm::LimitStrategy;
