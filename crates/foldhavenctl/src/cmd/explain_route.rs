//! `foldhavenctl explain-route`: shows where the gateway would route an opaque request, and why.

use clap::{Arg, ArgMatches, Command};
use foldhaven_wire::operator::RouteExplanation;

use super::{json_arg, make_client, print_json, vm_arg};
use crate::error::CtlError;
use crate::table::format_table;

/// Each query field with the name of its argument and its help text.
const FIELDS: [(&str, &str, &str); 5] = [
    ("host", "host", "The host that the request names"),
    ("path", "path", "Its path"),
    ("prompt", "prompt", "The parts of its prompt in order, ID:TOKENS separated by commas"),
    ("output_tokens", "output-tokens", "The longest answer in tokens"),
    ("body_bytes", "body-bytes", "The length of its body"),
];

/// Returns the command-line definition of `explain-route`.
pub fn make_subcommand() -> Command {
    let command = Command::new("explain-route")
        .about("Shows where a request of the gateway would go, and why")
        .after_help(
            "Example: foldhavenctl explain-route --vm 127.10.1.1:8146 --host desk.example \
             --path /lookup/1 --prompt 5c1e:800,91bd:410\n\nPrices are shares of what the request \
             is worth. The cheapest place is taken; another region only when it is cheaper by the \
             margin.",
        )
        .arg(vm_arg())
        .arg(json_arg());
    FIELDS.iter().fold(command, |command, (name, long, help)| {
        let arg = Arg::new(*name).long(*long).help(*help);
        command.arg(arg.required(matches!(*name, "host" | "path")))
    })
}

/// Runs `explain-route`.
///
/// # Errors
///
/// Returns an error if the VM cannot be reached or refuses the query.
pub async fn execute(args: &ArgMatches) -> Result<(), CtlError> {
    let client = make_client(args)?;
    let pairs = FIELDS.iter().filter_map(|(name, ..)| {
        args.get_one::<String>(name).map(|value| format!("{name}={value}"))
    });
    let query: Vec<String> = pairs.collect();
    let path = format!("/operator/v1/explain-route?{}", query.join("&"));
    let answer: RouteExplanation =
        client.get("explaining", client.seed_addresses()[0], &path).await?;
    match args.get_flag("json") {
        true => print_json(&answer),
        false => print!("{}", explanation_text(&answer)),
    }
    Ok(())
}

/// Returns the explanation as text with a table of the destinations.
pub fn explanation_text(answer: &RouteExplanation) -> String {
    let homes = match answer.homes.as_slice() {
        [] => "any region".to_owned(),
        homes => homes.join(", "),
    };
    let RouteExplanation { vm, data_centre, version, route, service, .. } = answer;
    format!(
        "{vm} in {data_centre}, by version {version}\nroute {route}, service {service}, may run in \
         {homes}\n{}{}another region must be cheaper by {:.2}\n",
        level_text(answer),
        destination_table(answer),
        answer.region_margin,
    )
}

/// Returns a line on the priority level, empty if there is none.
fn level_text(answer: &RouteExplanation) -> String {
    let Some(level) = answer.level else { return String::new() };
    let RouteExplanation { waiting, returning, .. } = answer;
    format!(
        "priority level {level}, {waiting} requests wait at this VM, {returning} refused callers are \
         expected\n"
    )
}

fn destination_table(answer: &RouteExplanation) -> String {
    let heading = [
        "place",
        "kind",
        "first",
        "reads",
        "time",
        "rereading",
        "pauses",
        "failures",
        "moving",
        "price",
        "room",
    ];
    let mut rows = vec![heading.map(str::to_owned).to_vec()];
    for place in &answer.destinations {
        let breakdown = place.breakdown;
        rows.push(vec![
            place.name.clone(),
            if place.is_remote { "region" } else { "upstream" }.to_owned(),
            format!("{} ms", place.time_to_first_ms),
            format!("{} tok", place.prefill_tokens),
            format!("{:.3}", breakdown.time),
            format!("{:.3}", breakdown.repeated_prefill),
            format!("{:.3}", breakdown.prefill_interference),
            format!("{:.3}", breakdown.failures),
            format!("{:.3}", breakdown.transfer),
            format!("{:.3}", breakdown.total().0),
            if place.has_room { "yes" } else { "no" }.to_owned(),
        ]);
    }
    format_table(&rows)
}
