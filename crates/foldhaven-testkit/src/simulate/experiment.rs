//! Description of a load simulation, read from YAML.

use std::path::Path;
use std::time::Duration;

use foldhaven_core::units::{CoreShare, TimeSpan};
use serde::{Deserialize, Serialize};

/// An error in an experiment file.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ExperimentError {
    /// reading {path}: {source}
    Read {
        /// Path of the experiment file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// reading {path}: {source}
    Parse {
        /// Path of the experiment file.
        path: String,
        /// The parse error.
        source: Box<serde_saphyr::Error>,
    },
    /// {field}: {message}
    Value {
        /// Name of the invalid field.
        field: &'static str,
        /// The values that the field accepts.
        message: &'static str,
    },
}

/// Selects the VMs that callers send requests to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServicePolicy {
    /// All VMs, with equal weight.
    All,
    /// The VMs that the service order selects for the expected load, weighted by their cores.
    Order,
}

/// How a VM chooses an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChoicePolicy {
    /// The lowest expected cost according to the VM's view, as in the gateway.
    Cost,
    /// The lowest expected cost over all engines, treating the VM's view as up to date.
    CostOfAll,
    /// The lowest expected cost by the actual queues: an upper bound that real VMs can't reach.
    Perfect,
    /// The fewest requests in flight according to the VM's view.
    LeastLoaded,
    /// The engine with fewer requests in flight, by the VM's view, of two random ones.
    TwoChoices,
    /// A random engine.
    Random,
}

/// A change of the request rate.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct LoadStep {
    /// When the change starts, counted from the start of the load.
    pub at: TimeSpan,
    /// Multiple of the base rate from then on.
    #[serde(rename = "times")]
    pub rate_factor: f64,
}

/// One kind of request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RequestMix {
    /// Total requests per second of all callers.
    pub per_s: f64,
    /// Mean number of prompt tokens that need prefill.
    pub prompt_tokens: f64,
    /// Standard deviation of the logarithm of the prompt tokens.
    pub prompt_spread: f64,
    /// Maximum number of tokens of a prompt.
    #[serde(rename = "largest_prompt")]
    pub max_prompt_tokens: f64,
    /// Mean number of events of an answer.
    pub events: f64,
    /// Target for the time to the first event.
    pub target: TimeSpan,
    /// How long callers wait for the first event before they give up.
    #[serde(rename = "patience")]
    pub max_wait: TimeSpan,
}

/// The number and performance of the engines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineMix {
    /// Number of engines.
    pub count: usize,
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Requests that can wait at one engine; further ones are refused.
    pub queue: u32,
    /// Prefill rate of one engine, in prompt tokens per second.
    pub tokens_per_s: f64,
    /// Time to generate one event.
    #[serde(rename = "event")]
    pub event_time: TimeSpan,
}

/// The number and size of the VMs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VmMix {
    /// Number of large VMs.
    pub large: usize,
    /// Number of small VMs.
    pub small: usize,
    /// Processor cores of a large VM.
    pub large_cores: CoreShare,
    /// Processor cores of a small VM.
    pub small_cores: CoreShare,
    /// Processor time that a request costs at its VM.
    pub request_time: TimeSpan,
}

/// An experiment: the simulated load, and the policies to compare.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// How long callers send requests.
    pub length: TimeSpan,
    /// One-way network delay between two VMs, or between a VM and an engine.
    #[serde(rename = "way")]
    pub one_way_latency: TimeSpan,
    /// How long after its first refusal a request is retried, once.
    #[serde(rename = "come_back")]
    pub retry_after: TimeSpan,
    /// Seeds; each combination of policies runs once per seed.
    pub seeds: Vec<u64>,
    /// Policies that select the VMs in service.
    pub service: Vec<ServicePolicy>,
    /// Policies by which VMs choose an engine.
    pub choice: Vec<ChoicePolicy>,
    /// The simulated VMs.
    pub vms: VmMix,
    /// The simulated engines.
    pub engines: EngineMix,
    /// The kinds of requests.
    pub requests: Vec<RequestMix>,
    /// Changes of the request rate, in the order of their times; none by default.
    #[serde(default)]
    pub steps: Vec<LoadStep>,
}

impl Experiment {
    /// Reads an experiment from a YAML file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or parsed, or if a value is out of range.
    pub fn read(path: &Path) -> Result<Self, ExperimentError> {
        let name = || path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| ExperimentError::Read { path: name(), source })?;
        let experiment: Self = serde_saphyr::from_str(&text)
            .map_err(|source| ExperimentError::Parse { path: name(), source: Box::new(source) })?;
        experiment.check()?;
        Ok(experiment)
    }

    /// Checks that the values can be simulated.
    ///
    /// # Errors
    ///
    /// Fails if a value is out of range.
    pub fn check(&self) -> Result<(), ExperimentError> {
        let fault = |field, message| Err(ExperimentError::Value { field, message });
        if self.vms.large + self.vms.small == 0 {
            return fault("vms", "expected one at least");
        }
        if self.engines.count == 0 || self.engines.slots == 0 {
            return fault("engines", "expected one at least, with one slot at least");
        }
        if self.engines.tokens_per_s <= 0.0 {
            return fault("engines.tokens_per_s", "expected more than 0");
        }
        let is_sound = |mix: &RequestMix| {
            mix.per_s > 0.0 && mix.prompt_tokens >= 1.0 && mix.max_prompt_tokens >= 1.0
        };
        if self.requests.is_empty() || !self.requests.iter().all(is_sound) {
            return fault("requests", "expected a rate above 0 and prompts of 1 token at least");
        }
        if self.seeds.is_empty() || self.service.is_empty() || self.choice.is_empty() {
            return fault("seeds, service, choice", "expected one of each at least");
        }
        Ok(())
    }

    /// Returns the multiple of the base rate that applies at a time since the start of the load.
    pub fn rate_at(&self, moment: Duration) -> f64 {
        let begun = self.steps.iter().rev().find(|step| step.at.0 <= moment);
        begun.map_or(1.0, |step| step.rate_factor)
    }
}
