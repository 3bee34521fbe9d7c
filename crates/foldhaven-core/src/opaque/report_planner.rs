//! Plans which VMs receive a load report, and which updates it repeats for those that receive fewer
//! reports.
//!
//! VMs that have requests report to each other in each round. Each of the other VMs receives one
//! report per `INACTIVE_INTERVAL`, with all updates since the previous one. This way, the number of
//! reports that a VM receives grows with the VMs that have requests, not with all VMs of its
//! region.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::opaque::affinity::PromptPlacement;
use crate::opaque::region_reports::RegionReport;

/// The interval at which a VM without requests receives a report from a VM that has some. Such a VM
/// needs only to know that the other one is live. Once it has a request, it receives a report in
/// every round.
const INACTIVE_INTERVAL: Duration = Duration::from_millis(700);

/// The parts of a report that each VM receives once, in addition to the load that is in every
/// report.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ReportUpdates {
    /// Long prompts that were sent.
    pub placements: Vec<PromptPlacement>,
    /// Reports received from delegates of other regions.
    pub regions: Vec<RegionReport>,
}

impl ReportUpdates {
    /// Whether there are no updates.
    pub fn is_empty(&self) -> bool {
        self.placements.is_empty() && self.regions.is_empty()
    }

    fn append(&mut self, other: &Self) {
        self.placements.extend(other.placements.iter().cloned());
        self.regions.extend(other.regions.iter().cloned());
    }
}

/// A VM of the region that receives reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportTarget {
    /// The address at which it receives reports.
    pub address: SocketAddr,
    /// Whether it has requests.
    pub is_active: bool,
}

/// The report of one round to a group of VMs.
#[derive(Debug, Clone, PartialEq)]
pub struct ReportBatch {
    /// The receivers.
    pub targets: Vec<SocketAddr>,
    /// The updates to send with the load.
    pub updates: ReportUpdates,
}

/// Rotates through the VMs without requests, and keeps the updates that they have yet to receive.
#[derive(Debug, Default)]
pub struct ReportPlanner {
    /// The updates of the last rounds, oldest first.
    recent: VecDeque<ReportUpdates>,
    /// The number of rounds planned so far.
    rounds: usize,
}

impl ReportPlanner {
    /// Plans the report of this VM while it has no requests. The `baseline` VMs receive it as a
    /// sign of life. If there are updates, all `targets` receive it, along with updates that some
    /// of them have yet to receive.
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

    /// Plans the reports of one round; the next round follows after `interval`.
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
