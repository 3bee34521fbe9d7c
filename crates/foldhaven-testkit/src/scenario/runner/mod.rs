//! Runs a scenario step by step against its own fleet.

mod awaits;
mod requests;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use foldhaven_core::description::{Description, DescriptionIndex, DescriptionStamp};
use foldhaven_core::units::TimeSpan;
use foldhaven_wire::platform::ValueBundle;
use foldhavend::settings::TimeSettings;
use tokio::task::JoinHandle;

use crate::caller::CallerClient;
use crate::fleet::{Fleet, FleetOptions, PLATFORM};
use crate::relay::LinkEnds;
use crate::scenario::guarantees::{Evidence, RuleEpoch, Violation};
use crate::scenario::observer::{StampObserver, adoption_violations};
use crate::scenario::steps::{EditSpec, LeaveChannel, Scenario, StepKind};
use crate::scenario::traffic::{PreparedCall, RunningLoad, SentRequest};
use crate::stall::StallDetector;
use crate::stand_in::ledger::unix_time_ms;
use crate::stand_in::platform::PlatformMode;

/// Result of a scenario.
#[derive(Debug, Clone)]
pub struct ScenarioReport {
    /// Name of the scenario.
    pub name: String,
    /// Failed steps and violated guarantees.
    pub failures: Vec<String>,
    /// Log of the steps and their results, with the time of each in seconds.
    pub timeline: Vec<String>,
    /// Number of requests that were checked.
    pub judged: usize,
    /// Number of injected faults.
    pub faults: usize,
    /// Last log lines of each daemon. Empty if there were no failures.
    pub logs: Vec<String>,
}

struct ScenarioRunner {
    fleet: Fleet,
    caller: CallerClient,
    observer: StampObserver,
    initial_description: Description,
    current_description: Description,
    newest_stamp: DescriptionStamp,
    epochs: Vec<RuleEpoch>,
    /// Requests by name, so that later steps can repeat them.
    prepared: BTreeMap<String, PreparedCall>,
    /// Requests whose answers have not been checked.
    pending: BTreeMap<String, JoinHandle<SentRequest>>,
    loads: BTreeMap<String, RunningLoad>,
    sent: Vec<SentRequest>,
    /// When each upstream was made to leave, in milliseconds since the Unix epoch.
    left_at: BTreeMap<String, u64>,
    frozen: BTreeSet<String>,
    /// Processes that were killed or asked to shut down.
    ended: BTreeSet<String>,
    /// Whether links have been cut and not restored.
    has_partition: bool,
    stall_detector: StallDetector,
    started_at: Instant,
    timeline: Vec<String>,
    failures: Vec<String>,
    faults: usize,
}

/// Runs a scenario against a fleet with the given description and checks the guarantees.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started.
pub async fn run_scenario(
    program: PathBuf,
    description: Description,
    scenario: &Scenario,
) -> io::Result<ScenarioReport> {
    let times = TimeSettings {
        heartbeat: TimeSpan::from_millis(200),
        suspect: TimeSpan::from_millis(1_000),
        load_poll: TimeSpan::from_millis(150),
        pause: TimeSpan::from_millis(800),
        platform_wait: TimeSpan::from_secs(5),
        entries_hold: TimeSpan::from_millis(1_500),
        stop_limit: None,
    };
    let options = FleetOptions { vms: scenario.vms, times, ..FleetOptions::default() };
    let fleet = Fleet::start(program, description.clone(), options).await?;
    let vms = fleet.vms.iter().map(|(name, vm)| (name.clone(), vm.settings.addresses.peer));
    let observer = StampObserver::start(fleet.client.clone(), vms.collect());
    let mut runner = ScenarioRunner {
        caller: CallerClient::new(description.network.caller.0),
        observer,
        initial_description: description.clone(),
        newest_stamp: stamp_of(&description),
        epochs: vec![RuleEpoch { description: description.clone(), from_ms: 0, until_ms: None }],
        current_description: description,
        fleet,
        prepared: BTreeMap::new(),
        pending: BTreeMap::new(),
        loads: BTreeMap::new(),
        sent: Vec::new(),
        left_at: BTreeMap::new(),
        frozen: BTreeSet::new(),
        ended: BTreeSet::new(),
        has_partition: false,
        stall_detector: StallDetector::start(),
        started_at: Instant::now(),
        timeline: Vec::new(),
        failures: Vec::new(),
        faults: 0,
    };
    for step in &scenario.steps {
        runner.record(format!("{}", step.kind));
        if let Err(message) = runner.run_step(&step.kind).await {
            runner.fail(format!("line {}: {}: {message}", step.line, step.kind));
        }
    }
    runner.finish().await;
    Ok(runner.report(scenario))
}

fn stamp_of(description: &Description) -> DescriptionStamp {
    DescriptionIndex::new(description.clone()).stamp
}

impl ScenarioRunner {
    fn record(&mut self, message: String) {
        let at = self.started_at.elapsed().as_secs_f64();
        self.timeline.push(format!("{at:8.3} {message}"));
    }

    fn fail(&mut self, message: String) {
        self.record(format!("FAILED {message}"));
        self.failures.push(message);
    }

    /// Returns the processes that a name refers to: `all` VMs, the VMs of a region or data centre,
    /// or the single process of that name.
    fn resolve(&self, name: &str) -> Vec<String> {
        let vms = self.fleet.vms.iter().filter(|(vm, it)| {
            name == "all"
                || name == *vm
                || name == it.region
                || name == it.settings.data_centre.as_str()
        });
        let vms: Vec<String> = vms.map(|(vm, _)| vm.clone()).collect();
        if vms.is_empty() { vec![name.to_owned()] } else { vms }
    }

    async fn run_step(&mut self, kind: &StepKind) -> Result<(), String> {
        match kind {
            StepKind::Send(name, spec) => self.send(name, spec).await,
            StepKind::Answer(name, outcomes) => self.check_answer(name, outcomes).await,
            StepKind::Running(name) => self.await_running(name).await,
            StepKind::Load(name, spec, rate) => {
                self.start_load(name, spec, *rate);
                Ok(())
            }
            StepKind::EndLoad(name, share) => self.end_load(name, *share).await,
            StepKind::Cut(from, to, one_way) => {
                self.faults += 1;
                self.has_partition = true;
                self.cut(from, to, *one_way)
            }
            StepKind::Heal => {
                self.has_partition = false;
                self.fleet.relay.change(
                    |_| true,
                    |_, state| {
                        (state.is_forward_cut, state.is_backward_cut) = (false, false);
                    },
                );
                Ok(())
            }
            StepKind::Delay(from, to, span) => self.delay(from, to, *span),
            StepKind::Publish(edit) => self.publish(edit).await,
            StepKind::Platform(mode) => {
                self.faults += usize::from(*mode != PlatformMode::Up);
                self.fleet.set_platform(*mode).await.map_err(|error| error.to_string())
            }
            StepKind::Leave(name, channel) => self.leave(name, *channel).await,
            StepKind::InForce(group, within) => self.await_in_force(group, *within).await,
            StepKind::Judges(vm, member, state) => self.await_member_state(vm, member, state).await,
            StepKind::Hold(span) => {
                tokio::time::sleep(*span).await;
                Ok(())
            }
            StepKind::Runs(name, count) => self.check_run_count(name, *count),
            StepKind::ServedIn(name, region) => self.check_region(name, region),
            StepKind::Exit(name) => self.await_exit(name).await,
            StepKind::Serving(group) => self.await_serving(group).await,
            kind => self.run_process_step(kind),
        }
    }

    /// Runs a step that kills, restarts or signals processes.
    fn run_process_step(&mut self, kind: &StepKind) -> Result<(), String> {
        let (StepKind::Kill(name)
        | StepKind::Restart(name)
        | StepKind::Freeze(name)
        | StepKind::Thaw(name)
        | StepKind::Stop(name)) = kind
        else {
            return Err("not a step that signals processes".to_owned());
        };
        for member in self.resolve(name) {
            match kind {
                StepKind::Kill(_) => {
                    self.faults += 1;
                    self.fleet.kill(&member);
                    self.ended.insert(member);
                }
                StepKind::Restart(_) => self.restart(&member)?,
                StepKind::Freeze(_) => {
                    self.faults += 1;
                    self.fleet.freeze(&member);
                    self.frozen.insert(member);
                }
                StepKind::Thaw(_) => {
                    self.fleet.thaw(&member);
                    self.frozen.remove(&member);
                }
                _ => {
                    self.faults += 1;
                    self.fleet.stop(&member);
                    self.ended.insert(member);
                }
            }
        }
        Ok(())
    }

    fn restart(&mut self, member: &str) -> Result<(), String> {
        self.ended.remove(member);
        self.frozen.remove(member);
        self.fleet.kill(member);
        let result = if self.fleet.vms.contains_key(member) {
            self.fleet.start_vm(member)
        } else {
            let entry = self.fleet.upstreams.iter_mut().find(|it| it.name.as_str() == member);
            let entry = entry.ok_or_else(|| format!("no process is called {member}"))?;
            entry.incarnation += 1;
            entry.leaving = false;
            let entry = entry.clone();
            self.left_at.remove(member);
            self.fleet.start_upstream(&entry)
        };
        result.map_err(|error| error.to_string())
    }

    /// Returns the two groups of processes whose links a step changes. `others` are all VMs outside
    /// the first group.
    fn link_groups(&self, from: &str, to: &str) -> (BTreeSet<String>, BTreeSet<String>) {
        let from: BTreeSet<String> = self.resolve(from).into_iter().collect();
        let to: BTreeSet<String> = match to {
            "others" => {
                let others = self.fleet.vms.keys().filter(|name| !from.contains(*name)).cloned();
                others.collect()
            }
            to => self.resolve(to).into_iter().collect(),
        };
        (from, to)
    }

    fn cut(&mut self, from: &str, to: &str, one_way: bool) -> Result<(), String> {
        let (from, to) = self.link_groups(from, to);
        let is_forward = |ends: &LinkEnds| from.contains(&ends.from) && to.contains(&ends.to);
        let is_backward = |ends: &LinkEnds| from.contains(&ends.to) && to.contains(&ends.from);
        let count = self.fleet.relay.change(
            |ends| is_forward(ends) || is_backward(ends),
            |ends, state| {
                // Bytes from the first group to the second flow forward on links that the first
                // group dials, and backward on links that the second group dials.
                state.is_forward_cut |= !one_way || is_forward(ends);
                state.is_backward_cut |= !one_way || is_backward(ends);
            },
        );
        if count > 0 { Ok(()) } else { Err("no link between these".to_owned()) }
    }

    fn delay(&mut self, from: &str, to: &str, span: Duration) -> Result<(), String> {
        let (from, to) = self.link_groups(from, to);
        let is_selected = |ends: &LinkEnds| {
            let is_forward = from.contains(&ends.from) && to.contains(&ends.to);
            is_forward || (from.contains(&ends.to) && to.contains(&ends.from))
        };
        let count = self.fleet.relay.change(is_selected, |_, state| state.delay = span);
        if count > 0 { Ok(()) } else { Err("no link between these".to_owned()) }
    }

    async fn publish(&mut self, edit: &EditSpec) -> Result<(), String> {
        self.faults += usize::from(!matches!(edit, EditSpec::Bump));
        let mut next = self.current_description.clone();
        next.generation += 1;
        next.parent = Some(stamp_of(&self.current_description).to_string());
        match edit {
            EditSpec::Bump => {}
            EditSpec::Residency(rule, regions) => {
                let rule = next.residency.iter_mut().find(|it| it.name.as_str() == rule);
                let rule = rule.ok_or_else(|| "no such rule".to_owned())?;
                let regions = regions.iter().map(|region| region.parse());
                rule.regions = regions.collect::<Result<_, _>>().map_err(|it| format!("{it}"))?;
            }
            EditSpec::Bad => {
                next.classes[0].residency = "no-such-rule".parse().expect("a rule name");
                next.generation += 1;
                return self.publish_values(&next).await;
            }
            EditSpec::Old => {
                let first = self.initial_description.clone();
                return self.publish_values(&first).await;
            }
            EditSpec::Race => {
                let mut rival = next.clone();
                rival.objective.cost += 0.001;
                rival.objective.away += 0.001;
                self.publish_as_current(rival).await?;
            }
        }
        self.publish_as_current(next).await
    }

    /// Publishes a description that every daemon should adopt unless one with a larger stamp
    /// exists.
    async fn publish_as_current(&mut self, next: Description) -> Result<(), String> {
        let stamp = stamp_of(&next);
        let epoch =
            RuleEpoch { description: next.clone(), from_ms: unix_time_ms(), until_ms: None };
        self.epochs.push(epoch);
        self.publish_values(&next).await?;
        if stamp > self.newest_stamp {
            self.newest_stamp = stamp;
            self.current_description = next;
        }
        Ok(())
    }

    async fn publish_values(&self, next: &Description) -> Result<(), String> {
        let (_, bundle) = ValueBundle::of(next);
        self.fleet.publish(&bundle).await.map_err(|error| error.to_string())
    }

    async fn leave(&mut self, name: &str, channel: LeaveChannel) -> Result<(), String> {
        self.faults += 1;
        self.left_at.insert(name.to_owned(), unix_time_ms());
        if channel != LeaveChannel::List {
            self.fleet.leave_upstream(name).await.map_err(|error| error.to_string())?;
        }
        if channel != LeaveChannel::Upstream {
            let entry = self.fleet.upstreams.iter_mut().find(|it| it.name.as_str() == name);
            entry.ok_or_else(|| "no such upstream".to_owned())?.leaving = true;
            return self.fleet.publish_upstreams().await.map_err(|error| error.to_string());
        }
        Ok(())
    }

    /// Resumes frozen processes, restores all links, ends all loads and pending requests, and
    /// checks the guarantees.
    async fn finish(&mut self) {
        for name in std::mem::take(&mut self.frozen) {
            self.fleet.thaw(&name);
        }
        self.fleet.relay.change(
            |_| true,
            |_, state| {
                (state.is_forward_cut, state.is_backward_cut) = (false, false);
            },
        );
        for name in self.loads.keys().cloned().collect::<Vec<_>>() {
            let _ = self.end_load(&name, 0.0).await;
        }
        for name in self.pending.keys().cloned().collect::<Vec<_>>() {
            if let Err(message) = self.check_answer(&name, &[]).await {
                self.fail(format!("{name}: {message}"));
            }
        }
        let mut violations = self.observer.violations();
        violations.extend(self.check_guarantees());
        for name in self.fleet.vms.keys() {
            violations.extend(adoption_violations(name, &self.read_log(name)));
        }
        for violation in violations {
            // The detail mostly starts with the request id.
            let request = violation.detail.split_whitespace().next().unwrap_or_default();
            let lines = self.log_lines_with(&format!("\"{request}\"")).join("\n");
            self.fail(format!("{violation}\n{lines}"));
        }
        if !self.failures.is_empty() {
            self.record_stalls();
        }
        let writes = self.fleet.platform_counts().await.map_or(0, |counts| counts.writes);
        if writes > 0 {
            self.fail(format!("{writes} attempted writes to the {PLATFORM}"));
        }
    }

    /// Records when this process, and with it all links and callers, was stalled.
    fn record_stalls(&mut self) {
        for stall in self.stall_detector.stalls() {
            let ended = stall.ended_at.into_std().saturating_duration_since(self.started_at);
            let (ended, duration) = (ended.as_secs_f64(), stall.duration.as_millis());
            self.record(format!(
                "links and callers were stalled for {duration}ms until {ended:.3}"
            ));
        }
    }

    fn check_guarantees(&self) -> Vec<Violation> {
        let ledger = self.fleet.ledger();
        let evidence = Evidence {
            ledger: &ledger,
            sent: &self.sent,
            epochs: &self.epochs,
            left_at: &self.left_at,
        };
        evidence.violations()
    }

    fn report(self, scenario: &Scenario) -> ScenarioReport {
        let logs = if self.failures.is_empty() { Vec::new() } else { self.log_tails() };
        ScenarioReport {
            name: scenario.name.clone(),
            failures: self.failures,
            timeline: self.timeline,
            judged: self.sent.len(),
            faults: self.faults,
            logs,
        }
    }

    fn read_log(&self, name: &str) -> String {
        let path = self.fleet.folder().join(format!("{name}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Returns the log lines of all daemons that contain a text.
    fn log_lines_with(&self, text: &str) -> Vec<String> {
        let vms = self.fleet.vms.keys();
        let logs = vms.map(|name| (name, self.read_log(name)));
        let lines = logs.flat_map(|(name, log)| {
            let matching_lines = log.lines().filter(|line| line.contains(text));
            matching_lines.map(|line| format!("{name}: {line}")).collect::<Vec<String>>()
        });
        lines.collect()
    }

    fn log_tails(&self) -> Vec<String> {
        const LINES: usize = 12;
        let tail = |name: &String| {
            let text = self.read_log(name);
            let lines: Vec<&str> =
                text.lines().filter(|line| !line.contains("request ended")).collect();
            let from = lines.len().saturating_sub(LINES);
            format!("--- {name}\n{}", lines[from..].join("\n"))
        };
        self.fleet.vms.keys().map(tail).collect()
    }
}
