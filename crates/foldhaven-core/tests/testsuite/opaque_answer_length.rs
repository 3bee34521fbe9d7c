//! How many tokens answers will probably have, also with hints that are absurd.

use foldhaven_core::opaque::answer_length::AnswerLengths;
use rstest::rstest;

const TOKENS_PER_EVENT: u32 = 10;
const MAX: u32 = 4_000;

/// Returns the lengths of a route after answers of 20 to 60 events, whose hints are off by a factor.
fn learned(error: f64) -> AnswerLengths {
    let mut lengths = AnswerLengths::default();
    for n in 0..400_u32 {
        let events = 20 + n % 5 * 10;
        let factor = [error, 1.0, 1.0 / error][n as usize % 3];
        let hint = f64::from(events * TOKENS_PER_EVENT) * factor;
        lengths.record(events, Some(hint as u32), MAX);
    }
    lengths
}

// Guards against room for the maximum that callers name, of which answers use a small part.
#[test]
fn the_usual_length_is_learned_from_hints() {
    let tokens = learned(1.3).expected(None, MAX);
    assert!((330..=420).contains(&tokens), "{tokens}");
    assert_eq!(learned(1.3).expected(None, 100), 100, "never more than the maximum");
    assert_eq!(AnswerLengths::default().expected(Some(50), MAX), MAX, "nothing is known yet");
}

// Guards against hints that are trusted although those of the route were far off, and against good
// ones that are not used.
#[test]
fn hints_count_by_how_far_they_were_off() {
    let good = learned(1.05).expected(Some(1_000), MAX);
    let poor = learned(4.0).expected(Some(1_000), MAX);
    assert!(good > 800, "{good}");
    assert!(poor < 550, "{poor}");
}

// Guards against hints of 0 or a billion that change what is held or learned. One that is not a
// number is read as none.
#[rstest]
#[case::none(None)]
#[case::zero(Some(0))]
#[case::a_billion(Some(1_000_000_000))]
fn an_absurd_hint_is_ignored(#[case] hint: Option<u32>) {
    let lengths = learned(1.1);
    assert_eq!(lengths.expected(hint, MAX), lengths.expected(None, MAX));
    assert_eq!(lengths.expected(hint, 0), lengths.expected(None, 0));
    let mut after = lengths;
    (0..100).for_each(|n| after.record(20 + n % 5 * 10, hint, MAX));
    let (before, after) = (lengths.expected(None, MAX), after.expected(None, MAX));
    assert!(before.abs_diff(after) < before / 10, "{before} {after}");
    assert_eq!(AnswerLengths::default().expected(hint, 0), 0);
}
