//! Which upstream of a service gets a request.

use crate::ids::UpstreamName;
use crate::rank::rank_hash;

/// An upstream that may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamFacts<'a> {
    /// Its name.
    pub name: &'a UpstreamName,
    /// How many requests it runs at once.
    pub slots: u32,
    /// The requests of this VM that it has now.
    pub in_flight: u32,
    /// Its time for a request against the mean of its service; 1 when not known.
    pub slowness: f64,
    /// Whether calls to it failed lately.
    pub is_suspect: bool,
    /// Whether it is cold and its next place at this VM is not due yet.
    pub is_held_back: bool,
    /// Whether it was tried for this request already.
    pub is_tried: bool,
}

impl UpstreamFacts<'_> {
    /// The load that one more request would meet, in requests at an upstream of usual speed.
    fn load(&self) -> f64 {
        f64::from(self.in_flight + 1) * self.slowness
    }
}

/// How far above the mean the load of the preferred upstream may be, as a factor.
const AFFINITY_FACTOR: f64 = 1.6;
/// The same as a number of requests, which decides while there are few.
const AFFINITY_EXTRA: f64 = 3.0;

/// Chooses an upstream: with an affinity key the one that ranks first for it, unless its load is far
/// above the mean; else the one with the least load. Suspects are taken only when nobody else is
/// left, and upstreams that were tried only when all were. `draw` is uniform in 0..1.
pub fn choose_upstream(
    candidates: &[UpstreamFacts<'_>],
    affinity: Option<u64>,
    draw: f64,
) -> Option<usize> {
    let open: Vec<usize> =
        (0..candidates.len()).filter(|at| !candidates[*at].is_held_back).collect();
    let untried = narrow(&open, |at| !candidates[at].is_tried);
    let trusted = narrow(&untried, |at| !candidates[at].is_suspect);
    match affinity {
        Some(key) => choose_preferred(candidates, &trusted, key),
        None => choose_least(candidates, &trusted, draw),
    }
}

/// Those that pass, or all of them when none does.
fn narrow(indices: &[usize], passes: impl Fn(usize) -> bool) -> Vec<usize> {
    let passing: Vec<usize> = indices.iter().copied().filter(|at| passes(*at)).collect();
    match passing.is_empty() {
        true => indices.to_vec(),
        false => passing,
    }
}

fn choose_preferred(candidates: &[UpstreamFacts<'_>], open: &[usize], key: u64) -> Option<usize> {
    let mean = open.iter().map(|at| candidates[*at].load()).sum::<f64>() / open.len().max(1) as f64;
    let limit = mean * AFFINITY_FACTOR + AFFINITY_EXTRA;
    let text = key.to_string();
    let rank = |at: &usize| rank_hash(&[&text, candidates[*at].name.as_str()]);
    let fitting = open.iter().copied().filter(|at| candidates[*at].load() <= limit);
    fitting.max_by_key(rank)
}

fn choose_least(candidates: &[UpstreamFacts<'_>], open: &[usize], draw: f64) -> Option<usize> {
    let first = (draw * open.len() as f64) as usize;
    let turned = (0..open.len()).map(|step| open[(first + step) % open.len()]);
    turned.min_by(|left, right| candidates[*left].load().total_cmp(&candidates[*right].load()))
}
