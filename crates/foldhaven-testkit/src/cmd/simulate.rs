//! `foldhaven-testkit simulate`: simulates the routing decisions of the gateway, the discovery of
//! starting VMs, or the enforcement of an account limit, depending on the experiment file.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::limits::{self, LimitsExperiment, LimitsTrial, run_limits_trial};
use crate::membership::{self, MembershipExperiment, StartTrial, run_start_trial};
use crate::simulate::{Experiment, Trial, make_page, run_trial};

/// Returns the `simulate` subcommand.
pub fn make_subcommand() -> Command {
    let file = |name: &'static str, help: &'static str| {
        Arg::new(name).value_name("FILE").value_parser(value_parser!(PathBuf)).help(help)
    };
    Command::new("simulate")
        .about(
            "Plays the decisions of hundreds of VMs in simulated time; a JSON line for each trial",
        )
        .arg(file("experiment", "The experiment, in YAML").required(true))
        .arg(file("html", "Writes a page with plots").long("html"))
}

/// Runs `simulate`.
pub fn execute(args: &ArgMatches) -> ExitCode {
    let path: &PathBuf = args.get_one("experiment").expect("the argument is required");
    match run(path, args.get_one("html")) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("foldhaven-testkit: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(path: &std::path::Path, html: Option<&PathBuf>) -> Result<(), String> {
    if let Some(experiment) = MembershipExperiment::read(path).map_err(|error| error.to_string())? {
        return run_membership(&experiment, html);
    }
    if let Some(experiment) = LimitsExperiment::read(path).map_err(|error| error.to_string())? {
        return run_limits(&experiment, html);
    }
    let experiment = Experiment::read(path).map_err(|error| error.to_string())?;
    let mut trials: Vec<Trial> = Vec::new();
    for service in &experiment.service {
        for choice in &experiment.choice {
            for seed in &experiment.seeds {
                let trial = run_trial(&experiment, *service, *choice, *seed);
                let line = serde_json::to_string(&trial).map_err(|error| error.to_string())?;
                println!("{line}");
                trials.push(trial);
            }
        }
    }
    let Some(html) = html else { return Ok(()) };
    let page = make_page(&trials).map_err(|error| error.to_string())?;
    std::fs::write(html, page).map_err(|error| format!("writing {}: {error}", html.display()))
}

fn run_limits(experiment: &LimitsExperiment, html: Option<&PathBuf>) -> Result<(), String> {
    let mut trials: Vec<LimitsTrial> = Vec::new();
    for plan in experiment.plans() {
        for seed in &experiment.seeds {
            let trial = run_limits_trial(&plan, *seed);
            let line = serde_json::to_string(&trial).map_err(|error| error.to_string())?;
            println!("{line}");
            trials.push(trial);
        }
    }
    let Some(html) = html else { return Ok(()) };
    let page = limits::make_page(&trials).map_err(|error| error.to_string())?;
    std::fs::write(html, page).map_err(|error| format!("writing {}: {error}", html.display()))
}

fn run_membership(experiment: &MembershipExperiment, html: Option<&PathBuf>) -> Result<(), String> {
    let mut trials: Vec<StartTrial> = Vec::new();
    for plan in experiment.plans() {
        let trial = run_start_trial(&plan, experiment.runs);
        let line = serde_json::to_string(&trial).map_err(|error| error.to_string())?;
        println!("{line}");
        trials.push(trial);
    }
    let Some(html) = html else { return Ok(()) };
    let page = membership::make_page(&trials).map_err(|error| error.to_string())?;
    std::fs::write(html, page).map_err(|error| format!("writing {}: {error}", html.display()))
}
