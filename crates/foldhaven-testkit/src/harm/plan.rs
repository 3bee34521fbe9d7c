//! Settings and results of the simulation.

use std::time::Duration;

use serde::Serialize;

/// How VMs share records of the engine exits that they observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SharingPolicy {
    /// VMs exchange and merge their records.
    #[serde(rename = "joined")]
    Shared,
    /// Each VM uses its own observations only.
    #[serde(rename = "alone")]
    LocalOnly,
    /// VMs record no exits.
    #[serde(rename = "nothing")]
    Disabled,
}

/// The simulated deployment, its load and its faults. Times count from the start of the trial.
#[derive(Debug, Clone, Copy)]
pub struct PoisonPlan {
    /// Number of entry VMs.
    pub vms: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of regions; VMs and engines are spread evenly over them.
    pub regions: usize,
    /// Requests that an engine runs at once.
    pub slots: usize,
    /// Maximum number of requests that wait at an engine.
    pub queue_limit: usize,
    /// Innocent requests per second.
    pub rate: f64,
    /// Share of innocent requests that have one of a few popular bodies.
    pub popular_share: f64,
    /// Mean run time of an innocent request.
    pub mean_work_time: Duration,
    /// Number of distinct poison request bodies, which crash their engine.
    pub poison_bodies: usize,
    /// Interval between two requests with the same poison body.
    pub poison_interval: Duration,
    /// When poison requests begin.
    pub poison_start: Duration,
    /// When a quarter of the engines crash.
    pub crash_at: Duration,
    /// When the first region loses power.
    pub power_loss_at: Duration,
    /// Length of the trial.
    pub length: Duration,
    /// Share of messages between VMs that are lost.
    pub message_loss: f64,
}

impl Default for PoisonPlan {
    fn default() -> Self {
        Self {
            vms: 300,
            engines: 128,
            regions: 3,
            slots: 12,
            queue_limit: 36,
            rate: 1_500.0,
            popular_share: 0.1,
            mean_work_time: Duration::from_millis(300),
            poison_bodies: 1,
            poison_interval: Duration::from_millis(70),
            poison_start: Duration::from_secs(5),
            crash_at: Duration::from_secs(12),
            power_loss_at: Duration::from_secs(20),
            length: Duration::from_secs(40),
            message_loss: 0.01,
        }
    }
}

/// The results of one trial.
#[derive(Debug, Clone, Serialize)]
pub struct PoisonOutcome {
    /// How VMs shared records.
    pub policy: SharingPolicy,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Number of engine exits caused by poison requests.
    #[serde(rename = "ends")]
    pub exits: usize,
    /// Arrivals of the worst poison body at engines later than two seconds after its third exit.
    pub late_sends: usize,
    /// Number of innocent requests, not counting retries.
    pub innocent: usize,
    /// Number of innocent requests, counting retries, that were quarantined as suspects.
    #[serde(rename = "held_back")]
    pub quarantined: usize,
    /// Number of innocent requests that failed on their retry, too.
    #[serde(rename = "lost")]
    pub unserved: usize,
    /// Mean rate of suspect records that a VM sends, in bytes per second.
    pub bytes_per_s: f64,
    /// Bytes of suspect records in the busiest second of any VM.
    #[serde(rename = "most_bytes")]
    pub max_bytes_per_s: usize,
}
