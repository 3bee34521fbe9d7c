//! Which upstream of a service gets a request: the one with the least expected cost.
//!
//! Costs are shares of what the request is worth. That worth itself is not described; but the users
//! count it in proportion to a request's tokens, as their prices are, so that shares can be compared.

use std::ops::Add;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::UpstreamName;
use crate::opaque::pace::{QueueFacts, ServicePace};
use crate::rank::rank_hash;

/// How many tokens of a prompt one token of an answer counts for. The users weigh them so.
pub const OUTPUT_WEIGHT: u32 = 10;
/// The size of a request that names no tokens.
pub const PLAIN_SIZE: u32 = 500;
/// The cost of being a whole target late or early, while that alone does not decide whether the
/// answer is in time. It keeps queues short at low load.
const TIME_SHARE: f64 = 0.2;
/// The spread of times around the expected one, as a share of the target.
const LATE_SPREAD: f64 = 0.15;
/// The spread of the longest pause around the time that the waiting prompts take to read, as a share of
/// the pause that is wanted.
const PAUSE_SPREAD: f64 = 0.12;
/// What reading all of a request's tokens again costs. From the prices of two deployments: 0.3 to
/// 0.45 of what a request is worth.
const REREAD_COST: f64 = 0.4;
/// What taking parts over costs against reading them again: moved memory is paid for, at about a
/// twentieth of that.
const FETCH_SHARE: f64 = 0.11;
/// By how much the upstream that ranks first for a meeting key is preferred while nobody is known to
/// hold its parts, as a share of the cost of reading them.
const MEETING_SHARE: f64 = 0.5;

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
    /// What the way to it costs.
    pub move_cost: f64,
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
#[derive(Debug, Clone, Copy)]
pub struct ChoiceQuery {
    /// The time to the answer, or to its first event, that its caller wants.
    pub target: Duration,
    /// How long its caller had waited before it came.
    pub waited: Duration,
    /// The longest pause between two events that its caller wants, for streams.
    pub event_gap: Option<Duration>,
    /// Its work: the tokens of its prompt and [`OUTPUT_WEIGHT`] times those of its answer.
    pub size: u32,
    /// The tokens of the shared parts of its prompt.
    pub shared_tokens: u32,
    /// The tokens of its own part.
    pub own_tokens: u32,
    /// The key by which requests with the same shared parts meet.
    pub meeting_key: Option<u64>,
    /// A number that is uniform in 0..1.
    pub draw: f64,
}

/// What a decision costs, as a share of what the request is worth.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RequestCost(pub f64);

impl RequestCost {
    /// The cost of an answer that is expected after `first`: little while that is well before the
    /// target, then rising until almost all is lost.
    pub fn of_time(first: Duration, target: Duration) -> Self {
        let share = first.as_secs_f64() / target.as_secs_f64().max(1e-3);
        let late = 1.0 / (1.0 + (-(share - 1.0) / LATE_SPREAD).exp());
        Self(TIME_SHARE * share + (1.0 - TIME_SHARE) * late)
    }

    /// The cost of reading tokens of a request of some size again.
    pub fn of_rereading(tokens: u32, size: u32) -> Self {
        Self(REREAD_COST * f64::from(tokens) / f64::from(size.max(1)))
    }

    /// The cost of moving bytes of a request of some size, by what a byte costs against a token.
    pub fn of_bytes(bytes: usize, price: f64, size: u32) -> Self {
        Self(bytes as f64 * price / f64::from(size.max(1)))
    }
}

impl Add for RequestCost {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0 + other.0)
    }
}

/// What a place costs, by what causes it; each a share of what the request is worth.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct CostParts {
    /// Being late, or nearer to that.
    pub time: f64,
    /// Reading shared parts of the prompt again that are held elsewhere, or taking them over.
    pub rereading: f64,
    /// Pauses of the streams there that reading breaks.
    pub disturbance: f64,
    /// Failures there lately.
    pub failures: f64,
    /// Moving the body there.
    pub moving: f64,
}

impl CostParts {
    /// All of them together.
    pub fn total(&self) -> RequestCost {
        RequestCost(self.time + self.rereading + self.disturbance + self.failures + self.moving)
    }
}

/// A chosen upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamChoice {
    /// Its place among the candidates.
    pub at: usize,
    /// The expected time to the answer, or to its first event.
    pub first: Duration,
    /// What it costs.
    pub cost: RequestCost,
    /// The same, by what causes it.
    pub parts: CostParts,
    /// The prompt tokens that it has to read.
    pub read_tokens: u32,
    /// The candidate from which it takes over what it does not hold of the shared parts.
    pub fetch_from: Option<usize>,
}

/// Chooses the upstream with the least cost.
pub fn choose_upstream(
    candidates: &[UpstreamFacts<'_>],
    query: &ChoiceQuery,
    pace: &ServicePace,
) -> Option<UpstreamChoice> {
    let priced = price_upstreams(candidates, query, pace);
    priced.into_iter().min_by(|left, right| left.cost.0.total_cmp(&right.cost.0))
}

/// Prices the upstreams that a choice is made among, in the order in which equals are taken. Suspects
/// are among them only when nobody else is left, and upstreams that were tried only when all were.
pub fn price_upstreams(
    candidates: &[UpstreamFacts<'_>],
    query: &ChoiceQuery,
    pace: &ServicePace,
) -> Vec<UpstreamChoice> {
    let open: Vec<usize> =
        (0..candidates.len()).filter(|at| !candidates[*at].is_held_back).collect();
    let untried = narrow(&open, |at| !candidates[at].is_tried);
    let trusted = narrow(&untried, |at| !candidates[at].is_suspect);
    let meeting = query.meeting_key.and_then(|key| meeting_place(candidates, &trusted, key));
    let holder = trusted.iter().copied().max_by_key(|at| candidates[*at].held_tokens);
    let first = (query.draw * trusted.len() as f64) as usize;
    let turned = (0..trusted.len()).map(|step| trusted[(first + step) % trusted.len()]);
    let price = |at: usize| {
        let pricer = UpstreamPricer { candidates, query, pace, meeting, holder };
        pricer.price(at)
    };
    turned.map(price).collect()
}

/// Those that pass, or all of them when none does.
fn narrow(indices: &[usize], passes: impl Fn(usize) -> bool) -> Vec<usize> {
    let passing: Vec<usize> = indices.iter().copied().filter(|at| passes(*at)).collect();
    match passing.is_empty() {
        true => indices.to_vec(),
        false => passing,
    }
}

/// The candidate at which requests with a key meet: the first in a rank that all VMs share.
fn meeting_place(candidates: &[UpstreamFacts<'_>], open: &[usize], key: u64) -> Option<usize> {
    let text = key.to_string();
    let rank = |at: &usize| rank_hash(&[&text, candidates[*at].name.as_str()]);
    open.iter().copied().max_by_key(rank)
}

/// Prices the candidates for one request.
struct UpstreamPricer<'a> {
    candidates: &'a [UpstreamFacts<'a>],
    query: &'a ChoiceQuery,
    pace: &'a ServicePace,
    /// The candidate that ranks first for the meeting key.
    meeting: Option<usize>,
    /// The candidate that probably holds most of the shared parts.
    holder: Option<usize>,
}

/// Shared parts that one candidate takes over from another.
#[derive(Debug, Clone, Copy)]
struct PartFetch {
    holder: usize,
    tokens: u32,
    time: Duration,
}

impl UpstreamPricer<'_> {
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
    fn disturbance(&self, queue: QueueFacts, tokens: u32) -> RequestCost {
        let Some(gap) = self.query.event_gap else { return RequestCost(0.0) };
        let broken_by = |tokens: u32| {
            let share = self.pace.reading(tokens).div_duration_f64(gap);
            1.0 / (1.0 + (-(share - 1.0) / PAUSE_SPREAD).exp())
        };
        let pending = queue.pending_tokens;
        let broken = broken_by(pending.saturating_add(tokens)) - broken_by(pending);
        let streams = f64::from(queue.in_flight) * self.pace.usual_size;
        RequestCost(broken * streams / f64::from(self.query.size.max(1)))
    }

    /// What a candidate is expected to take and to cost.
    fn price(&self, at: usize) -> UpstreamChoice {
        let Self { query, pace, .. } = self;
        let facts = &self.candidates[at];
        let missing = query.shared_tokens.saturating_sub(facts.held_tokens);
        let fetch = self.fetch(at);
        let fetched = fetch.map_or(0, |fetch| fetch.tokens);
        let fetching = fetch.map_or(Duration::ZERO, |fetch| fetch.time);
        let reread_tokens = missing.saturating_sub(fetched);
        let read_tokens = reread_tokens + query.own_tokens;
        let first = pace.first(facts.queue, read_tokens).mul_f64(facts.factor) + fetching;
        let meeting = if self.meeting == Some(at) { MEETING_SHARE } else { 0.0 };
        let reread = RequestCost::of_rereading(reread_tokens, query.size).0 * (1.0 - meeting);
        let moved = RequestCost::of_rereading(fetched, query.size).0 * FETCH_SHARE;
        let parts = CostParts {
            time: RequestCost::of_time(query.waited + first, query.target).0,
            rereading: reread + moved,
            disturbance: self.disturbance(facts.queue, read_tokens).0,
            failures: facts.failures,
            moving: facts.move_cost,
        };
        let fetch_from = fetch.map(|fetch| fetch.holder);
        UpstreamChoice { at, first, cost: parts.total(), parts, read_tokens, fetch_from }
    }
}
