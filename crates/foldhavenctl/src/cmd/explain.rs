//! `foldhavenctl explain`: shows where a request would be routed, and why.

use clap::{Arg, ArgMatches, Command};
use foldhaven_core::planner::RouteTarget;
use foldhaven_wire::operator::ExplainAnswer;

use super::{json_arg, make_client, print_json, vm_arg};
use crate::error::CtlError;
use crate::table::format_table;

/// Each query field with the name of its argument and its help text.
const FIELDS: [(&str, &str, &str); 6] = [
    ("account", "account", "The account"),
    ("class", "class", "The request class"),
    ("deadline_ms", "deadline-ms", "The deadline in milliseconds, if not the one of the class"),
    ("worth", "worth", "The worth, if not the one of the class"),
    ("prompt_tokens", "prompt-tokens", "The length of the prompt"),
    ("max_tokens", "max-tokens", "The longest answer"),
];

/// Returns the command-line definition of `explain`.
pub fn make_subcommand() -> Command {
    let command = Command::new("explain")
        .about("Shows where a request would go, and why")
        .after_help(
            "Example: foldhavenctl explain --account bar-council --class digest --vm \
             127.10.1.1:7001\n\nThe numbers are those of a real decision at that VM. The option \
             with the lowest price is taken, unless refusing is cheaper.",
        )
        .arg(vm_arg())
        .arg(json_arg());
    FIELDS.iter().fold(command, |command, (name, long, help)| {
        let arg = Arg::new(*name).long(*long).help(*help);
        command.arg(arg.required(matches!(*name, "account" | "class")))
    })
}

/// Runs `explain`.
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
    let path = format!("/operator/v1/explain?{}", query.join("&"));
    let answer: ExplainAnswer = client.get("explaining", client.seed_addresses()[0], &path).await?;
    if args.get_flag("json") {
        print_json(&answer);
        return Ok(());
    }
    println!("{} in {}, by {}", answer.vm, answer.data_centre, answer.stamp);
    print!("{}", option_table(&answer));
    println!("refusing costs {:.4}", answer.plan.refusal);
    match answer.plan.choice() {
        Some(option) => println!("taken: {}", option.target.name()),
        None => println!("refused; come back after {:?}", answer.plan.retry_after),
    }
    Ok(())
}

fn option_table(answer: &ExplainAnswer) -> String {
    let heading = [
        "place", "kind", "estimate", "wait", "cached", "late", "lateness", "away", "cost",
        "pressure", "price",
    ];
    let mut rows = vec![heading.map(str::to_owned).to_vec()];
    for option in &answer.plan.options {
        let kind = match option.target {
            RouteTarget::Engine(_) => "engine",
            RouteTarget::Centre(_) => "data centre",
        };
        let price = option.price;
        rows.push(vec![
            option.target.name().to_owned(),
            kind.to_owned(),
            format!("{:.0?}", option.estimate),
            format!("{:.0?}", option.wait),
            format!("{} tok", option.cached_tokens),
            format!("{:.1}%", option.chance_late * 100.0),
            format!("{:.4}", price.lateness),
            format!("{:.4}", price.away),
            format!("{:.4}", price.cost),
            format!("{:.4}", price.pressure),
            format!("{:.4}", price.total()),
        ]);
    }
    format_table(&rows)
}
