//! Suspected requests: which requests are blamed for exits of upstreams, how long they are
//! quarantined, and how wrongly blamed ones recover.

use std::time::Duration;

use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::peer_table::VmTag;
use foldhaven_core::opaque::request_fingerprint::{FingerprintParts, RequestFingerprint};
use foldhaven_core::opaque::suspects::{
    InFlightRequests, RecordError, RecordSource, SuspectPolicy, SuspectRecord, SuspectTable,
    SuspectVerdict, UpdateScope,
};
use foldhaven_core::time::MonoTime;
use proptest::prelude::*;
use rstest::rstest;

use crate::opaque_support::at;

fn fingerprint_of(body: &str) -> RequestFingerprint {
    let parts =
        FingerprintParts { host: "desk", method: "POST", target: "/x", body: body.as_bytes() };
    RequestFingerprint::of(&parts)
}

fn table(vm: u32) -> SuspectTable {
    SuspectTable::new(VmTag(vm))
}

/// Returns a table with this number of exits of a request.
fn table_with_exits(fingerprint: RequestFingerprint, exits: u32, now: MonoTime) -> SuspectTable {
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
fn a_fingerprint_covers_only_what_an_upstream_acts_on() {
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
#[case::no_exit(0, false)]
#[case::one_exit(1, false)]
#[case::two_exits(2, false)]
#[case::three_exits(3, true)]
fn the_third_exit_refuses_a_request(#[case] exits: u32, #[case] refused: bool) {
    let fingerprint = fingerprint_of("a");
    let mut table = table_with_exits(fingerprint, exits, at(0));
    assert_eq!(is_refused(table.decide(&fingerprint, at(1))), refused);
    assert_eq!(table.decide(&fingerprint_of("b"), at(1)), SuspectVerdict::Allowed);
}

/// Ten VMs that lost connections to the same upstream count as one exit.
#[test]
fn an_exit_seen_by_several_vms_counts_once() {
    let fingerprint = fingerprint_of("a");
    let mut own = table_with_exits(fingerprint, 1, at(0));
    for vm in 2..10 {
        let mut other = table(vm);
        other.record_exit(fingerprint, UpstreamTag(0), at(0));
        for update in other.take_updates() {
            own.merge_record(&update.record, RecordSource::Local, at(1)).unwrap();
        }
    }
    assert_eq!(own.exit_count(&fingerprint), 1);
}

#[test]
fn a_complete_answer_exonerates_a_request_everywhere() {
    let fingerprint = fingerprint_of("a");
    let mut suspecting = table_with_exits(fingerprint, 3, at(0));
    let mut other = table(2);
    for update in suspecting.take_updates() {
        other.merge_record(&update.record, RecordSource::Local, at(1)).unwrap();
    }
    // A request that it sent before it received the record is answered completely.
    other.record_success(fingerprint, at(2));
    for update in other.take_updates() {
        suspecting.merge_record(&update.record, RecordSource::Remote, at(3)).unwrap();
    }
    assert_eq!(suspecting.decide(&fingerprint, at(4)), SuspectVerdict::Allowed);
    // Updates about earlier exits that arrive late change nothing.
    let late = SuspectRecord {
        exits: vec![UpstreamTag(8), UpstreamTag(9)],
        ..SuspectRecord::new(fingerprint)
    };
    assert_eq!(suspecting.merge_record(&late, RecordSource::Local, at(5)), Ok(None));
    assert_eq!(suspecting.exit_count(&fingerprint), 0);
}

/// A popular request is in flight at many upstreams when they exit; each of its recent answers
/// exonerates it once.
#[test]
fn an_earlier_answer_exonerates_a_request_once() {
    let fingerprint = fingerprint_of("popular");
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
fn after_the_second_exit_one_vm_probes_at_a_time() {
    let fingerprint = fingerprint_of("a");
    let mut first = table_with_exits(fingerprint, 2, at(0));
    let mut second = table(2);
    let exchange = |from: &mut SuspectTable, to: &mut SuspectTable, now| {
        for update in from.take_updates() {
            to.merge_record(&update.record, RecordSource::Local, now).unwrap();
        }
    };
    exchange(&mut first, &mut second, at(1));
    assert_eq!(first.decide(&fingerprint, at(2)), SuspectVerdict::Probe);
    assert!(is_refused(first.decide(&fingerprint, at(3))));
    exchange(&mut first, &mut second, at(3));
    assert!(is_refused(second.decide(&fingerprint, at(4))));
    // The probe crashes the third upstream.
    first.record_exit(fingerprint, UpstreamTag(7), at(100));
    exchange(&mut first, &mut second, at(101));
    assert!(is_refused(second.decide(&fingerprint, at(9_000))));
}

/// A refused request is probed occasionally, so that a wrongly blamed one recovers, with growing
/// delays.
#[test]
fn probes_of_a_refused_request_back_off() {
    let fingerprint = fingerprint_of("a");
    let mut table = table_with_exits(fingerprint, 3, at(0));
    let (mut now, mut probes) = (at(0), Vec::new());
    while probes.len() < 4 {
        now = now + Duration::from_millis(50);
        if table.decide(&fingerprint, now) == SuspectVerdict::Probe {
            table.record_exit(fingerprint, UpstreamTag(50 + probes.len() as u32), now);
            probes.push(now);
        }
    }
    assert!(probes[0] >= at(10_000) && probes[0] <= at(20_050), "{probes:?}");
    let delays: Vec<Duration> = probes.windows(2).map(|pair| pair[1].since(pair[0])).collect();
    assert!(delays[0] >= Duration::from_secs(30) && delays[1] >= Duration::from_secs(90));
}

#[test]
fn a_probe_that_reached_no_upstream_may_be_repeated() {
    let fingerprint = fingerprint_of("a");
    let mut table = table_with_exits(fingerprint, 2, at(0));
    assert_eq!(table.decide(&fingerprint, at(1)), SuspectVerdict::Probe);
    table.finish_probe(&fingerprint, false, at(5));
    assert_eq!(table.decide(&fingerprint, at(6)), SuspectVerdict::Probe);
    assert!(is_refused(table.decide(&fingerprint, at(7))));
}

/// Guards against repeated probes: when a record held its maximum number of exits, a probe that
/// crashed its upstream was mistaken for one that had reached no upstream. The same VM then probed
/// again at once, each time that the request arrived.
#[rstest]
#[case::exit_noticed_later(Some(NoticedExit::AfterProbeEnds))]
#[case::exit_noticed_before(Some(NoticedExit::BeforeProbeEnds))]
#[case::caller_left(None)]
fn a_probe_that_was_sent_is_not_repeated_at_once(#[case] exit: Option<NoticedExit>) {
    let fingerprint = fingerprint_of("a");
    let mut table = table_with_exits(fingerprint, 4, at(0));
    let probed_at = (0..)
        .map(|step| at(step * 50))
        .find(|now| table.decide(&fingerprint, *now) == SuspectVerdict::Probe);
    let probed_at = probed_at.expect("its slot comes");
    // Of more exits than are kept, those with the lowest tags stay.
    let last = UpstreamTag(99);
    if matches!(exit, Some(NoticedExit::BeforeProbeEnds)) {
        table.record_exit(fingerprint, last, probed_at);
    }
    table.finish_probe(&fingerprint, true, probed_at);
    if matches!(exit, Some(NoticedExit::AfterProbeEnds)) {
        table.record_exit(fingerprint, last, probed_at);
    }
    let repeated = (1..500).map(|step| probed_at + Duration::from_millis(50 * step));
    assert!(
        repeated.into_iter().all(|now| is_refused(table.decide(&fingerprint, now))),
        "probed again within 25 s"
    );
}

/// When the exit of a probe's upstream is noticed: before the probe is over, or after it.
enum NoticedExit {
    BeforeProbeEnds,
    AfterProbeEnds,
}

/// When many upstreams exit at once, each VM has many requests with one exit. These are announced
/// in the region only and quarantine no request.
#[test]
fn a_single_exit_is_sent_within_its_region_only() {
    let fingerprint = fingerprint_of("a");
    let mut table = table_with_exits(fingerprint, 1, at(0));
    let scope: Vec<UpdateScope> = table.take_updates().iter().map(|update| update.scope).collect();
    assert_eq!(scope, [UpdateScope::Region]);
    assert!(table.next_resent(at(1)).is_empty());
    table.record_exit(fingerprint, UpstreamTag(9), at(1));
    let scope: Vec<UpdateScope> = table.take_updates().iter().map(|update| update.scope).collect();
    assert_eq!(scope, [UpdateScope::Global]);
    assert_eq!(table.next_resent(at(1)).len(), 1);
    // Records that haven't changed for a while are resent in few rounds.
    let rounds = (0..16).filter(|_| !table.next_resent(at(60_000)).is_empty());
    assert_eq!(rounds.count(), 2);
}

#[rstest]
#[case::local(RecordSource::Local, 0)]
#[case::remote(RecordSource::Remote, 1)]
fn only_records_from_another_region_are_passed_on(
    #[case] source: RecordSource,
    #[case] expected_updates: usize,
) {
    let record = SuspectRecord {
        exits: vec![UpstreamTag(1), UpstreamTag(2)],
        ..SuspectRecord::new(fingerprint_of("a"))
    };
    let mut table = table(1);
    table.merge_record(&record, source, at(0)).unwrap();
    assert_eq!(table.take_updates().len(), expected_updates);
    table.merge_record(&record, source, at(1)).unwrap();
    assert!(table.take_updates().is_empty(), "it is passed on only once");
}

/// Guards against a request that some upstreams answer and that crashes others: if each answer
/// exonerates it, it is forwarded without end.
#[test]
fn a_request_that_crashes_only_some_upstreams_is_held_back() {
    let fingerprint = fingerprint_of("a");
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
    assert!(exits <= 20 && sent_late <= 12, "{exits} exits, {sent_late} late sends in two minutes");
}

#[rstest]
#[case::too_many(SuspectRecord { exits: (0..9).map(UpstreamTag).collect(), ..SuspectRecord::new(fingerprint_of("a")) })]
#[case::unordered(SuspectRecord { exits: vec![UpstreamTag(2), UpstreamTag(1)], ..SuspectRecord::new(fingerprint_of("a")) })]
#[case::duplicated(SuspectRecord { exits: vec![UpstreamTag(2), UpstreamTag(2)], ..SuspectRecord::new(fingerprint_of("a")) })]
#[case::probes(SuspectRecord { probes: 255, ..SuspectRecord::new(fingerprint_of("a")) })]
#[case::exonerations(SuspectRecord { exonerations: u32::MAX, ..SuspectRecord::new(fingerprint_of("a")) })]
fn impossible_records_are_rejected(#[case] record: SuspectRecord) {
    let mut table = table(1);
    let result: Result<_, RecordError> = table.merge_record(&record, RecordSource::Local, at(0));
    assert!(result.is_err());
    assert!(table.records().is_empty());
}

/// A caller that crashes upstreams can create suspects, but can't evict the record of a request
/// that is quarantined.
#[test]
fn eviction_drops_suspects_with_the_fewest_exits() {
    let fingerprint = fingerprint_of("a");
    let mut table = table_with_exits(fingerprint, 3, at(0));
    for number in 0..20_000 {
        table.record_exit(fingerprint_of(&number.to_string()), UpstreamTag(1), at(number));
    }
    assert!(is_refused(table.decide(&fingerprint, at(100))));
    assert!(table.records().len() <= 4_096);
}

#[test]
fn affected_requests_are_in_flight_or_left_recently() {
    let (mut requests, now) = (InFlightRequests::default(), at(1_000));
    let harmless = requests.insert(fingerprint_of("answered"));
    let old = requests.insert(fingerprint_of("left long ago"));
    let left = requests.insert(fingerprint_of("left"));
    requests.insert(fingerprint_of("there"));
    requests.insert(fingerprint_of("there"));
    requests.remove_harmless(harmless);
    requests.remove(old, at(100));
    requests.remove(left, at(900));
    let mut affected = vec![fingerprint_of("left"), fingerprint_of("there")];
    affected.sort();
    assert_eq!(requests.take_affected(now), affected);
    assert!(requests.take_affected(now).is_empty());
}

fn records() -> impl Strategy<Value = SuspectRecord> {
    let exits = proptest::collection::btree_set(0_u32..8, 0..=SuspectPolicy::REQUESTS.max_exits);
    (0_u32..3, exits, 0_u8..3, 0_u8..9).prop_map(|(exonerations, exits, probes, cleared_exits)| {
        SuspectRecord {
            exonerations,
            cleared_exits,
            exits: exits.into_iter().map(UpstreamTag).collect(),
            probes,
            ..SuspectRecord::new(fingerprint_of("a"))
        }
    })
}

proptest! {
    /// VMs that receive the same records in any order, and any number of times, end with the same
    /// record.
    #[test]
    fn merging_is_order_independent_and_idempotent(mut received in proptest::collection::vec(records(), 1..6), repeated in 0_usize..6) {
        let merge_all = |records: &[SuspectRecord]| {
            let mut all = SuspectRecord::new(fingerprint_of("a"));
            for record in records {
                all.merge(record, &SuspectPolicy::REQUESTS);
            }
            all
        };
        let first = merge_all(&received);
        prop_assert!(first.check(&SuspectPolicy::REQUESTS).is_ok());
        received.push(received[repeated % received.len()].clone());
        received.reverse();
        prop_assert_eq!(merge_all(&received), first);
    }
}
