//! Services of plain requests: work times, the risk of full queues, and a region whose callers send
//! more than its few upstreams can take while the upstreams of other regions are idle.

use std::collections::VecDeque;
use std::time::Duration;

use foldhaven_core::ids::UpstreamName;
use foldhaven_core::opaque::admission::{
    AdmissionError, DestinationEstimate, TimeLimits, admit, queue_wait,
};
use foldhaven_core::opaque::arrival_spread::choose_spread;
use foldhaven_core::opaque::choice::{
    ChoiceQuery, CostBreakdown, RequestCost, UpstreamCandidate, UpstreamChoice, choose_upstream,
};
use foldhaven_core::opaque::performance::{QueueState, ServicePerformance};
use foldhaven_core::opaque::queue_capacity::QueueCapacity;
use foldhaven_core::opaque::queue_rank::QueueRank;
use foldhaven_core::opaque::refusal::Refusal;
use foldhaven_core::opaque::region_overflow::{draw_region, share_sent_away};
use foldhaven_core::opaque::short_slowdown::SlowdownFactor;
use foldhaven_core::opaque::traffic_share::TrafficShare;
use foldhaven_core::opaque::upstream_speed::SpeedFactors;
use foldhaven_core::opaque::work_time::WorkTime;
use rstest::rstest;

const MS: fn(u64) -> Duration = Duration::from_millis;
const SLOTS: u32 = 6;
const QUEUE_LIMIT: usize = 30;
const WORK_MS: u64 = 60;
const ROUND_TRIP_MS: u64 = 110;
const TARGET: Duration = Duration::from_millis(500);
const MARGIN: RequestCost = RequestCost(0.04);
/// Reports within a region and between regions, in milliseconds.
const REPORT_MS: u64 = 70;
const REGION_REPORT_MS: u64 = 305;

fn queue(in_flight: u32) -> QueueState {
    QueueState { slots: SLOTS, in_flight, ..QueueState::default() }
}

/// Returns the performance of a service that declines requests beyond 30.
fn performance() -> ServicePerformance {
    let mut performance = ServicePerformance::default().for_plain_requests();
    (0..60).for_each(|_| performance.queue_capacity.record_refused(queue(QUEUE_LIMIT as u32)));
    performance
}

fn query(waited: Duration, draw: f64) -> ChoiceQuery {
    ChoiceQuery {
        target: TARGET,
        waited,
        level: None,
        event_gap: None,
        events: 0.0,
        size: 500,
        shared_tokens: 0,
        unshared_tokens: 0,
        affinity_key: None,
        report_age: MS(REPORT_MS),
        draw,
    }
}

fn candidate(name: &UpstreamName, in_flight: u32) -> UpstreamCandidate<'_> {
    UpstreamCandidate {
        name,
        queue: queue(in_flight),
        speed: SpeedFactors::default(),
        slowdown: SlowdownFactor::default(),
        latency_factor: 1.0,
        failure_share: 0.0,
        long_pause_share: 0.0,
        transfer_cost: 0.0,
        cached_tokens: 0,
        is_ejected: false,
        is_throttled: false,
        is_tried: false,
        has_room: true,
    }
}

fn estimate(choice: &UpstreamChoice, queue: QueueState) -> DestinationEstimate {
    let UpstreamChoice { time_to_first, breakdown, rank, is_full, .. } = *choice;
    DestinationEstimate { time_to_first, breakdown, rank, queue, is_full }
}

fn limits(waited: Duration) -> TimeLimits {
    TimeLimits { target: TARGET, waited, remaining: MS(2_500) }
}

/// The wait in the queue does not count as work, or waits would be expected by its square.
#[rstest]
#[case::idle(0, 60)]
#[case::full(29, 300)]
fn the_work_time_does_not_contain_the_wait(#[case] load: u32, #[case] took_ms: u64) {
    let mut performance = ServicePerformance::default();
    (0..200).for_each(|_| performance.record_work(queue(load), MS(took_ms + 8)));
    let work = performance.work_time.map(|work_time| work_time.mean().as_millis()).unwrap();
    assert!((59..=61).contains(&work), "{work}");
    let expected = performance.time_to_first(queue(load), QueueRank::Timely, 0).as_millis();
    assert!(expected.abs_diff(u128::from(took_ms) + 8) <= 6, "{expected}");
}

/// Upstreams that are all idle get requests alike, so that none is left out and an unusable one is
/// noticed.
#[rstest]
fn idle_upstreams_are_chosen_alike(#[values(2, 3, 6, 7)] count: usize) {
    const DRAWS: usize = 700;
    let names: Vec<UpstreamName> =
        (0..count).map(|number| format!("i-{number}").parse().unwrap()).collect();
    let candidates: Vec<_> = names.iter().map(|name| candidate(name, 0)).collect();
    let mut chosen = vec![0_usize; count];
    for number in 0..DRAWS {
        let draw = (number as f64 + 0.5) / DRAWS as f64;
        let choice = choose_spread(&candidates, &query(Duration::ZERO, draw), &performance(), draw);
        chosen[choice.unwrap().index] += 1;
    }
    let share = DRAWS / count;
    assert!(chosen.iter().all(|times| times.abs_diff(share) <= 1), "{chosen:?}");
}

/// A few answers replace the assumed time, so that a service of short work is soon known.
#[test]
fn the_work_time_follows_the_first_answers() {
    let mut work_time = WorkTime::default();
    (0..20).for_each(|_| work_time.record(MS(15), 0.0));
    assert!((15..=25).contains(&work_time.mean().as_millis()), "{work_time:?}");
}

/// Upstreams run plain requests in order of arrival, so a late one waits no longer than a timely one.
#[test]
fn late_requests_are_expected_in_order_of_arrival() {
    let name = "only".parse().unwrap();
    let queue = QueueState { deferred: 12, ..queue(20) };
    let candidates = [UpstreamCandidate { queue, ..candidate(&name, 20) }];
    let choose = |waited| choose_upstream(&candidates, &query(waited, 0.0), &performance());
    let (fresh, late) = (choose(MS(0)).unwrap(), choose(MS(900)).unwrap());
    assert_eq!((late.rank, late.time_to_first), (QueueRank::Deferred, fresh.time_to_first));
}

/// A late request may use idle upstreams, but not the last third of a queue, which is left for
/// requests that can be in time. Those are admitted up to the limit.
#[rstest]
#[case::idle_and_late(2, 900, Ok(()))]
#[case::half_full_and_late(15, 900, Ok(()))]
#[case::two_thirds_full_and_late(21, 900, Err(AdmissionError::TooManyDeferred))]
#[case::nearly_full_and_late(27, 900, Err(AdmissionError::TooManyDeferred))]
#[case::nearly_full_and_timely(27, 0, Ok(()))]
#[case::full_and_timely(31, 0, Err(AdmissionError::Full))]
fn late_requests_leave_the_last_third(
    #[case] load: u32,
    #[case] waited_ms: u64,
    #[case] expected: Result<(), AdmissionError>,
) {
    let name = "only".parse().unwrap();
    let candidates = [candidate(&name, load)];
    let choice = choose_upstream(&candidates, &query(MS(waited_ms), 0.0), &performance()).unwrap();
    assert_eq!(admit(&estimate(&choice, queue(load)), limits(MS(waited_ms))), expected);
}

/// Refusals at queues that were longer than believed do not lower the limit for ever: requests that
/// are accepted below it raise it again.
#[test]
fn a_limit_that_is_too_low_recovers() {
    let mut capacity = QueueCapacity::default();
    capacity.record_plain_accepted(queue(27));
    (0..20).for_each(|_| capacity.record_refused(queue(12)));
    assert!(capacity.is_full(queue(20)));
    (0..200).for_each(|round| capacity.record_plain_accepted(queue(8 + round % 12)));
    assert!(!capacity.is_full(queue(20)), "{capacity:?}");
    assert!(capacity.is_full(queue(28)), "not beyond what was accepted: {capacity:?}");
}

/// A caller who is refused for a full queue and comes again when told can still be in time.
#[test]
fn a_full_queue_is_tried_again_in_time() {
    let expected = performance().time_to_first(queue(QUEUE_LIMIT as u32), QueueRank::Timely, 0);
    for draw in [0.0, 0.5, 0.99] {
        let refusal = Refusal::QueueFull { wait: queue_wait(expected) };
        assert!(refusal.guarantees_not_run());
        let back = refusal.retry_after(draw).unwrap();
        assert!(back >= MS(80) && back + expected <= TARGET, "{back:?} {expected:?}");
    }
}

/// A large VM does not take the others for as large. Before it knows, all count as equal.
#[test]
fn a_large_vm_knows_its_share() {
    let mut share = TrafficShare::default();
    assert_eq!(share.equal_senders(24), 24);
    (0..400).for_each(|_| share.record(4, 48));
    assert_eq!(share.equal_senders(24), 12);
    let mut small = TrafficShare::default();
    (0..400).for_each(|round| small.record(u32::from(round % 50 == 0), 48));
    assert_eq!(small.equal_senders(4), 16, "bounded");
}

/// Requests with prompts are priced as before, also if the queue capacity is known.
#[test]
fn the_overflow_cost_concerns_plain_requests_only() {
    let name = "only".parse().unwrap();
    let candidates = [candidate(&name, 28)];
    let cost = |performance: &ServicePerformance| {
        choose_upstream(&candidates, &query(MS(0), 0.0), performance).unwrap().breakdown.overflow
    };
    assert!(cost(&performance()) > 0.3);
    assert_eq!(cost(&performance().for_model_requests()), 0.0);
}

#[rstest]
#[case::dearer_away(0.10, 0.12, 0.0)]
#[case::cheaper_by_the_margin(0.16, 0.12, 0.5)]
#[case::far_cheaper(0.60, 0.12, 1.0)]
fn the_share_sent_away_grows_with_the_difference(
    #[case] home: f64,
    #[case] away: f64,
    #[case] expected: f64,
) {
    let share = share_sent_away(RequestCost(home), RequestCost(away), MARGIN);
    assert!((share - expected).abs() < 1e-9, "{share}");
}

/// A region of upstreams with one queue each.
struct Region {
    /// The times at which the requests of each upstream end.
    upstreams: Vec<VecDeque<u64>>,
    /// The loads as other VMs and other regions know them.
    told: Vec<u32>,
    reported_away: Vec<u32>,
}

impl Region {
    fn new(count: usize) -> Self {
        Self {
            upstreams: vec![VecDeque::new(); count],
            told: vec![0; count],
            reported_away: vec![0; count],
        }
    }

    fn advance(&mut self, now: u64) {
        for upstream in &mut self.upstreams {
            upstream.retain(|end| *end > now);
        }
        let loads = || self.upstreams.iter().map(|upstream| upstream.len() as u32).collect();
        if now.is_multiple_of(REPORT_MS) {
            self.told = loads();
        }
        if now.is_multiple_of(REGION_REPORT_MS) {
            self.reported_away = loads();
        }
    }

    /// Starts a request at an upstream. Returns when it ends, or `None` if the queue is full.
    fn run(&mut self, index: usize, now: u64, work: u64) -> Option<u64> {
        let upstream = &mut self.upstreams[index];
        if upstream.len() >= QUEUE_LIMIT {
            return None;
        }
        // The slot that becomes free when only as many requests are left as there are other slots.
        let mut ends: Vec<u64> = upstream.iter().copied().collect();
        ends.sort_unstable();
        let ahead = ends.len().checked_sub(SLOTS as usize);
        let end = ahead.map_or(now, |at| ends[at]) + work;
        upstream.push_back(end);
        Some(end)
    }

    fn choose(&self, waited: Duration, draw: f64) -> Option<(UpstreamChoice, QueueState)> {
        let names: Vec<UpstreamName> =
            (0..self.told.len()).map(|index| format!("u{index}").parse().unwrap()).collect();
        let loads = names.iter().zip(&self.told);
        let candidates: Vec<_> = loads.map(|(name, load)| candidate(name, *load)).collect();
        let query = query(waited, draw);
        let choice = choose_spread(&candidates, &query, &performance(), draw)?;
        Some((choice, candidates[choice.index].queue))
    }

    /// Returns the cost of a request of another region, by the reports that it has.
    fn cost_away(&self) -> RequestCost {
        let load = self.reported_away.iter().copied().min().unwrap_or(QUEUE_LIMIT as u32);
        let performance = performance();
        let time = performance.time_to_first(queue(load), QueueRank::Timely, 0) + MS(ROUND_TRIP_MS);
        let overflow = performance.overflow_risk(queue(load));
        let breakdown = CostBreakdown { overflow, transfer: 0.036, ..CostBreakdown::default() };
        RequestCost::of_time(time, TARGET) + breakdown.total()
    }
}

#[derive(Debug, Default)]
struct Outcome {
    asked: u32,
    in_time: u32,
    late: u32,
    sent_away: u32,
}

/// Plays six seconds in which the callers of the first region send `rate` requests a second, and
/// those of each other region 30. `lost` upstreams of the first region are gone from 2 s to 4 s.
fn play(rate: u64, lost: usize) -> Outcome {
    let mut regions = [Region::new(2), Region::new(2), Region::new(2)];
    let mut outcome = Outcome::default();
    let mut random = fastrand_like(7);
    for now in 1..6_000 {
        regions.iter_mut().for_each(|region| region.advance(now));
        if now == 2_000 {
            regions[0].upstreams.truncate(2 - lost);
            regions[0].told.truncate(2 - lost);
        }
        if now == 4_000 {
            let home = &mut regions[0];
            home.upstreams.resize(2, VecDeque::new());
            home.told.resize(2, 0);
        }
        for home in 0..3 {
            let rate = if home == 0 { rate } else { 30 };
            if random() < rate as f64 / 1_000.0 {
                outcome.record(answer(&mut regions, home, now, &mut random));
            }
        }
    }
    outcome
}

/// Returns the time to the answer of a request, and whether it was sent away; `None` if it is refused.
fn answer(
    regions: &mut [Region; 3],
    home: usize,
    now: u64,
    random: &mut impl FnMut() -> f64,
) -> (Option<u64>, bool) {
    let work = (WORK_MS as f64 * (0.5 + random())) as u64;
    let others: Vec<usize> = (0..3).filter(|region| *region != home).collect();
    let costs: Vec<RequestCost> = others.iter().map(|it| regions[*it].cost_away()).collect();
    let cheapest = usize::from(costs[1].0 < costs[0].0);
    let local = regions[home].choose(MS(0), random());
    let drawn =
        local.as_ref().and_then(|(choice, _)| draw_region(choice.cost, &costs, MARGIN, random()));
    let is_admitted = local
        .as_ref()
        .is_some_and(|(choice, queue)| admit(&estimate(choice, *queue), limits(MS(0))).is_ok());
    let away = others[drawn.unwrap_or(cheapest)];
    let is_sent_away = drawn.is_some() || !is_admitted;
    if !is_sent_away {
        let (choice, _) = local.unwrap();
        return (regions[home].run(choice.index, now, work).map(|end| end - now), false);
    }
    let waited = MS(ROUND_TRIP_MS);
    let chosen = regions[away].choose(waited, random());
    let admitted =
        chosen.filter(|(choice, queue)| admit(&estimate(choice, *queue), limits(waited)).is_ok());
    let end = admitted.and_then(|(choice, _)| regions[away].run(choice.index, now, work));
    (end.map(|end| end - now + ROUND_TRIP_MS), true)
}

impl Outcome {
    fn record(&mut self, (took, is_sent_away): (Option<u64>, bool)) {
        self.asked += 1;
        self.sent_away += u32::from(is_sent_away);
        let is_in_time = took.is_some_and(|took| MS(took) <= TARGET);
        self.in_time += u32::from(is_in_time);
        self.late += u32::from(took.is_some() && !is_in_time);
    }

    fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked)
    }
}

/// Returns a generator of random numbers in 0..1.
fn fastrand_like(seed: u64) -> impl FnMut() -> f64 {
    let mut state = seed;
    move || {
        state =
            state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 40) as f64 / (1_u64 << 24) as f64
    }
}

/// One region gets a multiple of what its two upstreams can take, 200 a second; the others can take
/// 340 more. What fits is answered in time, and what does not is refused and not answered late.
#[rstest]
#[case::all_fits_at_1_3(260, 0.97)]
#[case::all_fits_at_2(400, 0.95)]
#[case::three_quarters_fit_at_4(800, 0.62)]
fn a_one_sided_peak_is_served_by_all_regions(#[case] rate: u64, #[case] min_share: f64) {
    let outcome = play(rate, 0);
    assert!(outcome.in_time_share() >= min_share, "{outcome:?}");
    assert!(f64::from(outcome.late) <= 0.02 * f64::from(outcome.asked), "{outcome:?}");
}

/// Without a peak almost all requests are answered at home, where their way is shortest.
#[test]
fn without_a_peak_requests_stay_at_home() {
    let outcome = play(120, 0);
    assert!(outcome.in_time_share() >= 0.99, "{outcome:?}");
    assert!(f64::from(outcome.sent_away) <= 0.02 * f64::from(outcome.asked), "{outcome:?}");
}

/// One of two upstreams restarts, or both are lost, at 0.8 of the room of the region.
#[rstest]
#[case::one_restarts(1)]
#[case::all_are_lost(2)]
fn other_regions_replace_lost_upstreams(#[case] lost: usize) {
    let outcome = play(160, lost);
    assert!(outcome.in_time_share() >= 0.97, "{outcome:?}");
}
