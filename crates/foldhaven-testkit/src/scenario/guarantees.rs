//! Checks the guarantees of the system against what upstreams recorded and callers received.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use foldhaven_core::attempt::RequestOutcome;
use foldhaven_core::description::{Description, DescriptionIndex};
use foldhaven_core::ids::DataCentreName;

use super::traffic::SentRequest;
use crate::stand_in::ledger::{LedgerEvent, LedgerLine};

/// Time in milliseconds after which a leaving upstream must not get new requests.
pub const MAX_LEAVING_DELAY_MS: u64 = 3_000;

/// A violated guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Name of the guarantee.
    pub guarantee: &'static str,
    /// Description of the violation.
    pub detail: String,
}

impl Violation {
    /// Creates a violation.
    pub fn new(guarantee: &'static str, detail: String) -> Self {
        Self { guarantee, detail }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.guarantee, self.detail)
    }
}

/// A description and the time during which a VM may have acted on it.
#[derive(Debug, Clone)]
pub struct RuleEpoch {
    /// The description.
    pub description: Description,
    /// Time of its publication, in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// When a later description was in force on all VMs, in milliseconds since the Unix epoch.
    /// `None` if that has not happened yet.
    pub until_ms: Option<u64>,
}

/// Data against which the guarantees are checked.
pub struct Evidence<'a> {
    /// Records of all upstreams.
    pub ledger: &'a [LedgerLine],
    /// Requests of the callers with their answers.
    pub sent: &'a [SentRequest],
    /// Descriptions in order of publication.
    pub epochs: &'a [RuleEpoch],
    /// When each upstream was made to leave, in milliseconds since the Unix epoch.
    pub left_at: &'a BTreeMap<String, u64>,
}

impl Evidence<'_> {
    /// Returns all violated guarantees.
    pub fn violations(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        self.check_residency(&mut violations);
        self.check_answers(&mut violations);
        self.check_not_run(&mut violations);
        self.check_once(&mut violations);
        self.check_attempts(&mut violations);
        self.check_leaving(&mut violations);
        violations
    }

    fn starts(&self) -> impl Iterator<Item = &LedgerLine> {
        self.ledger.iter().filter(|line| line.event == LedgerEvent::Start)
    }

    /// Checks that requests ran only where a description that may have been in force permits it.
    fn check_residency(&self, violations: &mut Vec<Violation>) {
        let sent: BTreeMap<&str, &SentRequest> =
            self.sent.iter().map(|sent| (sent.request.as_str(), sent)).collect();
        let indexes: Vec<_> = self
            .epochs
            .iter()
            .map(|epoch| (epoch, DescriptionIndex::new(epoch.description.clone())))
            .collect();
        for line in self.starts() {
            let Some(sent) = sent.get(line.request.as_str()) else { continue };
            let is_possible = |epoch: &RuleEpoch| {
                epoch.from_ms <= line.at_ms && epoch.until_ms.is_none_or(|it| line.at_ms <= it)
            };
            let possible = indexes.iter().filter(|(epoch, _)| is_possible(epoch));
            if !possible.clone().any(|(_, index)| permits(index, sent, &line.data_centre)) {
                let permitted = indexes
                    .iter()
                    .filter(|(_, index)| permits(index, sent, &line.data_centre))
                    .filter_map(|(epoch, _)| epoch.until_ms)
                    .max();
                let late = permitted.map(|until| line.at_ms.saturating_sub(until));
                let late = late.map_or("never permitted".to_owned(), |it| format!("{it}ms after"));
                let detail = format!("{} ran in {}, {late}", line.request, line.data_centre);
                violations.push(Violation::new("residency", detail));
            }
        }
    }

    /// Checks that each complete answer is the expected one.
    fn check_answers(&self, violations: &mut Vec<Violation>) {
        for sent in self.sent.iter().filter(|sent| sent.answer.is_complete()) {
            if sent.answer.text != sent.expected {
                let got: String = sent.answer.text.chars().take(60).collect();
                let length = (sent.answer.text.len(), sent.expected.len());
                let detail = format!("{}: got {got:?}, {length:?} bytes", sent.request);
                violations.push(Violation::new("whole own answer", detail));
            }
        }
    }

    /// Checks that no request whose every sending was reported as not run has started.
    fn check_not_run(&self, violations: &mut Vec<Violation>) {
        let started: BTreeSet<&str> = self.starts().map(|line| line.request.as_str()).collect();
        let mut sends: BTreeMap<&str, Vec<&SentRequest>> = BTreeMap::new();
        for sent in self.sent {
            sends.entry(&sent.request).or_default().push(sent);
        }
        for (request, sends) in sends {
            let not_run = |sent: &&SentRequest| sent.answer.outcome == RequestOutcome::NotRun;
            if sends.iter().all(not_run) && started.contains(request) {
                let detail = format!("{request} was reported as not run but ran");
                violations.push(Violation::new("not_run is true", detail));
            }
        }
    }

    /// Checks that a request that is not repeatable ran at most once.
    fn check_once(&self, violations: &mut Vec<Violation>) {
        let not_repeatable: BTreeSet<&str> = self
            .sent
            .iter()
            .filter(|sent| !sent.is_repeatable)
            .map(|sent| sent.request.as_str())
            .collect();
        let mut runs: BTreeMap<&str, Vec<String>> = BTreeMap::new();
        for line in self.starts().filter(|line| not_repeatable.contains(line.request.as_str())) {
            let run = format!("{} at {} {}", line.attempt, line.upstream, line.at_ms);
            runs.entry(&line.request).or_default().push(run);
        }
        for (request, runs) in runs.into_iter().filter(|(_, runs)| runs.len() > 1) {
            let detail = format!("{request} ran {} times: {}", runs.len(), runs.join(", "));
            violations.push(Violation::new("at most once", detail));
        }
    }

    /// Checks that each attempt started only once. A second start means that its receiver forwarded
    /// it again.
    fn check_attempts(&self, violations: &mut Vec<Violation>) {
        let mut starts: BTreeMap<&str, usize> = BTreeMap::new();
        for line in self.starts().filter(|line| !line.attempt.is_empty()) {
            *starts.entry(&line.attempt).or_default() += 1;
        }
        for (attempt, starts) in starts.into_iter().filter(|(_, starts)| *starts > 1) {
            let detail = format!("attempt {attempt} started {starts} times");
            violations.push(Violation::new("no loops", detail));
        }
    }

    /// Checks that a leaving upstream got no new requests after [`MAX_LEAVING_DELAY_MS`].
    fn check_leaving(&self, violations: &mut Vec<Violation>) {
        for line in self.ledger {
            let is_new = matches!(line.event, LedgerEvent::Arrive | LedgerEvent::Refuse);
            let Some(left_at) = self.left_at.get(&line.upstream) else { continue };
            if is_new && line.at_ms > left_at + MAX_LEAVING_DELAY_MS {
                let late = line.at_ms - left_at;
                let detail = format!("{} got {} {late}ms after", line.upstream, line.request);
                violations.push(Violation::new("leaving upstream", detail));
            }
        }
    }
}

fn permits(index: &DescriptionIndex, sent: &SentRequest, data_centre: &str) -> bool {
    let permitted = || {
        let account = index.account(&sent.account.parse().ok()?)?;
        let class = index.class(&sent.class.parse().ok()?)?;
        let rule = index.residency_of(account, class)?;
        let data_centre: DataCentreName = data_centre.parse().ok()?;
        Some(rule.permits(&account.home, index.region_of(&data_centre)?))
    };
    permitted().unwrap_or(false)
}
