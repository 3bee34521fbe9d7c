//! Chooses the upstream of a service that gets a request: the one with the lowest expected cost.
//!
//! Costs are fractions of the request's value. The value itself is not configured, but users price
//! requests in proportion to their tokens, so that fractions of different requests can be compared.

mod cost;
mod pricer;
mod sample;

use std::time::Duration;

pub(crate) use self::cost::exceedance_probability;
pub use self::cost::{
    CostBreakdown, LATE_VALUE_LOSS, RequestCost, lateness_probability, long_pause_probability,
};
use self::pricer::UpstreamPricer;
pub use self::pricer::{decode_slowdown_cost, pause_cost, streaming_cost};
use self::sample::{ReportStaleness, sample_candidates};
use crate::ids::UpstreamName;
use crate::opaque::performance::{QueueState, ServicePerformance};
use crate::opaque::priority_level::PriorityLevel;
use crate::opaque::queue_rank::QueueRank;
use crate::opaque::short_slowdown::SlowdownFactor;
use crate::opaque::upstream_speed::SpeedFactors;
use crate::rank::rank_hash;

/// A request is deferred if the probability that its answer is late is above this. A lower limit
/// would defer requests whose expected time is just above the target, and that estimate is wrong
/// too often.
pub const DEFERRAL_PROBABILITY: f64 = 0.9;
/// The weight of one answer token in the size of a request, in prompt tokens. The users set it.
pub const OUTPUT_WEIGHT: u32 = 10;
/// The size in tokens of a request that does not say how many tokens it has.
pub const DEFAULT_SIZE: u32 = 500;

/// An upstream that may get the request.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamCandidate<'a> {
    /// The name of the upstream.
    pub name: &'a UpstreamName,
    /// The requests at the upstream.
    pub queue: QueueState,
    /// The lasting speed of this upstream.
    pub speed: SpeedFactors,
    /// The factor by which it is slow at this moment.
    pub slowdown: SlowdownFactor,
    /// The factor by which its answers in the last seconds took longer than expected by its speed.
    pub latency_factor: f64,
    /// The share of recent requests that failed, beyond the usual share of their routes.
    pub failure_share: f64,
    /// The share of recent pauses between events that exceeded the callers' limit.
    pub long_pause_share: f64,
    /// The cost of sending the request body to it.
    pub transfer_cost: f64,
    /// The number of tokens of the request's shared prompt segments that it probably has cached.
    pub cached_tokens: u32,
    /// Whether it is ejected after recent failed calls.
    pub is_ejected: bool,
    /// Whether this VM may not send to it yet: it asked this VM to back off, or this VM has used up
    /// its share of the upstream's rate.
    pub is_throttled: bool,
    /// Whether it was already tried for this request.
    pub is_tried: bool,
    /// Whether it has room for the request: it can start without displacing another one.
    pub has_room: bool,
}

/// The properties of a request that the choice depends on.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceQuery {
    /// The target time to the answer, or to its first event.
    pub target: Duration,
    /// The time that the caller had already waited when the request arrived.
    pub waited: Duration,
    /// The level of the request; `None` if those of its service do not differ in priority.
    pub level: Option<PriorityLevel>,
    /// The longest acceptable pause between two events; `None` if the answer is not a stream.
    pub event_gap: Option<Duration>,
    /// The expected number of events of the answer; 0 if it is not a stream.
    pub events: f64,
    /// The size in tokens: those of the prompt plus [`OUTPUT_WEIGHT`] times those of the answer.
    pub size: u32,
    /// The number of tokens in the shared segments of the prompt.
    pub shared_tokens: u32,
    /// The number of prompt tokens that belong to this request alone.
    pub unshared_tokens: u32,
    /// The key that routes requests with the same shared segments to the same upstream.
    pub affinity_key: Option<u64>,
    /// The age of the load reports of other VMs.
    pub report_age: Duration,
    /// A random number, uniform in 0..1.
    pub draw: f64,
}

impl ChoiceQuery {
    /// Returns the rank of a request whose answer is expected after `time_to_first`. A request that
    /// has missed its target, or almost certainly will, is deferred.
    pub fn rank(&self, time_to_first: Duration) -> QueueRank {
        match lateness_probability(self.waited + time_to_first, self.target) > DEFERRAL_PROBABILITY
        {
            true => QueueRank::Deferred,
            false => QueueRank::Timely,
        }
    }
}

/// A chosen upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamChoice {
    /// Its index in the candidates.
    pub index: usize,
    /// The expected time to the answer, or to its first event.
    pub time_to_first: Duration,
    /// The total cost.
    pub cost: RequestCost,
    /// The cost by cause.
    pub breakdown: CostBreakdown,
    /// The number of prompt tokens to prefill.
    pub prefill_tokens: u32,
    /// Whether it probably refuses further requests because its queue is full.
    pub is_full: bool,
    /// Whether it has room for the request.
    pub has_room: bool,
    /// The rank of the request in the upstream's queue.
    pub rank: QueueRank,
    /// The number of prompt tokens to prefill until the answer, including the backlog before the
    /// request; `None` if the time to the answer depends on more than prefill.
    pub prefill_before_answer: Option<u32>,
    /// Whether it was not tried for this request and is not ejected.
    pub is_trusted: bool,
    /// The candidate from which it fetches the shared segments that it lacks; `None` if it prefills
    /// them.
    pub fetch_from: Option<usize>,
}

/// Candidates drawn from the upstreams of a service in a region.
///
/// A choice that looked at each of thousands of upstreams would cost more than the rest of the
/// request, and the cheapest of some dozens is hardly worse.
#[derive(Debug, Clone, Copy)]
pub struct CandidateSample<'a> {
    /// The candidates.
    pub candidates: &'a [UpstreamCandidate<'a>],
    /// The number of candidates, counted from the first, of which one is preferred for the affinity
    /// key. All VMs have to draw the same ones for a key.
    pub keyed: usize,
}

impl<'a> CandidateSample<'a> {
    /// Returns the sample that consists of all upstreams.
    pub fn of_all(candidates: &'a [UpstreamCandidate<'a>]) -> Self {
        Self { candidates, keyed: candidates.len() }
    }

    /// Chooses the candidate with the lowest cost. Returns `None` if all are throttled.
    pub fn choose(
        &self,
        query: &ChoiceQuery,
        performance: &ServicePerformance,
    ) -> Option<UpstreamChoice> {
        let priced = self.price(query, performance);
        priced.into_iter().min_by(|left, right| left.cost.0.total_cmp(&right.cost.0))
    }

    /// Estimates the costs of the candidates to choose from; of equal ones the first is chosen.
    ///
    /// Throttled upstreams are left out. Upstreams that were tried are included only if all were,
    /// ejected ones only if no other is left, full ones only if all are full, and those without room
    /// for the request only if none has room. If many requests arrive between two load reports, only
    /// some of the candidates are used.
    pub fn price(
        &self,
        query: &ChoiceQuery,
        performance: &ServicePerformance,
    ) -> Vec<UpstreamChoice> {
        let candidates = self.candidates;
        let open: Vec<usize> =
            (0..candidates.len()).filter(|index| !candidates[*index].is_throttled).collect();
        let untried = narrow(&open, |index| !candidates[index].is_tried);
        let healthy = narrow(&untried, |index| !candidates[index].is_ejected);
        let accepting =
            narrow(&healthy, |index| !performance.queue_capacity.is_full(candidates[index].queue));
        let usable = narrow(&accepting, |index| candidates[index].has_room);
        let preferred = query.affinity_key.and_then(|key| self.preferred_candidate(&usable, key));
        let usable_holder = best_holder(&usable, candidates);
        // A full upstream takes no request, but passes on what it has cached.
        let reachable: Vec<usize> =
            (0..candidates.len()).filter(|index| !candidates[*index].is_ejected).collect();
        let source = best_holder(&reachable, candidates);
        let staleness = ReportStaleness { age: query.report_age, slot_time: performance.slot_time };
        let size = staleness.sample_size(&usable, candidates);
        let sample =
            sample_candidates(&usable, candidates, size, query.draw, [preferred, usable_holder]);
        let pricer = UpstreamPricer { candidates, query, performance, preferred, source };
        sample.into_iter().map(|index| pricer.price(index)).collect()
    }

    /// Returns the candidate preferred for an affinity key: the first by rendezvous hashing, on
    /// which all VMs agree.
    fn preferred_candidate(&self, usable: &[usize], key: u64) -> Option<usize> {
        let key = key.to_string();
        let rank = |index: &usize| rank_hash(&[&key, self.candidates[*index].name.as_str()]);
        usable.iter().copied().filter(|index| *index < self.keyed).max_by_key(rank)
    }
}

/// Chooses among all upstreams of a service, as [`CandidateSample::choose`] does.
pub fn choose_upstream(
    candidates: &[UpstreamCandidate<'_>],
    query: &ChoiceQuery,
    performance: &ServicePerformance,
) -> Option<UpstreamChoice> {
    CandidateSample::of_all(candidates).choose(query, performance)
}

/// Prices all upstreams of a service, as [`CandidateSample::price`] does.
pub fn price_upstreams(
    candidates: &[UpstreamCandidate<'_>],
    query: &ChoiceQuery,
    performance: &ServicePerformance,
) -> Vec<UpstreamChoice> {
    CandidateSample::of_all(candidates).price(query, performance)
}

/// Returns the one of the upstreams that has most of the shared segments cached.
fn best_holder(indices: &[usize], candidates: &[UpstreamCandidate<'_>]) -> Option<usize> {
    indices.iter().copied().max_by_key(|index| candidates[*index].cached_tokens)
}

/// Returns the indices that pass, or all of them if none does.
fn narrow(indices: &[usize], passes: impl Fn(usize) -> bool) -> Vec<usize> {
    let passing: Vec<usize> = indices.iter().copied().filter(|index| passes(*index)).collect();
    match passing.is_empty() {
        true => indices.to_vec(),
        false => passing,
    }
}
