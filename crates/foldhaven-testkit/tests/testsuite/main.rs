//! Tests against real processes, by topic.

mod callers;
mod harm;
mod limits;
mod membership;
mod operators;
mod peers;
mod refusals;
mod scenarios;
mod simulate;

use std::path::PathBuf;

use foldhaven_testkit::demo::read_example;
use foldhaven_testkit::fleet::{Fleet, FleetOptions};

/// The binary that contains every process of a fleet.
pub fn program() -> PathBuf {
    env!("CARGO_BIN_EXE_foldhaven-testkit").into()
}

/// The folder of the scenarios and of the small fleet's description.
pub fn scenario_folder() -> PathBuf {
    concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios").into()
}

/// A small fleet with so many VMs per data centre.
pub async fn small_fleet(vms: usize) -> Fleet {
    let description = read_example(&scenario_folder(), "small").unwrap();
    let options = FleetOptions { vms, ..FleetOptions::default() };
    Fleet::start(program(), description, options).await.unwrap()
}

/// Runs a test on a runtime of its own.
pub fn run<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    runtime.block_on(test)
}
