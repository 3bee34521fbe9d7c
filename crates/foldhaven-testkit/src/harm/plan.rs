//! What is simulated, and what comes of it.

use std::time::Duration;

use serde::Serialize;

/// How VMs learn of ends that others saw.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TellPolicy {
    /// Records are told and joined.
    Joined,
    /// Each VM goes by what it has seen itself.
    Alone,
    /// Nothing is noted.
    Nothing,
}

/// A deployment and what happens to it.
#[derive(Debug, Clone, Copy)]
pub struct HarmPlan {
    /// The entry VMs.
    pub vms: usize,
    /// The engines.
    pub engines: usize,
    /// The regions, among which both are dealt evenly.
    pub regions: usize,
    /// How many requests an engine runs at once.
    pub slots: usize,
    /// How many wait there at most.
    pub places: usize,
    /// Innocent requests a second.
    pub rate: f64,
    /// The share of them that have one of a few popular bodies.
    pub popular: f64,
    /// How long an innocent request runs, on average.
    pub work: Duration,
    /// How many bodies end their engines.
    pub deadly: usize,
    /// The pause between two sendings of such a body.
    pub deadly_pause: Duration,
    /// When the first of them comes.
    pub deadly_from: Duration,
    /// When a quarter of the engines crash.
    pub crash_at: Duration,
    /// When the first region loses its power.
    pub loss_at: Duration,
    /// How long all of it takes.
    pub length: Duration,
    /// The share of datagrams that are lost.
    pub lossy: f64,
}

impl Default for HarmPlan {
    fn default() -> Self {
        Self {
            vms: 300,
            engines: 128,
            regions: 3,
            slots: 12,
            places: 36,
            rate: 1_500.0,
            popular: 0.1,
            work: Duration::from_millis(300),
            deadly: 1,
            deadly_pause: Duration::from_millis(70),
            deadly_from: Duration::from_secs(5),
            crash_at: Duration::from_secs(12),
            loss_at: Duration::from_secs(20),
            length: Duration::from_secs(40),
            lossy: 0.01,
        }
    }
}

/// What came of one play.
#[derive(Debug, Clone, Serialize)]
pub struct HarmOutcome {
    /// How VMs learnt of ends.
    pub policy: TellPolicy,
    /// The seed.
    pub seed: u64,
    /// How many engines ended under deadly requests.
    pub ends: usize,
    /// How often the worst body was sent to an engine later than two seconds after its third end.
    pub late_sends: usize,
    /// Innocent requests.
    pub innocent: usize,
    /// How many of them were held back as suspects.
    pub held_back: usize,
    /// How many of them were not served.
    pub lost: usize,
    /// What a VM told others of suspects, in bytes a second.
    pub bytes_per_s: f64,
    /// The same in the busiest second of any VM.
    pub most_bytes: usize,
}
