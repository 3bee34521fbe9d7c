//! Typed steps of a scenario and their textual form.

use std::fmt;
use std::time::Duration;

use foldhaven_core::attempt::RequestOutcome;

use crate::stand_in::platform::PlatformMode;

/// A fleet and a sequence of steps that run against it.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: String,
    /// Entry VMs per data centre.
    pub vms: usize,
    /// Steps in order.
    pub steps: Vec<Step>,
}

/// A step of a scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Line number in the scenario file, counted from 1.
    pub line: usize,
    /// Action of the step.
    pub kind: StepKind,
}

/// Properties of a request to send.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SendSpec {
    /// Account of the request.
    pub account: String,
    /// Class of the request.
    pub class: String,
    /// Entry VM. If `None`, the caller chooses it.
    pub entry: Option<String>,
    /// Deadline. If `None`, the one of the class applies.
    pub deadline: Option<Duration>,
    /// Maximum number of tokens in the answer. If 0, the maximum of the class applies.
    pub max_tokens: u64,
    /// Path at a service. `ok` if empty.
    pub path: String,
    /// VM that issues the ticket of a request that is not repeatable.
    pub ticket_from: Option<String>,
    /// Earlier request whose id, ticket and content this request repeats.
    pub repeat_of: Option<String>,
}

/// How an upstream announces that it is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaveChannel {
    /// Only in the platform's list.
    List,
    /// Only in its own load reports and refusals.
    Upstream,
    /// In both ways.
    Both,
}

/// An edit of the current description.
#[derive(Debug, Clone, PartialEq)]
pub enum EditSpec {
    /// Only increases the generation.
    Bump,
    /// Replaces the regions of a residency rule.
    Residency(String, Vec<String>),
    /// Makes the description invalid.
    Bad,
    /// Publishes two different descriptions of the same generation, one after the other.
    Race,
    /// Publishes the initial description again.
    Old,
}

/// Action of a step.
#[derive(Debug, Clone, PartialEq)]
pub enum StepKind {
    /// Sends a request in the background.
    Send(String, SendSpec),
    /// Waits for the answer to a request and checks that its outcome is one of those given, if any.
    Answer(String, Vec<RequestOutcome>),
    /// Waits until an upstream has started to process a request.
    Running(String),
    /// Sends requests in the background at a steady rate per second.
    Load(String, SendSpec, f64),
    /// Ends a load, waits for its answers and checks the minimum share of complete ones.
    EndLoad(String, f64),
    /// Kills processes.
    Kill(String),
    /// Kills processes if they still run, and starts them again.
    Restart(String),
    /// Suspends processes.
    Freeze(String),
    /// Resumes suspended processes.
    Thaw(String),
    /// Asks daemons to shut down gracefully.
    Stop(String),
    /// Waits until a daemon has exited and checks that its exit code is 0.
    Exit(String),
    /// Cuts the links between two groups. If the flag is true, only from the first to the second.
    Cut(String, String, bool),
    /// Restores all links.
    Heal,
    /// Sets the one-way delay between two groups.
    Delay(String, String, Duration),
    /// Publishes an edited description.
    Publish(EditSpec),
    /// Sets the mode of the platform.
    Platform(PlatformMode),
    /// Makes an upstream leave.
    Leave(String, LeaveChannel),
    /// Waits until the newest description is in force on all running, unfrozen VMs of a group, for
    /// the given time at most.
    InForce(String, Duration),
    /// Waits until a VM considers another one `live`, `leaving`, `suspect` or `unknown`.
    Judges(String, String, String),
    /// Waits until all running, unfrozen VMs of a group have a description in force.
    Serving(String),
    /// Waits for the given time.
    Hold(Duration),
    /// Checks how many times a request has run.
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
            Self::Leave(name, channel) => {
                let channel = match channel {
                    LeaveChannel::List => "list",
                    LeaveChannel::Upstream => "upstream",
                    LeaveChannel::Both => "both",
                };
                write!(formatter, "leave {name} {channel}")
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
            ("repeats", self.repeat_of.clone()),
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
