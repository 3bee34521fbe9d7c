//! The scenario language: sequences of faults against real processes, after which the guarantees of
//! the system are checked.

mod chaos;
mod guarantees;
mod observer;
mod parse;
mod runner;
mod steps;
mod traffic;

pub use self::chaos::{ChaosSchedule, shrink_schedule};
pub use self::guarantees::Violation;
pub use self::parse::{ParseError, parse_scenario};
pub use self::runner::{ScenarioReport, run_scenario};
pub use self::steps::{Scenario, Step, StepKind};
