//! `foldhaven-testkit scenario`: runs scenario files and prints the timeline of each failed one.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

use super::block_on;
use crate::demo::read_example;
use crate::scenario::{ScenarioReport, parse_scenario, run_scenario};

/// Returns the `scenario` subcommand.
pub fn make_subcommand() -> Command {
    Command::new("scenario")
        .about("Runs scenario files, or all of a folder")
        .after_help("Example: foldhaven-testkit scenario crates/foldhaven-testkit/tests/scenarios")
        .arg(
            Arg::new("paths")
                .value_name("PATH")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("verbose")
                .long("verbose")
                .action(clap::ArgAction::SetTrue)
                .help("Print the timeline of scenarios that pass, too"),
        )
}

/// Runs `scenario`. Exits with 0 if every scenario passed.
pub fn execute(args: &ArgMatches) -> ExitCode {
    let paths: Vec<PathBuf> = args.get_many("paths").expect("it is required").cloned().collect();
    let is_verbose = args.get_flag("verbose");
    block_on(run_all(paths, is_verbose))
}

/// Returns the scenario files in a folder, sorted by name, or the given file itself.
///
/// # Errors
///
/// Fails if the folder can't be read.
pub fn scenario_files(path: &Path) -> io::Result<Vec<PathBuf>> {
    if path.is_file() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in std::fs::read_dir(path)? {
        let path = entry?.path();
        if path.extension().is_some_and(|extension| extension == "scenario") {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

/// Runs one scenario file on a fleet described by `small.yaml` in the same folder.
///
/// # Errors
///
/// Fails if the file can't be read or parsed, or if the fleet can't be started.
pub async fn run_file(program: PathBuf, path: &Path) -> io::Result<ScenarioReport> {
    let text = std::fs::read_to_string(path)?;
    let mut scenario = parse_scenario(&text)
        .map_err(|error| io::Error::other(format!("{}: {error}", path.display())))?;
    if scenario.name.is_empty() {
        let stem = path.file_stem().unwrap_or_default();
        scenario.name = stem.to_string_lossy().into_owned();
    }
    let folder = path.parent().unwrap_or(Path::new("."));
    let description = read_example(folder, "small").map_err(io::Error::other)?;
    run_scenario(program, description, &scenario).await
}

/// Prints a report. The timeline is included only if the scenario failed or `is_verbose` is set.
pub fn print_report(report: &ScenarioReport, is_verbose: bool) {
    let verdict = if report.failures.is_empty() { "ok" } else { "FAILED" };
    let ScenarioReport { name, judged, faults, .. } = report;
    println!("{name}: {verdict} ({faults} faults, {judged} requests judged)");
    if report.failures.is_empty() && !is_verbose {
        return;
    }
    for line in report.failures.iter().chain(&report.timeline).chain(&report.logs) {
        println!("    {line}");
    }
}

async fn run_all(paths: Vec<PathBuf>, is_verbose: bool) -> io::Result<bool> {
    let program = std::env::current_exe()?;
    let (mut passed, mut failed) = (0, 0);
    for path in paths {
        for file in scenario_files(&path)? {
            let report = run_file(program.clone(), &file).await?;
            print_report(&report, is_verbose);
            match report.failures.is_empty() {
                true => passed += 1,
                false => failed += 1,
            }
        }
    }
    println!("{passed} passed, {failed} failed");
    Ok(failed == 0)
}
