//! What each candidate is expected to take and to cost for one request.

use std::time::Duration;

use super::cost::{chance_beyond, long_pause_probability};
use super::{ChoiceQuery, CostBreakdown, RequestCost, UpstreamCandidate, UpstreamChoice};
use crate::opaque::performance::{QueueState, ServicePerformance};
use crate::opaque::queue_rank::QueueRank;

/// The spread of the longest pause around the time that the waiting prompts take to read, as a share of
/// the pause that is wanted.
const PAUSE_SPREAD: f64 = 0.12;
/// What taking parts over costs against reading them again: moved memory is paid for, at about a
/// twentieth of that.
const FETCH_SHARE: f64 = 0.11;
/// By how much the upstream that ranks first for a meeting key is preferred while nobody is known to
/// hold its parts, as a share of the cost of reading them.
const MEETING_SHARE: f64 = 0.5;

/// Prices the candidates for one request.
pub(super) struct UpstreamPricer<'a> {
    pub(super) candidates: &'a [UpstreamCandidate<'a>],
    pub(super) query: &'a ChoiceQuery,
    pub(super) pace: &'a ServicePerformance,
    /// The candidate that ranks first for the meeting key.
    pub(super) meeting: Option<usize>,
    /// The candidate that probably holds most of the shared parts.
    pub(super) holder: Option<usize>,
}

/// The cost of the time in which the request's events are written.
pub fn streaming_cost(
    query: &ChoiceQuery,
    pace: &ServicePerformance,
    queue: QueueState,
) -> RequestCost {
    let load = f64::from(queue.in_flight) + 1.0;
    RequestCost::of_streaming(query.events * pace.event_interval.interval(load))
}

/// The cost of the time by which a request lengthens the other streams of its upstream: while its prompt is
/// read, and by one more stream in each step.
pub fn slowing_cost(
    query: &ChoiceQuery,
    pace: &ServicePerformance,
    queue: QueueState,
    prefill_tokens: u32,
) -> RequestCost {
    if query.event_gap.is_none() {
        return RequestCost(0.0);
    }
    let reading = pace.prefill_time(prefill_tokens).as_secs_f64();
    let lengthened = reading + query.events * pace.event_interval.slope();
    let share = pace.mean_size / f64::from(query.size.max(1));
    RequestCost::of_streaming(f64::from(queue.in_flight) * lengthened * share)
}

/// The cost of long pauses that the request's own events probably meet.
pub fn pause_cost(query: &ChoiceQuery, long_pause_share: f64) -> RequestCost {
    if query.event_gap.is_none() {
        return RequestCost(0.0);
    }
    RequestCost::of_long_pause(long_pause_probability(long_pause_share, query.events))
}

/// Shared parts that one candidate takes over from another.
#[derive(Debug, Clone, Copy)]
struct PartFetch {
    holder: usize,
    tokens: u32,
    time: Duration,
}

impl UpstreamPricer<'_> {
    /// What a candidate is expected to take and to cost.
    pub(super) fn price(&self, index: usize) -> UpstreamChoice {
        let Self { query, pace, .. } = self;
        let facts = &self.candidates[index];
        let missing = query.shared_tokens.saturating_sub(facts.cached_tokens);
        let fetch = self.fetch(index);
        let fetched = fetch.map_or(0, |fetch| fetch.tokens);
        let fetching = fetch.map_or(Duration::ZERO, |fetch| fetch.time);
        let reread_tokens = missing.saturating_sub(fetched);
        let prefill_tokens = reread_tokens + query.own_tokens;
        let first_as = |rank| pace.time_to_first(facts.queue, rank, prefill_tokens);
        let timely = first_as(QueueRank::Timely).mul_f64(facts.latency_factor) + fetching;
        let rank = query.rank(timely);
        let time_to_first = match rank {
            QueueRank::Timely => timely,
            // The factor tells of requests that do not go behind others.
            QueueRank::Deferred => first_as(QueueRank::Deferred) + fetching,
        };
        let meeting = if self.meeting == Some(index) { MEETING_SHARE } else { 0.0 };
        let reread =
            RequestCost::of_repeated_prefill(reread_tokens, query.size).0 * (1.0 - meeting);
        let moved = RequestCost::of_repeated_prefill(fetched, query.size).0 * FETCH_SHARE;
        let breakdown = CostBreakdown {
            time: RequestCost::of_time(query.waited + time_to_first, query.target).0,
            repeated_prefill: reread + moved,
            prefill_interference: self.prefill_interference(facts.queue, prefill_tokens).0,
            long_pauses: pause_cost(query, facts.long_pause_share).0,
            streaming: streaming_cost(query, pace, facts.queue).0,
            decode_slowdown: slowing_cost(query, pace, facts.queue, prefill_tokens).0,
            failures: facts.failure_share,
            transfer: facts.transfer_cost,
        };
        let has_place = facts.queue.in_flight < facts.queue.slots;
        let is_reading = fetch.is_none() && has_place && rank == QueueRank::Timely;
        UpstreamChoice {
            index,
            time_to_first,
            cost: breakdown.total(),
            breakdown,
            prefill_tokens,
            is_full: pace.queue_capacity.is_full(facts.queue),
            rank,
            prefill_before_answer: is_reading
                .then(|| facts.queue.prefill_backlog.ahead_of(rank) + prefill_tokens),
            is_trusted: !facts.is_ejected && !facts.is_tried,
            fetch_from: fetch.map(|fetch| fetch.holder),
        }
    }

    /// How a candidate gets the shared parts that it does not hold.
    fn fetch(&self, index: usize) -> Option<PartFetch> {
        let holder = self.holder.filter(|holder| *holder != index)?;
        let held = self.candidates[index].cached_tokens;
        let tokens = self.candidates[holder].cached_tokens.checked_sub(held)?;
        Some(PartFetch { holder, tokens, time: self.pace.fetch_time(tokens)? })
    }

    /// What reading some tokens costs the streams that a candidate is writing: between two pieces of a
    /// prompt each stream gets one token, so that prompts that are read one after the other stretch the
    /// pauses of all of them.
    ///
    /// Streams that met a long pause already lose nothing more.
    fn prefill_interference(&self, queue: QueueState, tokens: u32) -> RequestCost {
        let Some(gap) = self.query.event_gap else { return RequestCost(0.0) };
        let broken_by = |tokens: u32| {
            let share = self.pace.prefill_time(tokens).div_duration_f64(gap);
            self.pace.pause_statistics.chance(tokens, chance_beyond(share, PAUSE_SPREAD))
        };
        let pending = queue.prefill_backlog.ahead_of(QueueRank::Timely);
        let broken = (broken_by(pending.saturating_add(tokens)) - broken_by(pending)).max(0.0);
        let streams = f64::from(queue.on_track) * self.pace.mean_size;
        RequestCost(broken * streams / f64::from(self.query.size.max(1)))
    }
}
