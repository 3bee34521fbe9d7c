//! How many upstreams hold a shared segment, and what a VM takes for cached.

use std::collections::BTreeSet;
use std::time::Duration;

use foldhaven_core::ids::UpstreamStartTime;
use foldhaven_core::opaque::affinity::{
    PrefixCacheIndex, PromptOutline, PromptSegment, RingPosition, UpstreamTag,
};
use foldhaven_core::opaque::choice::{CandidateSample, ChoiceQuery, UpstreamCandidate};
use foldhaven_core::opaque::holder_plan::{MAX_PLANNED_HOLDERS, SegmentUses};
use foldhaven_core::opaque::performance::ServicePerformance;
use foldhaven_core::opaque::placement_queue::{MIN_ANNOUNCED_TOKENS, PlacementQueue};
use foldhaven_core::opaque::priority_level::PriorityLevel;
use foldhaven_core::opaque::upstream_ring::{DrawQuery, UpstreamRing};
use rstest::rstest;

use crate::opaque_prompts::{
    CACHE_TOKENS, Draws, candidate, check, mixed, names, placement, review,
};

/// The prompt caches of the upstreams of a region.
const REGION_TOKENS: u64 = 70 * CACHE_TOKENS * 4 / 5;

/// What a VM has counted after some prompts of the mix.
fn counted(seed: u64, prompts: usize) -> SegmentUses {
    let mut draws = Draws(seed);
    let mut uses = SegmentUses::default();
    for _ in 0..prompts {
        uses.record(&placement(UpstreamTag(1), &mixed(&mut draws)));
    }
    uses
}

fn planned(uses: &SegmentUses, outline: &PromptOutline, cache_tokens: u64) -> usize {
    uses.holders(outline.affinity_key().unwrap(), cache_tokens)
}

/// Guards against copies of segments that are too seldom used to stay cached, and against a single
/// holder for those that many requests share: rates and sizes of two classes at one VM.
#[test]
fn a_segment_has_as_many_holders_as_keep_it() {
    let uses = counted(3, 3_000);
    let sessions = (0..1_069).map(|session| planned(&uses, &review(session), REGION_TOKENS));
    let single = sessions.filter(|holders| *holders == 1).count();
    assert!(single > 1_000, "{single} sessions have one holder");
    for kind in 0..80 {
        let holders = planned(&uses, &check(kind), REGION_TOKENS);
        assert!((4..=MAX_PLANNED_HOLDERS).contains(&holders), "kind {kind}: {holders}");
    }
    let first = review(0).shared[0].key;
    assert_eq!(uses.holders(first, REGION_TOKENS), MAX_PLANNED_HOLDERS);
    assert_eq!(uses.holders(12_345, REGION_TOKENS), 1, "a segment that was never used");
}

/// Guards against more holders than the memory allows that running requests leave.
#[test]
fn less_memory_has_fewer_holders() {
    let uses = counted(3, 3_000);
    let sum = |tokens| (0..80).map(|kind| planned(&uses, &check(kind), tokens)).sum::<usize>();
    assert!(sum(REGION_TOKENS / 4) * 2 < sum(REGION_TOKENS));
    assert_eq!(sum(0), 80);
}

/// Guards against VMs that plan different holders since each has counted other requests.
#[test]
fn vms_with_different_counts_plan_nearly_the_same() {
    let (one, other) = (counted(3, 3_000), counted(8, 2_000));
    let agreeing = (0..80).filter(|kind| {
        let holders = |uses| planned(uses, &check(*kind), REGION_TOKENS);
        holders(&one).max(holders(&other)) <= 2 * holders(&one).min(holders(&other))
    });
    assert!(agreeing.count() > 70);
}

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

/// Returns the upstreams that get the requests of a kind, of which `holders` are planned.
fn chosen(candidates: &[UpstreamCandidate<'_>], kind: usize, holders: usize) -> BTreeSet<String> {
    let performance = ServicePerformance::default();
    let mut draws = Draws(7);
    let choices = (0..400).map(|number| {
        let query = query(&check(kind + 80 * number), draws.next());
        let sample = CandidateSample::of_all(candidates);
        let choice = sample.choose_planned(&query, &performance, holders).unwrap();
        candidates[choice.index].name.to_string()
    });
    choices.collect()
}

/// Guards against a lost holder that makes all holders of a segment move.
#[test]
fn one_other_takes_over_from_a_lost_holder() {
    let names = names(40);
    let all: Vec<_> = names.iter().map(candidate).collect();
    for kind in 0..20 {
        let before = chosen(&all, kind, 4);
        assert_eq!(before.len(), 4);
        let lost = before.first().unwrap();
        let left: Vec<_> = all.iter().copied().filter(|it| it.name.as_str() != lost).collect();
        let after = chosen(&left, kind, 4);
        let kept = before.intersection(&after).count();
        assert_eq!((after.len(), kept), (4, 3), "kind {kind}");
    }
}

/// Guards against a wait for planned holders: if none has room, the next upstream takes the request,
/// the same one for all.
#[test]
fn the_next_upstream_is_preferred_while_no_holder_has_room() {
    let names = names(40);
    let mut candidates: Vec<_> = names.iter().map(candidate).collect();
    let planned = chosen(&candidates, 5, 4);
    for candidate in &mut candidates {
        candidate.has_room = !planned.contains(candidate.name.as_str());
    }
    let next = chosen(&candidates, 5, 4);
    assert_eq!(next.len(), 1);
    assert!(next.is_disjoint(&planned));
}

/// Guards against VMs whose plans exclude each other: the holders of a smaller plan are among those of
/// a larger one.
#[rstest]
#[case::one(1, 2)]
#[case::two(2, 8)]
#[case::four(4, 16)]
fn a_smaller_plan_is_part_of_a_larger_one(#[case] smaller: usize, #[case] larger: usize) {
    let names = names(40);
    let candidates: Vec<_> = names.iter().map(candidate).collect();
    for kind in 0..8 {
        let few = chosen(&candidates, kind, smaller);
        assert!(few.is_subset(&chosen(&candidates, kind, larger)), "kind {kind}");
    }
}

/// Guards against a plan that changes choices of services without shared segments.
#[test]
fn prompts_without_shared_segments_have_no_plan() {
    let names = names(20);
    let mut candidates: Vec<_> = names.iter().map(candidate).collect();
    let performance = ServicePerformance::default();
    let mut draws = Draws(11);
    for _ in 0..500 {
        candidates.iter_mut().for_each(|it| it.queue.in_flight = draws.below(16) as u32);
        let query = query(&PromptOutline::parse("own:1800").unwrap(), draws.next());
        let sample = CandidateSample::of_all(&candidates);
        let usual = sample.choose(&query, &performance);
        assert_eq!(usual, sample.choose_planned(&query, &performance, MAX_PLANNED_HOLDERS));
    }
}

/// Guards against a choice that costs more the more upstreams or VMs there are: the holders and the
/// upstreams looked at, in a region that holds all upstreams of a fleet, with levels and a plan.
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
    let mut uses = SegmentUses::default();
    for _ in 0..vms * 100 {
        let upstream = UpstreamTag::of(&names[draws.below(count)], start);
        let placement = placement(upstream, &mixed(&mut draws));
        index.record(&placement, CACHE_TOKENS);
        uses.record(&placement);
    }
    let performance = ServicePerformance::default();
    for _ in 0..100 {
        let outline = mixed(&mut draws);
        let holders: Vec<UpstreamTag> = index.holders(&outline.shared).collect();
        assert!(holders.len() <= 64);
        let key = outline.affinity_key();
        let random = RingPosition(draws.below(usize::MAX) as u64);
        let drawn = ring.draw(&DrawQuery { key, holders: &holders, random }, |_| true);
        assert!(drawn.upstreams.len() <= 80 && drawn.keyed <= MAX_PLANNED_HOLDERS);
        let mut candidates: Vec<_> = drawn.upstreams.iter().map(|name| candidate(name)).collect();
        candidates.iter_mut().for_each(|it| it.queue.in_flight = draws.below(16) as u32);
        let query = ChoiceQuery {
            level: Some(PriorityLevel::LAST),
            report_age: Duration::from_secs(2),
            ..query(&outline, draws.next())
        };
        let sample = CandidateSample { candidates: &candidates, keyed: drawn.keyed };
        let planned = uses.holders(key.unwrap(), REGION_TOKENS);
        let without = sample.price(&query, &performance).len();
        let with = sample.price_planned(&query, &performance, planned).len();
        assert!(with <= without + MAX_PLANNED_HOLDERS, "{without} {with}");
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
fn short_prompts_are_told_with_the_next_long_one() {
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
