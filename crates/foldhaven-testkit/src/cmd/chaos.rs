//! `foldhaven-testkit chaos`: random fault schedules from seeds.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use foldhaven_core::description::Description;
use futures::StreamExt;

use super::block_on;
use super::scenario::print_report;
use crate::demo::read_example;
use crate::scenario::{ChaosSchedule, Scenario, run_scenario, shrink_schedule};

/// Returns the `chaos` subcommand.
pub fn make_subcommand() -> Command {
    Command::new("chaos")
        .about("Runs random fault schedules from seeds")
        .after_help("Example: foldhaven-testkit chaos --seeds 1..20")
        .arg(Arg::new("seeds").long("seeds").value_name("A..B").default_value("1..8"))
        .arg(
            Arg::new("at-once")
                .long("at-once")
                .value_name("N")
                .value_parser(value_parser!(usize))
                .default_value("3")
                .help("How many fleets run at once"),
        )
        .arg(
            Arg::new("shrink")
                .long("shrink")
                .action(clap::ArgAction::SetTrue)
                .help("Take steps out of what fails while it goes on failing"),
        )
        .arg(
            Arg::new("fleet")
                .long("fleet")
                .value_name("FOLDER")
                .value_parser(value_parser!(PathBuf))
                .default_value(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios"))
                .help("Where small.yaml stands"),
        )
}

/// Runs `chaos`. Exits with 0 if no run violated a guarantee.
pub fn execute(args: &ArgMatches) -> ExitCode {
    let seeds: &String = args.get_one("seeds").expect("it has a default");
    let Some((from, to)) = read_range(seeds) else {
        eprintln!("foldhaven-testkit: --seeds: expected A..B, got {seeds}");
        return ExitCode::from(2);
    };
    let at_once = *args.get_one("at-once").expect("it has a default");
    let folder: PathBuf = args.get_one::<PathBuf>("fleet").expect("it has a default").clone();
    block_on(async move {
        let description = read_example(&folder, "small").map_err(io::Error::other)?;
        run_seeds(description, from..=to, at_once, args.get_flag("shrink")).await
    })
}

fn read_range(text: &str) -> Option<(u64, u64)> {
    let (from, to) = text.split_once("..")?;
    Some((from.parse().ok()?, to.parse().ok()?))
}

async fn run_seeds(
    description: Description,
    seeds: std::ops::RangeInclusive<u64>,
    at_once: usize,
    should_shrink: bool,
) -> io::Result<bool> {
    let program = std::env::current_exe()?;
    let runs = seeds.map(|seed| {
        let (program, description) = (program.clone(), description.clone());
        async move {
            let scenario = ChaosSchedule::draw(seed);
            let report = run_scenario(program, description, &scenario).await?;
            print_report(&report, false);
            io::Result::Ok((scenario, report))
        }
    });
    let mut runs = futures::stream::iter(runs).buffer_unordered(at_once);
    let (mut passed, mut failed, mut faults, mut judged) = (0, Vec::new(), 0, 0);
    while let Some(run) = runs.next().await {
        let (scenario, report) = run?;
        faults += report.faults;
        judged += report.judged;
        match report.failures.is_empty() {
            true => passed += 1,
            false => failed.push(scenario),
        }
    }
    drop(runs);
    if should_shrink && let Some(scenario) = failed.first() {
        let smallest = shrink(program, description, scenario.clone()).await;
        println!("{smallest}");
    }
    println!("{faults} faults injected, {judged} requests judged");
    println!("{passed} passed, {} failed", failed.len());
    Ok(failed.is_empty())
}

async fn shrink(program: PathBuf, description: Description, scenario: Scenario) -> Scenario {
    shrink_schedule(scenario, async |smaller: &Scenario| {
        let run = run_scenario(program.clone(), description.clone(), smaller).await;
        run.is_ok_and(|report| !report.failures.is_empty())
    })
    .await
}
