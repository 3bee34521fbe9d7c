//! The description of an experiment, in YAML.

use std::path::Path;
use std::time::Duration;

use foldhaven_core::units::{CoreShare, TimeSpan};
use serde::{Deserialize, Serialize};

/// Why an experiment cannot be played.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ExperimentError {
    /// reading {path}: {source}
    Read {
        /// The file.
        path: String,
        /// What went wrong.
        source: std::io::Error,
    },
    /// reading {path}: {source}
    Parse {
        /// The file.
        path: String,
        /// What went wrong.
        source: Box<serde_saphyr::Error>,
    },
    /// {field}: {message}
    Value {
        /// The field.
        field: &'static str,
        /// What is expected of it.
        message: &'static str,
    },
}

/// Which VMs callers are sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServicePolicy {
    /// All of them.
    All,
    /// Those that the order of service names for the load.
    Order,
}

/// How a VM chooses an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChoicePolicy {
    /// As the gateway does: the least expected cost by what the VM knows.
    Cost,
    /// The least expected cost over all engines, as if what the VM knows were new.
    CostOfAll,
    /// The same by the queues as they are at that moment, which nobody can know.
    Perfect,
    /// The fewest requests by what the VM knows.
    LeastLoaded,
    /// The one of two drawn engines that has fewer requests by what the VM knows.
    TwoChoices,
    /// Any.
    Random,
}

/// A time in which callers send more or less.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct LoadStep {
    /// From when on.
    pub at: TimeSpan,
    /// By what the usual rate is multiplied from then on.
    pub times: f64,
}

/// One kind of request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RequestMix {
    /// How many callers send in a second, in all.
    pub per_s: f64,
    /// The mean tokens of a prompt that are read.
    pub prompt_tokens: f64,
    /// The spread of its logarithm.
    pub prompt_spread: f64,
    /// The most tokens of a prompt.
    pub largest_prompt: f64,
    /// The mean number of events of an answer.
    pub events: f64,
    /// The time within which callers want the first one.
    pub target: TimeSpan,
    /// For how long they wait.
    pub patience: TimeSpan,
}

/// The engines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineMix {
    /// How many there are.
    pub count: usize,
    /// How many requests one of them runs at once.
    pub slots: u32,
    /// How many more wait there; any beyond is refused.
    pub queue: u32,
    /// Prompt tokens that one of them reads in a second.
    pub tokens_per_s: f64,
    /// The time that one event takes.
    pub event: TimeSpan,
}

/// The VMs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VmMix {
    /// How many large ones there are.
    pub large: usize,
    /// How many small ones.
    pub small: usize,
    /// The processor of a large one.
    pub large_cores: CoreShare,
    /// That of a small one.
    pub small_cores: CoreShare,
    /// The processor time that a request takes.
    pub request_time: TimeSpan,
}

/// An experiment: what is played, with which policies side by side.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// How long callers send.
    pub length: TimeSpan,
    /// The way from a VM to another or to an engine.
    pub way: TimeSpan,
    /// How long after a refusal a caller comes back, once.
    pub come_back: TimeSpan,
    /// The seeds; each policy is played with each of them.
    pub seeds: Vec<u64>,
    /// Which VMs callers are sent to.
    pub service: Vec<ServicePolicy>,
    /// How VMs choose.
    pub choice: Vec<ChoicePolicy>,
    /// The VMs.
    pub vms: VmMix,
    /// The engines.
    pub engines: EngineMix,
    /// The kinds of requests.
    pub requests: Vec<RequestMix>,
    /// Changes of the rate.
    #[serde(default)]
    pub steps: Vec<LoadStep>,
}

impl Experiment {
    /// Reads an experiment.
    ///
    /// # Errors
    ///
    /// When the file cannot be read, is not of the right shape, or has a value out of range.
    pub fn read(path: &Path) -> Result<Self, ExperimentError> {
        let name = || path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| ExperimentError::Read { path: name(), source })?;
        let experiment: Self = serde_saphyr::from_str(&text)
            .map_err(|source| ExperimentError::Parse { path: name(), source: Box::new(source) })?;
        experiment.check()?;
        Ok(experiment)
    }

    /// Checks the values that cannot be played.
    ///
    /// # Errors
    ///
    /// When a value is out of range.
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
            mix.per_s > 0.0 && mix.prompt_tokens >= 1.0 && mix.largest_prompt >= 1.0
        };
        if self.requests.is_empty() || !self.requests.iter().all(is_sound) {
            return fault("requests", "expected a rate above 0 and prompts of 1 token at least");
        }
        if self.seeds.is_empty() || self.service.is_empty() || self.choice.is_empty() {
            return fault("seeds, service, choice", "expected one of each at least");
        }
        Ok(())
    }

    /// By what the usual rate is multiplied at a moment.
    pub fn rate_at(&self, moment: Duration) -> f64 {
        let begun = self.steps.iter().rev().find(|step| step.at.0 <= moment);
        begun.map_or(1.0, |step| step.times)
    }
}
