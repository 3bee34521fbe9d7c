//! Which upstream of a service gets a request: the one with the least expected cost.
//!
//! Costs are shares of what the request is worth. That worth itself is not described; but the users
//! count it in proportion to a request's tokens, as their prices are, so that shares can be compared.

mod cost;
mod pricer;
mod sample;

use std::time::Duration;

pub use self::cost::{
    CostBreakdown, LATE_VALUE_LOSS, RequestCost, lateness_probability, long_pause_probability,
};
use self::pricer::UpstreamPricer;
pub use self::pricer::{pause_cost, slowing_cost, streaming_cost};
use self::sample::{NewsAge, draw_some};
use crate::ids::UpstreamName;
use crate::opaque::performance::{QueueState, ServicePerformance};
use crate::opaque::queue_rank::QueueRank;
use crate::rank::rank_hash;

/// From this chance on an answer counts as late before it is sent. An expectation just beyond the target is
/// wrong too often.
const SURELY_LATE: f64 = 0.9;
/// How many tokens of a prompt one token of an answer counts for. The users weigh them so.
pub const OUTPUT_WEIGHT: u32 = 10;
/// The size of a request that names no tokens.
pub const DEFAULT_SIZE: u32 = 500;

/// An upstream that may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamCandidate<'a> {
    /// Its name.
    pub name: &'a UpstreamName,
    /// Its queue.
    pub queue: QueueState,
    /// By what its times are to be multiplied.
    pub latency_factor: f64,
    /// The share of requests that failed there lately.
    pub failure_share: f64,
    /// The share of pauses between events there that were longer than wanted lately.
    pub long_pause_share: f64,
    /// What the way to it costs.
    pub transfer_cost: f64,
    /// The tokens of the request's shared prompt parts that it probably holds.
    pub cached_tokens: u32,
    /// Whether calls to it failed lately.
    pub is_ejected: bool,
    /// Whether it is cold and its next place at this VM is not due yet.
    pub is_throttled: bool,
    /// Whether it was tried for this request already.
    pub is_tried: bool,
}

/// The request, as far as the choice needs to know it.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceQuery {
    /// The time to the answer, or to its first event, that its caller wants.
    pub target: Duration,
    /// How long its caller had waited before it came.
    pub waited: Duration,
    /// The longest pause between two events that its caller wants, for streams.
    pub event_gap: Option<Duration>,
    /// The number of events that its answer probably has; 0 when it is not a stream.
    pub events: f64,
    /// Its work: the tokens of its prompt and [`OUTPUT_WEIGHT`] times those of its answer.
    pub size: u32,
    /// The tokens of the shared parts of its prompt.
    pub shared_tokens: u32,
    /// The tokens of its own part.
    pub own_tokens: u32,
    /// The key by which requests with the same shared parts meet.
    pub affinity_key: Option<u64>,
    /// How old what is known of the requests of other VMs is.
    pub report_age: Duration,
    /// A number that is uniform in 0..1.
    pub draw: f64,
}

impl ChoiceQuery {
    /// The rank of an answer that is expected after `time_to_first`: one that has missed its target already, or will
    /// almost surely, goes behind all others.
    pub fn rank(&self, time_to_first: Duration) -> QueueRank {
        match lateness_probability(self.waited + time_to_first, self.target) > SURELY_LATE {
            true => QueueRank::Deferred,
            false => QueueRank::Timely,
        }
    }
}

/// A chosen upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamChoice {
    /// Its place among the candidates.
    pub index: usize,
    /// The expected time to the answer, or to its first event.
    pub time_to_first: Duration,
    /// What it costs.
    pub cost: RequestCost,
    /// The same, by what causes it.
    pub breakdown: CostBreakdown,
    /// The prompt tokens that it has to read.
    pub prefill_tokens: u32,
    /// Whether it takes no more requests.
    pub is_full: bool,
    /// Its rank there.
    pub rank: QueueRank,
    /// The prompt tokens that it reads until it can answer, those that it had before included, where nothing
    /// but reading takes time.
    pub prefill_before_answer: Option<u32>,
    /// Whether it was not tried for this request, and calls to it did not fail lately.
    pub is_trusted: bool,
    /// The candidate from which it takes over what it does not hold of the shared parts.
    pub fetch_from: Option<usize>,
}

/// Chooses the upstream with the least cost.
pub fn choose_upstream(
    candidates: &[UpstreamCandidate<'_>],
    query: &ChoiceQuery,
    pace: &ServicePerformance,
) -> Option<UpstreamChoice> {
    let priced = price_upstreams(candidates, query, pace);
    priced.into_iter().min_by(|left, right| left.cost.0.total_cmp(&right.cost.0))
}

/// Prices the upstreams that a choice is made among, in the order in which equals are taken. Suspects
/// are among them only when nobody else is left, upstreams that were tried only when all were, and full ones only
/// when all are. Where many requests come between two reports, some are drawn.
pub fn price_upstreams(
    candidates: &[UpstreamCandidate<'_>],
    query: &ChoiceQuery,
    pace: &ServicePerformance,
) -> Vec<UpstreamChoice> {
    let open: Vec<usize> =
        (0..candidates.len()).filter(|index| !candidates[*index].is_throttled).collect();
    let untried = narrow(&open, |index| !candidates[index].is_tried);
    let sound = narrow(&untried, |index| !candidates[index].is_ejected);
    let trusted = narrow(&sound, |index| !pace.queue_capacity.is_full(candidates[index].queue));
    let meeting = query.affinity_key.and_then(|key| meeting_place(candidates, &trusted, key));
    let holder = trusted.iter().copied().max_by_key(|index| candidates[*index].cached_tokens);
    let news = NewsAge { age: query.report_age, slot_time: pace.slot_time };
    let width = news.width(&trusted, candidates);
    let drawn = draw_some(&trusted, candidates, width, query.draw, [meeting, holder]);
    let pricer = UpstreamPricer { candidates, query, pace, meeting, holder };
    drawn.into_iter().map(|index| pricer.price(index)).collect()
}

/// Those that pass, or all of them when none does.
fn narrow(indices: &[usize], passes: impl Fn(usize) -> bool) -> Vec<usize> {
    let passing: Vec<usize> = indices.iter().copied().filter(|index| passes(*index)).collect();
    match passing.is_empty() {
        true => indices.to_vec(),
        false => passing,
    }
}

/// The candidate at which requests with a key meet: the first in a rank that all VMs share.
fn meeting_place(candidates: &[UpstreamCandidate<'_>], open: &[usize], key: u64) -> Option<usize> {
    let text = key.to_string();
    let rank = |index: &usize| rank_hash(&[&text, candidates[*index].name.as_str()]);
    open.iter().copied().max_by_key(rank)
}
