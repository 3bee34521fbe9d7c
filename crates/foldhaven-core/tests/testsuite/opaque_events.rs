//! A stream of which events are missing is found out by its ids, and streams that are numbered otherwise are left alone.

use foldhaven_core::opaque::event_sequence::{
    EventGap, EventNumbering, EventSequenceChecker, LearnedNumbering,
};

const EVEN: EventNumbering = EventNumbering { first: 1, step: 1 };

fn take_all(
    mut order: EventSequenceChecker,
    ids: &[u64],
) -> Result<EventSequenceChecker, EventGap> {
    for id in ids {
        order.check(&id.to_string())?;
    }
    Ok(order)
}

/// What arrived of a stream that was forwarded over a link that was cut for three seconds.
#[test]
fn events_that_are_missing_in_the_middle_are_found_out() {
    let order = EventSequenceChecker::new(Some(EVEN), None);
    assert!(take_all(order, &[1, 2, 3]).is_ok());
    assert!(take_all(order, &[1, 2, 3, 77]).is_err());
    assert!(take_all(order, &[2]).is_err(), "the first one is missing");
    assert!(take_all(order, &[1, 2, 2]).is_err(), "one came twice");
}

#[test]
fn a_resumed_stream_goes_on_after_the_event_that_was_passed_on_last() {
    let order = EventSequenceChecker::new(Some(EVEN), Some("7"));
    assert!(take_all(order, &[8, 9]).is_ok());
    assert!(take_all(order, &[9]).is_err());
    assert!(take_all(order, &[7]).is_err());
}

#[test]
fn a_long_even_stream_is_judged_by_itself() {
    let ids: Vec<u64> = (1..=9).map(|id| id * 13).collect();
    let order = take_all(EventSequenceChecker::new(None, None), &ids).unwrap();
    assert!(take_all(order, &[130]).is_ok());
    assert!(take_all(order, &[143]).is_err());
}

#[test]
fn streams_that_are_not_numbered_evenly_break_nothing() {
    let order = take_all(EventSequenceChecker::new(None, None), &[1, 2, 5, 6, 11]).unwrap();
    assert_eq!(order.numbering(), None);
    let mut named = EventSequenceChecker::new(None, None);
    assert!(["a", "b", "b"].iter().all(|id| named.check(id).is_ok()));
    let mut usual = LearnedNumbering::default();
    (0..5).for_each(|_| usual.record_stream(order.numbering()));
    assert_eq!(usual.numbering(), None);
}

/// An upstream of another version may number its events otherwise: one stream suffers, not all.
#[test]
fn what_is_usual_is_learnt_and_forgotten() {
    let whole = take_all(EventSequenceChecker::new(None, None), &[1, 2, 3]).unwrap();
    let mut usual = LearnedNumbering::default();
    usual.record_stream(whole.numbering());
    usual.record_stream(whole.numbering());
    assert_eq!(usual.numbering(), None, "two streams may be alike by chance");
    usual.record_stream(whole.numbering());
    assert_eq!(usual.numbering(), Some(EVEN));
    usual.reset();
    assert_eq!(usual.numbering(), None);
}
