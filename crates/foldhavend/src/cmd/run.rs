//! `foldhavend run`: serves until SIGTERM or SIGINT.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::daemon::run_daemon;
use crate::logging::start_logging;
use crate::settings::DaemonSettings;

/// Returns the command-line definition of `run`.
pub fn make_subcommand() -> Command {
    Command::new("run")
        .about("Serves until it is told to stop")
        .after_help("Example: foldhavend run --settings examples/foldhavend.yaml")
        .arg(settings_arg())
}

/// Returns the argument for the path of the settings file.
pub fn settings_arg() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The settings of this daemon, in YAML")
}

/// Runs `run`. Returns exit code 0 after a planned stop, 2 for invalid settings, and 1 for other
/// failures.
pub fn execute(args: &ArgMatches) -> ExitCode {
    let path: &PathBuf = args.get_one("settings").expect("the argument is required");
    let settings = match DaemonSettings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("foldhavend: {error}");
            return ExitCode::from(2);
        }
    };
    start_logging(&settings.log);
    match run_daemon(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(error = %error, "the daemon failed");
            eprintln!("foldhavend: {error}");
            ExitCode::FAILURE
        }
    }
}
