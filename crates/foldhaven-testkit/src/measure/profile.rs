//! What a measured run consists of: who asks for what and when, and what goes wrong meanwhile.

use std::time::Duration;

use foldhaven_core::description::{ClassConfig, ClassKind, Description};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The kinds of runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProfileKind {
    /// Half the capacity everywhere.
    Steady,
    /// One region has twice its capacity to serve, the others a fifth of theirs.
    Peak,
    /// At 0.8 of the capacity everywhere, one region loses half of its engines.
    CapacityLoss,
    /// One region at 1.2 times its capacity is cut from the others for a third of the run.
    Partition,
    /// Three times the capacity of one region, from callers who ask again at once.
    RetryStorm,
    /// A VM is frozen for a fifth of the run.
    Pause,
    /// Long case files that several requests share, and short answers.
    Prefix,
    /// Three times the capacity everywhere.
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

    /// The name on the command line.
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

    /// Load as a multiple of the capacity, for a region by its place in the description.
    fn factor(self, region: usize) -> f64 {
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

    /// How often a caller who was not served asks again.
    pub fn asks_again(self) -> usize {
        if self == Self::RetryStorm { 2 } else { 0 }
    }

    /// The bytes of the part of a prompt that requests share.
    fn shared_bytes(self) -> usize {
        if self == Self::Prefix { 64 << 10 } else { 6 << 10 }
    }
}

/// The share of requests that are bound to their home region.
const BOUND_SHARE: f64 = 0.16;
/// How many case files a region works on at a time.
const CASE_FILES: usize = 40;
/// The mean part of the longest answer that the stand-in engines write.
const MEAN_ANSWER: f64 = 0.85;

/// One request of a run.
#[derive(Debug, Clone)]
pub struct PlannedAsk {
    /// When it is due, from the start of the run.
    pub due: Duration,
    /// Its account.
    pub account: String,
    /// The home region of the account.
    pub home: String,
    /// Its class.
    pub class: ClassConfig,
    /// Its prompt.
    pub prompt: String,
    /// The most tokens of its answer.
    pub max_tokens: u64,
}

/// Draws all requests of a run from a seed, so that every policy gets the same ones.
pub fn draw_asks(
    description: &Description,
    kind: ProfileKind,
    length: Duration,
    seed: u64,
) -> Vec<PlannedAsk> {
    let mut draw = StdRng::seed_from_u64(seed);
    let mut asks = Vec::new();
    let classes: Vec<&ClassConfig> =
        description.classes.iter().filter(|class| class.kind == ClassKind::Model).collect();
    for (place, region) in description.regions.iter().enumerate() {
        for class in &classes {
            let rate = capacity(description, region, class, kind) * kind.factor(place);
            let mut due = 0.0;
            loop {
                due += -draw.random_range(f64::EPSILON..1.0).ln() / rate;
                if due >= length.as_secs_f64() {
                    break;
                }
                let due = Duration::from_secs_f64(due);
                asks.push(draw_ask(&mut draw, description, region, class, kind, due));
            }
        }
    }
    asks.sort_by_key(|ask| ask.due);
    asks
}

/// The requests a second that a region can serve of a class, with cold caches.
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
    let answer = answer_limit(class, kind) as f64 * MEAN_ANSWER;
    let work = prompt / model.prefill.0 + answer / model.decode.0;
    f64::from(engines * model.slots) / work
}

fn answer_limit(class: &ClassConfig, kind: ProfileKind) -> u64 {
    match kind {
        ProfileKind::Prefix => class.max_output_tokens.min(60),
        _ => class.max_output_tokens,
    }
}

fn draw_ask(
    draw: &mut StdRng,
    description: &Description,
    region: &foldhaven_core::description::RegionConfig,
    class: &ClassConfig,
    kind: ProfileKind,
    due: Duration,
) -> PlannedAsk {
    let at_home = || description.accounts.iter().filter(|account| account.home == region.name);
    let bound = at_home().find(|account| account.residency.is_some());
    let free = at_home().find(|account| account.residency.is_none());
    let is_bound = draw.random_bool(BOUND_SHARE);
    let account = bound.filter(|_| is_bound).or(free).or(bound);
    let account = account.expect("every region of the examples has an account");
    // A few case files are asked about often, most seldom.
    let case = (draw.random_range(0.0f64..1.0).powi(2) * CASE_FILES as f64) as usize;
    let file = format!("case {case} of {} ", region.name);
    let shared: String = file.chars().cycle().take(kind.shared_bytes()).collect();
    let number: u32 = draw.random();
    PlannedAsk {
        due,
        account: account.name.to_string(),
        home: region.name.to_string(),
        class: class.clone(),
        prompt: format!("{shared} question {number:08x}"),
        max_tokens: answer_limit(class, kind),
    }
}
