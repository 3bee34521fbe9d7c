//! Missing events of a stream are detected by their ids; streams with irregular ids are not
//! rejected.

use foldhaven_core::opaque::event_sequence::{
    EventGap, EventNumbering, EventSequenceChecker, LearnedNumbering,
};

const CONSECUTIVE: EventNumbering = EventNumbering { first: 1, step: 1 };

fn check_all(
    mut checker: EventSequenceChecker,
    ids: &[u64],
) -> Result<EventSequenceChecker, EventGap> {
    for id in ids {
        checker.check(&id.to_string())?;
    }
    Ok(checker)
}

/// A stream that was forwarded over a link that was partitioned for three seconds lost events in
/// the middle.
#[test]
fn events_missing_in_the_middle_are_detected() {
    let checker = EventSequenceChecker::new(Some(CONSECUTIVE), None);
    assert!(check_all(checker, &[1, 2, 3]).is_ok());
    assert!(check_all(checker, &[1, 2, 3, 77]).is_err());
    assert!(check_all(checker, &[2]).is_err(), "the first event is missing");
    assert!(check_all(checker, &[1, 2, 2]).is_err(), "an event is repeated");
}

#[test]
fn a_resumed_stream_continues_after_the_last_forwarded_event() {
    let checker = EventSequenceChecker::new(Some(CONSECUTIVE), Some("7"));
    assert!(check_all(checker, &[8, 9]).is_ok());
    assert!(check_all(checker, &[9]).is_err());
    assert!(check_all(checker, &[7]).is_err());
}

#[test]
fn a_long_regular_stream_is_checked_by_its_own_step() {
    let ids: Vec<u64> = (1..=9).map(|id| id * 13).collect();
    let checker = check_all(EventSequenceChecker::new(None, None), &ids).unwrap();
    assert!(check_all(checker, &[130]).is_ok());
    assert!(check_all(checker, &[143]).is_err());
}

#[test]
fn irregular_streams_are_not_rejected() {
    let checker = check_all(EventSequenceChecker::new(None, None), &[1, 2, 5, 6, 11]).unwrap();
    assert_eq!(checker.numbering(), None);
    let mut named_ids = EventSequenceChecker::new(None, None);
    assert!(["a", "b", "b"].iter().all(|id| named_ids.check(id).is_ok()));
    let mut learned = LearnedNumbering::default();
    (0..5).for_each(|_| learned.record_stream(checker.numbering()));
    assert_eq!(learned.numbering(), None);
}

/// An upstream of another version may number its events differently. Then one stream fails, not all
/// of them.
#[test]
fn the_numbering_is_learned_and_forgotten() {
    let complete = check_all(EventSequenceChecker::new(None, None), &[1, 2, 3]).unwrap();
    let mut learned = LearnedNumbering::default();
    learned.record_stream(complete.numbering());
    learned.record_stream(complete.numbering());
    assert_eq!(learned.numbering(), None, "two streams may agree by chance");
    learned.record_stream(complete.numbering());
    assert_eq!(learned.numbering(), Some(CONSECUTIVE));
    learned.reset();
    assert_eq!(learned.numbering(), None);
}
