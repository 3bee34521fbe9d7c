//! `foldhaven-testkit harm`: simulates poison requests, which crash their engines.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::harm::{PoisonPlan, SharingPolicy, run_trial};

/// Returns the `harm` subcommand.
pub fn make_subcommand() -> Command {
    let number = |name: &'static str, help: &'static str| {
        let arg = Arg::new(name).long(name).value_name("N");
        arg.value_parser(value_parser!(usize)).help(help)
    };
    Command::new("harm")
        .about("Simulates requests that end their engines, beside crashes that are nobody's fault")
        .after_help("Prints a JSON line for each way of telling and each seed.")
        .arg(number("vms", "How many VMs"))
        .arg(number("engines", "How many engines"))
        .arg(number("regions", "How many regions"))
        .arg(number("deadly", "How many bodies end their engines"))
        .arg(number("seeds", "How many seeds; 3 where none is named"))
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_name("PER_S")
                .value_parser(value_parser!(f64))
                .help("Innocent requests a second"),
        )
}

/// Runs `harm`.
pub fn execute(args: &ArgMatches) -> ExitCode {
    let defaults = PoisonPlan::default();
    let number = |name: &str, default: usize| args.get_one(name).copied().unwrap_or(default);
    let plan = PoisonPlan {
        vms: number("vms", defaults.vms),
        engines: number("engines", defaults.engines),
        regions: number("regions", defaults.regions),
        poison_bodies: number("deadly", defaults.poison_bodies),
        rate: args.get_one("rate").copied().unwrap_or(defaults.rate),
        ..defaults
    };
    for policy in [SharingPolicy::Shared, SharingPolicy::LocalOnly, SharingPolicy::Disabled] {
        for seed in 1..=number("seeds", 3) as u64 {
            let outcome = run_trial(plan, policy, seed);
            println!("{}", serde_json::to_string(&outcome).expect("typed outcomes are JSON"));
        }
    }
    ExitCode::SUCCESS
}
