//! Prompts, placements and upstreams for tests of what upstreams have cached.

use foldhaven_core::ids::UpstreamName;
use foldhaven_core::opaque::affinity::{PromptOutline, PromptPlacement, UpstreamTag};
use foldhaven_core::opaque::choice::UpstreamCandidate;
use foldhaven_core::opaque::performance::QueueState;
use foldhaven_core::opaque::short_slowdown::SlowdownFactor;
use foldhaven_core::opaque::upstream_speed::SpeedFactors;

/// The number of requests that an upstream runs concurrently.
pub const SLOTS: u32 = 16;
/// The prompt cache of an upstream, in tokens.
pub const CACHE_TOKENS: u64 = 456_855;

/// A generator of pseudorandom numbers, the same in each run.
pub struct Draws(pub u64);

impl Draws {
    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub fn below(&mut self, count: usize) -> usize {
        (self.next() * count as f64) as usize
    }
}

pub fn names(count: usize) -> Vec<UpstreamName> {
    (0..count).map(|number| format!("i-{number}").parse().unwrap()).collect()
}

pub fn candidate(name: &UpstreamName) -> UpstreamCandidate<'_> {
    UpstreamCandidate {
        name,
        queue: QueueState { slots: SLOTS, ..QueueState::default() },
        latency_factor: 1.0,
        failure_share: 0.0,
        long_pause_share: 0.0,
        transfer_cost: 0.0,
        cached_tokens: 0,
        is_ejected: false,
        is_throttled: false,
        is_tried: false,
        has_room: true,
        speed: SpeedFactors::default(),
        slowdown: SlowdownFactor::default(),
    }
}

/// A long prompt of one of 1,069 sessions, after one of 3 first segments.
pub fn review(session: usize) -> PromptOutline {
    let text = format!("review-{}:512,s{session}:4870,own:6610", session % 3);
    PromptOutline::parse(&text).unwrap()
}

/// A short prompt of one of 3,243 sessions, after one of 80 first segments.
pub fn check(session: usize) -> PromptOutline {
    let text = format!("check-{}:341,c{session}:227,own:1800", session % 80);
    PromptOutline::parse(&text).unwrap()
}

/// Returns a prompt of the mix: two short ones for each long one.
pub fn mixed(draws: &mut Draws) -> PromptOutline {
    match draws.below(3) {
        0 => review(draws.below(1_069)),
        _ => check(draws.below(3_243)),
    }
}

pub fn placement(upstream: UpstreamTag, outline: &PromptOutline) -> PromptPlacement {
    PromptPlacement {
        upstream,
        shared: outline.shared.clone(),
        unshared_tokens: outline.unshared_tokens,
    }
}
