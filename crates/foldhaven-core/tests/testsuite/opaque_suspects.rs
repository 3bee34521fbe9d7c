//! Requests under which upstreams ended: whom to blame, who is held back for how long, and how false blame heals.

use std::time::Duration;

use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::peer_table::VmTag;
use foldhaven_core::opaque::request_fingerprint::{FingerprintParts, RequestFingerprint};
use foldhaven_core::opaque::suspects::{
    InFlightRequests, MAX_EXITS, RecordError, RecordSource, SuspectRecord, SuspectTable,
    SuspectVerdict, UpdateScope,
};
use foldhaven_core::time::MonoTime;
use proptest::prelude::*;
use rstest::rstest;

use crate::opaque_support::at;

fn print_of(body: &str) -> RequestFingerprint {
    let parts =
        FingerprintParts { host: "desk", method: "POST", target: "/x", body: body.as_bytes() };
    RequestFingerprint::of(&parts)
}

fn table(vm: u32) -> SuspectTable {
    SuspectTable::new(VmTag(vm))
}

/// A table that knows of so many ends of a request.
fn blaming(fingerprint: RequestFingerprint, exits: u32, now: MonoTime) -> SuspectTable {
    let mut table = table(1);
    for upstream in 0..exits {
        table.record_exit(fingerprint, UpstreamTag(upstream), now);
    }
    table
}

fn is_refused(verdict: SuspectVerdict) -> bool {
    matches!(verdict, SuspectVerdict::Refused { .. })
}

#[test]
fn a_fingerprint_tells_what_an_upstream_acts_on_and_nothing_else() {
    let parts = FingerprintParts { host: "desk", method: "POST", target: "/x?q", body: b"body" };
    let fingerprint = RequestFingerprint::of(&parts);
    assert_eq!(fingerprint, RequestFingerprint::of(&FingerprintParts { host: "DESK", ..parts }));
    for other in [
        FingerprintParts { host: "desk2", ..parts },
        FingerprintParts { method: "PUT", ..parts },
        FingerprintParts { target: "/x", body: b"?qbody", ..parts },
        FingerprintParts { target: "/x?r", ..parts },
        FingerprintParts { body: b"Body", ..parts },
    ] {
        assert_ne!(fingerprint, RequestFingerprint::of(&other), "{other:?}");
    }
    assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    assert!("0".repeat(31).parse::<RequestFingerprint>().is_err());
}

#[rstest]
#[case::no_end(0, false)]
#[case::one_end(1, false)]
#[case::two_ends(2, false)]
#[case::three_ends(3, true)]
fn the_third_end_refuses_a_request(#[case] exits: u32, #[case] refused: bool) {
    let fingerprint = print_of("a");
    let mut table = blaming(fingerprint, exits, at(0));
    assert_eq!(is_refused(table.decide(&fingerprint, at(1))), refused);
    assert_eq!(table.decide(&print_of("b"), at(1)), SuspectVerdict::Allowed);
}

/// Ten VMs that lost connections to one upstream do not make ten ends of it.
#[test]
fn an_end_that_several_vms_saw_counts_once() {
    let fingerprint = print_of("a");
    let mut own = blaming(fingerprint, 1, at(0));
    for vm in 2..10 {
        let mut other = table(vm);
        other.record_exit(fingerprint, UpstreamTag(0), at(0));
        for news in other.take_updates() {
            own.merge_record(&news.record, RecordSource::Local, at(1)).unwrap();
        }
    }
    assert_eq!(own.exit_count(&fingerprint), 1);
}

#[test]
fn a_whole_answer_clears_a_request_everywhere() {
    let fingerprint = print_of("a");
    let mut blamed = blaming(fingerprint, 3, at(0));
    let mut other = table(2);
    for news in blamed.take_updates() {
        other.merge_record(&news.record, RecordSource::Local, at(1)).unwrap();
    }
    // What it had sent on before it heard comes back whole.
    other.record_success(fingerprint, at(2));
    for news in other.take_updates() {
        blamed.merge_record(&news.record, RecordSource::Remote, at(3)).unwrap();
    }
    assert_eq!(blamed.decide(&fingerprint, at(4)), SuspectVerdict::Allowed);
    // Late news of the ends before that change nothing.
    let late = SuspectRecord {
        exits: vec![UpstreamTag(8), UpstreamTag(9)],
        ..SuspectRecord::new(fingerprint)
    };
    assert_eq!(blamed.merge_record(&late, RecordSource::Local, at(5)), Ok(None));
    assert_eq!(blamed.exit_count(&fingerprint), 0);
}

/// A popular request is at many upstreams when they end; its answers of a moment ago speak for it, once each.
#[test]
fn an_earlier_answer_speaks_for_a_request_once() {
    let fingerprint = print_of("popular");
    let mut table = table(1);
    table.record_success(fingerprint, at(0));
    table.record_exit(fingerprint, UpstreamTag(1), at(10));
    table.record_exit(fingerprint, UpstreamTag(2), at(20));
    assert_eq!(table.exit_count(&fingerprint), 0);
    for upstream in 3..6 {
        table.record_exit(fingerprint, UpstreamTag(upstream), at(30));
    }
    assert!(is_refused(table.decide(&fingerprint, at(40))));
}

#[test]
fn the_second_end_lets_one_try_go_at_a_time() {
    let fingerprint = print_of("a");
    let mut first = blaming(fingerprint, 2, at(0));
    let mut second = table(2);
    let tell = |from: &mut SuspectTable, to: &mut SuspectTable, now| {
        for news in from.take_updates() {
            to.merge_record(&news.record, RecordSource::Local, now).unwrap();
        }
    };
    tell(&mut first, &mut second, at(1));
    assert_eq!(first.decide(&fingerprint, at(2)), SuspectVerdict::Probe);
    assert!(is_refused(first.decide(&fingerprint, at(3))));
    tell(&mut first, &mut second, at(3));
    assert!(is_refused(second.decide(&fingerprint, at(4))));
    // The trial ends the third upstream.
    first.record_exit(fingerprint, UpstreamTag(7), at(100));
    tell(&mut first, &mut second, at(101));
    assert!(is_refused(second.decide(&fingerprint, at(9_000))));
}

/// A refused request is tried now and then, so that false blame heals, and ever less often.
#[test]
fn trials_of_a_refused_request_grow_rare() {
    let fingerprint = print_of("a");
    let mut table = blaming(fingerprint, 3, at(0));
    let (mut now, mut probes) = (at(0), Vec::new());
    while probes.len() < 4 {
        now = now + Duration::from_millis(50);
        if table.decide(&fingerprint, now) == SuspectVerdict::Probe {
            table.record_exit(fingerprint, UpstreamTag(50 + probes.len() as u32), now);
            probes.push(now);
        }
    }
    assert!(probes[0] >= at(10_000) && probes[0] <= at(20_050), "{probes:?}");
    let pauses: Vec<Duration> = probes.windows(2).map(|pair| pair[1].since(pair[0])).collect();
    assert!(pauses[0] >= Duration::from_secs(30) && pauses[1] >= Duration::from_secs(90));
}

#[test]
fn a_trial_that_reached_no_upstream_may_be_made_again() {
    let fingerprint = print_of("a");
    let mut table = blaming(fingerprint, 2, at(0));
    assert_eq!(table.decide(&fingerprint, at(1)), SuspectVerdict::Probe);
    table.finish_probe(&fingerprint, false, at(5));
    assert_eq!(table.decide(&fingerprint, at(6)), SuspectVerdict::Probe);
    assert!(is_refused(table.decide(&fingerprint, at(7))));
}

/// Found by reading: once as many ends are kept as there can be, a trial that ended its upstream was taken for one that had
/// reached none, and the same VM tried again at once, each time that the request came.
#[rstest]
#[case::its_end_is_noticed_later(Some(TrialEnd::AfterIt))]
#[case::its_end_was_noticed_before(Some(TrialEnd::BeforeIt))]
#[case::its_caller_has_left(None)]
fn a_trial_that_was_sent_is_not_made_again_at_once(#[case] end: Option<TrialEnd>) {
    let fingerprint = print_of("a");
    let mut table = blaming(fingerprint, 4, at(0));
    let open = (0..)
        .map(|step| at(step * 50))
        .find(|now| table.decide(&fingerprint, *now) == SuspectVerdict::Probe);
    let open = open.expect("its turn comes");
    // Of more ends than are kept, the first ones in order stay.
    let last = UpstreamTag(99);
    if matches!(end, Some(TrialEnd::BeforeIt)) {
        table.record_exit(fingerprint, last, open);
    }
    table.finish_probe(&fingerprint, true, open);
    if matches!(end, Some(TrialEnd::AfterIt)) {
        table.record_exit(fingerprint, last, open);
    }
    let again = (1..500).map(|step| open + Duration::from_millis(50 * step));
    assert!(
        again.into_iter().all(|now| is_refused(table.decide(&fingerprint, now))),
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
    let fingerprint = print_of("a");
    let mut table = blaming(fingerprint, 1, at(0));
    let scope: Vec<UpdateScope> = table.take_updates().iter().map(|news| news.scope).collect();
    assert_eq!(scope, [UpdateScope::Region]);
    assert!(table.next_resent(at(1)).is_empty());
    table.record_exit(fingerprint, UpstreamTag(9), at(1));
    let scope: Vec<UpdateScope> = table.take_updates().iter().map(|news| news.scope).collect();
    assert_eq!(scope, [UpdateScope::Global]);
    assert_eq!(table.next_resent(at(1)).len(), 1);
    // What has not changed for a while goes with few rounds.
    let rounds = (0..16).filter(|_| !table.next_resent(at(60_000)).is_empty());
    assert_eq!(rounds.count(), 2);
}

#[rstest]
#[case::near(RecordSource::Local, 0)]
#[case::far(RecordSource::Remote, 1)]
fn only_what_came_from_another_region_is_passed_on(
    #[case] source: RecordSource,
    #[case] told: usize,
) {
    let record = SuspectRecord {
        exits: vec![UpstreamTag(1), UpstreamTag(2)],
        ..SuspectRecord::new(print_of("a"))
    };
    let mut table = table(1);
    table.merge_record(&record, source, at(0)).unwrap();
    assert_eq!(table.take_updates().len(), told);
    table.merge_record(&record, source, at(1)).unwrap();
    assert!(table.take_updates().is_empty(), "it is passed on once");
}

/// Found by a soak in which some upstreams answered what others ended under: each answer cleared it, and it was sent on
/// without end.
#[test]
fn a_request_that_some_upstreams_answer_and_others_end_under_is_held_back() {
    let fingerprint = print_of("a");
    let mut table = table(1);
    let (mut exits, mut sent_late) = (0, 0);
    for step in 0..2_400 {
        let now = at(step * 50);
        if is_refused(table.decide(&fingerprint, now)) {
            continue;
        }
        sent_late += u32::from(step > 100);
        match step % 2 {
            0 => {
                exits += 1;
                table.record_exit(fingerprint, UpstreamTag(exits), now);
            }
            _ => drop(table.record_success(fingerprint, now)),
        }
    }
    assert!(exits <= 20 && sent_late <= 12, "{exits} ends, {sent_late} sent late in two minutes");
}

#[rstest]
#[case::too_many(SuspectRecord { exits: (0..9).map(UpstreamTag).collect(), ..SuspectRecord::new(print_of("a")) })]
#[case::disordered(SuspectRecord { exits: vec![UpstreamTag(2), UpstreamTag(1)], ..SuspectRecord::new(print_of("a")) })]
#[case::doubled(SuspectRecord { exits: vec![UpstreamTag(2), UpstreamTag(2)], ..SuspectRecord::new(print_of("a")) })]
#[case::probes(SuspectRecord { probes: 255, ..SuspectRecord::new(print_of("a")) })]
#[case::exonerations(SuspectRecord { exonerations: u32::MAX, ..SuspectRecord::new(print_of("a")) })]
fn records_that_nobody_can_have_made_are_dropped(#[case] record: SuspectRecord) {
    let mut table = table(1);
    let fault: Result<_, RecordError> = table.merge_record(&record, RecordSource::Local, at(0));
    assert!(fault.is_err());
    assert!(table.records().is_empty());
}

/// A caller that ends upstreams can make suspects, but cannot have one forgotten that others are held back by.
#[test]
fn a_flood_of_suspects_drops_those_with_the_fewest_ends() {
    let fingerprint = print_of("a");
    let mut table = blaming(fingerprint, 3, at(0));
    for number in 0..20_000 {
        table.record_exit(print_of(&number.to_string()), UpstreamTag(1), at(number));
    }
    assert!(is_refused(table.decide(&fingerprint, at(100))));
    assert!(table.records().len() <= 4_096);
}

#[test]
fn victims_are_those_there_and_those_that_left_a_moment_ago() {
    let (mut book, now) = (InFlightRequests::default(), at(1_000));
    let harmless = book.insert(print_of("answered"));
    let old = book.insert(print_of("left long ago"));
    let left = book.insert(print_of("left"));
    book.insert(print_of("there"));
    book.insert(print_of("there"));
    book.remove_harmless(harmless);
    book.remove(old, at(100));
    book.remove(left, at(900));
    let mut victims = vec![print_of("left"), print_of("there")];
    victims.sort();
    assert_eq!(book.take_affected(now), victims);
    assert!(book.take_affected(now).is_empty());
}

fn records() -> impl Strategy<Value = SuspectRecord> {
    let exits = proptest::collection::btree_set(0_u32..8, 0..=MAX_EXITS);
    (0_u32..3, exits, 0_u8..3, 0_u8..9).prop_map(|(exonerations, exits, probes, cleared_exits)| {
        SuspectRecord {
            exonerations,
            cleared_exits,
            exits: exits.into_iter().map(UpstreamTag).collect(),
            probes,
            ..SuspectRecord::new(print_of("a"))
        }
    })
}

proptest! {
    /// VMs that hear the same in any order, and any number of times, believe the same.
    #[test]
    fn joining_depends_on_no_order(mut heard in proptest::collection::vec(records(), 1..6), again in 0_usize..6) {
        let joined = |records: &[SuspectRecord]| {
            let mut all = SuspectRecord::new(print_of("a"));
            for record in records {
                all.merge(record);
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
