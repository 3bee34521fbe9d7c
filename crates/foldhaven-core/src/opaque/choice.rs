//! Which upstream of a service gets a request: the one with the least expected cost in time.

use std::time::Duration;

use crate::ids::UpstreamName;
use crate::opaque::pace::{QueueFacts, ServicePace};
use crate::rank::rank_hash;

/// An upstream that may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamFacts<'a> {
    /// Its name.
    pub name: &'a UpstreamName,
    /// Its queue.
    pub queue: QueueFacts,
    /// By what its times are to be multiplied.
    pub factor: f64,
    /// The share of requests that failed there lately.
    pub failures: f64,
    /// The tokens of the request's shared prompt parts that it probably holds.
    pub held_tokens: u32,
    /// Whether calls to it failed lately.
    pub is_suspect: bool,
    /// Whether it is cold and its next place at this VM is not due yet.
    pub is_held_back: bool,
    /// Whether it was tried for this request already.
    pub is_tried: bool,
}

/// The request, as far as the choice needs to know it.
#[derive(Debug, Clone, Copy, Default)]
pub struct ChoiceQuery {
    /// The tokens of the shared parts of its prompt.
    pub shared_tokens: u32,
    /// The tokens of its own part.
    pub own_tokens: u32,
    /// The key by which requests with the same shared parts meet.
    pub meeting_key: Option<u64>,
    /// A number that is uniform in 0..1.
    pub draw: f64,
}

/// A chosen upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamChoice {
    /// Its place among the candidates.
    pub at: usize,
    /// The expected time to the answer, or to its first event.
    pub first: Duration,
    /// That time with the price of reading shared parts again and of failures.
    pub cost: Duration,
    /// The prompt tokens that it has to read.
    pub read_tokens: u32,
}

/// What reading a shared part again costs, as a multiple of the time that it takes: it also holds up
/// the other requests there, and drops parts that others would use.
const REREAD_FACTOR: f64 = 2.0;
/// What a certain failure costs.
const FAILURE_COST: Duration = Duration::from_millis(1_500);
/// By how much the upstream that ranks first for a meeting key is preferred while nobody is known to
/// hold its parts, as a share of the cost of reading them.
const MEETING_SHARE: f64 = 0.5;

/// Chooses the upstream with the least cost. Suspects are taken only when nobody else is left, and
/// upstreams that were tried only when all were.
pub fn choose_upstream(
    candidates: &[UpstreamFacts<'_>],
    query: &ChoiceQuery,
    pace: &ServicePace,
) -> Option<UpstreamChoice> {
    let open: Vec<usize> =
        (0..candidates.len()).filter(|at| !candidates[*at].is_held_back).collect();
    let untried = narrow(&open, |at| !candidates[at].is_tried);
    let trusted = narrow(&untried, |at| !candidates[at].is_suspect);
    let meeting = query.meeting_key.and_then(|key| meeting_place(candidates, &trusted, key));
    let first = (query.draw * trusted.len() as f64) as usize;
    let turned = (0..trusted.len()).map(|step| trusted[(first + step) % trusted.len()]);
    let price = |at: usize| price_of(at, &candidates[at], query, pace, meeting == Some(at));
    turned.map(price).min_by_key(|choice| choice.cost)
}

/// Those that pass, or all of them when none does.
fn narrow(indices: &[usize], passes: impl Fn(usize) -> bool) -> Vec<usize> {
    let passing: Vec<usize> = indices.iter().copied().filter(|at| passes(*at)).collect();
    match passing.is_empty() {
        true => indices.to_vec(),
        false => passing,
    }
}

fn meeting_place(candidates: &[UpstreamFacts<'_>], open: &[usize], key: u64) -> Option<usize> {
    let text = key.to_string();
    let rank = |at: &usize| rank_hash(&[&text, candidates[*at].name.as_str()]);
    open.iter().copied().max_by_key(rank)
}

fn price_of(
    at: usize,
    facts: &UpstreamFacts<'_>,
    query: &ChoiceQuery,
    pace: &ServicePace,
    is_meeting: bool,
) -> UpstreamChoice {
    let missing = query.shared_tokens.saturating_sub(facts.held_tokens);
    let read_tokens = missing + query.own_tokens;
    let first = pace.first(facts.queue, read_tokens).mul_f64(facts.factor);
    let reread = pace.reading(missing).mul_f64(REREAD_FACTOR);
    let bonus = if is_meeting { reread.mul_f64(MEETING_SHARE) } else { Duration::ZERO };
    let failing = FAILURE_COST.mul_f64(facts.failures);
    let cost = (first + reread + failing).saturating_sub(bonus);
    UpstreamChoice { at, first, cost, read_tokens }
}
