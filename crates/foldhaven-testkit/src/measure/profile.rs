//! Load profiles of measured runs, and the requests that are drawn for them.

use std::time::Duration;

use foldhaven_core::description::{ClassConfig, ClassKind, Description};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The load and the fault of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProfileKind {
    /// Load of half the capacity in all regions.
    Steady,
    /// Load of twice the capacity in one region, and a fifth of it in the others.
    Peak,
    /// Load of 0.8 times the capacity in all regions; one data centre loses half of its engines.
    CapacityLoss,
    /// Load of 1.2 times the capacity in one region, which is partitioned from the others for a
    /// third of the run, and of 0.4 times the capacity in these.
    Partition,
    /// Load of three times the capacity in one region and half of it in the others, from callers
    /// that retry at once, up to twice.
    RetryStorm,
    /// Load of half the capacity; a VM is frozen for a fifth of the run.
    Pause,
    /// Load of 0.7 times the capacity, with long prompt prefixes that several requests share, and
    /// short answers.
    Prefix,
    /// Load of three times the capacity in all regions.
    Overload,
}

impl ProfileKind {
    /// All kinds.
    pub const ALL: [Self; 8] = [
        Self::Steady,
        Self::Peak,
        Self::CapacityLoss,
        Self::Partition,
        Self::RetryStorm,
        Self::Pause,
        Self::Prefix,
        Self::Overload,
    ];

    /// Returns the name on the command line and in results.
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Peak => "peak",
            Self::CapacityLoss => "capacity-loss",
            Self::Partition => "partition",
            Self::RetryStorm => "retry-storm",
            Self::Pause => "pause",
            Self::Prefix => "prefix",
            Self::Overload => "overload",
        }
    }

    /// Returns the load as a multiple of the capacity, for the region at an index of the
    /// description.
    fn load_factor(self, region: usize) -> f64 {
        match (self, region) {
            (Self::Steady | Self::Pause, _) => 0.5,
            (Self::Peak, 0) => 2.0,
            (Self::Peak, _) => 0.2,
            (Self::CapacityLoss, _) => 0.8,
            (Self::Partition, 0) => 1.2,
            (Self::Partition, _) => 0.4,
            (Self::RetryStorm, 0) => 3.0,
            (Self::RetryStorm, _) => 0.5,
            (Self::Prefix, _) => 0.7,
            (Self::Overload, _) => 3.0,
        }
    }

    /// Returns how often a caller retries an incomplete request.
    pub fn max_retries(self) -> usize {
        if self == Self::RetryStorm { 2 } else { 0 }
    }

    /// Returns the length in bytes of the prompt prefix that several requests share.
    fn shared_bytes(self) -> usize {
        if self == Self::Prefix { 64 << 10 } else { 6 << 10 }
    }
}

/// Share of requests from accounts with a residency rule, where the region has such an account.
const RESIDENCY_SHARE: f64 = 0.16;
/// Number of case files, the shared prompt prefixes, of a region.
const CASE_FILES: usize = 40;
/// Mean length of the answers of stand-in engines, as a share of the maximum length.
const MEAN_ANSWER_SHARE: f64 = 0.85;

/// One request of a run.
#[derive(Debug, Clone)]
pub struct PlannedRequest {
    /// When it is due, counted from the start of the run.
    pub due: Duration,
    /// Name of the account.
    pub account: String,
    /// Home region of the account.
    pub home: String,
    /// Request class.
    pub class: ClassConfig,
    /// The prompt.
    pub prompt: String,
    /// Maximum number of tokens of the answer.
    pub max_tokens: u64,
}

/// Draws all requests of a run from a seed, so that every policy gets the same ones.
pub fn draw_requests(
    description: &Description,
    kind: ProfileKind,
    length: Duration,
    seed: u64,
) -> Vec<PlannedRequest> {
    let mut draw = StdRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    let classes: Vec<&ClassConfig> =
        description.classes.iter().filter(|class| class.kind == ClassKind::Model).collect();
    for (index, region) in description.regions.iter().enumerate() {
        for class in &classes {
            let rate = capacity(description, region, class, kind) * kind.load_factor(index);
            let mut due = 0.0;
            loop {
                due += -draw.random_range(f64::EPSILON..1.0).ln() / rate;
                if due >= length.as_secs_f64() {
                    break;
                }
                let due = Duration::from_secs_f64(due);
                requests.push(draw_request(&mut draw, description, region, class, kind, due));
            }
        }
    }
    requests.sort_by_key(|request| request.due);
    requests
}

/// Returns the requests of a class per second that a region can serve with cold caches.
fn capacity(
    description: &Description,
    region: &foldhaven_core::description::RegionConfig,
    class: &ClassConfig,
    kind: ProfileKind,
) -> f64 {
    let model = description.models.iter().find(|model| Some(&model.name) == class.model.as_ref());
    let Some(model) = model else { return 0.0 };
    let deployments = description.deployments.iter().filter(|it| it.model == model.name);
    let here = deployments.filter(|it| region.data_centres.contains(&it.data_centre));
    let engines: u32 = here.map(|it| it.engines).sum();
    let prompt = kind.shared_bytes() as f64 / foldhaven_core::prefix::BYTES_PER_TOKEN as f64;
    let answer = answer_limit(class, kind) as f64 * MEAN_ANSWER_SHARE;
    let work = prompt / model.prefill.0 + answer / model.decode.0;
    f64::from(engines * model.slots) / work
}

fn answer_limit(class: &ClassConfig, kind: ProfileKind) -> u64 {
    match kind {
        ProfileKind::Prefix => class.max_output_tokens.min(60),
        _ => class.max_output_tokens,
    }
}

fn draw_request(
    draw: &mut StdRng,
    description: &Description,
    region: &foldhaven_core::description::RegionConfig,
    class: &ClassConfig,
    kind: ProfileKind,
    due: Duration,
) -> PlannedRequest {
    let at_home = || description.accounts.iter().filter(|account| account.home == region.name);
    let bound = at_home().find(|account| account.residency.is_some());
    let free = at_home().find(|account| account.residency.is_none());
    let has_residency = draw.random_bool(RESIDENCY_SHARE);
    let account = bound.filter(|_| has_residency).or(free).or(bound);
    let account = account.expect("every region of the examples has an account");
    // Most requests share the prefixes of a few case files; the other files are used rarely.
    let case = (draw.random_range(0.0f64..1.0).powi(2) * CASE_FILES as f64) as usize;
    let file = format!("case {case} of {} ", region.name);
    let shared: String = file.chars().cycle().take(kind.shared_bytes()).collect();
    let number: u32 = draw.random();
    PlannedRequest {
        due,
        account: account.name.to_string(),
        home: region.name.to_string(),
        class: class.clone(),
        prompt: format!("{shared} question {number:08x}"),
        max_tokens: answer_limit(class, kind),
    }
}
