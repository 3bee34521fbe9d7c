//! `foldhavenctl check`: checks a description offline.

use std::path::PathBuf;

use clap::{ArgMatches, Command};
use foldhaven_core::description::DescriptionIndex;

use super::{file_arg, json_arg, print_json};
use crate::error::CtlError;
use crate::source::read_description;

/// Returns the command-line definition of `check`.
pub fn make_subcommand() -> Command {
    Command::new("check")
        .about("Checks a description without asking anybody")
        .after_help("Example: foldhavenctl check examples/kilima.yaml")
        .arg(file_arg())
        .arg(json_arg())
}

/// Runs `check`.
///
/// # Errors
///
/// Returns an error if the file cannot be read, or with all faults of the description.
pub fn execute(args: &ArgMatches) -> Result<(), CtlError> {
    let path: &PathBuf = args.get_one("file").expect("the argument is required");
    let description = read_description(path)?;
    let index = DescriptionIndex::new(description);
    let counts = [
        ("regions", index.description.regions.len()),
        ("data_centres", index.data_centres().count()),
        ("models", index.description.models.len()),
        ("classes", index.description.classes.len()),
        ("accounts", index.description.accounts.len()),
    ];
    if args.get_flag("json") {
        let counts: serde_json::Map<_, _> =
            counts.iter().map(|(name, count)| ((*name).to_owned(), (*count).into())).collect();
        print_json(&serde_json::json!({ "ok": true, "counts": counts }));
        return Ok(());
    }
    let counts: Vec<String> =
        counts.iter().map(|(name, count)| format!("{count} {name}")).collect();
    println!("{}: good: {}", path.display(), counts.join(", "));
    Ok(())
}
