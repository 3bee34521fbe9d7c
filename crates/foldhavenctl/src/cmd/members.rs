//! `foldhavenctl members`: shows which VMs of its data centre each VM knows, and marks differences.

use std::collections::BTreeSet;

use clap::{ArgMatches, Command};
use foldhaven_core::ids::{DataCentreName, VmName};
use foldhaven_wire::operator::{DaemonState, StatusAnswer};
use serde::Serialize;

use super::{json_arg, make_client, print_json, vm_arg};
use crate::client::FleetState;
use crate::error::CtlError;
use crate::table::format_table;

/// Returns the command-line definition of `members`.
pub fn make_subcommand() -> Command {
    Command::new("members")
        .about("Shows which VMs of its data centre each VM knows, and marks what differs")
        .after_help(
            "Example: foldhavenctl members --vm 127.10.1.1:8146\n\nVMs divide limits, name each other to callers and \
             place requests by the VMs that they know. A VM that lacks another for more than two seconds after \
             both have started is to be looked into; one that holds another that was not found tells of a death \
             that it has not noticed yet, or of a VM that cannot be reached from here.",
        )
        .arg(vm_arg())
        .arg(json_arg())
}

/// Runs `members`.
///
/// # Errors
///
/// Returns an error if no VM can be reached.
pub async fn execute(args: &ArgMatches) -> Result<(), CtlError> {
    let state = make_client(args)?.survey().await?;
    let views = compare_views(&state);
    match args.get_flag("json") {
        true => print_json(&views),
        false => print!("{}", views_table(&views)),
    }
    Ok(())
}

/// The VMs of its data centre that one VM knows, compared with those that were found.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MemberView {
    /// The VM.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// The other VMs that it knows.
    pub knows: Vec<VmName>,
    /// VMs that were found and report that they serve, but that it does not know.
    pub lacks: Vec<VmName>,
    /// VMs that it knows but that were not found.
    pub not_found: Vec<VmName>,
}

impl MemberView {
    /// Returns whether the VM lacks no serving VM and knows none that was not found.
    pub fn is_complete(&self) -> bool {
        self.lacks.is_empty() && self.not_found.is_empty()
    }
}

/// Compares the view of each VM that answered with the VMs that were found. Sorted by data centre
/// and VM.
pub fn compare_views(state: &FleetState) -> Vec<MemberView> {
    let mut views: Vec<MemberView> =
        state.vms.values().map(|status| compare_view(status, state)).collect();
    views
        .sort_by(|left, right| (&left.data_centre, &left.vm).cmp(&(&right.data_centre, &right.vm)));
    views
}

fn compare_view(status: &StatusAnswer, state: &FleetState) -> MemberView {
    let knows: BTreeSet<VmName> = status.members.iter().map(|member| member.vm.clone()).collect();
    let same_centre = state.vms.values().filter(|other| other.data_centre == status.data_centre);
    let others: Vec<&StatusAnswer> = same_centre.filter(|other| other.vm != status.vm).collect();
    let found: BTreeSet<VmName> = others.iter().map(|other| other.vm.clone()).collect();
    let serving = others.iter().filter(|other| other.state == DaemonState::Serving);
    let lacks = serving.map(|other| other.vm.clone()).filter(|vm| !knows.contains(vm)).collect();
    MemberView {
        vm: status.vm.clone(),
        data_centre: status.data_centre.clone(),
        lacks,
        not_found: knows.difference(&found).cloned().collect(),
        knows: knows.into_iter().collect(),
    }
}

/// Returns the views as a table.
pub fn views_table(views: &[MemberView]) -> String {
    let heading = ["vm", "data centre", "knows", "lacks", "not found", "view"];
    let mut rows = vec![heading.map(str::to_owned).to_vec()];
    for view in views {
        rows.push(vec![
            view.vm.to_string(),
            view.data_centre.to_string(),
            view.knows.len().to_string(),
            format_names(&view.lacks),
            format_names(&view.not_found),
            if view.is_complete() { "agrees" } else { "DIFFERS" }.to_owned(),
        ]);
    }
    format_table(&rows)
}

fn format_names(vms: &[VmName]) -> String {
    match vms {
        [] => "-".to_owned(),
        vms => vms.iter().map(VmName::as_str).collect::<Vec<&str>>().join(" "),
    }
}
