//! The command line of the daemon: one file per subcommand.

pub mod check;
pub mod run;

use std::process::ExitCode;

use clap::Command;

/// Returns the command-line definition of the daemon.
pub fn make_command() -> Command {
    Command::new("foldhavend")
        .about("Serves model and service requests on one entry VM")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(run::make_subcommand())
        .subcommand(check::make_subcommand())
}

/// Parses the command line and runs the subcommand.
pub fn main() -> ExitCode {
    match make_command().get_matches().subcommand() {
        Some(("run", args)) => run::execute(args),
        Some(("check", args)) => check::execute(args),
        _ => ExitCode::from(2),
    }
}
