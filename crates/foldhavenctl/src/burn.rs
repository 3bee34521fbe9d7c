//! Aggregates the burn counts of all VMs into a report on error-budget burn.

use std::collections::BTreeMap;

use foldhaven_core::burn::BurnCount;
use foldhaven_wire::operator::BurnAnswer;
use serde::Serialize;

/// Target of a class for which no VM reports one.
const DEFAULT_TARGET: f64 = 0.99;
/// Maximum number of VMs listed per line.
const MAX_CONTRIBUTORS: usize = 3;

/// A VM's share of the failures of an account and class.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BurnContributor {
    /// The VM.
    pub vm: String,
    /// Number of requests at the VM that were not answered completely and in time, over the long
    /// window.
    pub bad: u64,
}

/// The error-budget burn of one account and class.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BurnLine {
    /// The account.
    pub account: String,
    /// The class.
    pub class: String,
    /// The target share of requests that are answered completely and in time.
    pub target: f64,
    /// The share of the error budget that is left over the long window. Negative if it is exceeded.
    pub budget_left: f64,
    /// The burn rate over the short window. At 1, the error budget is used up exactly as fast as
    /// allowed.
    pub burn_short: f64,
    /// The burn rate over the long window.
    pub burn_long: f64,
    /// The counts over the long window.
    pub counts: BurnCount,
    /// The VMs with the most failures, at most 3.
    pub worst: Vec<BurnContributor>,
}

/// The report on all accounts and classes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BurnReport {
    /// One line per account and class, the highest burn rate over the short window first.
    pub lines: Vec<BurnLine>,
    /// The VMs that answered.
    pub vms: Vec<String>,
    /// The addresses that could not be reached. Their requests are missing from the report.
    pub unreachable: Vec<String>,
}

#[derive(Default)]
struct BurnSums {
    short: BurnCount,
    long: BurnCount,
    by_vm: BTreeMap<String, u64>,
}

/// Aggregates the answers of the VMs.
pub fn aggregate_burn(answers: &[BurnAnswer], unreachable: Vec<String>) -> BurnReport {
    let mut sums: BTreeMap<(String, String), BurnSums> = BTreeMap::new();
    let mut targets: BTreeMap<&str, f64> = BTreeMap::new();
    for answer in answers {
        targets.extend(answer.targets.iter().map(|(class, target)| (class.as_str(), *target)));
        for row in &answer.rows {
            let key = (row.account.to_string(), row.class.to_string());
            let sum = sums.entry(key).or_default();
            sum.short.add(&row.short);
            sum.long.add(&row.long);
            *sum.by_vm.entry(answer.vm.to_string()).or_default() += row.long.bad;
        }
    }
    let line = |((account, class), sum): ((String, String), BurnSums)| {
        let target = targets.get(class.as_str()).copied().unwrap_or(DEFAULT_TARGET);
        BurnLine {
            budget_left: sum.long.budget_left(target),
            burn_short: sum.short.burn_rate(target),
            burn_long: sum.long.burn_rate(target),
            counts: sum.long,
            worst: worst_contributors(sum.by_vm),
            account,
            class,
            target,
        }
    };
    let mut lines: Vec<BurnLine> = sums.into_iter().map(line).collect();
    lines.sort_by(|left, right| right.burn_short.total_cmp(&left.burn_short));
    let vms = answers.iter().map(|answer| answer.vm.to_string()).collect();
    BurnReport { lines, vms, unreachable }
}

fn worst_contributors(by_vm: BTreeMap<String, u64>) -> Vec<BurnContributor> {
    let all = by_vm.into_iter().map(|(vm, bad)| BurnContributor { vm, bad });
    let mut worst: Vec<BurnContributor> = all.filter(|it| it.bad > 0).collect();
    worst.sort_by_key(|it| std::cmp::Reverse(it.bad));
    worst.truncate(MAX_CONTRIBUTORS);
    worst
}
