//! What each candidate is expected to take and to cost for one request.

use std::time::Duration;

use super::cost::{chance_beyond, chance_of_long_pause};
use super::{ChoiceQuery, CostParts, RequestCost, UpstreamChoice, UpstreamFacts};
use crate::opaque::pace::{QueueFacts, ServicePace};
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
    pub(super) candidates: &'a [UpstreamFacts<'a>],
    pub(super) query: &'a ChoiceQuery,
    pub(super) pace: &'a ServicePace,
    /// The candidate that ranks first for the meeting key.
    pub(super) meeting: Option<usize>,
    /// The candidate that probably holds most of the shared parts.
    pub(super) holder: Option<usize>,
}

/// The cost of the time in which the request's events are written.
pub fn streaming_cost(query: &ChoiceQuery, pace: &ServicePace, queue: QueueFacts) -> RequestCost {
    let load = f64::from(queue.in_flight) + 1.0;
    RequestCost::of_streaming(query.events * pace.events.between(load))
}

/// The cost of the time by which a request lengthens the other streams of its upstream: while its prompt is
/// read, and by one more stream in each step.
pub fn slowing_cost(
    query: &ChoiceQuery,
    pace: &ServicePace,
    queue: QueueFacts,
    read_tokens: u32,
) -> RequestCost {
    if query.event_gap.is_none() {
        return RequestCost(0.0);
    }
    let reading = pace.reading(read_tokens).as_secs_f64();
    let lengthened = reading + query.events * pace.events.slope();
    let share = pace.usual_size / f64::from(query.size.max(1));
    RequestCost::of_streaming(f64::from(queue.in_flight) * lengthened * share)
}

/// The cost of long pauses that the request's own events probably meet.
pub fn pause_cost(query: &ChoiceQuery, long_pauses: f64) -> RequestCost {
    if query.event_gap.is_none() {
        return RequestCost(0.0);
    }
    RequestCost::of_long_pause(chance_of_long_pause(long_pauses, query.events))
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
    pub(super) fn price(&self, at: usize) -> UpstreamChoice {
        let Self { query, pace, .. } = self;
        let facts = &self.candidates[at];
        let missing = query.shared_tokens.saturating_sub(facts.held_tokens);
        let fetch = self.fetch(at);
        let fetched = fetch.map_or(0, |fetch| fetch.tokens);
        let fetching = fetch.map_or(Duration::ZERO, |fetch| fetch.time);
        let reread_tokens = missing.saturating_sub(fetched);
        let read_tokens = reread_tokens + query.own_tokens;
        let first_as = |rank| pace.first(facts.queue, rank, read_tokens);
        let timely = first_as(QueueRank::Timely).mul_f64(facts.factor) + fetching;
        let rank = query.rank(timely);
        let first = match rank {
            QueueRank::Timely => timely,
            // The factor tells of requests that do not go behind others.
            QueueRank::Behind => first_as(QueueRank::Behind) + fetching,
        };
        let meeting = if self.meeting == Some(at) { MEETING_SHARE } else { 0.0 };
        let reread = RequestCost::of_rereading(reread_tokens, query.size).0 * (1.0 - meeting);
        let moved = RequestCost::of_rereading(fetched, query.size).0 * FETCH_SHARE;
        let parts = CostParts {
            time: RequestCost::of_time(query.waited + first, query.target).0,
            rereading: reread + moved,
            disturbance: self.disturbance(facts.queue, read_tokens).0,
            pauses: pause_cost(query, facts.long_pauses).0,
            streaming: streaming_cost(query, pace, facts.queue).0,
            slowing: slowing_cost(query, pace, facts.queue, read_tokens).0,
            failures: facts.failures,
            moving: facts.move_cost,
        };
        let has_place = facts.queue.in_flight < facts.queue.slots;
        let is_reading = fetch.is_none() && has_place && rank == QueueRank::Timely;
        UpstreamChoice {
            at,
            first,
            cost: parts.total(),
            parts,
            read_tokens,
            is_full: pace.room.is_full(facts.queue),
            rank,
            until_answer: is_reading.then(|| facts.queue.unread.ahead_of(rank) + read_tokens),
            is_trusted: !facts.is_suspect && !facts.is_tried,
            fetch_from: fetch.map(|fetch| fetch.holder),
        }
    }

    /// How a candidate gets the shared parts that it does not hold.
    fn fetch(&self, at: usize) -> Option<PartFetch> {
        let holder = self.holder.filter(|holder| *holder != at)?;
        let held = self.candidates[at].held_tokens;
        let tokens = self.candidates[holder].held_tokens.checked_sub(held)?;
        Some(PartFetch { holder, tokens, time: self.pace.fetching(tokens)? })
    }

    /// What reading some tokens costs the streams that a candidate is writing: between two pieces of a
    /// prompt each stream gets one token, so that prompts that are read one after the other stretch the
    /// pauses of all of them.
    ///
    /// Streams that met a long pause already lose nothing more.
    fn disturbance(&self, queue: QueueFacts, tokens: u32) -> RequestCost {
        let Some(gap) = self.query.event_gap else { return RequestCost(0.0) };
        let broken_by = |tokens: u32| {
            let share = self.pace.reading(tokens).div_duration_f64(gap);
            self.pace.pauses.chance(tokens, chance_beyond(share, PAUSE_SPREAD))
        };
        let pending = queue.unread.ahead_of(QueueRank::Timely);
        let broken = (broken_by(pending.saturating_add(tokens)) - broken_by(pending)).max(0.0);
        let streams = f64::from(queue.whole) * self.pace.usual_size;
        RequestCost(broken * streams / f64::from(self.query.size.max(1)))
    }
}
