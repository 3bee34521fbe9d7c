//! `foldhavenctl accounts`: shows the accounts that one VM knows, their limits and the VM's shares
//! of them.

use clap::{ArgMatches, Command};
use foldhaven_wire::operator::AccountsAnswer;

use super::{json_arg, make_client, print_json, vm_arg};
use crate::client::OperatorClient;
use crate::error::CtlError;
use crate::table::format_table;

/// Returns the command-line definition of `accounts`.
pub fn make_subcommand() -> Command {
    Command::new("accounts")
        .about("Shows the accounts that one VM knows, their limits and its parts of them")
        .after_help(
            "Example: foldhavenctl accounts --vm 127.10.1.1:8146\n\nA limit holds over all VMs together. \
             Each tells what its callers want, and has a part by that. For VMs and regions that it does not \
             hear a part is set aside; the first line says how many these are.",
        )
        .arg(vm_arg())
        .arg(json_arg())
}

/// Runs `accounts`.
///
/// # Errors
///
/// Returns an error if the VM cannot be reached.
pub async fn execute(args: &ArgMatches) -> Result<(), CtlError> {
    let answer = list(&make_client(args)?).await?;
    match args.get_flag("json") {
        true => print_json(&answer),
        false => print!("{}", accounts_text(&answer)),
    }
    Ok(())
}

/// Reads the accounts from the first VM.
///
/// # Errors
///
/// Returns an error if the VM cannot be reached.
pub async fn list(client: &OperatorClient) -> Result<AccountsAnswer, CtlError> {
    client.get("reading accounts", client.seed_addresses()[0], "/operator/v1/accounts").await
}

/// Returns the accounts as a table, below a line on the VMs and regions that share the limits.
pub fn accounts_text(answer: &AccountsAnswer) -> String {
    let heading = [
        "account",
        "keys",
        "homes",
        "limit a second",
        "part",
        "age",
        "wanted",
        "left",
        "let through",
        "refused",
    ];
    let mut rows = vec![heading.map(str::to_owned).to_vec()];
    let number = |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.1}"));
    for row in &answer.rows {
        let unit = row.unit.as_deref().unwrap_or_default();
        rows.push(vec![
            row.account.clone(),
            row.keys.to_string(),
            if row.homes.is_empty() { "all".to_owned() } else { row.homes.join(" ") },
            row.per_s.map_or("none".to_owned(), |per_s| format!("{per_s} {unit}")),
            number(row.share_per_s),
            row.share_age_ms.map_or("-".to_owned(), |age| format!("{age} ms")),
            number(row.demand_per_s),
            number(row.level),
            format!("{:.0}", row.let_through),
            row.refused.to_string(),
        ]);
    }
    let AccountsAnswer { vm, regions, silent_regions, vms, silent_vms, is_informed, .. } = answer;
    let learning = if *is_informed { "" } else { ", still learning who there is" };
    format!(
        "{vm}: {vms} VMs in the region, {silent_vms} not heard; {regions} regions, {silent_regions} not \
         heard or not hearing this one{learning}\n{}",
        format_table(&rows)
    )
}
