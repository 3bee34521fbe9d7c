//! `foldhavend check`: checks a settings file.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{ArgMatches, Command};

use super::run::settings_arg;
use crate::settings::DaemonSettings;

/// Returns the command-line definition of `check`.
pub fn make_subcommand() -> Command {
    Command::new("check").about("Checks a settings file without serving").arg(settings_arg())
}

/// Runs `check`. Returns exit code 0 if the settings are valid, else 2.
pub fn execute(args: &ArgMatches) -> ExitCode {
    let path: &PathBuf = args.get_one("settings").expect("the argument is required");
    match DaemonSettings::read(path) {
        Ok(settings) => {
            println!("{}: good settings for VM {}", path.display(), settings.vm);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("foldhavend: {error}");
            ExitCode::from(2)
        }
    }
}
