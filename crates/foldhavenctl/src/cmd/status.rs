//! `foldhavenctl status`: shows every VM that can be discovered, and the upstreams.

use std::collections::BTreeMap;

use clap::{ArgMatches, Command};
use foldhaven_wire::operator::{StatusAnswer, UpstreamStatus};

use super::{json_arg, make_client, print_json, vm_arg};
use crate::client::FleetState;
use crate::error::CtlError;
use crate::table::format_table;

/// Maximum number of characters shown of a stamp.
const MAX_STAMP_CHARS: usize = 14;

/// Returns the command-line definition of `status`.
pub fn make_subcommand() -> Command {
    Command::new("status")
        .about("Shows every VM that can be found, and the upstreams of its data centre")
        .after_help("Example: foldhavenctl status --vm 127.10.1.1:7001")
        .arg(vm_arg())
        .arg(json_arg())
}

/// Runs `status`.
///
/// # Errors
///
/// Returns an error if no VM can be reached.
pub async fn execute(args: &ArgMatches) -> Result<(), CtlError> {
    let state = make_client(args)?.survey().await?;
    if args.get_flag("json") {
        let vms: Vec<_> = state.vms.values().collect();
        print_json(&serde_json::json!({ "vms": vms, "unreachable": state.unreachable }));
        return Ok(());
    }
    print!("{}", vm_table(&state));
    println!();
    print!("{}", upstream_table(&state));
    for address in &state.unreachable {
        println!("not reached: {address}");
    }
    Ok(())
}

/// Returns, for each stamp, the content digest that most VMs with the stamp report.
fn majority_contents(state: &FleetState) -> BTreeMap<String, String> {
    let mut counts: BTreeMap<(&String, &String), usize> = BTreeMap::new();
    for status in state.vms.values() {
        if let Some(held) = status.stamp.as_ref().zip(status.content.as_ref()) {
            *counts.entry(held).or_default() += 1;
        }
    }
    let mut by_count: Vec<_> = counts.into_iter().collect();
    by_count.sort_by_key(|(_, count)| *count);
    by_count.into_iter().map(|((stamp, content), _)| (stamp.clone(), content.clone())).collect()
}

/// Returns the shortened stamp in force at a VM, marked if the VM's content differs from that of
/// most VMs with the stamp. `-` if there is none.
fn stamp_label(status: &StatusAnswer, majority: &BTreeMap<String, String>) -> String {
    let Some(stamp) = &status.stamp else { return "-".to_owned() };
    let short: String = stamp.chars().take(MAX_STAMP_CHARS).collect();
    match status.content.is_some() && status.content.as_ref() != majority.get(stamp) {
        true => format!("{short} differs"),
        false => short,
    }
}

/// Returns the table of all VMs that were found.
pub fn vm_table(state: &FleetState) -> String {
    let majority = majority_contents(state);
    let heading =
        ["vm", "data centre", "state", "in force", "proven", "in flight", "members", "sees"];
    let mut rows = vec![heading.map(str::to_owned).to_vec()];
    for status in state.vms.values() {
        let live = status.members.iter().filter(|member| member.state == "live").count();
        let stamp = stamp_label(status, &majority);
        let confirmed =
            status.view_staleness_ms.map(|age_ms| format!("{:.1} s ago", age_ms as f64 / 1e3));
        let name = serde_json::to_value(status.state).unwrap_or_default();
        rows.push(vec![
            status.vm.to_string(),
            status.data_centre.to_string(),
            name.as_str().unwrap_or_default().to_owned(),
            stamp,
            confirmed.unwrap_or_else(|| "-".to_owned()),
            status.in_flight.to_string(),
            format!("{live} of {} live", status.members.len()),
            format!("{} other data centres", status.centres.len()),
        ]);
    }
    format_table(&rows)
}

/// Returns the text for the state of an upstream: whether it accepts requests, and the limit on
/// them if it has one.
fn upstream_state(upstream: &UpstreamStatus) -> String {
    match (upstream.leaving, &upstream.limit) {
        (true, _) => "leaving".to_owned(),
        (false, None) => "takes work".to_owned(),
        (false, Some(limit)) => format!("takes {limit}"),
    }
}

/// Returns the table of the upstreams of each data centre, as seen by the data centre's first VM.
fn upstream_table(state: &FleetState) -> String {
    let heading = ["upstream", "data centre", "holds", "busy", "slots", "state", "time factors"];
    let mut rows = vec![heading.map(str::to_owned).to_vec()];
    let mut shown_centres = std::collections::BTreeSet::new();
    for status in state.vms.values() {
        if !shown_centres.insert(status.data_centre.clone()) {
            continue;
        }
        for upstream in &status.upstreams {
            rows.push(vec![
                upstream.name.clone(),
                status.data_centre.to_string(),
                upstream.holds.join(", "),
                upstream.busy.to_string(),
                upstream.slots.to_string(),
                upstream_state(upstream),
                upstream.speed.clone().unwrap_or_else(|| "-".to_owned()),
            ]);
        }
    }
    format_table(&rows)
}
