//! Description of an experiment on account limits, read from YAML.

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::scenario::LimitScenario;
use super::vm::LimitStrategy;
use crate::simulate::ExperimentError;

/// An experiment on account limits: each combination is simulated with each seed.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitsExperiment {
    /// Pairs of the number of VMs and the number of regions.
    pub vms: Vec<(usize, usize)>,
    /// Number of accounts in each message; affects the reported bytes only.
    pub accounts: Vec<usize>,
    /// Load changes and faults.
    #[serde(rename = "troubles")]
    pub scenarios: Vec<LimitScenario>,
    /// Strategies that enforce the limit.
    #[serde(rename = "ways")]
    pub strategies: Vec<LimitStrategy>,
    /// Seeds of the random numbers.
    pub seeds: Vec<u64>,
}

/// One combination of an experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitsPlan {
    /// Number of VMs.
    pub vms: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of accounts in each message; affects the reported bytes only.
    pub accounts: usize,
    /// Load change or fault.
    #[serde(rename = "trouble")]
    pub scenario: LimitScenario,
    /// Strategy that enforces the limit.
    #[serde(rename = "way")]
    pub strategy: LimitStrategy,
}

/// An experiment file, which may hold an experiment of another kind.
#[derive(Debug, Deserialize)]
struct LimitsFile {
    limits: Option<LimitsExperiment>,
}

impl LimitsExperiment {
    /// Reads an experiment file. Returns `None` if it holds an experiment of another kind.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or parsed, or if a value is out of range.
    pub fn read(path: &Path) -> Result<Option<Self>, ExperimentError> {
        let name = || path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| ExperimentError::Read { path: name(), source })?;
        let file: LimitsFile = serde_saphyr::from_str(&text)
            .map_err(|source| ExperimentError::Parse { path: name(), source: Box::new(source) })?;
        if let Some(experiment) = &file.limits {
            experiment.check()?;
        }
        Ok(file.limits)
    }

    /// Checks that the values can be simulated.
    ///
    /// # Errors
    ///
    /// Fails if a value is out of range.
    pub fn check(&self) -> Result<(), ExperimentError> {
        let fault = |field, message| Err(ExperimentError::Value { field, message });
        let is_size =
            |(vms, regions): &(usize, usize)| (1..=*vms).contains(regions) && *vms <= 5_000;
        if self.vms.is_empty() || !self.vms.iter().all(is_size) {
            return fault("limits.vms", "expected pairs of up to 5,000 VMs and no more regions");
        }
        if self.accounts.iter().any(|accounts| !(1..=1_200).contains(accounts)) {
            return fault("limits.accounts", "expected 1 to 1,200 each");
        }
        let lists =
            [self.accounts.len(), self.scenarios.len(), self.strategies.len(), self.seeds.len()];
        if lists.contains(&0) {
            return fault("limits", "expected accounts, troubles, ways and seeds, one at least");
        }
        Ok(())
    }

    /// Returns all combinations.
    pub fn plans(&self) -> Vec<LimitsPlan> {
        let mut plans = Vec::new();
        for (vms, regions) in &self.vms {
            for accounts in &self.accounts {
                for scenario in &self.scenarios {
                    for strategy in &self.strategies {
                        plans.push(LimitsPlan {
                            vms: *vms,
                            regions: *regions,
                            accounts: *accounts,
                            scenario: *scenario,
                            strategy: *strategy,
                        });
                    }
                }
            }
        }
        plans
    }
}
