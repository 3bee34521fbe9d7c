//! Requests under which upstreams ended: whom to blame, who is held back for how long, and how false blame heals.

use std::time::Duration;

use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::peer_table::VmTag;
use foldhaven_core::opaque::request_print::{PrintedParts, RequestPrint};
use foldhaven_core::opaque::suspects::{
    GuestBook, MAX_ENDS, NewsReach, RecordFault, RecordSource, SuspectRecord, SuspectTable,
    SuspectVerdict,
};
use foldhaven_core::time::MonoTime;
use proptest::prelude::*;
use rstest::rstest;

use crate::opaque_support::at;

fn print_of(body: &str) -> RequestPrint {
    let parts = PrintedParts { host: "desk", method: "POST", target: "/x", body: body.as_bytes() };
    RequestPrint::of(&parts)
}

fn table(vm: u32) -> SuspectTable {
    SuspectTable::new(VmTag(vm))
}

/// A table that knows of so many ends of a request.
fn blaming(print: RequestPrint, ends: u32, now: MonoTime) -> SuspectTable {
    let mut table = table(1);
    for upstream in 0..ends {
        table.note_end(print, UpstreamTag(upstream), now);
    }
    table
}

fn is_refused(verdict: SuspectVerdict) -> bool {
    matches!(verdict, SuspectVerdict::Refused { .. })
}

#[test]
fn a_fingerprint_tells_what_an_upstream_acts_on_and_nothing_else() {
    let parts = PrintedParts { host: "desk", method: "POST", target: "/x?q", body: b"body" };
    let print = RequestPrint::of(&parts);
    assert_eq!(print, RequestPrint::of(&PrintedParts { host: "DESK", ..parts }));
    for other in [
        PrintedParts { host: "desk2", ..parts },
        PrintedParts { method: "PUT", ..parts },
        PrintedParts { target: "/x", body: b"?qbody", ..parts },
        PrintedParts { target: "/x?r", ..parts },
        PrintedParts { body: b"Body", ..parts },
    ] {
        assert_ne!(print, RequestPrint::of(&other), "{other:?}");
    }
    assert_eq!(print.to_string().parse(), Ok(print));
    assert!("0".repeat(31).parse::<RequestPrint>().is_err());
}

#[rstest]
#[case::no_end(0, false)]
#[case::one_end(1, false)]
#[case::two_ends(2, false)]
#[case::three_ends(3, true)]
fn the_third_end_refuses_a_request(#[case] ends: u32, #[case] refused: bool) {
    let print = print_of("a");
    let mut table = blaming(print, ends, at(0));
    assert_eq!(is_refused(table.judge(&print, at(1))), refused);
    assert_eq!(table.judge(&print_of("b"), at(1)), SuspectVerdict::Free);
}

/// Ten VMs that lost connections to one upstream do not make ten ends of it.
#[test]
fn an_end_that_several_vms_saw_counts_once() {
    let print = print_of("a");
    let mut own = blaming(print, 1, at(0));
    for vm in 2..10 {
        let mut other = table(vm);
        other.note_end(print, UpstreamTag(0), at(0));
        for news in other.take_news() {
            own.hear(&news.record, RecordSource::Near, at(1)).unwrap();
        }
    }
    assert_eq!(own.ends(&print), 1);
}

#[test]
fn a_whole_answer_clears_a_request_everywhere() {
    let print = print_of("a");
    let mut blamed = blaming(print, 3, at(0));
    let mut other = table(2);
    for news in blamed.take_news() {
        other.hear(&news.record, RecordSource::Near, at(1)).unwrap();
    }
    // What it had sent on before it heard comes back whole.
    other.note_answered(print, at(2));
    for news in other.take_news() {
        blamed.hear(&news.record, RecordSource::Far, at(3)).unwrap();
    }
    assert_eq!(blamed.judge(&print, at(4)), SuspectVerdict::Free);
    // Late news of the ends before that change nothing.
    let late =
        SuspectRecord { ends: vec![UpstreamTag(8), UpstreamTag(9)], ..SuspectRecord::new(print) };
    assert_eq!(blamed.hear(&late, RecordSource::Near, at(5)), Ok(None));
    assert_eq!(blamed.ends(&print), 0);
}

/// A popular request is at many upstreams when they end; its answers of a moment ago speak for it, once each.
#[test]
fn an_earlier_answer_speaks_for_a_request_once() {
    let print = print_of("popular");
    let mut table = table(1);
    table.note_answered(print, at(0));
    table.note_end(print, UpstreamTag(1), at(10));
    table.note_end(print, UpstreamTag(2), at(20));
    assert_eq!(table.ends(&print), 0);
    for upstream in 3..6 {
        table.note_end(print, UpstreamTag(upstream), at(30));
    }
    assert!(is_refused(table.judge(&print, at(40))));
}

#[test]
fn the_second_end_lets_one_try_go_at_a_time() {
    let print = print_of("a");
    let mut first = blaming(print, 2, at(0));
    let mut second = table(2);
    let tell = |from: &mut SuspectTable, to: &mut SuspectTable, now| {
        for news in from.take_news() {
            to.hear(&news.record, RecordSource::Near, now).unwrap();
        }
    };
    tell(&mut first, &mut second, at(1));
    assert_eq!(first.judge(&print, at(2)), SuspectVerdict::Trial);
    assert!(is_refused(first.judge(&print, at(3))));
    tell(&mut first, &mut second, at(3));
    assert!(is_refused(second.judge(&print, at(4))));
    // The trial ends the third upstream.
    first.note_end(print, UpstreamTag(7), at(100));
    tell(&mut first, &mut second, at(101));
    assert!(is_refused(second.judge(&print, at(9_000))));
}

/// A refused request is tried now and then, so that false blame heals, and ever less often.
#[test]
fn trials_of_a_refused_request_grow_rare() {
    let print = print_of("a");
    let mut table = blaming(print, 3, at(0));
    let (mut now, mut trials) = (at(0), Vec::new());
    while trials.len() < 4 {
        now = now + Duration::from_millis(50);
        if table.judge(&print, now) == SuspectVerdict::Trial {
            table.note_end(print, UpstreamTag(50 + trials.len() as u32), now);
            trials.push(now);
        }
    }
    assert!(trials[0] >= at(10_000) && trials[0] <= at(20_050), "{trials:?}");
    let pauses: Vec<Duration> = trials.windows(2).map(|pair| pair[1].since(pair[0])).collect();
    assert!(pauses[0] >= Duration::from_secs(30) && pauses[1] >= Duration::from_secs(90));
}

#[test]
fn a_trial_that_reached_no_upstream_may_be_made_again() {
    let print = print_of("a");
    let mut table = blaming(print, 2, at(0));
    assert_eq!(table.judge(&print, at(1)), SuspectVerdict::Trial);
    table.end_trial(&print, false, at(5));
    assert_eq!(table.judge(&print, at(6)), SuspectVerdict::Trial);
    assert!(is_refused(table.judge(&print, at(7))));
}

/// Found by reading: once as many ends are kept as there can be, a trial that ended its upstream was taken for one that had
/// reached none, and the same VM tried again at once, each time that the request came.
#[rstest]
#[case::its_end_is_noticed_later(Some(TrialEnd::AfterIt))]
#[case::its_end_was_noticed_before(Some(TrialEnd::BeforeIt))]
#[case::its_caller_has_left(None)]
fn a_trial_that_was_sent_is_not_made_again_at_once(#[case] end: Option<TrialEnd>) {
    let print = print_of("a");
    let mut table = blaming(print, 4, at(0));
    let open = (0..)
        .map(|step| at(step * 50))
        .find(|now| table.judge(&print, *now) == SuspectVerdict::Trial);
    let open = open.expect("its turn comes");
    // Of more ends than are kept, the first ones in order stay.
    let last = UpstreamTag(99);
    if matches!(end, Some(TrialEnd::BeforeIt)) {
        table.note_end(print, last, open);
    }
    table.end_trial(&print, true, open);
    if matches!(end, Some(TrialEnd::AfterIt)) {
        table.note_end(print, last, open);
    }
    let again = (1..500).map(|step| open + Duration::from_millis(50 * step));
    assert!(
        again.into_iter().all(|now| is_refused(table.judge(&print, now))),
        "tried again within 25 s"
    );
}

/// When the end of a trial's upstream is noticed: before the trial is over, or after it.
enum TrialEnd {
    BeforeIt,
    AfterIt,
}

/// When many upstreams end at once, each VM has many victims of one end: these are told near by, and forbid nothing.
#[test]
fn one_end_is_told_in_its_region_only() {
    let print = print_of("a");
    let mut table = blaming(print, 1, at(0));
    let reach: Vec<NewsReach> = table.take_news().iter().map(|news| news.reach).collect();
    assert_eq!(reach, [NewsReach::Near]);
    assert!(table.next_repeated(at(1)).is_empty());
    table.note_end(print, UpstreamTag(9), at(1));
    let reach: Vec<NewsReach> = table.take_news().iter().map(|news| news.reach).collect();
    assert_eq!(reach, [NewsReach::Wide]);
    assert_eq!(table.next_repeated(at(1)).len(), 1);
    // What has not changed for a while goes with few rounds.
    let rounds = (0..16).filter(|_| !table.next_repeated(at(60_000)).is_empty());
    assert_eq!(rounds.count(), 2);
}

#[rstest]
#[case::near(RecordSource::Near, 0)]
#[case::far(RecordSource::Far, 1)]
fn only_what_came_from_another_region_is_passed_on(
    #[case] source: RecordSource,
    #[case] told: usize,
) {
    let record = SuspectRecord {
        ends: vec![UpstreamTag(1), UpstreamTag(2)],
        ..SuspectRecord::new(print_of("a"))
    };
    let mut table = table(1);
    table.hear(&record, source, at(0)).unwrap();
    assert_eq!(table.take_news().len(), told);
    table.hear(&record, source, at(1)).unwrap();
    assert!(table.take_news().is_empty(), "it is passed on once");
}

/// Found by a soak in which some upstreams answered what others ended under: each answer cleared it, and it was sent on
/// without end.
#[test]
fn a_request_that_some_upstreams_answer_and_others_end_under_is_held_back() {
    let print = print_of("a");
    let mut table = table(1);
    let (mut ends, mut sent_late) = (0, 0);
    for step in 0..2_400 {
        let now = at(step * 50);
        if is_refused(table.judge(&print, now)) {
            continue;
        }
        sent_late += u32::from(step > 100);
        match step % 2 {
            0 => {
                ends += 1;
                table.note_end(print, UpstreamTag(ends), now);
            }
            _ => drop(table.note_answered(print, now)),
        }
    }
    assert!(ends <= 20 && sent_late <= 12, "{ends} ends, {sent_late} sent late in two minutes");
}

#[rstest]
#[case::too_many(SuspectRecord { ends: (0..9).map(UpstreamTag).collect(), ..SuspectRecord::new(print_of("a")) })]
#[case::disordered(SuspectRecord { ends: vec![UpstreamTag(2), UpstreamTag(1)], ..SuspectRecord::new(print_of("a")) })]
#[case::doubled(SuspectRecord { ends: vec![UpstreamTag(2), UpstreamTag(2)], ..SuspectRecord::new(print_of("a")) })]
#[case::trials(SuspectRecord { trials: 255, ..SuspectRecord::new(print_of("a")) })]
#[case::pardons(SuspectRecord { pardons: u32::MAX, ..SuspectRecord::new(print_of("a")) })]
fn records_that_nobody_can_have_made_are_dropped(#[case] record: SuspectRecord) {
    let mut table = table(1);
    let fault: Result<_, RecordFault> = table.hear(&record, RecordSource::Near, at(0));
    assert!(fault.is_err());
    assert!(table.records().is_empty());
}

/// A caller that ends upstreams can make suspects, but cannot have one forgotten that others are held back by.
#[test]
fn a_flood_of_suspects_drops_those_with_the_fewest_ends() {
    let print = print_of("a");
    let mut table = blaming(print, 3, at(0));
    for number in 0..20_000 {
        table.note_end(print_of(&number.to_string()), UpstreamTag(1), at(number));
    }
    assert!(is_refused(table.judge(&print, at(100))));
    assert!(table.records().len() <= 4_096);
}

#[test]
fn victims_are_those_there_and_those_that_left_a_moment_ago() {
    let (mut book, now) = (GuestBook::default(), at(1_000));
    let harmless = book.enter(print_of("answered"));
    let old = book.enter(print_of("left long ago"));
    let left = book.enter(print_of("left"));
    book.enter(print_of("there"));
    book.enter(print_of("there"));
    book.leave_harmless(harmless);
    book.leave(old, at(100));
    book.leave(left, at(900));
    let mut victims = vec![print_of("left"), print_of("there")];
    victims.sort();
    assert_eq!(book.take_victims(now), victims);
    assert!(book.take_victims(now).is_empty());
}

fn records() -> impl Strategy<Value = SuspectRecord> {
    let ends = proptest::collection::btree_set(0_u32..8, 0..=MAX_ENDS);
    (0_u32..3, ends, 0_u8..3, 0_u8..9).prop_map(|(pardons, ends, trials, cleared)| SuspectRecord {
        pardons,
        cleared,
        ends: ends.into_iter().map(UpstreamTag).collect(),
        trials,
        ..SuspectRecord::new(print_of("a"))
    })
}

proptest! {
    /// VMs that hear the same in any order, and any number of times, believe the same.
    #[test]
    fn joining_depends_on_no_order(mut heard in proptest::collection::vec(records(), 1..6), again in 0_usize..6) {
        let joined = |records: &[SuspectRecord]| {
            let mut all = SuspectRecord::new(print_of("a"));
            for record in records {
                all.join(record);
            }
            all
        };
        let first = joined(&heard);
        prop_assert!(first.check().is_ok());
        heard.push(heard[again % heard.len()].clone());
        heard.reverse();
        prop_assert_eq!(joined(&heard), first);
    }
}
