//! The description of a membership experiment, in YAML.

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::trial::StartPlan;
use crate::simulate::ExperimentError;

/// How VMs start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartKind {
    /// All within 50 ms.
    Together,
    /// One after another, within 300 ms at most.
    Apart,
    /// The seeds 40 ms after all others have begun to start.
    SeedsLast,
    /// Half of them are killed after 4 s and are back 0.1 to 1 s later.
    HalfBack,
    /// One region starts 3 s after the others.
    RegionLater,
    /// Two halves of each region are cut from each other from the start on, for 5 s; one direction only with even seeds.
    Cut,
}

/// How VMs learn of those that they do not know.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TellingWay {
    /// By heartbeats, and by asking one VM for all once.
    Heartbeats,
    /// By asking one VM for all again each second.
    AskingAgain,
    /// By comparing digests of what is known, and exchanging what differs. The daemon does this.
    Views,
}

/// A membership experiment: each combination is played.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MembershipExperiment {
    /// How many VMs there are.
    pub vms: Vec<usize>,
    /// In how many regions; the first VM of each is a seed.
    pub regions: usize,
    /// How they start.
    pub starts: Vec<StartKind>,
    /// How they learn of each other.
    pub ways: Vec<TellingWay>,
    /// Which share of the messages is lost.
    pub loss: Vec<f64>,
    /// How many starts of each kind are played, with the seeds from 0 on.
    pub plays: u64,
}

/// A file that holds one.
#[derive(Debug, Deserialize)]
struct MembershipFile {
    membership: Option<MembershipExperiment>,
}

impl MembershipExperiment {
    /// Reads a file; nothing where it holds an experiment of another kind.
    ///
    /// # Errors
    ///
    /// When it cannot be read, is not of the right shape, or has a value out of range.
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

    /// Checks the values that cannot be played.
    ///
    /// # Errors
    ///
    /// When a value is out of range.
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
        if self.starts.is_empty() || self.ways.is_empty() || self.plays == 0 {
            return fault("membership.starts, ways, plays", "expected one of each at least");
        }
        Ok(())
    }

    /// All combinations.
    pub fn plans(&self) -> Vec<StartPlan> {
        let mut plans = Vec::new();
        for vms in &self.vms {
            for start in &self.starts {
                for loss in &self.loss {
                    for way in &self.ways {
                        let (vms, regions) = (*vms, self.regions);
                        plans.push(StartPlan {
                            vms,
                            regions,
                            start: *start,
                            loss: *loss,
                            way: *way,
                        });
                    }
                }
            }
        }
        plans
    }
}
