//! Whom a load report goes to, and what it repeats for those that hear of this VM less often.
//!
//! VMs that have requests tell each other in each round. The others are told in turn: each of them once in
//! `SLOW_INTERVAL`, of everything since its last turn. So what a VM hears grows with those that have requests,
//! not with the VMs of its region.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::opaque::affinity::PromptPlacement;
use crate::opaque::region_reports::RegionReport;

/// How often a VM without requests hears of one that has some. It counts on nothing else while it stands by but that
/// the other lives; with its first request it is told in each round.
const INACTIVE_INTERVAL: Duration = Duration::from_millis(700);

/// What is told once, besides what each report tells anew.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ReportUpdates {
    /// Long prompts that were sent.
    pub placements: Vec<PromptPlacement>,
    /// What delegates of other regions told.
    pub regions: Vec<RegionReport>,
}

impl ReportUpdates {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.placements.is_empty() && self.regions.is_empty()
    }

    fn append(&mut self, other: &Self) {
        self.placements.extend(other.placements.iter().cloned());
        self.regions.extend(other.regions.iter().cloned());
    }
}

/// A VM of the region, as far as reports look at it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportTarget {
    /// Where it hears reports.
    pub address: SocketAddr,
    /// Whether it has requests.
    pub is_active: bool,
}

/// One report of a round: to whom, and with which news.
#[derive(Debug, Clone, PartialEq)]
pub struct ReportBatch {
    /// Who gets it.
    pub targets: Vec<SocketAddr>,
    /// What it tells besides the load.
    pub updates: ReportUpdates,
}

/// Whose turn it is, and what the others are still to be told.
#[derive(Debug, Default)]
pub struct ReportPlanner {
    /// The news of the last rounds, the oldest first.
    recent: VecDeque<ReportUpdates>,
    /// How many rounds were planned.
    rounds: usize,
}

impl ReportPlanner {
    /// Plans the report of a VM without requests: to `standing` that it lives, and to all `targets` when there is
    /// news, also what those whose turn had not come were still to be told.
    pub fn plan_idle(
        &mut self,
        targets: &[ReportTarget],
        baseline: Vec<SocketAddr>,
        updates: ReportUpdates,
    ) -> ReportBatch {
        let mut pending = ReportUpdates::default();
        self.recent.drain(..).for_each(|updates| pending.append(&updates));
        pending.append(&updates);
        let targets = match pending.is_empty() {
            true => baseline,
            false => targets.iter().map(|target| target.address).collect(),
        };
        ReportBatch { targets, updates: pending }
    }

    /// Plans the reports of one round, of which the next comes after `interval`.
    pub fn plan_round(
        &mut self,
        targets: &[ReportTarget],
        updates: ReportUpdates,
        interval: Duration,
    ) -> Vec<ReportBatch> {
        let rounds = (INACTIVE_INTERVAL.div_duration_f64(interval).round() as usize).max(1);
        self.rounds = self.rounds.wrapping_add(1);
        self.recent.push_back(updates.clone());
        while self.recent.len() > rounds {
            self.recent.pop_front();
        }
        let turn = self.rounds % rounds;
        let (active, others): (Vec<&ReportTarget>, Vec<&ReportTarget>) =
            targets.iter().partition(|target| target.is_active);
        let due = others.iter().skip(turn).step_by(rounds);
        let mut updates_since_turn = ReportUpdates::default();
        self.recent.iter().for_each(|updates| updates_since_turn.append(updates));
        let batches = [
            ReportBatch { targets: active.iter().map(|target| target.address).collect(), updates },
            ReportBatch {
                targets: due.map(|target| target.address).collect(),
                updates: updates_since_turn,
            },
        ];
        batches.into_iter().filter(|batch| !batch.targets.is_empty()).collect()
    }
}
