//! Estimates the time and cost of one request at each candidate.

use std::time::Duration;

use super::cost::{exceedance_probability, long_pause_probability};
use super::{ChoiceQuery, CostBreakdown, RequestCost, UpstreamCandidate, UpstreamChoice};
use crate::opaque::performance::{QueueState, ServicePerformance};
use crate::opaque::queue_rank::QueueRank;

/// The spread of the longest pause around the prefill time of the waiting prompts, as a fraction of
/// the longest acceptable pause.
const PAUSE_SPREAD: f64 = 0.12;
/// The cost of fetching cached segments from another upstream, relative to prefilling them again.
/// The transfer is charged at about 1/20 of the price of prefill.
const FETCH_COST_RATIO: f64 = 0.11;
/// The cost of a copy of cached segments at an upstream that is not planned to hold them, relative
/// to prefilling them again: it takes memory of segments that are.
const COPY_COST_RATIO: f64 = 0.4;
/// The discount on the prefill cost of shared segments at the preferred candidate of an affinity
/// key. It applies to segments that the candidate is not known to have cached, as a fraction of
/// their cost.
const AFFINITY_DISCOUNT: f64 = 0.5;

/// Estimates the cost of one request at each candidate.
pub(super) struct UpstreamPricer<'a> {
    pub(super) candidates: &'a [UpstreamCandidate<'a>],
    pub(super) query: &'a ChoiceQuery,
    pub(super) performance: &'a ServicePerformance,
    /// The candidate preferred for the request's affinity key; `None` if it has no key.
    pub(super) preferred: Option<usize>,
    /// The candidate that probably has most of the shared segments cached, whether it can take the
    /// request or not.
    pub(super) source: Option<usize>,
}

/// Returns the cost of the time it takes to generate the request's events.
pub fn streaming_cost(
    query: &ChoiceQuery,
    performance: &ServicePerformance,
    queue: QueueState,
) -> RequestCost {
    let load = f64::from(queue.in_flight) + 1.0;
    RequestCost::of_streaming(query.events * performance.event_interval.interval(load))
}

/// Returns the cost of the time by which a request lengthens the other streams of its upstream:
/// they wait during its prefill, and each decode step takes longer with one more stream.
pub fn decode_slowdown_cost(
    query: &ChoiceQuery,
    performance: &ServicePerformance,
    queue: QueueState,
    prefill_tokens: u32,
) -> RequestCost {
    if query.event_gap.is_none() {
        return RequestCost(0.0);
    }
    let prefill = performance.prefill_time(prefill_tokens).as_secs_f64();
    let delay = prefill + query.events * performance.event_interval.slope();
    let size_ratio = performance.mean_size / f64::from(query.size.max(1));
    RequestCost::of_streaming(f64::from(queue.in_flight) * delay * size_ratio)
}

/// Returns the cost of long pauses to expect between the request's own events.
pub fn pause_cost(query: &ChoiceQuery, long_pause_share: f64) -> RequestCost {
    if query.event_gap.is_none() {
        return RequestCost(0.0);
    }
    RequestCost::of_long_pause(long_pause_probability(long_pause_share, query.events))
}

/// A transfer of cached prompt segments from one candidate to another.
#[derive(Debug, Clone, Copy)]
struct SegmentFetch {
    holder: usize,
    tokens: u32,
    time: Duration,
}

impl UpstreamPricer<'_> {
    /// Estimates the time and cost of the request at a candidate.
    pub(super) fn price(&self, index: usize) -> UpstreamChoice {
        let Self { query, .. } = self;
        let candidate = &self.candidates[index];
        let performance = &self.performance.at_speed(candidate.speed);
        let missing = query.shared_tokens.saturating_sub(candidate.cached_tokens);
        let fetch = self.fetch(index);
        let fetched_tokens = fetch.map_or(0, |fetch| fetch.tokens);
        let fetch_time = fetch.map_or(Duration::ZERO, |fetch| fetch.time);
        let repeated_tokens = missing.saturating_sub(fetched_tokens);
        let prefill_tokens = repeated_tokens + query.unshared_tokens;
        let ahead = match query.level {
            Some(level) => candidate.queue.through(level),
            None if performance.work_time.is_some() => candidate.queue.in_order_of_arrival(),
            None => candidate.queue,
        };
        let time_for = |rank| performance.time_to_first(ahead, rank, prefill_tokens);
        let usual = time_for(QueueRank::Timely).mul_f64(candidate.latency_factor);
        let timely = candidate.slowdown.delay(usual) + fetch_time;
        let rank = query.rank(timely);
        let time_to_first = match rank {
            QueueRank::Timely => timely,
            // The latency factor is measured on timely requests only.
            QueueRank::Deferred => time_for(QueueRank::Deferred) + fetch_time,
        };
        let discount = if self.preferred == Some(index) { AFFINITY_DISCOUNT } else { 0.0 };
        let prefill_cost =
            RequestCost::of_repeated_prefill(repeated_tokens, query.size).0 * (1.0 - discount);
        let copy_ratio = if self.preferred == Some(index) { 0.0 } else { COPY_COST_RATIO };
        let fetch_cost = RequestCost::of_repeated_prefill(fetched_tokens, query.size).0
            * (FETCH_COST_RATIO + copy_ratio);
        let breakdown = CostBreakdown {
            time: RequestCost::of_time(query.waited + time_to_first, query.target).0,
            repeated_prefill: prefill_cost + fetch_cost,
            prefill_interference: self.prefill_interference(candidate, prefill_tokens).0,
            long_pauses: pause_cost(query, candidate.long_pause_share).0,
            streaming: streaming_cost(query, performance, candidate.queue).0,
            decode_slowdown: decode_slowdown_cost(
                query,
                performance,
                candidate.queue,
                prefill_tokens,
            )
            .0,
            failures: candidate.failure_share,
            overflow: performance.overflow_risk(candidate.queue),
            transfer: candidate.transfer_cost,
        };
        let has_free_slot = candidate.queue.in_flight < candidate.queue.slots;
        let is_prefill_bound = fetch.is_none() && has_free_slot && rank == QueueRank::Timely;
        UpstreamChoice {
            index,
            time_to_first,
            cost: breakdown.total(),
            breakdown,
            prefill_tokens,
            is_full: performance.queue_capacity.is_full(candidate.queue),
            has_room: candidate.has_room,
            rank,
            prefill_before_answer: is_prefill_bound
                .then(|| ahead.prefill_backlog.ahead_of(rank) + prefill_tokens),
            is_trusted: !candidate.is_ejected && !candidate.is_tried,
            fetch_from: fetch.map(|fetch| fetch.holder),
        }
    }

    /// Returns the transfer by which a candidate gets shared segments that it lacks; `None` if no
    /// other candidate has more of them cached or fetching is not worth it.
    fn fetch(&self, index: usize) -> Option<SegmentFetch> {
        let holder = self.source.filter(|holder| *holder != index)?;
        let cached = self.candidates[index].cached_tokens;
        let tokens = self.candidates[holder].cached_tokens.checked_sub(cached)?;
        Some(SegmentFetch { holder, tokens, time: self.performance.fetch_time(tokens)? })
    }

    /// Returns the cost of prefilling `tokens` to the other streams at a candidate. Each stream
    /// gets one token between two chunks of a prompt, so consecutive prompts lengthen the pauses of
    /// all streams.
    ///
    /// Streams that have already had a long pause lose nothing more.
    fn prefill_interference(&self, candidate: &UpstreamCandidate<'_>, tokens: u32) -> RequestCost {
        let Some(gap) = self.query.event_gap else { return RequestCost(0.0) };
        let UpstreamCandidate { queue, speed, slowdown, .. } = candidate;
        let present = speed.slowed_by(*slowdown);
        let long_pauses_by = |tokens: u32| {
            let tokens = present.equivalent_tokens(tokens);
            let ratio = self.performance.prefill_time(tokens).div_duration_f64(gap);
            self.performance
                .pause_statistics
                .long_pause_probability(tokens, exceedance_probability(ratio, PAUSE_SPREAD))
        };
        let pending = queue.prefill_backlog.ahead_of(QueueRank::Timely);
        let added =
            (long_pauses_by(pending.saturating_add(tokens)) - long_pauses_by(pending)).max(0.0);
        let streams = f64::from(queue.on_track) * self.performance.mean_size;
        RequestCost(added * streams / f64::from(self.query.size.max(1)))
    }
}
