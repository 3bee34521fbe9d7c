//! Measures the cost of the control plane per daemon by the number of VMs, data centres, engines
//! and accounts. The values of real idle daemons are read from `/proc` and `/metrics`.

use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use foldhaven_core::description::{
    AccountConfig, DeploymentConfig, Description, RegionConfig, ResidencyConfig,
};
use foldhaven_wire::platform::ValueBundle;
use serde::Serialize;

use crate::fleet::{Fleet, FleetOptions};

/// How long an idle fleet is measured.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Clock ticks per second in `/proc`; Linux uses this value on all common machines.
const TICKS_PER_SECOND: f64 = 100.0;
const CHANGE_COUNT: usize = 5;

/// The size of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct FleetSize {
    /// Number of data centres; three form a region.
    pub centres: usize,
    /// Number of VMs per data centre.
    pub vms: usize,
    /// Number of engines per data centre.
    pub engines: u32,
    /// Number of client accounts.
    pub accounts: usize,
}

/// The cost of a daemon in a fleet of one size, as the mean and the maximum over its daemons.
#[derive(Debug, Clone, Serialize)]
pub struct SlopeRow {
    /// Size of the fleet.
    pub size: FleetSize,
    /// Processor time of an idle daemon, in percent of a core: mean and maximum.
    pub cpu_percent: [f64; 2],
    /// Resident memory in MiB: mean and maximum.
    pub memory_mib: [f64; 2],
    /// Control traffic that an idle daemon sends and receives, in KB per second: mean and maximum.
    pub control_kb: [f64; 2],
    /// Calls of the whole idle fleet to the platform, per second.
    pub platform_calls: f64,
    /// Time until a change is in force on all daemons, in milliseconds: mean and maximum over the
    /// changes.
    #[serde(rename = "in_force_ms")]
    pub propagation_ms: [f64; 2],
    /// Mean control traffic per change and daemon in KB, beyond that of an idle daemon.
    #[serde(rename = "change_kb")]
    pub kb_per_change: f64,
}

/// Returns the fleet sizes to measure; one dimension varies at a time.
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

/// Starts a fleet of a given size and measures its idle daemons, then the propagation of changes.
///
/// # Errors
///
/// Fails if the fleet can't be started or doesn't answer.
pub async fn measure_size(
    program: PathBuf,
    base: &Description,
    size: FleetSize,
) -> io::Result<SlopeRow> {
    let description = make_description(base, size);
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
    tokio::time::sleep(IDLE_TIME).await;
    let after = read_all(&fleet, &names).await?;
    let seconds = started.elapsed().as_secs_f64();
    let calls = platform_calls(&fleet).await - calls_before;
    let rates = |read: &dyn Fn(&DaemonCost) -> f64| {
        let pairs = before.iter().zip(&after);
        mean_and_highest(pairs.map(|(before, after)| (read(after) - read(before)) / seconds))
    };
    let control_kb = rates(&|cost| cost.control_bytes / 1_000.0);
    let (propagation_ms, kb_per_change) =
        measure_changes(&fleet, &names, description, control_kb[0]).await?;
    Ok(SlopeRow {
        size,
        cpu_percent: rates(&|cost| cost.cpu_seconds * 100.0),
        memory_mib: mean_and_highest(after.iter().map(|cost| cost.memory_mib)),
        control_kb,
        platform_calls: calls / seconds,
        propagation_ms,
        kb_per_change,
    })
}

/// Returns a description of a given size with the models and classes of `base`.
fn make_description(base: &Description, size: FleetSize) -> Description {
    let mut description = base.clone();
    let data_centre_name = |at: usize| format!("dc-{at:03}").parse().expect("a data centre name");
    let regions = size.centres.div_ceil(3);
    description.regions = (0..regions)
        .map(|region| RegionConfig {
            name: format!("region-{region:02}").parse().expect("a region name"),
            data_centres: (region * 3..(region * 3 + 3).min(size.centres))
                .map(data_centre_name)
                .collect(),
            price: 1.0,
        })
        .collect();
    let names: Vec<_> = description.regions.iter().map(|region| region.name.clone()).collect();
    let model = description.models[0].name.clone();
    description.deployments = (0..size.centres)
        .filter(|_| size.engines > 0)
        .map(|at| DeploymentConfig {
            model: model.clone(),
            data_centre: data_centre_name(at),
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

/// Resources that one daemon has used since its start, and its current memory.
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
    let not_running = || io::Error::other(format!("{name} does not run"));
    let id = fleet.process_id(name).ok_or_else(not_running)?;
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
        // Fields 14 and 15 of the whole line: processor time in user and system mode.
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

/// Publishes changes of one account each. Waits after each until every daemon has applied it.
async fn measure_changes(
    fleet: &Fleet,
    names: &[String],
    mut description: Description,
    idle_kb: f64,
) -> io::Result<([f64; 2], f64)> {
    let before = read_all(fleet, names).await?;
    let started = Instant::now();
    let mut times = Vec::new();
    for change in 0..CHANGE_COUNT {
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
    let kb_per_change = (spent[0] - idle_kb * seconds).max(0.0) / CHANGE_COUNT as f64;
    Ok((mean_and_highest(times.into_iter()), kb_per_change))
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
