//! `foldhavenctl completions`: prints a shell completion script.

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::{Shell, generate};

use super::make_command;
use crate::error::CtlError;

/// Returns the command-line definition of `completions`.
pub fn make_subcommand() -> Command {
    Command::new("completions")
        .about("Prints completions for a shell")
        .after_help("Example: foldhavenctl completions bash > foldhavenctl.bash")
        .arg(Arg::new("shell").required(true).value_parser(value_parser!(Shell)))
}

/// Runs `completions`.
///
/// # Errors
///
/// Returns no error. The signature is that of the other commands.
pub fn execute(args: &ArgMatches) -> Result<(), CtlError> {
    let shell: &Shell = args.get_one("shell").expect("the argument is required");
    generate(*shell, &mut make_command(), "foldhavenctl", &mut std::io::stdout());
    Ok(())
}
