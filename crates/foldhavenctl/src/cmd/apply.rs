//! `foldhavenctl apply`: stamps a description for publishing, and waits until it is in force.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use foldhaven_core::description::{DescriptionIndex, DescriptionStamp};
use foldhaven_core::units::TimeSpan;
use foldhaven_wire::platform::ValueBundle;
use serde::Serialize;

use super::{file_arg, json_arg, make_client, print_json, vm_arg};
use crate::client::{FleetState, OperatorClient};
use crate::error::CtlError;
use crate::source::{read_description, write_file};
use crate::table::format_table;

/// Interval between two surveys of the deployment.
const SURVEY_INTERVAL: Duration = Duration::from_millis(200);

/// Returns the command-line definition of `apply`.
pub fn make_subcommand() -> Command {
    Command::new("apply")
        .about("Stamps a description for publishing, and waits until it is in force")
        .after_help(
            "Example: foldhavenctl apply kilima.yaml --out kilima.values.json --vm \
             127.10.1.1:7001\n\nThe values written to --out are to be published with the \
             platform's own means, the manifest last. The tool writes nothing anywhere else.",
        )
        .arg(file_arg())
        .arg(
            Arg::new("out")
                .long("out")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Where the values to publish are written"),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .value_name("SPAN")
                .default_value("60s")
                .value_parser(value_parser!(TimeSpan))
                .help("How long to wait until it is in force; 0s for not at all"),
        )
        .arg(vm_arg())
        .arg(json_arg())
}

/// The adoption of a new description in one data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct CentreProgress {
    data_centre: String,
    /// Number of VMs at which the description is in force.
    in_force: usize,
    /// Number of VMs that were reached.
    vms: usize,
    /// For each other VM, what it has in force instead.
    why_not: Vec<String>,
}

/// Runs `apply`.
///
/// # Errors
///
/// Returns an error if the description has faults, no VM can be reached, another operator's
/// description is in force instead, or the description is not in force at all VMs in time.
pub async fn execute(args: &ArgMatches) -> Result<(), CtlError> {
    let path: &PathBuf = args.get_one("file").expect("the argument is required");
    let out: &PathBuf = args.get_one("out").expect("the argument is required");
    let wait: &TimeSpan = args.get_one("wait").expect("the argument has a default");
    let mut next = read_description(path)?;
    let client = make_client(args)?;
    let state = client.survey().await?;
    if let Some((stamp, current)) = client.in_force(&state).await? {
        if next.parent.as_ref().is_some_and(|parent| *parent != stamp.to_string()) {
            let parent = next.parent.unwrap_or_default();
            let message = format!(
                "{} was edited from {parent}, but {stamp} is in force: \
                compare with `plan`, merge, and set `parent` anew or leave it out",
                path.display()
            );
            return Err(CtlError::LostRace(message));
        }
        next.generation = current.generation + 1;
        next.parent = Some(stamp.to_string());
    }
    let stamp = DescriptionIndex::new(next.clone()).stamp;
    let (_, bundle) = ValueBundle::of(&next);
    let text = serde_json::to_string_pretty(&bundle).expect("a bundle is JSON");
    write_file(out, &text)?;
    if !args.get_flag("json") {
        println!("stamped {stamp}; publish the values in {}", out.display());
    }
    if wait.0.is_zero() {
        return Ok(());
    }
    let (progress, result) = wait_in_force(&client, stamp, wait.0).await?;
    print_progress(&progress, stamp, args.get_flag("json"));
    result
}

/// Waits until a stamp is in force at all VMs, a higher one is in force at any VM, or the time is
/// up.
async fn wait_in_force(
    client: &OperatorClient,
    stamp: DescriptionStamp,
    wait: Duration,
) -> Result<(Vec<CentreProgress>, Result<(), CtlError>), CtlError> {
    let started = Instant::now();
    loop {
        let state = client.survey().await?;
        let progress = progress_of(&state, stamp);
        if let Some((other, vm)) = state.highest().filter(|(other, _)| *other > stamp) {
            let message = format!("another operator's description {other} is in force, on {vm}");
            return Ok((progress, Err(CtlError::LostRace(message))));
        }
        let pending_centres = progress.iter().filter(|centre| centre.in_force < centre.vms).count();
        if pending_centres == 0 && state.unreachable.is_empty() {
            return Ok((progress, Ok(())));
        }
        if started.elapsed() > wait {
            let missing = state.unreachable.len();
            let message = format!(
                "{stamp} is not in force in {pending_centres} data centre(s), {missing} VM(s) unreachable"
            );
            return Ok((progress, Err(CtlError::NotInForce(message))));
        }
        tokio::time::sleep(SURVEY_INTERVAL).await;
    }
}

fn progress_of(state: &FleetState, stamp: DescriptionStamp) -> Vec<CentreProgress> {
    let mut centres: BTreeMap<String, CentreProgress> = BTreeMap::new();
    let text = stamp.to_string();
    for status in state.vms.values() {
        let name = status.data_centre.to_string();
        let progress = centres.entry(name.clone()).or_insert(CentreProgress {
            data_centre: name,
            in_force: 0,
            vms: 0,
            why_not: Vec::new(),
        });
        progress.vms += 1;
        if status.stamp.as_ref() == Some(&text) {
            progress.in_force += 1;
            continue;
        }
        let has = status.stamp.clone().unwrap_or_else(|| "nothing".to_owned());
        let refused = status.refused.clone().map(|why| format!(", refused {why}"));
        let why = format!("{} has {has}{}", status.vm, refused.unwrap_or_default());
        progress.why_not.push(why);
    }
    centres.into_values().collect()
}

fn print_progress(progress: &[CentreProgress], stamp: DescriptionStamp, json: bool) {
    if json {
        let stamp = stamp.to_string();
        return print_json(&serde_json::json!({ "stamp": stamp, "data_centres": progress }));
    }
    let mut rows =
        vec![vec!["data centre".to_owned(), "in force".to_owned(), "why not".to_owned()]];
    rows.extend(progress.iter().map(|centre| {
        let reasons: BTreeSet<&String> = centre.why_not.iter().collect();
        let reasons: Vec<&str> = reasons.into_iter().map(String::as_str).collect();
        let share = format!("{} of {}", centre.in_force, centre.vms);
        vec![centre.data_centre.clone(), share, reasons.join("; ")]
    }));
    print!("{}", format_table(&rows));
}
