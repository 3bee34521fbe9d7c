//! `foldhavenctl report`: reports error-budget burn per account and class.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use foldhaven_wire::operator::BurnAnswer;
use futures::future::join_all;

use super::{json_arg, make_client, print_json, vm_arg};
use crate::burn::{BurnReport, aggregate_burn};
use crate::client::OperatorClient;
use crate::error::CtlError;
use crate::html::burn_page;
use crate::source::write_file;
use crate::table::format_table;

/// Returns the command-line definition of `report`.
pub fn make_subcommand() -> Command {
    Command::new("report")
        .about("Reports service-level burn per account and class, from every VM that answers")
        .after_help(
            "Examples: foldhavenctl report --vm 127.10.1.1:7001\n          foldhavenctl report \
             --vm 127.10.1.1:7001 --html burn.html",
        )
        .arg(vm_arg())
        .arg(json_arg())
        .arg(
            Arg::new("html")
                .long("html")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Also write a page with plots, which opens from a file"),
        )
}

/// Runs `report`.
///
/// # Errors
///
/// Returns an error if no VM can be reached or the HTML page cannot be written.
pub async fn execute(args: &ArgMatches) -> Result<(), CtlError> {
    let report = collect_report(&make_client(args)?).await?;
    if let Some(path) = args.get_one::<PathBuf>("html") {
        let page = burn_page(&report).map_err(|error| CtlError::Usage(error.to_string()))?;
        write_file(path, &page)?;
    }
    match args.get_flag("json") {
        true => print_json(&report),
        false => print!("{}", report_table(&report)),
    }
    Ok(())
}

/// Reads the burn counts of every VM that can be discovered, and aggregates them.
///
/// # Errors
///
/// Returns an error if no VM can be reached.
pub async fn collect_report(client: &OperatorClient) -> Result<BurnReport, CtlError> {
    let state = client.survey().await?;
    let peers: Vec<_> = state.vms.keys().copied().collect();
    let path = "/operator/v1/burn";
    let reads = peers.iter().map(|peer| client.get("reading the burn", *peer, path));
    let mut answers: Vec<BurnAnswer> = Vec::new();
    let mut unreachable: Vec<String> = state.unreachable.iter().map(|it| it.to_string()).collect();
    for (peer, read) in peers.iter().zip(join_all(reads).await) {
        match read {
            Ok(answer) => answers.push(answer),
            Err(_) => unreachable.push(peer.to_string()),
        }
    }
    Ok(aggregate_burn(&answers, unreachable))
}

/// Returns the report as a table, followed by the addresses that could not be reached.
pub fn report_table(report: &BurnReport) -> String {
    let heading = [
        "account",
        "class",
        "target",
        "budget left",
        "burn 5m",
        "burn 1h",
        "requests",
        "bad",
        "refused",
        "worst VMs",
    ];
    let mut rows = vec![heading.map(str::to_owned).to_vec()];
    for line in &report.lines {
        let worst: Vec<String> =
            line.worst.iter().map(|it| format!("{} ({})", it.vm, it.bad)).collect();
        rows.push(vec![
            line.account.clone(),
            line.class.clone(),
            format!("{:.2}%", line.target * 100.0),
            format!("{:.0}%", line.budget_left * 100.0),
            format!("{:.2}", line.burn_short),
            format!("{:.2}", line.burn_long),
            line.counts.total.to_string(),
            line.counts.bad.to_string(),
            line.counts.refused.to_string(),
            worst.join(", "),
        ]);
    }
    let mut text = format_table(&rows);
    for address in &report.unreachable {
        text.push_str(&format!("not reached, and missing above: {address}\n"));
    }
    text
}
