//! The command line of the testkit: one file per subcommand.

pub mod chaos;
pub mod demo;
pub mod harm;
pub mod measure;
pub mod scenario;
pub mod simulate;
pub mod stand_ins;

use std::process::ExitCode;

use clap::Command;

/// Returns the command line with all subcommands.
pub fn make_command() -> Command {
    Command::new("foldhaven-testkit")
        .about("Runs foldhaven against stand-ins")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(demo::make_subcommand())
        .subcommand(scenario::make_subcommand())
        .subcommand(chaos::make_subcommand())
        .subcommand(measure::make_subcommand())
        .subcommand(simulate::make_subcommand())
        .subcommand(harm::make_subcommand())
        .subcommand(stand_ins::make_platform())
        .subcommand(stand_ins::make_engine())
        .subcommand(stand_ins::make_service())
        .subcommand(stand_ins::make_vm())
}

/// Parses the command line and runs the chosen subcommand.
pub fn main() -> ExitCode {
    let matches = make_command().get_matches();
    if matches!(matches.subcommand_name(), Some("platform" | "engine" | "service" | "vm")) {
        stand_ins::exit_with_parent();
    }
    match matches.subcommand() {
        Some(("demo", args)) => demo::execute(args),
        Some(("scenario", args)) => scenario::execute(args),
        Some(("measure", args)) => measure::execute(args),
        Some(("simulate", args)) => simulate::execute(args),
        Some(("harm", args)) => harm::execute(args),
        Some(("chaos", args)) => chaos::execute(args),
        Some(("platform", args)) => stand_ins::execute_platform(args),
        Some(("engine", args)) => stand_ins::execute_engine(args),
        Some(("service", args)) => stand_ins::execute_service(args),
        Some(("vm", args)) => foldhavend::cmd::run::execute(args),
        _ => ExitCode::from(2),
    }
}

/// Runs a future on a new runtime. Prints its error, and fails on an error or on `false`.
pub fn block_on<E: std::fmt::Display>(future: impl Future<Output = Result<bool, E>>) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(future).map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("foldhaven-testkit: {error}");
            ExitCode::FAILURE
        }
    }
}
