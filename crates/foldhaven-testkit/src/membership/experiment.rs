//! Description of a membership experiment, read from YAML.

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::trial::StartPlan;
use crate::simulate::ExperimentError;

/// The order in which VMs start, and the faults while they do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartKind {
    /// All VMs start within 50 ms.
    Together,
    /// VMs start one after another, within about 300 ms if there are at most 30 VMs.
    Apart,
    /// The seed VMs start 40 ms after the beginning, the others at random in the first 50 ms.
    SeedsLast,
    /// Half of the VMs are killed after 4 s and restart 0.1 to 1 s later.
    HalfBack,
    /// One region starts 3 s after the others.
    RegionLater,
    /// The two halves of each region are partitioned from each other for the first 5 s, with even
    /// seeds in one direction only.
    Cut,
}

/// How VMs discover VMs that they don't know.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DiscoveryMethod {
    /// By heartbeats, and by requesting the heartbeats of all VMs from one VM once.
    Heartbeats,
    /// By requesting the heartbeats of all VMs from one VM again every second.
    AskingAgain,
    /// By comparing digests of the VMs' views and exchanging the differences, as the daemon does.
    Views,
}

/// A membership experiment: each combination is simulated.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MembershipExperiment {
    /// Numbers of VMs.
    pub vms: Vec<usize>,
    /// Number of regions; the first VM of each region is a seed VM.
    pub regions: usize,
    /// Start orders.
    pub starts: Vec<StartKind>,
    /// Discovery methods.
    #[serde(rename = "ways")]
    pub methods: Vec<DiscoveryMethod>,
    /// Shares of messages that are lost, from 0 to below 1.
    pub loss: Vec<f64>,
    /// Number of runs of each combination, with random seeds from 0 on.
    #[serde(rename = "plays")]
    pub runs: u64,
}

/// An experiment file, which may hold an experiment of another kind.
#[derive(Debug, Deserialize)]
struct MembershipFile {
    membership: Option<MembershipExperiment>,
}

impl MembershipExperiment {
    /// Reads an experiment file. Returns `None` if it holds an experiment of another kind.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or parsed, or if a value is out of range.
    pub fn read(path: &Path) -> Result<Option<Self>, ExperimentError> {
        let name = || path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| ExperimentError::Read { path: name(), source })?;
        let file: MembershipFile = serde_saphyr::from_str(&text)
            .map_err(|source| ExperimentError::Parse { path: name(), source: Box::new(source) })?;
        if let Some(experiment) = &file.membership {
            experiment.check()?;
        }
        Ok(file.membership)
    }

    /// Checks that the values can be simulated.
    ///
    /// # Errors
    ///
    /// Fails if a value is out of range.
    pub fn check(&self) -> Result<(), ExperimentError> {
        let fault = |field, message| Err(ExperimentError::Value { field, message });
        if self.vms.is_empty() || self.vms.iter().any(|vms| *vms < 2 || *vms > 10_000) {
            return fault("membership.vms", "expected 2 to 10,000 each, and one at least");
        }
        if self.regions == 0 || self.vms.iter().any(|vms| *vms < self.regions) {
            return fault("membership.regions", "expected 1 at least, and no more than VMs");
        }
        if self.loss.is_empty() || self.loss.iter().any(|loss| !(0.0..1.0).contains(loss)) {
            return fault("membership.loss", "expected shares from 0 to below 1, and one at least");
        }
        if self.starts.is_empty() || self.methods.is_empty() || self.runs == 0 {
            return fault("membership.starts, ways, plays", "expected one of each at least");
        }
        Ok(())
    }

    /// Returns all combinations.
    pub fn plans(&self) -> Vec<StartPlan> {
        let mut plans = Vec::new();
        for vms in &self.vms {
            for start in &self.starts {
                for loss in &self.loss {
                    for method in &self.methods {
                        let (vms, regions) = (*vms, self.regions);
                        plans.push(StartPlan {
                            vms,
                            regions,
                            start: *start,
                            loss: *loss,
                            method: *method,
                        });
                    }
                }
            }
        }
        plans
    }
}
