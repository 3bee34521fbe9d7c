//! Simulates starts and measures how soon all VMs know the VMs of their region.

use rand::Rng;
use serde::Serialize;

use super::experiment::{DiscoveryMethod, StartKind};
use super::world::{Partition, StartEvent, StartWorld};

/// Time after the last start or the end of a partition by which each VM must know all VMs of its
/// region, in milliseconds.
pub const COMPLETION_DEADLINE: u64 = 2_000;
/// How long the views are checked after the last start, in milliseconds.
const OBSERVATION_TIME: u64 = 6_000;
/// Interval between two checks of the views, in milliseconds.
const CHECK_INTERVAL: u64 = 200;

/// One combination of an experiment.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct StartPlan {
    /// Number of VMs.
    pub vms: usize,
    /// Number of regions.
    pub regions: usize,
    /// Order in which the VMs start.
    pub start: StartKind,
    /// Share of messages that are lost.
    pub loss: f64,
    /// How VMs discover each other.
    #[serde(rename = "way")]
    pub method: DiscoveryMethod,
}

/// The results of all runs of one combination.
#[derive(Debug, Clone, Serialize)]
pub struct StartTrial {
    /// The simulated combination.
    pub plan: StartPlan,
    /// Number of runs.
    #[serde(rename = "plays")]
    pub runs: u64,
    /// Number of runs with incomplete views at [`COMPLETION_DEADLINE`].
    pub incomplete: u64,
    /// Milliseconds after the last start, and the share of runs with complete views then.
    pub curve: Vec<(u64, f64)>,
    /// Messages per second and VM, averaged over the whole run.
    pub messages_per_s: f64,
    /// Bytes per second and VM, without datagram headers.
    pub bytes_per_s: f64,
    /// Incomplete views at each check of the first run that missed the deadline.
    pub example: Vec<(u64, Vec<String>)>,
}

/// Prepares a run. Returns it with the time of the last start or of the end of the partition, in
/// milliseconds.
fn set_up(plan: &StartPlan, seed: u64) -> (StartWorld, u64) {
    let mut world = StartWorld::new(seed, plan);
    let StartPlan { vms, regions, start, .. } = *plan;
    let mut last = 0;
    for vm in 0..vms {
        let moment = match start {
            StartKind::Apart => last + world.rng.random_range(0..300_000 / vms.min(30) as u64),
            StartKind::SeedsLast if vm < regions => 40_000,
            StartKind::RegionLater if vm % regions == 0 => {
                3_000_000 + world.rng.random_range(0..50_000)
            }
            _ => world.rng.random_range(0..50_000),
        };
        last = last.max(moment);
        world.schedule(moment, StartEvent::Start(vm));
    }
    if start == StartKind::HalfBack {
        for vm in (0..vms).filter(|vm| vm % 2 == (seed % 2) as usize) {
            let restart_at = 4_000_000 + world.rng.random_range(100_000..1_000_000);
            world.schedule(4_000_000, StartEvent::Kill(vm));
            world.schedule(restart_at, StartEvent::Start(vm));
            last = last.max(restart_at);
        }
    }
    if start == StartKind::Cut {
        let side = (0..vms).filter(|vm| (vm / regions).is_multiple_of(2)).collect();
        let is_one_way = seed.is_multiple_of(2);
        world.partitions.push(Partition { from: 0, until: 5_000, side, is_one_way });
        last = 5_000_000;
    }
    (world, last / 1_000)
}

/// Returns the VMs that lack VMs of their region at [`COMPLETION_DEADLINE`], with some of those.
pub fn incomplete_views_after(plan: &StartPlan, seed: u64) -> Vec<String> {
    let (mut world, last_change) = set_up(plan, seed);
    world.run_until(last_change + COMPLETION_DEADLINE);
    world.incomplete_views()
}

/// Simulates a number of runs of one combination.
pub fn run_start_trial(plan: &StartPlan, runs: u64) -> StartTrial {
    let check_times: Vec<u64> =
        (0..=OBSERVATION_TIME / CHECK_INTERVAL).map(|check| check * CHECK_INTERVAL).collect();
    let mut complete = vec![0_u64; check_times.len()];
    let (mut incomplete, mut messages, mut bytes, mut vm_seconds) = (0, 0, 0, 0.0);
    let mut example = Vec::new();
    for seed in 0..runs {
        let (mut world, last_change) = set_up(plan, seed);
        world.counts_bytes = true;
        let mut views = Vec::new();
        for (check, after) in check_times.iter().enumerate() {
            world.run_until(last_change + after);
            let incomplete_views = world.incomplete_views();
            complete[check] += u64::from(incomplete_views.is_empty());
            if !incomplete_views.is_empty() && *after == COMPLETION_DEADLINE {
                incomplete += 1;
            }
            views.push((*after, incomplete_views));
        }
        let is_example =
            views.iter().any(|(after, them)| *after == COMPLETION_DEADLINE && !them.is_empty());
        if is_example && example.is_empty() {
            example = views;
        }
        messages += world.sent;
        bytes += world.bytes;
        vm_seconds += plan.vms as f64 * (last_change + OBSERVATION_TIME) as f64 / 1_000.0;
    }
    let share = |count: &u64| *count as f64 / runs as f64;
    StartTrial {
        plan: *plan,
        runs,
        incomplete,
        curve: check_times.into_iter().zip(complete.iter().map(share)).collect(),
        messages_per_s: messages as f64 / vm_seconds,
        bytes_per_s: bytes as f64 / vm_seconds,
        example,
    }
}
