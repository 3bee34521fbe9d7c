//! The typed steps of a scenario, and how they are written.

use std::fmt;
use std::time::Duration;

use foldhaven_core::attempt::RequestOutcome;

use crate::stand_in::platform::PlatformMode;

/// A scenario: a fleet and what befalls it.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// Entry VMs per data centre.
    pub vms: usize,
    /// The steps in order.
    pub steps: Vec<Step>,
}

/// One step.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// The line on which it stands, counted from 1.
    pub line: usize,
    /// What is done.
    pub kind: StepKind,
}

/// One request that is sent.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SendSpec {
    /// The account.
    pub account: String,
    /// The class.
    pub class: String,
    /// The VM that is asked; by the caller's own choice when absent.
    pub entry: Option<String>,
    /// The deadline.
    pub deadline: Option<Duration>,
    /// The most tokens of the answer.
    pub max_tokens: u64,
    /// The path at a service.
    pub path: String,
    /// The VM that issues the ticket, for a request that is not repeatable.
    pub ticket_from: Option<String>,
    /// The earlier request that this one repeats, with its id, ticket and content.
    pub repeats: Option<String>,
}

/// How an upstream's leaving becomes known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaveWay {
    /// By the platform's list only.
    List,
    /// By its own load reports and refusals only.
    Upstream,
    /// By both.
    Both,
}

/// An edit of the description in force.
#[derive(Debug, Clone, PartialEq)]
pub enum EditSpec {
    /// Nothing but a new generation.
    Bump,
    /// Other regions for a residency rule.
    Residency(String, Vec<String>),
    /// An edit that does not pass the checks.
    Bad,
    /// Two edits of one generation, published one after the other.
    Race,
    /// The first description, published again.
    Old,
}

/// What is done in one step.
#[derive(Debug, Clone, PartialEq)]
pub enum StepKind {
    /// Sends a request in the background.
    Send(String, SendSpec),
    /// Waits for a request's answer, and checks its outcome when that is given.
    Answer(String, Vec<RequestOutcome>),
    /// Waits until an upstream has started a request.
    Running(String),
    /// Sends requests at a steady rate in the background.
    Load(String, SendSpec, f64),
    /// Ends a load, waits for its answers, and checks the share that is complete.
    EndLoad(String, f64),
    /// Kills processes.
    Kill(String),
    /// Starts processes again that were killed or have ended.
    Restart(String),
    /// Freezes processes.
    Freeze(String),
    /// Lets frozen processes go on.
    Thaw(String),
    /// Asks daemons to leave.
    Stop(String),
    /// Waits until a daemon has ended by itself with exit code 0.
    Exit(String),
    /// Cuts the links between two groups; only from the first to the second when one-way.
    Cut(String, String, bool),
    /// Heals all links.
    Heal,
    /// Sets the one-way time between two groups.
    Delay(String, String, Duration),
    /// Publishes an edit.
    Publish(EditSpec),
    /// Sets how the platform fares.
    Platform(PlatformMode),
    /// Has an upstream leave.
    Leave(String, LeaveWay),
    /// Waits until the newest description is in force on all VMs that run and can hear of it.
    InForce(String, Duration),
    /// Waits until a VM judges another to be `live`, `leaving`, `suspect` or `unknown`.
    Judges(String, String, String),
    /// Waits until VMs serve again.
    Serving(String),
    /// Lets what was done last for a while.
    Hold(Duration),
    /// Checks how often a request has run.
    Runs(String, usize),
    /// Checks in which region a request has run.
    ServedIn(String, String),
}

impl fmt::Display for StepKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Send(name, spec) => write!(formatter, "send {name}{spec}"),
            Self::Answer(name, outcomes) => {
                write!(formatter, "answer {name}")?;
                outcomes.iter().try_for_each(|outcome| write!(formatter, " {outcome}"))
            }
            Self::Running(name) => write!(formatter, "running {name}"),
            Self::Load(name, spec, rate) => write!(formatter, "load {name} rate={rate}{spec}"),
            Self::EndLoad(name, share) => write!(formatter, "end {name} complete={share}"),
            Self::Kill(name) => write!(formatter, "kill {name}"),
            Self::Restart(name) => write!(formatter, "restart {name}"),
            Self::Freeze(name) => write!(formatter, "freeze {name}"),
            Self::Thaw(name) => write!(formatter, "thaw {name}"),
            Self::Stop(name) => write!(formatter, "stop {name}"),
            Self::Exit(name) => write!(formatter, "exit {name}"),
            Self::Cut(from, to, false) => write!(formatter, "cut {from} {to}"),
            Self::Cut(from, to, true) => write!(formatter, "cut-one-way {from} {to}"),
            Self::Heal => formatter.write_str("heal"),
            Self::Delay(from, to, span) => {
                write!(formatter, "delay {from} {to} {}ms", span.as_millis())
            }
            Self::Publish(EditSpec::Bump) => formatter.write_str("publish bump"),
            Self::Publish(EditSpec::Bad) => formatter.write_str("publish bad"),
            Self::Publish(EditSpec::Race) => formatter.write_str("publish race"),
            Self::Publish(EditSpec::Old) => formatter.write_str("publish old"),
            Self::Publish(EditSpec::Residency(rule, regions)) => {
                write!(formatter, "publish residency {rule} {}", regions.join(","))
            }
            Self::Platform(mode) => {
                let text = serde_json::to_string(mode).unwrap_or_default();
                write!(formatter, "platform {}", text.trim_matches('"'))
            }
            Self::Leave(name, way) => {
                let way = match way {
                    LeaveWay::List => "list",
                    LeaveWay::Upstream => "upstream",
                    LeaveWay::Both => "both",
                };
                write!(formatter, "leave {name} {way}")
            }
            Self::InForce(group, within) => {
                write!(formatter, "in-force {group} {}ms", within.as_millis())
            }
            Self::Judges(vm, member, state) => write!(formatter, "judges {vm} {member} {state}"),
            Self::Serving(group) => write!(formatter, "serving {group}"),
            Self::Hold(span) => write!(formatter, "hold {}ms", span.as_millis()),
            Self::Runs(name, count) => write!(formatter, "runs {name} {count}"),
            Self::ServedIn(name, region) => write!(formatter, "served {name} {region}"),
        }
    }
}

impl fmt::Display for SendSpec {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let pairs = [
            ("account", Some(self.account.clone()).filter(|text| !text.is_empty())),
            ("class", Some(self.class.clone()).filter(|text| !text.is_empty())),
            ("entry", self.entry.clone()),
            ("deadline", self.deadline.map(|span| format!("{}ms", span.as_millis()))),
            ("max", Some(self.max_tokens).filter(|max| *max > 0).map(|max| max.to_string())),
            ("path", Some(self.path.clone()).filter(|text| !text.is_empty())),
            ("ticket", self.ticket_from.clone()),
            ("repeats", self.repeats.clone()),
        ];
        for (name, value) in pairs {
            if let Some(value) = value {
                write!(formatter, " {name}={value}")?;
            }
        }
        Ok(())
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "scenario {}\nvms {}", self.name, self.vms)?;
        self.steps.iter().try_for_each(|step| writeln!(formatter, "{}", step.kind))
    }
}
