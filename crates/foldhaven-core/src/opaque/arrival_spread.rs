//! Spreads the requests that arrive between two load reports over the upstreams of a service.
//!
//! The load that it answers: a few small upstreams get dozens of requests while all VMs have the same
//! reports. If each VM took the upstream with the shortest queue, all of these requests would go to
//! one, whose queue then overflows while another one has free slots.

use std::time::Duration;

use crate::opaque::choice::{CandidateSample, ChoiceQuery, UpstreamCandidate, UpstreamChoice};
use crate::opaque::performance::ServicePerformance;

/// The maximum number of requests that are assigned before the chosen one.
const MAX_PENDING: f64 = 64.0;

/// Chooses an upstream for a request without a prompt.
///
/// The requests that probably arrive between two reports are assigned one by one, each to the
/// upstream that is cheapest with those before it. The request takes the place of one of them, by
/// `draw`, a random number that is uniform in 0..1.
pub fn choose_spread(
    candidates: &[UpstreamCandidate<'_>],
    query: &ChoiceQuery,
    performance: &ServicePerformance,
    draw: f64,
) -> Option<UpstreamChoice> {
    let mut priced = CandidateSample::of_all(candidates).price(query, performance);
    // Pricing begins at a random candidate. So does each choice below, and two such rotations by the
    // same draw would leave some candidates out.
    priced.sort_by_key(|choice| choice.index);
    let sampled: Vec<UpstreamCandidate<'_>> =
        priced.iter().map(|choice| candidates[choice.index]).collect();
    let pending = pending_requests(&sampled, query.report_age, performance.slot_time);
    let mut assigned = sampled.clone();
    let mut cheapest = None;
    for _ in 0..=(draw * pending) as u32 {
        let choice = CandidateSample::of_all(&assigned).choose(query, performance)?;
        assigned[choice.index].queue.in_flight += 1;
        cheapest = Some(choice.index);
    }
    cheapest.map(|index| priced[index])
}

/// Returns the expected number of requests that arrive at some upstreams between two reports. About
/// as many arrive as end.
fn pending_requests(
    candidates: &[UpstreamCandidate<'_>],
    report_age: Duration,
    slot_time: Duration,
) -> f64 {
    let running = candidates.iter().map(|it| it.queue.in_flight.min(it.queue.slots));
    let turns = report_age.div_duration_f64(slot_time.max(Duration::from_millis(1)));
    (f64::from(running.sum::<u32>()) * turns).min(MAX_PENDING)
}
