//! The candidates drawn for a request among thousands of upstreams.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

use foldhaven_core::ids::UpstreamStartTime;
use foldhaven_core::opaque::affinity::{
    PrefixCacheIndex, PromptPlacement, PromptSegment, RingPosition, UpstreamTag,
};
use foldhaven_core::opaque::upstream_ring::{
    DrawQuery, KEYED_CANDIDATES, MAX_ALL_DRAWN, MAX_HOLDER_CANDIDATES, RANDOM_CANDIDATES,
    UpstreamRing,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// The upstreams of the largest region of a deployment of 584 VMs.
const LARGE_REGION: usize = 2_600;

fn position(number: usize) -> RingPosition {
    let name = format!("upstream-{number}").parse().unwrap();
    RingPosition::of(&name, UpstreamStartTime(7))
}

/// Returns a ring of upstreams that are named by their numbers.
fn ring(count: usize) -> UpstreamRing<usize> {
    let mut ring = UpstreamRing::default();
    (0..count).for_each(|number| ring.insert(position(number), number));
    ring
}

fn query(holders: &[UpstreamTag], random: u64) -> DrawQuery<'_> {
    DrawQuery { key: Some(0x1234_5678_9abc_def0), holders, random: RingPosition(random) }
}

/// Guards against requests that look at each upstream of a large region.
#[rstest]
#[case::the_fleet(LARGE_REGION)]
#[case::twice_its_size(2 * LARGE_REGION)]
fn a_draw_looks_at_as_many_upstreams_at_any_size(#[case] count: usize) {
    let ring = ring(count);
    let holders: Vec<UpstreamTag> = (0..100).map(|number| position(number).tag()).collect();
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..1_000 {
        let looks = Cell::new(0);
        let drawn = ring.draw(&query(&holders, rng.random()), |_| {
            looks.set(looks.get() + 1);
            true
        });
        let most = KEYED_CANDIDATES + MAX_HOLDER_CANDIDATES + RANDOM_CANDIDATES;
        assert!(looks.get() <= most, "{} looks", looks.get());
        assert!(drawn.upstreams.len() <= most);
        assert!(drawn.upstreams.len() >= RANDOM_CANDIDATES);
    }
}

/// Guards against VMs that prefer different upstreams for one affinity key.
#[test]
fn all_vms_draw_the_same_upstreams_for_a_key() {
    let ring = ring(LARGE_REGION);
    let keyed = |random: u64| -> Vec<usize> {
        let drawn = ring.draw(&query(&[], random), |_| true);
        assert_eq!(drawn.keyed, KEYED_CANDIDATES);
        drawn.upstreams[..drawn.keyed].iter().map(|number| **number).collect()
    };
    let first = keyed(0);
    assert!((1..50).all(|vm| keyed(vm << 57) == first));
}

/// Guards against an upstream that few draws reach, or that most of them reach.
#[test]
fn every_upstream_is_drawn_about_equally_often() {
    const DRAWS: usize = 20_000;
    let ring = ring(LARGE_REGION);
    let mut rng = StdRng::seed_from_u64(2);
    let mut counts: BTreeMap<usize, usize> = BTreeMap::new();
    for _ in 0..DRAWS {
        let draw = DrawQuery { key: None, holders: &[], random: RingPosition(rng.random()) };
        for number in ring.draw(&draw, |_| true).upstreams {
            *counts.entry(*number).or_default() += 1;
        }
    }
    let mean = DRAWS * RANDOM_CANDIDATES / LARGE_REGION;
    assert_eq!(counts.len(), LARGE_REGION);
    let outside = counts.values().filter(|count| **count < mean / 2 || **count > mean * 2).count();
    assert_eq!(outside, 0, "mean {mean}, {counts:?}");
}

/// Guards against small deployments that no longer compare all of their upstreams.
#[test]
fn all_upstreams_of_a_small_region_are_candidates() {
    let ring = ring(MAX_ALL_DRAWN);
    let drawn = ring.draw(&query(&[], 3), |number| *number != 5);
    let numbers: BTreeSet<usize> = drawn.upstreams.iter().map(|number| **number).collect();
    let expected: BTreeSet<usize> = (0..MAX_ALL_DRAWN).filter(|number| *number != 5).collect();
    assert_eq!(numbers, expected);
    assert_eq!(drawn.keyed, drawn.upstreams.len());
}

/// Guards against requests that miss the upstream which has their long prompt cached.
#[test]
fn upstreams_with_the_prompt_cached_are_candidates() {
    let ring = ring(LARGE_REGION);
    let holders = [position(17).tag(), position(2_000).tag(), position(LARGE_REGION + 1).tag()];
    let drawn = ring.draw(&query(&holders, 9), |number| *number != 2_000);
    assert!(drawn.upstreams.contains(&&17));
    assert!(!drawn.upstreams.contains(&&2_000), "it is not open");
    assert_eq!(ring.find(holders[2]), None, "it is not listed");
}

/// Guards against a published view that changes afterwards.
#[test]
fn a_copy_keeps_what_it_showed() {
    let mut ring = ring(LARGE_REGION);
    let copy = ring.clone();
    ring.remove(position(3));
    ring.insert(position(LARGE_REGION), LARGE_REGION);
    assert_eq!(copy.find(position(3).tag()), Some(&3));
    assert_eq!(copy.len(), LARGE_REGION);
    assert_eq!(ring.find(position(3).tag()), None);
}

/// Guards against memory that grows with the upstreams of a region for each popular segment.
#[rstest]
#[case::the_fleet(LARGE_REGION)]
#[case::twice_its_size(2 * LARGE_REGION)]
fn the_holders_of_a_segment_are_bounded(#[case] count: usize) {
    let segment = PromptSegment { key: 1, tokens: 55 };
    let mut index = PrefixCacheIndex::default();
    for number in 0..count {
        let upstream = position(number).tag();
        let placement = PromptPlacement { upstream, shared: vec![segment], unshared_tokens: 300 };
        index.record(&placement, 100_000);
    }
    let holders: Vec<UpstreamTag> = index.holders(&[segment]).collect();
    assert_eq!(holders.len(), 64);
    assert_eq!(holders[0], position(count - 1).tag(), "the most recent one comes first");
    assert_eq!(index.cached_tokens(holders[0], &[segment], 100_000), 55);
}

/// Guards against a prompt cache that is taken for that of a process which exited.
#[test]
fn an_upstream_that_exited_has_nothing_cached() {
    let segment = PromptSegment { key: 1, tokens: 55 };
    let upstream = position(1).tag();
    let placement = PromptPlacement { upstream, shared: vec![segment], unshared_tokens: 300 };
    let mut index = PrefixCacheIndex::default();
    index.record(&placement, 100_000);
    index.record(&placement, 100_000);
    index.remove(upstream);
    assert_eq!(index.cached_tokens(upstream, &[segment], 100_000), 0);
    index.record(&placement, 100_000);
    assert_eq!(index.cached_tokens(upstream, &[segment], 100_000), 55);
}
