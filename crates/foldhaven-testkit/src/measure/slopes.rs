//! What control costs a daemon, against members, data centres, engines and accounts: from real
//! idle daemons, read out of `/proc` and `/metrics`.

use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use foldhaven_core::description::{
    AccountConfig, DeploymentConfig, Description, RegionConfig, ResidencyConfig,
};
use foldhaven_wire::platform::ValueBundle;
use serde::Serialize;

use crate::fleet::{Fleet, FleetOptions};

/// How long an idle fleet is watched.
const WATCH: Duration = Duration::from_secs(10);
/// Clock ticks a second in `/proc`, as Linux has it on all common machines.
const TICKS_PER_SECOND: f64 = 100.0;
const CHANGES: usize = 5;

/// The size of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct FleetSize {
    /// Data centres, three to a region.
    pub centres: usize,
    /// VMs in each.
    pub vms: usize,
    /// Engines in each.
    pub engines: u32,
    /// Client accounts.
    pub accounts: usize,
}

/// What an idle daemon of such a fleet costs, as a mean over its daemons and as the highest.
#[derive(Debug, Clone, Serialize)]
pub struct SlopeRow {
    /// The size.
    pub size: FleetSize,
    /// Processor time, in percent of a core: mean and highest.
    pub cpu_percent: [f64; 2],
    /// Resident memory in MiB: mean and highest.
    pub memory_mib: [f64; 2],
    /// Control bytes sent and received a second, in KB: mean and highest.
    pub control_kb: [f64; 2],
    /// Calls to the platform a second, of the whole fleet.
    pub platform_calls: f64,
    /// Milliseconds until a change was in force on every daemon: mean and highest.
    pub in_force_ms: [f64; 2],
    /// Control bytes of the whole fleet per change, over those of an idle one, per daemon in KB.
    pub change_kb: f64,
}

/// The sizes that are measured: one axis is varied at a time.
pub fn default_sizes() -> Vec<FleetSize> {
    let size = |centres, vms, engines, accounts| FleetSize { centres, vms, engines, accounts };
    vec![
        size(3, 3, 1, 10),
        size(3, 8, 1, 10),
        size(3, 16, 1, 10),
        size(3, 24, 1, 10),
        size(12, 1, 0, 10),
        size(24, 1, 0, 10),
        size(48, 1, 0, 10),
        size(84, 1, 0, 10),
        size(3, 3, 8, 10),
        size(3, 3, 24, 10),
        size(3, 3, 1, 1_000),
    ]
}

/// Starts a fleet of that size and measures its idle daemons, then its changes.
///
/// # Errors
///
/// When the fleet cannot be started or does not answer.
pub async fn measure_size(
    program: PathBuf,
    base: &Description,
    size: FleetSize,
) -> io::Result<SlopeRow> {
    let description = sized(base, size);
    let options = FleetOptions {
        vms: size.vms,
        services: 0,
        relay: false,
        log: "warn".to_owned(),
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(program, description.clone(), options).await?;
    let names: Vec<String> = fleet.vms.keys().cloned().collect();
    let calls_before = platform_calls(&fleet).await;
    let before = read_all(&fleet, &names).await?;
    let started = Instant::now();
    tokio::time::sleep(WATCH).await;
    let after = read_all(&fleet, &names).await?;
    let seconds = started.elapsed().as_secs_f64();
    let calls = platform_calls(&fleet).await - calls_before;
    let rates = |read: &dyn Fn(&DaemonCost) -> f64| {
        let pairs = before.iter().zip(&after);
        mean_and_highest(pairs.map(|(before, after)| (read(after) - read(before)) / seconds))
    };
    let control_kb = rates(&|cost| cost.control_bytes / 1_000.0);
    let (in_force_ms, change_kb) =
        measure_changes(&fleet, &names, description, control_kb[0]).await?;
    Ok(SlopeRow {
        size,
        cpu_percent: rates(&|cost| cost.cpu_seconds * 100.0),
        memory_mib: mean_and_highest(after.iter().map(|cost| cost.memory_mib)),
        control_kb,
        platform_calls: calls / seconds,
        in_force_ms,
        change_kb,
    })
}

/// A description of that size with the models and classes of `base`.
fn sized(base: &Description, size: FleetSize) -> Description {
    let mut description = base.clone();
    let centre = |at: usize| format!("dc-{at:03}").parse().expect("a data centre name");
    let regions = size.centres.div_ceil(3);
    description.regions = (0..regions)
        .map(|region| RegionConfig {
            name: format!("region-{region:02}").parse().expect("a region name"),
            data_centres: (region * 3..(region * 3 + 3).min(size.centres)).map(centre).collect(),
            price: 1.0,
        })
        .collect();
    let names: Vec<_> = description.regions.iter().map(|region| region.name.clone()).collect();
    let model = description.models[0].name.clone();
    description.deployments = (0..size.centres)
        .filter(|_| size.engines > 0)
        .map(|at| DeploymentConfig {
            model: model.clone(),
            data_centre: centre(at),
            engines: size.engines,
        })
        .collect();
    description.residency = description
        .residency
        .iter()
        .map(|rule| ResidencyConfig { regions: names.clone(), ..rule.clone() })
        .collect();
    let account = description.accounts[0].clone();
    description.accounts = (0..size.accounts)
        .map(|at| AccountConfig {
            name: format!("account-{at:04}").parse().expect("an account name"),
            home: names[at % names.len()].clone(),
            ..account.clone()
        })
        .collect();
    description
}

/// What one daemon has spent so far.
#[derive(Debug, Clone, Copy)]
struct DaemonCost {
    cpu_seconds: f64,
    memory_mib: f64,
    control_bytes: f64,
}

async fn read_all(fleet: &Fleet, names: &[String]) -> io::Result<Vec<DaemonCost>> {
    let mut costs = Vec::new();
    for name in names {
        costs.push(read_cost(fleet, name).await?);
    }
    Ok(costs)
}

async fn read_cost(fleet: &Fleet, name: &str) -> io::Result<DaemonCost> {
    let gone = || io::Error::other(format!("{name} does not run"));
    let id = fleet.process_id(name).ok_or_else(gone)?;
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|it| it.parse::<f64>().ok()).unwrap_or(0.0);
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident = resident.and_then(|it| it.split_whitespace().next()?.parse::<f64>().ok());
    let address = fleet.vms[name].settings.addresses.peer;
    let page = fleet.client.get(format!("http://{address}/metrics")).send().await;
    let page = page.map_err(io::Error::other)?.text().await.map_err(io::Error::other)?;
    let bytes =
        |line: &str| line.strip_prefix("foldhaven_control_")?.split(' ').nth(1)?.parse().ok();
    Ok(DaemonCost {
        // Fields 14 and 15 of the whole line: processor time in user and in system mode.
        cpu_seconds: (ticks(11) + ticks(12)) / TICKS_PER_SECOND,
        memory_mib: resident.unwrap_or(0.0) / 1_024.0,
        control_bytes: page.lines().filter_map(|line| bytes(line).map(|it: f64| it)).sum(),
    })
}

async fn platform_calls(fleet: &Fleet) -> f64 {
    let counts = fleet.platform_counts().await.unwrap_or_default();
    (counts.values + counts.lists) as f64
}

fn mean_and_highest(values: impl Iterator<Item = f64>) -> [f64; 2] {
    let values: Vec<f64> = values.collect();
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    [mean, values.iter().copied().fold(0.0, f64::max)]
}

/// Publishes changes of one account each, and waits for each until every daemon has it.
async fn measure_changes(
    fleet: &Fleet,
    names: &[String],
    mut description: Description,
    idle_kb: f64,
) -> io::Result<([f64; 2], f64)> {
    let before = read_all(fleet, names).await?;
    let started = Instant::now();
    let mut times = Vec::new();
    for change in 0..CHANGES {
        description.generation += 1;
        description.accounts[change].share += 0.5;
        let (manifest, bundle) = ValueBundle::of(&description);
        let stamp = manifest.stamp().to_string();
        let published = Instant::now();
        fleet.publish(&bundle).await.map_err(io::Error::other)?;
        let waits = names.iter().map(|name| wait_for_stamp(fleet, name, &stamp));
        futures::future::join_all(waits).await;
        times.push(published.elapsed().as_secs_f64() * 1_000.0);
    }
    let seconds = started.elapsed().as_secs_f64();
    let after = read_all(fleet, names).await?;
    let spent = before.iter().zip(&after);
    let spent = mean_and_highest(
        spent.map(|(before, after)| (after.control_bytes - before.control_bytes) / 1_000.0),
    );
    let change_kb = (spent[0] - idle_kb * seconds).max(0.0) / CHANGES as f64;
    Ok((mean_and_highest(times.into_iter()), change_kb))
}

async fn wait_for_stamp(fleet: &Fleet, name: &str, stamp: &str) {
    const LIMIT: Duration = Duration::from_secs(30);
    let started = Instant::now();
    while started.elapsed() < LIMIT {
        let status = fleet.status(name).await;
        if status.and_then(|status| status.stamp).as_deref() == Some(stamp) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
