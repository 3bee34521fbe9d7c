//! `foldhaven-testkit measure`: compares routing policies, or measures the overhead of the gateway
//! or the cost of the control plane by fleet size.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use foldhaven_core::policy::PolicyKind;
use futures::StreamExt;

use super::block_on;
use crate::demo::read_example;
use crate::measure::load::{RunResult, RunSpec, measure_run};
use crate::measure::overhead::{OverheadRow, measure_overhead};
use crate::measure::profile::ProfileKind;
use crate::measure::slopes::{SlopeRow, default_sizes, measure_size};

const POLICIES: [PolicyKind; 4] =
    [PolicyKind::Planner, PolicyKind::Home, PolicyKind::Random, PolicyKind::LeastLoaded];

/// Returns the `measure` subcommand.
pub fn make_subcommand() -> Command {
    let list = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_delimiter(',').action(ArgAction::Append).help(help)
    };
    let flag = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
    };
    Command::new("measure")
        .about("Measures policies side by side, the gateway's overhead, or what control costs")
        .after_help(
            "Examples: foldhaven-testkit measure --all\n          foldhaven-testkit measure \
             --user guild --profile peak --policy planner,least_loaded\n          \
             foldhaven-testkit measure --overhead\n          foldhaven-testkit measure --slopes",
        )
        .arg(flag("all", "Every user, profile and policy"))
        .arg(flag("overhead", "What the gateway adds over a direct call"))
        .arg(flag("slopes", "What control costs an idle daemon, against the size of the fleet"))
        .arg(flag("json", "Print JSON"))
        .arg(list("user", "kilima, guild"))
        .arg(list("profile", "The profiles; all when absent"))
        .arg(
            list("policy", "The policies; all when absent").value_parser(value_parser!(PolicyKind)),
        )
        .arg(number("seconds", "20", "The length of a run"))
        .arg(number("seed", "7", "What the requests are drawn from"))
        .arg(number("at-once", "1", "How many fleets run at once"))
        .arg(
            Arg::new("previous")
                .long("previous")
                .value_name("BINARY")
                .value_parser(value_parser!(PathBuf))
                .help("The testkit of an earlier version, to run beside"),
        )
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64)).help(help)
}

fn number_arg(args: &ArgMatches, name: &str) -> u64 {
    *args.get_one(name).expect("the argument has a default")
}

/// Runs `measure`.
pub fn execute(args: &ArgMatches) -> ExitCode {
    block_on(async move {
        let program = std::env::current_exe()?;
        let examples = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples"));
        let small = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios"));
        let is_json = args.get_flag("json");
        if args.get_flag("overhead") {
            let description = read_example(small, "small").map_err(io::Error::other)?;
            let rows = measure_overhead(program, description).await?;
            rows.iter().for_each(|row| print_overhead(row, is_json));
        } else if args.get_flag("slopes") {
            let description = read_example(small, "small").map_err(io::Error::other)?;
            for size in default_sizes() {
                match measure_size(program.clone(), &description, size).await {
                    Ok(row) => print_slope(&row, is_json),
                    Err(error) => println!("{size:?}: not measured: {error}"),
                }
            }
        } else {
            run_profiles(args, program, examples).await?;
        }
        io::Result::Ok(true)
    })
}

async fn run_profiles(args: &ArgMatches, program: PathBuf, examples: &Path) -> io::Result<()> {
    let chosen = |name: &str| -> Vec<String> {
        args.get_many::<String>(name).unwrap_or_default().cloned().collect()
    };
    let is_chosen =
        |list: &[String], name: &str| list.is_empty() || list.iter().any(|it| it == name);
    let (users, profiles) = (chosen("user"), chosen("profile"));
    let policies: Vec<PolicyKind> =
        args.get_many::<PolicyKind>("policy").unwrap_or_default().copied().collect();
    let previous = args.get_one::<PathBuf>("previous");
    let mut specs = Vec::new();
    for user in ["kilima", "guild"].into_iter().filter(|user| is_chosen(&users, user)) {
        let description = read_example(examples, user).map_err(io::Error::other)?;
        for kind in ProfileKind::ALL.into_iter().filter(|it| is_chosen(&profiles, it.name())) {
            let spec = |policy: PolicyKind, label: String, program: PathBuf| RunSpec {
                user: user.to_owned(),
                description: description.clone(),
                kind,
                policy,
                label,
                program,
                length: Duration::from_secs(number_arg(args, "seconds")),
                seed: number_arg(args, "seed"),
            };
            let all =
                POLICIES.into_iter().filter(|it| policies.is_empty() || policies.contains(it));
            specs.extend(all.map(|policy| spec(policy, policy.to_string(), program.clone())));
            let earlier =
                |path: &PathBuf| spec(PolicyKind::Planner, "previous".into(), path.clone());
            specs.extend(previous.map(earlier));
        }
    }
    let at_once = number_arg(args, "at-once") as usize;
    let is_json = args.get_flag("json");
    if !is_json {
        println!(
            "{:<7} {:<13} {:<12} {:>6} {:>8} {:>17} {:>17} {:>6} {:>7} {:>8} {:>8} {:>17}  refused",
            "user",
            "profile",
            "policy",
            "asks",
            "on time",
            "first 50/99 ms",
            "whole 50/99 ms",
            "away",
            "cost",
            "est err",
            "recover",
            "goodput b/d/a"
        );
    }
    let mut runs = futures::stream::iter(&specs).map(measure_run).buffered(at_once);
    while let Some(run) = runs.next().await {
        print_run(&run?, is_json);
    }
    Ok(())
}

fn print_run(run: &RunResult, is_json: bool) {
    if is_json {
        return println!("{}", serde_json::to_string(run).expect("a result is JSON"));
    }
    let pair = |times: &[f64; 3]| format!("{:.0}/{:.0}", times[0], times[2]);
    let goodput: Vec<String> = run.goodput.iter().map(|rate| format!("{rate:.0}")).collect();
    let recovered = run.recovered_s.map_or("-".to_owned(), |seconds| format!("{seconds:.0}s"));
    println!(
        "{:<7} {:<13} {:<12} {:>6} {:>7.1}% {:>17} {:>17} {:>5.1}% {:>7.3} {:>7.1}% {:>8} {:>17}  {:?}",
        run.user,
        run.profile,
        run.policy,
        run.requests,
        run.on_time_share * 100.0,
        pair(&run.first_ms),
        pair(&run.complete_ms),
        run.remote_share * 100.0,
        run.cost,
        run.estimate_error * 100.0,
        recovered,
        goodput.join("/"),
        run.refusals
    );
}

fn print_overhead(row: &OverheadRow, is_json: bool) {
    if is_json {
        return println!("{}", serde_json::to_string(row).expect("a row is JSON"));
    }
    println!(
        "{} in flight: first p50/p99 direct {:.2}/{:.2} gateway {:.2}/{:.2} ms; whole direct \
         {:.2}/{:.2} gateway {:.2}/{:.2} ms; added {:.2}/{:.2} ms; ratio {:.3}/{:.3}",
        row.in_flight,
        row.direct_first_ms[0],
        row.direct_first_ms[2],
        row.gateway_first_ms[0],
        row.gateway_first_ms[2],
        row.direct_whole_ms[0],
        row.direct_whole_ms[2],
        row.gateway_whole_ms[0],
        row.gateway_whole_ms[2],
        row.added_ms[0],
        row.added_ms[1],
        row.ratio[0],
        row.ratio[1]
    );
}

fn print_slope(row: &SlopeRow, is_json: bool) {
    if is_json {
        return println!("{}", serde_json::to_string(row).expect("a row is JSON"));
    }
    println!(
        "{:>3} data centres x {:>2} VMs, {:>2} engines each, {:>4} accounts: cpu {:.2}% (max {:.2}), \
         memory {:.1} MiB (max {:.1}), control {:.2} KB/s (max {:.2}), platform {:.2} calls/s, in \
         force after {:.0} ms (max {:.0}), {:.2} KB per change",
        row.size.centres,
        row.size.vms,
        row.size.engines,
        row.size.accounts,
        row.cpu_percent[0],
        row.cpu_percent[1],
        row.memory_mib[0],
        row.memory_mib[1],
        row.control_kb[0],
        row.control_kb[1],
        row.platform_calls,
        row.propagation_ms[0],
        row.propagation_ms[1],
        row.kb_per_change
    );
}
