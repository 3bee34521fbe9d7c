//! What a VM takes for cached at an upstream.

use std::time::Duration;

use foldhaven_core::ids::UpstreamStartTime;
use foldhaven_core::opaque::affinity::{
    PrefixCacheIndex, PromptOutline, PromptSegment, RingPosition, UpstreamTag,
};
use foldhaven_core::opaque::choice::{CandidateSample, ChoiceQuery};
use foldhaven_core::opaque::performance::ServicePerformance;
use foldhaven_core::opaque::placement_queue::{MIN_ANNOUNCED_TOKENS, PlacementQueue};
use foldhaven_core::opaque::priority_level::PriorityLevel;
use foldhaven_core::opaque::upstream_ring::{DrawQuery, KEYED_CANDIDATES, UpstreamRing};
use rstest::rstest;

use crate::opaque_prompts::{CACHE_TOKENS, Draws, candidate, mixed, names, placement, review};

fn query(outline: &PromptOutline, draw: f64) -> ChoiceQuery {
    let shared_tokens = outline.shared_tokens();
    ChoiceQuery {
        target: Duration::from_millis(600),
        waited: Duration::ZERO,
        level: None,
        event_gap: None,
        events: 2.0,
        size: shared_tokens + outline.unshared_tokens + 200,
        shared_tokens,
        unshared_tokens: outline.unshared_tokens,
        affinity_key: outline.affinity_key(),
        report_age: Duration::ZERO,
        draw,
    }
}

/// Guards against a choice that costs more the more upstreams or VMs there are: the holders and the
/// upstreams looked at, in a region that holds all upstreams of a fleet, with levels.
#[rstest]
#[case::a_fleet(147, 72)]
#[case::twice_its_size(300, 144)]
fn a_choice_looks_at_few_upstreams(#[case] count: usize, #[case] vms: usize) {
    let names = names(count);
    let mut ring = UpstreamRing::default();
    let start = UpstreamStartTime(1);
    names.iter().for_each(|name| ring.insert(RingPosition::of(name, start), name));
    let mut draws = Draws(9);
    let mut index = PrefixCacheIndex::default();
    for _ in 0..vms * 100 {
        let upstream = UpstreamTag::of(&names[draws.below(count)], start);
        index.record(&placement(upstream, &mixed(&mut draws)), CACHE_TOKENS);
    }
    let performance = ServicePerformance::default();
    for _ in 0..100 {
        let outline = mixed(&mut draws);
        let holders: Vec<UpstreamTag> = index.holders(&outline.shared).collect();
        assert!(holders.len() <= 64);
        let key = outline.affinity_key();
        let random = RingPosition(draws.below(usize::MAX) as u64);
        let drawn = ring.draw(&DrawQuery { key, holders: &holders, random }, |_| true);
        assert!(drawn.upstreams.len() <= 80 && drawn.keyed <= KEYED_CANDIDATES);
        let mut candidates: Vec<_> = drawn.upstreams.iter().map(|name| candidate(name)).collect();
        candidates.iter_mut().for_each(|it| it.queue.in_flight = draws.below(16) as u32);
        let query = ChoiceQuery {
            level: Some(PriorityLevel::LAST),
            report_age: Duration::from_secs(2),
            ..query(&outline, draws.next())
        };
        let sample = CandidateSample { candidates: &candidates, keyed: drawn.keyed };
        assert!(sample.price(&query, &performance).len() <= 80);
    }
}

/// The prompt cache of one upstream: segments in the order of their last use.
#[derive(Default)]
struct LeastRecentlyUsed {
    /// The most recent one last.
    held: Vec<PromptSegment>,
}

impl LeastRecentlyUsed {
    fn take(&mut self, outline: &PromptOutline, number: usize, capacity: u64) {
        let own = PromptSegment { key: number as u64, tokens: outline.unshared_tokens };
        for segment in outline.shared.iter().chain([&own]) {
            self.held.retain(|held| held.key != segment.key);
            self.held.push(*segment);
        }
        while self.held.iter().map(|held| u64::from(held.tokens)).sum::<u64>() > capacity {
            self.held.remove(0);
        }
    }

    fn has(&self, segment: &PromptSegment) -> bool {
        self.held.iter().any(|held| held.key == segment.key)
    }
}

/// Guards against segments that are fetched from an upstream that has evicted them, or read although
/// one has them: two VMs that tell each other of long prompts only, and one upstream.
#[rstest]
#[case::usual(CACHE_TOKENS)]
#[case::half_the_memory(CACHE_TOKENS / 2)]
fn the_estimate_follows_a_cache(#[case] capacity: u64) {
    let tag = UpstreamTag(1);
    let mut draws = Draws(5);
    let mut cache = LeastRecentlyUsed::default();
    let mut indices = [PrefixCacheIndex::default(), PrefixCacheIndex::default()];
    let mut queues = [PlacementQueue::default(), PlacementQueue::default()];
    let (mut held, mut missed, mut vain, mut asked) = (0, 0, 0, 0);
    for number in 0..3_000 {
        // The prompts of a share of the kinds and sessions, as planned for one upstream.
        let outline = match draws.below(3) {
            0 => review(draws.below(60)),
            _ => PromptOutline::parse(&format!("short-{}:141,own:1800", draws.below(40))).unwrap(),
        };
        if number > 500 && outline.shared_tokens() >= MIN_ANNOUNCED_TOKENS {
            let is_held = outline.shared.iter().all(|segment| cache.has(segment));
            let cached = indices[0].cached_tokens(tag, &outline.shared, capacity);
            let is_expected = cached == outline.shared_tokens();
            asked += 1;
            held += u32::from(is_held);
            missed += u32::from(is_held && !is_expected);
            vain += u32::from(!is_held && is_expected);
        }
        let (vm, other) = (number % 2, 1 - number % 2);
        cache.take(&outline, number, capacity);
        let placement = placement(tag, &outline);
        indices[vm].record(&placement, capacity);
        queues[vm].push(placement);
        queues[vm].take().iter().for_each(|told| indices[other].record(told, capacity));
    }
    assert!(held > 100, "{held}");
    assert!(f64::from(vain) < f64::from(asked) * 0.05, "{vain} of {asked}");
    assert!(f64::from(missed) < f64::from(held) * 0.25, "{missed} of {held}");
}

/// Guards against an upstream that restarted empty and is taken for a holder, and against others that
/// count as empty with it.
#[test]
fn a_restarted_upstream_fetches_from_the_others() {
    let outline = review(0);
    let mut index = PrefixCacheIndex::default();
    index.record(&placement(UpstreamTag(1), &outline), CACHE_TOKENS);
    index.record(&placement(UpstreamTag(2), &outline), CACHE_TOKENS);
    index.remove(UpstreamTag(1));
    assert_eq!(index.cached_tokens(UpstreamTag(1), &outline.shared, CACHE_TOKENS), 0);
    let all = |_: UpstreamTag| Some(CACHE_TOKENS);
    assert_eq!(index.best_source(&outline.shared, 0, all), Some((UpstreamTag(2), 5_382)));
}

/// Guards against memory that other VMs do not know of, and against more messages.
#[test]
fn short_prompts_are_announced_with_the_next_long_one() {
    let mut queue = PlacementQueue::default();
    let short = PromptOutline::parse("a:100,own:700").unwrap();
    queue.push(placement(UpstreamTag(1), &short));
    queue.push(placement(UpstreamTag(2), &short));
    queue.push(placement(UpstreamTag(1), &short));
    assert_eq!(queue.take(), []);
    queue.push(placement(UpstreamTag(1), &review(0)));
    let tokens = |queue: &mut PlacementQueue| -> Vec<u32> {
        queue.take().iter().map(|told| told.unshared_tokens).collect()
    };
    assert_eq!(tokens(&mut queue), [6_610 + 1_400]);
    queue.push(placement(UpstreamTag(1), &review(0)));
    queue.remove(UpstreamTag(2));
    queue.push(placement(UpstreamTag(2), &review(0)));
    assert_eq!(tokens(&mut queue), [6_610, 6_610]);
}
