//! Subcommands for the processes of a fleet: stand-in platform, engine and service, and a daemon.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};

use super::block_on;
use crate::stand_in::engine::{EngineSettings, run_engine};
use crate::stand_in::engine_state::EngineOptions;
use crate::stand_in::platform::run_platform;
use crate::stand_in::service::{ServiceSettings, run_service};

fn text(name: &'static str) -> Arg {
    Arg::new(name).long(name).required(true)
}

fn address(name: &'static str) -> Arg {
    text(name).value_parser(value_parser!(SocketAddr))
}

fn path(name: &'static str) -> Arg {
    text(name).value_parser(value_parser!(PathBuf))
}

fn number(name: &'static str) -> Arg {
    text(name).value_parser(value_parser!(u64))
}

fn get<T: Clone + Send + Sync + 'static>(args: &ArgMatches, name: &str) -> T {
    args.get_one::<T>(name).expect("the argument is required").clone()
}

/// Returns the `platform` subcommand.
pub fn make_platform() -> Command {
    Command::new("platform")
        .about("A stand-in platform")
        .arg(address("address"))
        .arg(path("content"))
}

/// Returns the `engine` subcommand.
pub fn make_engine() -> Command {
    Command::new("engine")
        .about("A stand-in model engine")
        .arg(text("name"))
        .arg(text("data-centre"))
        .arg(address("address"))
        .arg(address("platform"))
        .arg(path("ledger"))
        .arg(number("cache-blocks"))
        .arg(number("report-lag-ms"))
        .arg(number("incarnation"))
        .arg(text("checks-fences").value_parser(value_parser!(bool)))
}

/// Returns the `service` subcommand.
pub fn make_service() -> Command {
    Command::new("service")
        .about("A stand-in plain service")
        .arg(text("name"))
        .arg(text("data-centre"))
        .arg(address("address"))
        .arg(path("ledger"))
}

/// Returns the `vm` subcommand.
pub fn make_vm() -> Command {
    Command::new("vm").about("A foldhaven daemon").arg(path("settings"))
}

/// Exits this process when its parent has exited, which closes the pipe on standard input.
pub fn exit_with_parent() {
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(0);
    });
}

/// Runs `platform`.
pub fn execute_platform(args: &ArgMatches) -> ExitCode {
    let content: PathBuf = get(args, "content");
    block_on(async {
        let content = serde_json::from_slice(&std::fs::read(content)?)?;
        run_platform(get(args, "address"), content).await.map(|()| true)
    })
}

/// Runs `engine`.
pub fn execute_engine(args: &ArgMatches) -> ExitCode {
    let options = EngineOptions {
        name: get(args, "name"),
        cache_blocks: get::<u64>(args, "cache-blocks") as usize,
        report_lag: Duration::from_millis(get(args, "report-lag-ms")),
        checks_fences: get(args, "checks-fences"),
        incarnation: get(args, "incarnation"),
    };
    let settings = EngineSettings {
        options,
        data_centre: get(args, "data-centre"),
        address: get(args, "address"),
        platform: get(args, "platform"),
        ledger: get(args, "ledger"),
    };
    block_on(async { run_engine(settings).await.map(|()| true) })
}

/// Runs `service`.
pub fn execute_service(args: &ArgMatches) -> ExitCode {
    let settings = ServiceSettings {
        name: get(args, "name"),
        data_centre: get(args, "data-centre"),
        address: get(args, "address"),
        ledger: get(args, "ledger"),
    };
    block_on(async { run_service(settings).await.map(|()| true) })
}
