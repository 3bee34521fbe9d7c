//! Whom a load report goes to, and what it repeats for those that hear of this VM less often.
//!
//! VMs that have requests tell each other in each round. The others are told in turn: each of them once in
//! `SLOW_INTERVAL`, of everything since its last turn. So what a VM hears grows with those that have requests,
//! not with the VMs of its region.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::opaque::affinity::PromptPlacement;
use crate::opaque::region_book::RegionReport;

/// How often a VM without requests hears of one that has some. It counts on nothing else while it stands by but that
/// the other lives; with its first request it is told in each round.
const SLOW_INTERVAL: Duration = Duration::from_millis(700);

/// What is told once, besides what each report tells anew.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ReportNews {
    /// Long prompts that were sent.
    pub placements: Vec<PromptPlacement>,
    /// What delegates of other regions told.
    pub regions: Vec<RegionReport>,
}

impl ReportNews {
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
pub struct ReportLeg {
    /// Who gets it.
    pub targets: Vec<SocketAddr>,
    /// What it tells besides the load.
    pub news: ReportNews,
}

/// Whose turn it is, and what the others are still to be told.
#[derive(Debug, Default)]
pub struct ReportPlan {
    /// The news of the last rounds, the oldest first.
    told: VecDeque<ReportNews>,
    /// How many rounds were planned.
    rounds: usize,
}

impl ReportPlan {
    /// Plans the report of a VM without requests: to `standing` that it lives, and to all `targets` when there is
    /// news, also what those whose turn had not come were still to be told.
    pub fn next_idle(
        &mut self,
        targets: &[ReportTarget],
        standing: Vec<SocketAddr>,
        news: ReportNews,
    ) -> ReportLeg {
        let mut pending = ReportNews::default();
        self.told.drain(..).for_each(|told| pending.append(&told));
        pending.append(&news);
        let targets = match pending.is_empty() {
            true => standing,
            false => targets.iter().map(|target| target.address).collect(),
        };
        ReportLeg { targets, news: pending }
    }

    /// Plans the reports of one round, of which the next comes after `interval`.
    pub fn next(
        &mut self,
        targets: &[ReportTarget],
        news: ReportNews,
        interval: Duration,
    ) -> Vec<ReportLeg> {
        let rounds = (SLOW_INTERVAL.div_duration_f64(interval).round() as usize).max(1);
        self.rounds = self.rounds.wrapping_add(1);
        self.told.push_back(news.clone());
        while self.told.len() > rounds {
            self.told.pop_front();
        }
        let turn = self.rounds % rounds;
        let (active, others): (Vec<&ReportTarget>, Vec<&ReportTarget>) =
            targets.iter().partition(|target| target.is_active);
        let in_turn = others.iter().skip(turn).step_by(rounds);
        let mut since_turn = ReportNews::default();
        self.told.iter().for_each(|told| since_turn.append(told));
        let legs = [
            ReportLeg { targets: active.iter().map(|target| target.address).collect(), news },
            ReportLeg { targets: in_turn.map(|target| target.address).collect(), news: since_turn },
        ];
        legs.into_iter().filter(|leg| !leg.targets.is_empty()).collect()
    }
}
