//! `foldhavenctl entries`: shows the entry VMs that a caller would get.

use std::net::SocketAddr;

use clap::{Arg, ArgMatches, Command, value_parser};
use foldhaven_wire::caller::EntriesAnswer;

use super::{json_arg, print_json};
use crate::client::OperatorClient;
use crate::error::CtlError;
use crate::table::format_table;

/// Returns the command-line definition of `entries`.
pub fn make_subcommand() -> Command {
    Command::new("entries")
        .about("Shows which entry VMs a caller would be told to use")
        .after_help("Example: foldhavenctl entries --caller 127.10.1.1:7000 --account bar-council")
        .arg(
            Arg::new("caller")
                .long("caller")
                .value_name("ADDRESS")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("Caller address of the VM to ask"),
        )
        .arg(Arg::new("account").long("account").help("The account of the caller"))
        .arg(json_arg())
}

/// Runs `entries`.
///
/// # Errors
///
/// Returns an error if the VM cannot be reached.
pub async fn execute(args: &ArgMatches) -> Result<(), CtlError> {
    let address = *args.get_one::<SocketAddr>("caller").expect("the argument is required");
    let account = args.get_one::<String>("account").map_or("", String::as_str);
    let client = OperatorClient::new(vec![address])?;
    let path = format!("/v1/entries?account={account}");
    let answer: EntriesAnswer = client.get("asking for entry VMs", address, &path).await?;
    if args.get_flag("json") {
        print_json(&answer);
        return Ok(());
    }
    let mut rows =
        vec![["preference", "weight", "vm", "data centre", "address"].map(str::to_owned)];
    rows.extend(answer.entries.iter().map(|entry| {
        [
            entry.preference.to_string(),
            entry.weight.to_string(),
            entry.vm.to_string(),
            entry.data_centre.to_string(),
            entry.address.to_string(),
        ]
    }));
    print!("{}", format_table(&rows));
    println!("holds for {}ms", answer.valid_for_ms);
    Ok(())
}
