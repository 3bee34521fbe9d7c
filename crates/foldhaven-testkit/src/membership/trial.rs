//! Plays starts, and tells how soon all VMs know their regions.

use rand::Rng;
use serde::Serialize;

use super::experiment::{StartKind, TellingWay};
use super::world::{LinkCut, StartEvent, StartWorld};

/// So long after the last start or the heal each VM is to know all of its region, in milliseconds.
pub const COMPLETE_AFTER: u64 = 2_000;
/// For so long after it the views are looked at, in milliseconds.
const WATCHED: u64 = 6_000;
/// How often they are looked at, in milliseconds.
const LOOK_PAUSE: u64 = 200;

/// One kind of start.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct StartPlan {
    /// How many VMs start.
    pub vms: usize,
    /// In how many regions.
    pub regions: usize,
    /// In which order.
    pub start: StartKind,
    /// The share of messages that is lost.
    pub loss: f64,
    /// How they learn of each other.
    pub way: TellingWay,
}

/// What came of the starts of one kind.
#[derive(Debug, Clone, Serialize)]
pub struct StartTrial {
    /// The kind.
    pub plan: StartPlan,
    /// How many starts were played.
    pub plays: u64,
    /// How many were not complete after [`COMPLETE_AFTER`].
    pub incomplete: u64,
    /// Milliseconds after the last start, and the share of the plays that were complete then.
    pub curve: Vec<(u64, f64)>,
    /// Messages of one VM in a second, over the whole play.
    pub messages_per_s: f64,
    /// Their bytes, headers of datagrams not counted.
    pub bytes_per_s: f64,
    /// In the first play that was incomplete: who lacked whom, at each moment.
    pub example: Vec<(u64, Vec<String>)>,
}

/// Sets a start up. Returns when the last VM starts, or the cut heals, in milliseconds.
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
        world.plan(moment, StartEvent::Start(vm));
    }
    if start == StartKind::HalfBack {
        for vm in (0..vms).filter(|vm| vm % 2 == (seed % 2) as usize) {
            let back = 4_000_000 + world.rng.random_range(100_000..1_000_000);
            world.plan(4_000_000, StartEvent::Kill(vm));
            world.plan(back, StartEvent::Start(vm));
            last = last.max(back);
        }
    }
    if start == StartKind::Cut {
        let side = (0..vms).filter(|vm| (vm / regions).is_multiple_of(2)).collect();
        let is_one_way = seed.is_multiple_of(2);
        world.cuts.push(LinkCut { from: 0, until: 5_000, side, is_one_way });
        last = 5_000_000;
    }
    (world, last / 1_000)
}

/// The VMs that do not know all of their region [`COMPLETE_AFTER`] the last start, with whom they lack.
pub fn strangers_after(plan: &StartPlan, seed: u64) -> Vec<String> {
    let (mut world, last) = set_up(plan, seed);
    world.run_until(last + COMPLETE_AFTER);
    world.strangers()
}

/// Plays so many starts of one kind.
pub fn play_starts(plan: &StartPlan, plays: u64) -> StartTrial {
    let looks: Vec<u64> = (0..=WATCHED / LOOK_PAUSE).map(|look| look * LOOK_PAUSE).collect();
    let mut complete = vec![0_u64; looks.len()];
    let (mut incomplete, mut messages, mut bytes, mut vm_seconds) = (0, 0, 0, 0.0);
    let mut example = Vec::new();
    for seed in 0..plays {
        let (mut world, last) = set_up(plan, seed);
        world.counts_bytes = true;
        let mut seen = Vec::new();
        for (look, after) in looks.iter().enumerate() {
            world.run_until(last + after);
            let strangers = world.strangers();
            complete[look] += u64::from(strangers.is_empty());
            if !strangers.is_empty() && *after == COMPLETE_AFTER {
                incomplete += 1;
            }
            seen.push((*after, strangers));
        }
        let is_example =
            seen.iter().any(|(after, them)| *after == COMPLETE_AFTER && !them.is_empty());
        if is_example && example.is_empty() {
            example = seen;
        }
        messages += world.sent;
        bytes += world.bytes;
        vm_seconds += plan.vms as f64 * (last + WATCHED) as f64 / 1_000.0;
    }
    let share = |count: &u64| *count as f64 / plays as f64;
    StartTrial {
        plan: *plan,
        plays,
        incomplete,
        curve: looks.into_iter().zip(complete.iter().map(share)).collect(),
        messages_per_s: messages as f64 / vm_seconds,
        bytes_per_s: bytes as f64 / vm_seconds,
        example,
    }
}
