//! `foldhavenctl plan`: shows the changes from the description in force to a new one.

use std::path::PathBuf;

use clap::{ArgMatches, Command};
use foldhaven_core::description::describe_changes;

use super::{file_arg, json_arg, make_client, print_json, vm_arg};
use crate::error::CtlError;
use crate::source::read_description;

/// Returns the command-line definition of `plan`.
pub fn make_subcommand() -> Command {
    Command::new("plan")
        .about("Shows what would change against what is in force")
        .after_help("Example: foldhavenctl plan kilima.yaml --vm 127.10.1.1:7001")
        .arg(file_arg())
        .arg(vm_arg())
        .arg(json_arg())
}

/// Runs `plan`.
///
/// # Errors
///
/// Returns an error if the description has faults or no VM can be reached.
pub async fn execute(args: &ArgMatches) -> Result<(), CtlError> {
    let path: &PathBuf = args.get_one("file").expect("the argument is required");
    let next = read_description(path)?;
    let client = make_client(args)?;
    let state = client.survey().await?;
    let Some((stamp, current)) = client.in_force(&state).await? else {
        println!("nothing is in force yet; everything would be new");
        return Ok(());
    };
    let changes = describe_changes(&current, &next);
    if args.get_flag("json") {
        let in_force = stamp.to_string();
        print_json(&serde_json::json!({ "in_force": in_force, "changes": changes }));
        return Ok(());
    }
    println!("in force: {stamp}");
    for change in &changes {
        println!("{change}");
    }
    println!("{} change(s)", changes.len());
    Ok(())
}
