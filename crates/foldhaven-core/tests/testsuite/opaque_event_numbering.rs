//! What complete streams of a software version show about its event ids: missing events are found
//! once a regular numbering is known, and streams of any other numbering are passed on.

use foldhaven_core::ids::RouteName;
use foldhaven_core::opaque::event_sequence::{EventGap, EventSequenceChecker};
use foldhaven_core::opaque::numbering_table::{MAX_NUMBERINGS, NumberingKey, NumberingTable};
use foldhaven_core::opaque::peer_table::ServiceTag;
use foldhaven_core::opaque::software::SoftwareTag;
use proptest::prelude::*;

/// The number of complete streams after which a numbering is known.
const LEARNING_STREAMS: usize = 3;

fn key(route: &str, software: u32) -> NumberingKey {
    let route: RouteName = route.parse().unwrap();
    NumberingKey { route, service: ServiceTag(1), software: SoftwareTag(software) }
}

/// Checks the next ids of a stream as a VM does. Returns whether all are passed on.
fn pass_on(
    table: &mut NumberingTable,
    key: &NumberingKey,
    checker: &mut EventSequenceChecker,
    ids: &[u64],
) -> bool {
    ids.iter().all(|id| match checker.check(&id.to_string()) {
        Ok(()) => true,
        Err(EventGap::Repeated) => false,
        Err(EventGap::Missing) if table.confirm_gap(key, checker) => false,
        Err(EventGap::Missing) => {
            checker.expect_nothing();
            checker.check(&id.to_string()).is_ok()
        }
    })
}

/// Sends a whole stream. Returns whether it is passed on.
fn send(table: &mut NumberingTable, key: &NumberingKey, ids: &[u64]) -> bool {
    let mut checker = table.checker(key, None);
    let is_whole = pass_on(table, key, &mut checker, ids);
    if is_whole {
        table.record_stream(key, &checker);
    }
    is_whole
}

/// Returns the ids of a regular stream whose last step is shorter by `missing`.
fn regular(first: u64, step: u64, events: u64, missing: u64) -> Vec<u64> {
    let mut ids: Vec<u64> = (0..events).map(|event| first + event * step).collect();
    *ids.last_mut().unwrap() -= missing;
    ids
}

fn learned(key: &NumberingKey, ids: &[u64]) -> NumberingTable {
    let mut table = NumberingTable::default();
    for _ in 0..LEARNING_STREAMS {
        assert!(send(&mut table, key, ids));
    }
    table
}

/// Returns the ids that rise from `first` by these steps.
fn rising(first: u64, steps: &[u64]) -> Vec<u64> {
    let mut ids = vec![first];
    ids.extend(steps.iter().scan(first, |id, step| {
        *id += step;
        Some(*id)
    }));
    ids
}

proptest! {
    /// Guards against cutting streams of regular numberings, whatever their lengths and last steps.
    #[test]
    fn regular_streams_are_passed_on(
        first in 0..1_000_u64,
        step in 1..500_u64,
        streams in prop::collection::vec((2..40_u64, any::<prop::sample::Index>()), 1..60),
    ) {
        let key = key("chat", 1);
        let mut table = NumberingTable::default();
        for (events, shorter) in streams {
            let ids = regular(first, step, events, shorter.index(step as usize) as u64);
            prop_assert!(send(&mut table, &key, &ids), "{ids:?}");
        }
    }

    /// Guards against passing on a stream of a known numbering that lacks events before its last.
    #[test]
    fn missing_events_of_a_known_numbering_are_found(
        first in 0..1_000_u64,
        step in 1..500_u64,
        events in 3..40_u64,
        shorter in any::<prop::sample::Index>(),
        removed in any::<prop::sample::Index>(),
        count in 1..8_usize,
    ) {
        let key = key("chat", 1);
        let mut table = learned(&key, &regular(first, step, events, 0));
        let mut ids = regular(first, step, events, shorter.index(step as usize) as u64);
        let start = removed.index(ids.len() - 1);
        let end = (start + count).min(ids.len() - 1);
        ids.drain(start..end);
        prop_assert!(!send(&mut table, &key, &ids), "{ids:?}");
    }

    /// Guards against cutting streams of irregular numberings.
    #[test]
    fn irregular_streams_are_passed_on(
        streams in prop::collection::vec(
            (0..50_u64, prop::collection::vec(1..1_000_u64, 1..30)), 1..60,
        ),
    ) {
        let key = key("chat", 1);
        let mut table = NumberingTable::default();
        for (first, steps) in streams {
            let ids = rising(first, &steps);
            prop_assert!(send(&mut table, &key, &ids), "{ids:?}");
        }
    }

    /// Guards against cutting streams again and again if a version is irregular at times only.
    #[test]
    fn few_streams_are_cut_while_an_irregular_numbering_is_learned(
        odd_share in 0.002..0.5_f64,
        draws in prop::collection::vec((3..12_usize, 0..1_u64, any::<u64>()), 2_000),
    ) {
        let key = key("chat", 1);
        let mut table = NumberingTable::default();
        let mut cut = 0;
        for (events, first, draw) in draws {
            // One step of such a stream is twice as long as the others.
            let is_odd = (draw % 10_000) as f64 / 10_000.0 < odd_share;
            let odd_at = (draw / 10_000) as usize % events;
            let steps: Vec<u64> =
                (0..events).map(|at| 1 + u64::from(is_odd && at == odd_at)).collect();
            cut += u32::from(!send(&mut table, &key, &rising(first, &steps)));
        }
        prop_assert!(cut <= 6, "{cut} streams were cut");
    }
}

/// Guards against an overflow when the expected id of the event after the largest id is told.
#[test]
fn the_largest_id_has_no_next_one() {
    let key = key("chat", 1);
    let mut table = learned(&key, &[1, 2, 3]);
    let mut checker = table.checker(&key, None);
    assert!(pass_on(&mut table, &key, &mut checker, &[1, 2]));
    checker.expect_nothing();
    assert!(checker.check(&u64::MAX.to_string()).is_ok());
    assert_eq!(checker.max_expected_id(), Some(u64::MAX));
}

/// Guards against doubting a numbering because a gap was confirmed by it, so that what follows the
/// next gap is no longer held back.
#[test]
fn a_confirmed_gap_leaves_the_numbering_expected() {
    let key = key("chat", 1);
    let mut table = learned(&key, &[1, 2, 3]);
    for _ in 0..3 {
        let mut checker = table.checker(&key, None);
        assert_eq!(checker.check("1"), Ok(()));
        assert_eq!(checker.check("7"), Err(EventGap::Missing));
        assert!(table.suspects_gap(&key, &checker));
        table.confirm_gap(&key, &checker);
    }
}

/// Guards against an id that does not rise, which no numbering permits.
#[test]
fn repeated_events_are_found_without_learning() {
    let key = key("chat", 1);
    let mut table = NumberingTable::default();
    for ids in [[1, 2, 2], [4, 9, 7], [0, 0, 1]] {
        assert!(!send(&mut table, &key, &ids), "{ids:?}");
    }
}

/// Guards against judging one version by the numbering of another one, or before it was seen.
#[test]
fn versions_are_judged_by_their_own_streams() {
    let (old, new) = (key("chat", 1), key("chat", 2));
    let mut table = learned(&old, &[1, 2, 3, 4]);
    for _ in 0..LEARNING_STREAMS {
        assert!(send(&mut table, &new, &[0, 6, 12, 14]));
    }
    assert!(send(&mut table, &old, &[1, 2, 3, 4]));
    assert!(!send(&mut table, &new, &[0, 12, 14]));
    assert!(!send(&mut table, &old, &[1, 2, 4]));
}

/// Guards against a gap that is inferred from one stream of a version, without any complete one.
#[test]
fn a_long_first_stream_shows_no_gap() {
    let key = key("chat", 1);
    let mut table = NumberingTable::default();
    let ids: Vec<u64> = (1..=20).chain([22, 23]).collect();
    assert!(send(&mut table, &key, &ids));
}

/// Guards against the gaps of a long stream that began before its numbering was known.
#[test]
fn a_stream_opened_before_its_numbering_was_known_is_checked() {
    let key = key("chat", 1);
    let mut table = NumberingTable::default();
    let mut checker = table.checker(&key, None);
    assert!(pass_on(&mut table, &key, &mut checker, &[1, 2, 3, 4, 5, 6, 7, 8, 9, 10]));
    for _ in 0..LEARNING_STREAMS {
        assert!(send(&mut table, &key, &[1, 2, 3, 4]));
    }
    assert!(!pass_on(&mut table, &key, &mut checker, &[14]));
}

/// Guards against learning from streams whose version is unknown, which may be any.
#[test]
fn nothing_is_learned_of_unknown_software() {
    let key = key("chat", SoftwareTag::UNKNOWN.0);
    let mut table = learned(&key, &[1, 2, 3, 4]);
    assert!(table.is_empty());
    assert!(send(&mut table, &key, &[0, 1, 5, 6]));
    assert!(!send(&mut table, &key, &[3, 3]));
}

/// Guards against cutting more than one stream when a version numbers its events otherwise than it
/// did, those that were open before included.
#[test]
fn a_numbering_that_changes_cuts_one_stream() {
    let key = key("chat", 1);
    let mut table = learned(&key, &[0, 1, 2, 3]);
    (0..1_000).for_each(|_| assert!(send(&mut table, &key, &[0, 1, 2, 3])));
    let mut open = [table.checker(&key, None); 10];
    let cut = open.iter_mut().filter_map(|checker| {
        let is_whole = pass_on(&mut table, &key, checker, &[1, 2, 3, 4]);
        is_whole.then(|| table.record_stream(&key, checker)).is_none().then_some(())
    });
    assert_eq!(cut.count(), 1);
    (0..100).for_each(|_| assert!(send(&mut table, &key, &[1, 2, 3, 4])));
}

/// Guards against finding only the first of the gaps that a partition leaves in many streams.
#[test]
fn a_burst_of_gaps_is_found() {
    let key = key("chat", 1);
    let mut table = learned(&key, &[1, 2, 3, 4]);
    (0..100).for_each(|_| assert!(send(&mut table, &key, &[1, 2, 3, 4])));
    let mut open = [table.checker(&key, None); 10];
    for checker in &mut open {
        assert!(pass_on(&mut table, &key, checker, &[1, 2, 3]));
    }
    for checker in &mut open {
        assert!(!pass_on(&mut table, &key, checker, &[77]));
    }
    assert!(send(&mut table, &key, &[1, 2, 3, 4]));
    assert!(!send(&mut table, &key, &[1, 2, 77]), "the numbering is known again");
}

/// Guards against breaking a stream off again after it was resumed, if the same id follows.
#[test]
fn the_same_id_after_a_resumption_shows_that_nothing_is_missing() {
    let key = key("chat", 1);
    let mut table = learned(&key, &[1, 2, 3, 4]);
    let mut checker = table.checker(&key, None);
    assert!(pass_on(&mut table, &key, &mut checker, &[1, 2]));
    assert!(!pass_on(&mut table, &key, &mut checker, &[5]));
    checker.record_suspected("5");
    let mut other_id = checker;
    assert!(pass_on(&mut table, &key, &mut checker, &[5, 6, 9]));
    assert!(pass_on(&mut table, &key, &mut other_id, &[3, 4]));
    let restarted = checker.restarted(table.checker(&key, None));
    assert_eq!(restarted.numbering(), None);
}

/// Guards against cutting a stream that is resumed at the version that began it.
#[test]
fn a_resumed_stream_is_checked_by_the_step_alone() {
    let key = key("chat", 1);
    let mut table = learned(&key, &[6, 12, 18, 20]);
    for (ids, is_passed_on) in
        [([18, 24, 25], true), ([14, 15, 18], true), ([24, 30, 36], false), ([12, 18, 24], false)]
    {
        let mut checker = table.checker(&key, Some("12"));
        assert_eq!(pass_on(&mut table, &key, &mut checker, &ids), is_passed_on, "{ids:?}");
        table = learned(&key, &[6, 12, 18, 20]);
    }
}

/// Guards against memory that grows with the number of versions that were ever seen.
#[test]
fn the_number_of_numberings_is_bounded() {
    let mut table = NumberingTable::default();
    let versions = u32::try_from(MAX_NUMBERINGS).unwrap();
    let used = key("chat", 1);
    for (count, limit) in [(versions, MAX_NUMBERINGS), (2 * versions, MAX_NUMBERINGS)] {
        for software in 1..=count {
            assert!(send(&mut table, &key("chat", software), &[1, 2, 3]));
            assert!(send(&mut table, &used, &[1, 2, 3]));
        }
        assert!(table.len() <= limit && table.len() > limit / 2, "{}", table.len());
    }
    assert!(!send(&mut table, &used, &[1, 3, 4]), "what is in use is kept");
    assert!(send(&mut table, &key("chat", 2), &[1, 3, 4]), "what is old is dropped");
}
