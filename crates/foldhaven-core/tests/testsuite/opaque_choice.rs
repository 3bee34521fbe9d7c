//! The choice of an upstream for a request, and the estimates that it is based on.

use std::time::Duration;

use foldhaven_core::ids::UpstreamName;
use foldhaven_core::opaque::affinity::{
    PrefixCacheIndex, PromptOutline, PromptPlacement, UpstreamTag,
};
use foldhaven_core::opaque::caller_timeouts::CallerTimeouts;
use foldhaven_core::opaque::choice::{
    ChoiceQuery, RequestCost, UpstreamCandidate, choose_upstream,
};
use foldhaven_core::opaque::performance::{QueueState, ServicePerformance, UpstreamPerformance};
use foldhaven_core::opaque::queue_rank::{PrefillBacklog, QueueRank};
use foldhaven_core::opaque::short_slowdown::SlowdownFactor;
use foldhaven_core::opaque::upstream_speed::SpeedFactors;
use foldhaven_core::time::MonoTime;
use rstest::rstest;

fn names(count: usize) -> Vec<UpstreamName> {
    (0..count).map(|number| format!("i-{number}").parse().unwrap()).collect()
}

/// The rank of the requests in these tests.
const RANK: QueueRank = QueueRank::Timely;

fn prefill_backlog(tokens: u32) -> PrefillBacklog {
    PrefillBacklog { timely: tokens, deferred: 0 }
}

fn candidate(name: &UpstreamName) -> UpstreamCandidate<'_> {
    UpstreamCandidate {
        name,
        queue: QueueState { slots: 4, ..QueueState::default() },
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

/// Returns a request with a shared prompt segment of some tokens.
fn query(shared_tokens: u32, affinity_key: Option<u64>, draw: f64) -> ChoiceQuery {
    let target = Duration::from_millis(800);
    let size = shared_tokens + 600;
    let waited = Duration::ZERO;
    let event_gap = None;
    ChoiceQuery {
        target,
        waited,
        level: None,
        event_gap,
        events: 0.0,
        size,
        shared_tokens,
        unshared_tokens: 100,
        affinity_key,
        report_age: Duration::ZERO,
        draw,
    }
}

fn chosen(candidates: &[UpstreamCandidate<'_>], query: ChoiceQuery) -> Option<usize> {
    choose_upstream(candidates, &query, &ServicePerformance::default()).map(|choice| choice.index)
}

/// The second of three upstreams differs from the others in one property, which decides whether it
/// is chosen.
#[rstest]
#[case::is_full(|it: &mut UpstreamCandidate<'_>| it.queue.in_flight = 9, false)]
#[case::has_prefill_backlog(|it: &mut UpstreamCandidate<'_>| it.queue.prefill_backlog = prefill_backlog(40_000), false)]
#[case::is_slow(|it: &mut UpstreamCandidate<'_>| it.latency_factor = 4.0, false)]
#[case::fails_requests(|it: &mut UpstreamCandidate<'_>| it.failure_share = 0.5, false)]
#[case::is_ejected(|it: &mut UpstreamCandidate<'_>| it.is_ejected = true, false)]
#[case::is_throttled(|it: &mut UpstreamCandidate<'_>| it.is_throttled = true, false)]
#[case::was_tried(|it: &mut UpstreamCandidate<'_>| it.is_tried = true, false)]
#[case::is_remote(|it: &mut UpstreamCandidate<'_>| it.transfer_cost = 0.1, false)]
#[case::has_the_prompt_cached(|it: &mut UpstreamCandidate<'_>| it.cached_tokens = 5_000, true)]
fn one_property_decides(#[case] change: fn(&mut UpstreamCandidate<'_>), #[case] is_chosen: bool) {
    let names = names(3);
    let mut candidates: Vec<_> = names.iter().map(candidate).collect();
    change(&mut candidates[1]);
    for draw in [0.0, 0.4, 0.9] {
        let query = query(5_000, None, draw);
        assert_eq!(chosen(&candidates, query) == Some(1), is_chosen, "draw {draw}");
    }
}

#[test]
fn cached_segments_are_fetched_if_possible() {
    let names = names(2);
    let mut candidates: Vec<_> = names.iter().map(candidate).collect();
    candidates[0].cached_tokens = 5_000;
    candidates[0].queue.prefill_backlog = prefill_backlog(60_000);
    let with_fetch =
        ServicePerformance { fetch_tokens_per_s: 400_000.0, ..ServicePerformance::default() };
    let choice = choose_upstream(&candidates, &query(5_000, None, 0.0), &with_fetch).unwrap();
    assert_eq!((choice.index, choice.fetch_from, choice.prefill_tokens), (1, Some(0), 100));
    let without_fetch = ServicePerformance::default();
    let choice = choose_upstream(&candidates, &query(5_000, None, 0.0), &without_fetch).unwrap();
    assert_eq!((choice.fetch_from, choice.prefill_tokens), (None, 5_100));
}

#[test]
fn latency_costs_little_before_the_target_and_almost_everything_after_it() {
    let target = Duration::from_millis(800);
    let cost = |millis| RequestCost::of_time(Duration::from_millis(millis), target).0;
    assert!(cost(50) < 0.02, "{}", cost(50));
    assert!(cost(300) - cost(200) < 0.05);
    assert!(cost(1_300) > 0.9);
    assert!(cost(3_000) > cost(2_000), "an earlier answer is still cheaper");
}

#[test]
fn ejected_and_tried_upstreams_are_the_last_resort() {
    let names = names(2);
    let mut candidates: Vec<_> = names.iter().map(candidate).collect();
    candidates[0].is_ejected = true;
    candidates[1].is_tried = true;
    assert_eq!(chosen(&candidates, query(0, None, 0.0)), Some(0));
    candidates[0].is_throttled = true;
    assert_eq!(chosen(&candidates, query(0, None, 0.0)), Some(1));
    candidates[1].is_throttled = true;
    assert_eq!(chosen(&candidates, query(0, None, 0.0)), None);
}

#[test]
fn equal_upstreams_share_requests_by_the_draw() {
    let names = names(3);
    let candidates: Vec<_> = names.iter().map(candidate).collect();
    let at = |draw| chosen(&candidates, query(0, None, draw));
    assert_eq!((at(0.0), at(0.5), at(0.99)), (Some(0), Some(1), Some(2)));
}

#[test]
fn prompts_that_share_a_prefix_get_the_same_upstream_on_every_vm() {
    let names = names(5);
    let candidates: Vec<_> = names.iter().map(candidate).collect();
    let reversed: Vec<_> = candidates.iter().rev().copied().collect();
    for key in 0..20 {
        let query = |draw| query(9_000, Some(key), draw);
        let one = chosen(&candidates, query(0.1)).map(|at| candidates[at].name);
        let other = chosen(&reversed, query(0.8)).map(|at| reversed[at].name);
        assert_eq!(one, other, "key {key}");
    }
}

#[test]
fn outlines_are_parsed_or_rejected() {
    let outline = PromptOutline::parse("5c1e:800, 91bd:410,e440:250").unwrap();
    assert_eq!((outline.shared_tokens(), outline.unshared_tokens), (1_210, 250));
    let other = PromptOutline::parse("5c1e:800,91bd:410,ffff:9").unwrap();
    assert_eq!(outline.affinity_key(), other.affinity_key());
    let swapped = PromptOutline::parse("91bd:410,5c1e:800,e440:250").unwrap();
    assert_ne!(outline.affinity_key(), swapped.affinity_key());
    assert_eq!(PromptOutline::parse("e440:250").unwrap().affinity_key(), None);
    for text in ["", "5c1e", "5c1e:x,1:2", "a:1,,b:2"] {
        assert_eq!(PromptOutline::parse(text), None, "{text:?}");
    }
}

#[test]
fn a_segment_counts_as_cached_until_others_fill_the_cache() {
    const CACHE_SIZE: u64 = 10_000;
    let tag = UpstreamTag(7);
    let placement = |text: &str| {
        let outline = PromptOutline::parse(text).unwrap();
        PromptPlacement {
            upstream: tag,
            shared: outline.shared,
            unshared_tokens: outline.unshared_tokens,
        }
    };
    let first = placement("a:1000,own:100");
    let mut cache_index = PrefixCacheIndex::default();
    assert_eq!(cache_index.cached_tokens(tag, &first.shared, CACHE_SIZE), 0);
    cache_index.record(&first, CACHE_SIZE);
    assert_eq!(cache_index.cached_tokens(tag, &first.shared, CACHE_SIZE), 1_000);
    assert_eq!(cache_index.cached_tokens(UpstreamTag(8), &first.shared, CACHE_SIZE), 0);
    for number in 0..9 {
        cache_index.record(&placement(&format!("other-{number}:1000,own:100")), CACHE_SIZE);
    }
    assert_eq!(
        cache_index.cached_tokens(tag, &first.shared, CACHE_SIZE),
        0,
        "other prompts filled the cache"
    );
    cache_index.record(&first, CACHE_SIZE);
    cache_index.remove(tag);
    assert_eq!(
        cache_index.cached_tokens(tag, &first.shared, CACHE_SIZE),
        0,
        "the process has exited"
    );
}

#[test]
fn deviations_of_an_upstream_decay() {
    let now = MonoTime::from_millis(10_000);
    let (usual, slow) = (Duration::from_millis(50), Duration::from_millis(500));
    let mut performance = UpstreamPerformance::default();
    (0..10).for_each(|_| performance.record_time_to_first(usual, slow, now));
    (0..3).for_each(|_| performance.record_end(true, 0.0, now));
    assert!(performance.latency_factor(now) > 5.0, "{}", performance.latency_factor(now));
    assert!(performance.failure_share(now) > 0.1);
    let later = now + Duration::from_secs(20);
    assert!(performance.latency_factor(later) < 1.1, "{}", performance.latency_factor(later));
    assert!(performance.failure_share(later) < 0.01);
}

#[test]
fn waits_grow_with_occupied_slots_and_prefill_backlog() {
    let mut performance = ServicePerformance::default();
    (0..2_000).for_each(|_| performance.record_slot_time(Duration::from_millis(100)));
    let queue = |in_flight, backlog_tokens| QueueState {
        slots: 4,
        in_flight,
        on_track: 0,
        deferred: 0,
        prefill_backlog: prefill_backlog(backlog_tokens),
        ..QueueState::default()
    };
    assert_eq!(performance.wait(queue(3, 0), RANK), Duration::ZERO);
    let full = performance.wait(queue(8, 0), RANK).as_millis();
    assert!((120..=130).contains(&full), "{full}");
    assert!(performance.wait(queue(0, 45_000), RANK) >= Duration::from_millis(990));
}

#[test]
fn the_time_waited_follows_from_the_remaining_time() {
    let mut timeouts = CallerTimeouts::default();
    let at = |seconds: u64| MonoTime::from_millis(1_000_000 + seconds * 1_000);
    let secs = Duration::from_secs;
    assert_eq!(
        timeouts.record(secs(5), at(0)),
        Duration::ZERO,
        "no earlier request to compare with"
    );
    assert_eq!(timeouts.record(secs(8), at(1)), Duration::ZERO);
    assert_eq!(timeouts.record(secs(6), at(2)), secs(2));
    assert_eq!(timeouts.record(secs(6), at(12)), secs(2), "the previous window counts");
    assert_eq!(
        timeouts.record(secs(6), at(60)),
        Duration::ZERO,
        "callers now announce shorter times"
    );
}

/// A request that is already late gains nothing from a fast answer. It goes to the cheapest
/// upstream and leaves the fast ones to other requests.
#[test]
fn a_late_request_goes_to_the_cheapest_upstream() {
    let names = names(2);
    let mut candidates: Vec<_> = names.iter().map(candidate).collect();
    candidates[0].cached_tokens = 5_000;
    candidates[0].queue.prefill_backlog = prefill_backlog(45_000);
    let fresh = query(5_000, None, 0.0);
    let late = ChoiceQuery { waited: Duration::from_secs(3), ..fresh };
    assert_eq!(chosen(&candidates, fresh), Some(1));
    assert_eq!(chosen(&candidates, late), Some(0));
}

/// Guards against spreading long prompts over all upstreams under load. The streams of an upstream
/// get only one token between two chunks of a prompt, so the prompts made pauses too long
/// everywhere.
#[rstest]
#[case::no_pause_too_long(3_000, Some(400), 20, 0)]
#[case::many_pauses_too_long(30_000, Some(400), 20, 1)]
#[case::all_streams_already_late(30_000, Some(400), 0, 0)]
#[case::not_a_stream(30_000, None, 20, 0)]
fn a_long_prompt_goes_where_it_lengthens_few_pauses(
    #[case] tokens: u32,
    #[case] gap_ms: Option<u64>,
    #[case] on_track: u32,
    #[case] expected: usize,
) {
    let names = names(2);
    let mut candidates: Vec<_> = names.iter().map(candidate).collect();
    for candidate in &mut candidates {
        candidate.queue.slots = 64;
    }
    candidates[0].queue.in_flight = 20;
    candidates[0].queue.on_track = on_track;
    // The other one is slightly worse in another property.
    candidates[1].failure_share = 0.05;
    let mut query = query(0, None, 0.0);
    query.unshared_tokens = tokens;
    query.size = tokens;
    query.target = Duration::from_secs(2);
    query.event_gap = gap_ms.map(Duration::from_millis);
    assert_eq!(chosen(&candidates, query), Some(expected));
}
