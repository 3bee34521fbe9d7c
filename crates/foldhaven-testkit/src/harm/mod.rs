//! Simulates requests that end their engines beside crashes that are nobody's fault: how often such a request is still sent on,
//! and how many innocent ones are held back.

mod engine;
mod plan;
mod telling;
mod vm;
mod world;

pub use self::plan::{HarmOutcome, HarmPlan, TellPolicy};
pub use self::world::play;
