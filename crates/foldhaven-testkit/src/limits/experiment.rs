//! The description of an experiment on limits, in YAML.

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::trouble::LimitTrouble;
use super::vm::LimitWay;
use crate::simulate::ExperimentError;

/// An experiment on limits: each combination is played with each seed.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitsExperiment {
    /// How many VMs there are, and in how many regions.
    pub vms: Vec<(usize, usize)>,
    /// How many accounts messages tell of.
    pub accounts: Vec<usize>,
    /// What goes wrong.
    pub troubles: Vec<LimitTrouble>,
    /// How the limit is kept.
    pub ways: Vec<LimitWay>,
    /// The seeds.
    pub seeds: Vec<u64>,
}

/// One combination.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitsPlan {
    /// How many VMs there are.
    pub vms: usize,
    /// In how many regions.
    pub regions: usize,
    /// How many accounts messages tell of.
    pub accounts: usize,
    /// What goes wrong.
    pub trouble: LimitTrouble,
    /// How the limit is kept.
    pub way: LimitWay,
}

/// A file that holds one.
#[derive(Debug, Deserialize)]
struct LimitsFile {
    limits: Option<LimitsExperiment>,
}

impl LimitsExperiment {
    /// Reads a file; nothing where it holds an experiment of another kind.
    ///
    /// # Errors
    ///
    /// When it cannot be read, is not of the right shape, or has a value out of range.
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

    /// Checks the values that cannot be played.
    ///
    /// # Errors
    ///
    /// When a value is out of range.
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
        let lists = [self.accounts.len(), self.troubles.len(), self.ways.len(), self.seeds.len()];
        if lists.contains(&0) {
            return fault("limits", "expected accounts, troubles, ways and seeds, one at least");
        }
        Ok(())
    }

    /// All combinations.
    pub fn plans(&self) -> Vec<LimitsPlan> {
        let mut plans = Vec::new();
        for (vms, regions) in &self.vms {
            for accounts in &self.accounts {
                for trouble in &self.troubles {
                    for way in &self.ways {
                        plans.push(LimitsPlan {
                            vms: *vms,
                            regions: *regions,
                            accounts: *accounts,
                            trouble: *trouble,
                            way: *way,
                        });
                    }
                }
            }
        }
        plans
    }
}
