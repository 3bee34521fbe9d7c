//! `foldhaven-testkit demo`: serves both users' deployments from end to end.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

use super::block_on;
use crate::demo::run_demo;

/// Returns the `demo` subcommand.
pub fn make_subcommand() -> Command {
    Command::new("demo")
        .about("Serves both users' deployments from end to end and checks every answer")
        .arg(
            Arg::new("examples")
                .long("examples")
                .value_name("FOLDER")
                .value_parser(value_parser!(PathBuf))
                .default_value(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples"))
                .help("Where kilima.yaml and guild.yaml stand"),
        )
}

/// Runs `demo`. Exits with 0 if every check passed.
pub fn execute(args: &ArgMatches) -> ExitCode {
    let examples: &PathBuf = args.get_one("examples").expect("the argument has a default");
    block_on(run_demo(examples))
}
