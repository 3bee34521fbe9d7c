//! Simulates poison requests, which crash their engines, together with crashes that no request
//! causes. Measures how often poison requests are still forwarded, and how many innocent requests
//! are quarantined.

mod engine;
mod plan;
mod record_exchange;
mod vm;
mod world;

pub use self::plan::{PoisonOutcome, PoisonPlan, SharingPolicy};
pub use self::world::run_trial;
