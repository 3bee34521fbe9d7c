//! Which upstreams hold which shared segments of prompts, and where the others get them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use foldhaven_core::opaque::affinity::{
    PrefixCacheIndex, PromptOutline, PromptPlacement, PromptSegment, UpstreamTag,
};
use foldhaven_core::opaque::choice::{
    ChoiceQuery, RequestCost, UpstreamCandidate, choose_upstream, price_upstreams,
};
use foldhaven_core::opaque::performance::ServicePerformance;
use foldhaven_core::opaque::prefix_use::{PrefixCause, PrefixUse};
use foldhaven_core::opaque::queue_capacity::QueueCapacity;

use crate::opaque_prompts::{CACHE_TOKENS, Draws, candidate, mixed, names, placement, review};

const UPSTREAMS: usize = 70;
const VMS: usize = 24;

fn query(outline: &PromptOutline, affinity_key: Option<u64>, draw: f64) -> ChoiceQuery {
    let shared_tokens = outline.shared_tokens();
    ChoiceQuery {
        target: Duration::from_millis(1_500),
        waited: Duration::ZERO,
        level: None,
        event_gap: None,
        events: 35.0,
        size: shared_tokens + outline.unshared_tokens + 3_500,
        shared_tokens,
        unshared_tokens: outline.unshared_tokens,
        affinity_key,
        report_age: Duration::from_millis(100),
        draw,
    }
}

/// Guards against a lost holder that makes the segments of all others move.
#[test]
fn only_the_segments_of_a_lost_holder_move() {
    let names = names(UPSTREAMS);
    let all: Vec<_> = names.iter().map(candidate).collect();
    let performance = ServicePerformance::default();
    let holder = |candidates: &[UpstreamCandidate<'_>], outline: &PromptOutline| {
        let query = query(outline, outline.affinity_key(), 0.4);
        let query = ChoiceQuery { report_age: Duration::ZERO, ..query };
        let choice = choose_upstream(candidates, &query, &performance).unwrap();
        candidates[choice.index].name.clone()
    };
    let remaining = &all[1..];
    let (mut moved, mut takers) = (0, BTreeSet::new());
    for session in 0..1_069 {
        let outline = review(session);
        let (before, after) = (holder(&all, &outline), holder(remaining, &outline));
        match before == names[0] {
            true => {
                moved += 1;
                takers.insert(after);
            }
            false => assert_eq!(before, after, "session {session}"),
        }
    }
    assert!(moved > 0 && takers.len() * 2 > moved, "{moved} to {}", takers.len());
}

/// Guards against reading a segment again because the upstream that has it can take no request.
#[test]
fn segments_are_fetched_from_a_full_upstream() {
    let names = names(2);
    let mut candidates: Vec<_> = names.iter().map(candidate).collect();
    candidates[0].cached_tokens = 5_382;
    candidates[0].queue.in_flight = 26;
    let mut queue_capacity = QueueCapacity::default();
    (0..20).for_each(|_| queue_capacity.record_refused(candidates[0].queue));
    let performance = ServicePerformance {
        fetch_tokens_per_s: 400_000.0,
        queue_capacity,
        ..ServicePerformance::default()
    };
    assert!(performance.queue_capacity.is_full(candidates[0].queue));
    let choice = choose_upstream(&candidates, &query(&review(0), None, 0.0), &performance).unwrap();
    assert_eq!((choice.index, choice.fetch_from, choice.prefill_tokens), (1, Some(0), 6_610));
    candidates[0].is_ejected = true;
    let choice = choose_upstream(&candidates, &query(&review(0), None, 0.0), &performance).unwrap();
    assert_eq!((choice.index, choice.fetch_from), (1, None));
}

/// Guards against copies of a segment that drive others out: a copy beside the preferred upstream
/// costs more than at it, but less than reading the segment.
#[test]
fn a_copy_is_cheapest_at_the_preferred_upstream() {
    let names = names(3);
    let mut candidates: Vec<_> = names.iter().map(candidate).collect();
    candidates[0].cached_tokens = 5_382;
    let performance =
        ServicePerformance { fetch_tokens_per_s: 400_000.0, ..ServicePerformance::default() };
    let key = (0..).find(|key| {
        let fresh: Vec<_> = names.iter().map(candidate).collect();
        let choice = choose_upstream(&fresh, &query(&review(0), Some(*key), 0.0), &performance);
        choice.unwrap().index == 1
    });
    let query = ChoiceQuery { report_age: Duration::ZERO, ..query(&review(0), key, 0.0) };
    let priced = price_upstreams(&candidates, &query, &performance);
    let cost_at = |index: usize| {
        let choice = priced.iter().find(|choice| choice.index == index).unwrap();
        choice.breakdown.repeated_prefill
    };
    assert!(cost_at(0) < cost_at(1) && cost_at(1) < cost_at(2), "{priced:?}");
    let read = RequestCost::of_repeated_prefill(5_382, query.size).0;
    assert!(cost_at(2) < read, "{} {read}", cost_at(2));
}

/// Guards against fetching from upstreams that may not be asked, or have evicted the segments.
#[test]
fn the_source_is_the_permitted_upstream_that_has_most() {
    let outline = review(0);
    let mut index = PrefixCacheIndex::default();
    let all = |_: UpstreamTag| Some(CACHE_TOKENS);
    assert_eq!(index.best_source(&outline.shared, 0, all), None);
    index.record(&placement(UpstreamTag(1), &outline), CACHE_TOKENS);
    index.record(&placement(UpstreamTag(2), &outline), CACHE_TOKENS);
    let but_second = |tag: UpstreamTag| (tag != UpstreamTag(2)).then_some(CACHE_TOKENS);
    assert_eq!(index.best_source(&outline.shared, 512, but_second), Some((UpstreamTag(1), 4_870)));
    assert_eq!(index.best_source(&outline.shared, 5_382, all), None, "nothing is lacking");
    (1..80)
        .for_each(|other| index.record(&placement(UpstreamTag(1), &review(other)), CACHE_TOKENS));
    let kept = index.best_source(&outline.shared, 0, but_second);
    assert_eq!(
        kept,
        Some((UpstreamTag(1), 512)),
        "others use the first segment, the second is evicted"
    );
    assert_eq!(index.best_source(&outline.shared, 512, but_second), None);
    assert_eq!(index.best_source(&outline.shared, 0, all), Some((UpstreamTag(2), 5_382)));
}

/// Guards against a log that names the wrong cause of a segment read again.
#[test]
fn the_cause_of_a_missing_segment_is_told() {
    let outline = review(0);
    let mut index = PrefixCacheIndex::default();
    let capacity_of = |tag: UpstreamTag| (tag != UpstreamTag(9)).then_some(CACHE_TOKENS);
    let cause = |index: &PrefixCacheIndex, missing, is_fetched| {
        PrefixUse::of(index, &outline.shared, missing, is_fetched, capacity_of).cause
    };
    assert_eq!(cause(&index, 5_382, false), PrefixCause::Unknown);
    assert_eq!(cause(&index, 0, true), PrefixCause::Fetched);
    index.record(&placement(UpstreamTag(9), &outline), CACHE_TOKENS);
    assert_eq!(cause(&index, 5_382, false), PrefixCause::OtherRegion);
    index.record(&placement(UpstreamTag(1), &outline), CACHE_TOKENS);
    assert_eq!(cause(&index, 5_382, false), PrefixCause::PassedOver);
    assert_eq!(cause(&index, 0, false), PrefixCause::Cached);
    (1..80)
        .for_each(|other| index.record(&placement(UpstreamTag(1), &review(other)), CACHE_TOKENS));
    assert_eq!(cause(&index, 5_382, false), PrefixCause::Evicted);
    let plain = PrefixUse::of(&index, &[], 0, false, capacity_of);
    assert_eq!(plain, PrefixUse::default());
}

/// The prompt cache of one upstream: the segments in the order of their last use, in tokens.
#[derive(Default)]
struct Cache {
    held: BTreeMap<u64, (u64, u64)>,
    by_use: BTreeMap<u64, u64>,
    tokens: u64,
}

impl Cache {
    /// Returns whether a segment was held, and holds it from now on.
    fn take(&mut self, key: u64, tokens: u64, at: u64) -> bool {
        let before = self.held.insert(key, (tokens, at));
        match before {
            Some((_, used)) => drop(self.by_use.remove(&used)),
            None => self.tokens += tokens,
        }
        self.by_use.insert(at, key);
        while self.tokens > CACHE_TOKENS * 3 / 4 {
            let (_, oldest) = self.by_use.pop_first().unwrap();
            self.tokens -= self.held.remove(&oldest).unwrap().0;
        }
        before.is_some()
    }
}

/// Guards against upstreams that evict what is needed soon: 1,069 sessions of long prompts and 3,243
/// of short ones over 70 upstreams and 24 VMs that hear of placements 0.1 s late.
#[test]
fn few_shared_tokens_are_read_again() {
    const PROMPTS: usize = 12_000;
    const PER_S: usize = 900;
    const HEARD_AFTER: usize = 90;
    let mut draws = Draws(5);
    let names = names(UPSTREAMS);
    let mut indices: Vec<PrefixCacheIndex> =
        (0..VMS).map(|_| PrefixCacheIndex::default()).collect();
    let mut caches: Vec<Cache> = (0..UPSTREAMS).map(|_| Cache::default()).collect();
    let mut running: Vec<VecDeque<usize>> = vec![VecDeque::new(); UPSTREAMS];
    let mut announced: VecDeque<(usize, usize, PromptPlacement)> = VecDeque::new();
    let mut known = BTreeSet::new();
    let performance = ServicePerformance::default();
    let (mut again, mut total) = (0_u64, 0_u64);
    let mut tick = 0;
    for step in 0..PROMPTS {
        while announced.front().is_some_and(|(due, _, _)| *due <= step) {
            let (_, sender, placement) = announced.pop_front().unwrap();
            let others = indices.iter_mut().enumerate().filter(|(vm, _)| *vm != sender);
            others.for_each(|(_, index)| index.record(&placement, CACHE_TOKENS));
        }
        let outline = mixed(&mut draws);
        let vm = draws.below(VMS);
        let candidates: Vec<_> = (0..UPSTREAMS)
            .map(|at| {
                running[at].retain(|end| *end > step);
                let tag = UpstreamTag(at as u32);
                let mut candidate = candidate(&names[at]);
                candidate.queue.in_flight = running[at].len() as u32;
                candidate.cached_tokens =
                    indices[vm].cached_tokens(tag, &outline.shared, CACHE_TOKENS);
                candidate
            })
            .collect();
        let query = query(&outline, outline.affinity_key(), draws.next());
        let choice = choose_upstream(&candidates, &query, &performance).unwrap();
        let is_long = outline.shared_tokens() > 4_000;
        let slot_time = if is_long { 2 * PER_S } else { PER_S / 5 };
        running[choice.index].push_back(step + slot_time);
        let placement = placement(UpstreamTag(choice.index as u32), &outline);
        indices[vm].record(&placement, CACHE_TOKENS);
        if outline.shared_tokens() >= 512 {
            announced.push_back((step + HEARD_AFTER, vm, placement));
        }
        let own = PromptSegment { key: step as u64, tokens: outline.unshared_tokens };
        for segment in outline.shared.iter().chain([&own]) {
            tick += 1;
            let tokens = u64::from(segment.tokens);
            let is_held = caches[choice.index].take(segment.key, tokens, tick);
            let is_known = !known.insert(segment.key);
            total += if is_held { 0 } else { tokens };
            again += if !is_held && is_known { tokens } else { 0 };
        }
    }
    let share = again as f64 / total as f64;
    assert!(share < 0.08, "{share}");
}
