//! The command line of the tool: one file per subcommand.

pub mod accounts;
pub mod apply;
pub mod check;
pub mod completions;
pub mod entries;
pub mod explain;
pub mod explain_route;
pub mod members;
pub mod plan;
pub mod report;
pub mod status;
pub mod suspects;

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::client::OperatorClient;
use crate::error::{CtlError, ExitStatus};

const EXIT_CODES: &str = "Exit codes: 0 done, 1 something could not be reached or read, 2 wrong \
arguments or description, 3 not in force everywhere in time, 4 another operator's description is \
in force instead.";

/// Returns the command-line definition of the tool.
pub fn make_command() -> Command {
    Command::new("foldhavenctl")
        .about("Checks, compares and follows descriptions, and shows how a deployment fares")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(EXIT_CODES)
        .subcommand(check::make_subcommand())
        .subcommand(plan::make_subcommand())
        .subcommand(apply::make_subcommand())
        .subcommand(status::make_subcommand())
        .subcommand(explain::make_subcommand())
        .subcommand(explain_route::make_subcommand())
        .subcommand(members::make_subcommand())
        .subcommand(suspects::make_subcommand())
        .subcommand(accounts::make_subcommand())
        .subcommand(entries::make_subcommand())
        .subcommand(report::make_subcommand())
        .subcommand(completions::make_subcommand())
}

/// Parses the command line and runs the subcommand.
pub fn main() -> ExitCode {
    run_command(&make_command().get_matches()).into()
}

/// Runs a subcommand and prints its error, if any, to standard error.
pub fn run_command(matches: &ArgMatches) -> ExitStatus {
    let result = match matches.subcommand() {
        Some(("check", args)) => check::execute(args),
        Some(("plan", args)) => block_on(plan::execute(args)),
        Some(("apply", args)) => block_on(apply::execute(args)),
        Some(("status", args)) => block_on(status::execute(args)),
        Some(("explain", args)) => block_on(explain::execute(args)),
        Some(("explain-route", args)) => block_on(explain_route::execute(args)),
        Some(("members", args)) => block_on(members::execute(args)),
        Some(("suspects", args)) => block_on(suspects::execute(args)),
        Some(("accounts", args)) => block_on(accounts::execute(args)),
        Some(("entries", args)) => block_on(entries::execute(args)),
        Some(("report", args)) => block_on(report::execute(args)),
        Some(("completions", args)) => completions::execute(args),
        _ => Err(CtlError::Usage("expected a command".to_owned())),
    };
    match result {
        Ok(()) => ExitStatus::Success,
        Err(error) => {
            eprintln!("foldhavenctl: {error}");
            error.status()
        }
    }
}

fn block_on(future: impl Future<Output = Result<(), CtlError>>) -> Result<(), CtlError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| CtlError::Usage(error.to_string()))?;
    runtime.block_on(future)
}

/// Returns the argument for the addresses of VMs to query first.
pub fn vm_arg() -> Arg {
    Arg::new("vm")
        .long("vm")
        .value_name("ADDRESS")
        .env("FOLDHAVEN_VMS")
        .value_delimiter(',')
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
        .help("Peer address of a VM to ask first; the others are found through it")
}

/// Returns the flag for JSON output.
pub fn json_arg() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON")
}

/// Returns the argument for the path of a description.
pub fn file_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(std::path::PathBuf))
        .help("The description, in YAML")
}

/// Creates the client for the VMs given in the arguments.
///
/// # Errors
///
/// Returns an error if no VM is given or the HTTP client cannot be set up.
pub fn make_client(args: &ArgMatches) -> Result<OperatorClient, CtlError> {
    let seed_addresses = args.get_many::<SocketAddr>("vm").unwrap_or_default();
    OperatorClient::new(seed_addresses.copied().collect())
}

/// Prints a value as JSON.
pub fn print_json(value: &impl serde::Serialize) {
    let text = serde_json::to_string_pretty(value).expect("typed answers are JSON");
    println!("{text}");
}
