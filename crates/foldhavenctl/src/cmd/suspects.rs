//! `foldhavenctl suspects`: shows the requests that are suspected of crashing upstreams, and clears
//! one.

use clap::{Arg, ArgMatches, Command};
use foldhaven_wire::operator::{ClearAnswer, SuspectsAnswer};

use super::{json_arg, make_client, print_json, vm_arg};
use crate::client::OperatorClient;
use crate::error::CtlError;
use crate::table::format_table;

/// Returns the command-line definition of `suspects`.
pub fn make_subcommand() -> Command {
    Command::new("suspects")
        .about("Shows the requests under which upstreams ended, and clears one")
        .after_help(
            "Example: foldhavenctl suspects --vm 127.10.1.1:8146\n\nA request at whose sending one upstream \
             ended is noted, after two it is tried by one VM at a time, after three it is refused. A whole \
             answer clears it. --clear does the same by hand: the VM tells all others, and nothing is written \
             anywhere else. Fingerprints stand in the log lines of requests.",
        )
        .arg(vm_arg())
        .arg(json_arg())
        .arg(Arg::new("clear").long("clear").value_name("PRINT").help("Clear this fingerprint"))
}

/// Runs `suspects`.
///
/// # Errors
///
/// Returns an error if the VM cannot be reached or does not suspect a request with the fingerprint.
pub async fn execute(args: &ArgMatches) -> Result<(), CtlError> {
    let client = make_client(args)?;
    if let Some(fingerprint) = args.get_one::<String>("clear") {
        return clear(&client, fingerprint).await;
    }
    let answer = list(&client).await?;
    match args.get_flag("json") {
        true => print_json(&answer),
        false => print!("{}", suspects_table(&answer)),
    }
    Ok(())
}

/// Reads the suspected requests from the first VM.
///
/// # Errors
///
/// Returns an error if the VM cannot be reached.
pub async fn list(client: &OperatorClient) -> Result<SuspectsAnswer, CtlError> {
    client.get("reading suspects", client.seed_addresses()[0], "/operator/v1/suspects").await
}

/// Clears a suspected request at the first VM, which announces that to the other VMs.
///
/// # Errors
///
/// Returns an error if the VM cannot be reached or does not suspect the request.
pub async fn clear(client: &OperatorClient, fingerprint: &str) -> Result<(), CtlError> {
    let path = format!("/operator/v1/suspects/clear?print={fingerprint}");
    let answer: ClearAnswer = client.post("clearing", client.seed_addresses()[0], &path).await?;
    match answer.is_cleared {
        true => Ok(()),
        false => Err(CtlError::Usage(format!(
            "no request with the fingerprint {fingerprint} is suspected at this VM"
        ))),
    }
}

/// Returns the suspected requests as a table.
pub fn suspects_table(answer: &SuspectsAnswer) -> String {
    let heading =
        ["fingerprint", "route", "state", "upstreams ended", "trials", "since", "next try"];
    let mut rows = vec![heading.map(str::to_owned).to_vec()];
    for row in &answer.rows {
        rows.push(vec![
            row.fingerprint.clone(),
            row.route.clone().unwrap_or_else(|| "-".to_owned()),
            row.state.clone(),
            row.upstreams.join(" "),
            row.probes.to_string(),
            format!("{} s", row.since_ms / 1_000),
            row.probe_after_ms.map_or("-".to_owned(), |opens| format!("{} s", opens / 1_000)),
        ]);
    }
    format_table(&rows)
}
