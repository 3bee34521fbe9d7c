//! Tests of foldhaven-testkit, most of them against real processes.

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

/// Returns the path of the binary that contains every process of a fleet.
pub fn program() -> PathBuf {
    env!("CARGO_BIN_EXE_foldhaven-testkit").into()
}

/// Returns the folder with the scenarios and the description of the small fleet.
pub fn scenario_folder() -> PathBuf {
    concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios").into()
}

/// Starts the small fleet with `vms` entry VMs per data centre.
pub async fn small_fleet(vms: usize) -> Fleet {
    let description = read_example(&scenario_folder(), "small").unwrap();
    let options = FleetOptions { vms, ..FleetOptions::default() };
    Fleet::start(program(), description, options).await.unwrap()
}

/// Runs a test on its own runtime.
pub fn run<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    runtime.block_on(test)
}
