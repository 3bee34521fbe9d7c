//! Suspected segments of prompts: which one is blamed for exits of upstreams, and what happens to
//! the segments, and to the requests, that were at the same upstreams.

use std::time::Duration;

use foldhaven_core::ids::ServiceName;
use foldhaven_core::opaque::affinity::{PromptOutline, UpstreamTag};
use foldhaven_core::opaque::peer_table::VmTag;
use foldhaven_core::opaque::request_fingerprint::RequestFingerprint;
use foldhaven_core::opaque::suspects::{
    RecordSource, SuspectPolicy, SuspectTable, SuspectUpdate, SuspectVerdict,
};
use proptest::prelude::*;

use crate::opaque_support::at;

/// Sends of a segment that all VMs together may make later than 5 s after its fifth exit.
const MAX_SENDS: usize = 3;
/// How long requests with a deadly segment come.
const LONG_TIME: Duration = Duration::from_secs(600);

fn segment(id: &str) -> RequestFingerprint {
    let service: ServiceName = "desk".parse().unwrap();
    RequestFingerprint::of_segment(&service, id)
}

fn table(vm: u32) -> SuspectTable {
    SuspectTable::with_policy(VmTag(vm), SuspectPolicy::SEGMENTS)
}

fn is_refused(table: &SuspectTable, id: &str, ms: u64) -> bool {
    table.peek_verdict(&segment(id), at(ms)) != SuspectVerdict::Allowed
}

/// Records exits of several upstreams with these segments in flight.
fn record_exits(table: &mut SuspectTable, upstreams: std::ops::Range<u32>, ids: &[&str], ms: u64) {
    for upstream in upstreams {
        for id in ids {
            table.record_exit(segment(id), UpstreamTag(upstream), at(ms));
        }
    }
}

fn send_all(updates: Vec<SuspectUpdate>, to: &mut SuspectTable, ms: u64) {
    for update in updates {
        to.merge_record(&update.record, RecordSource::Local, at(ms)).unwrap();
    }
}

/// Guards against a segment that is blamed only after the same segments, or for another service.
#[test]
fn a_segment_is_identified_by_its_id_and_service_alone() {
    let other: ServiceName = "other".parse().unwrap();
    assert_ne!(segment("a"), RequestFingerprint::of_segment(&other, "a"));
    assert_ne!(segment("a"), segment("b"));
    let ids = |text| PromptOutline::shared_ids(text).collect::<Vec<&str>>();
    assert_eq!(ids("5c1e:800, 91bd:410,e440:250"), ["5c1e", "91bd"]);
    assert_eq!(ids("e440:250"), [""; 0]);
    assert_eq!(ids(""), [""; 0]);
}

/// Guards against a route that is held back because its system prompt is at every upstream that
/// exits, also if all upstreams exit before any answer.
#[test]
fn a_segment_that_was_answered_is_not_blamed_for_exits_that_another_one_explains() {
    let mut table = table(1);
    table.record_success(segment("system"), at(0));
    record_exits(&mut table, 0..9, &["system", "deadly"], 1_000);
    assert!(is_refused(&table, "deadly", 1_001));
    assert!(!is_refused(&table, "system", 1_001));
}

/// Guards against blaming a segment that was never answered, if another one was at more exits.
#[test]
fn the_segment_at_most_of_the_exits_explains_them() {
    let mut table = table(1);
    record_exits(&mut table, 0..3, &["rare", "deadly"], 0);
    record_exits(&mut table, 3..4, &["deadly"], 10);
    assert!(is_refused(&table, "deadly", 20));
    assert!(!is_refused(&table, "rare", 20));
}

/// Guards against an exit that the refused segment explains and that still counts against whole
/// requests that were at the same upstreams.
#[test]
fn explained_exits_do_not_count_against_requests() {
    let mut segments = table(1);
    let mut requests = SuspectTable::new(VmTag(1));
    record_exits(&mut segments, 0..3, &["deadly"], 0);
    let victim = segment("stands for a request");
    (0..3).for_each(|it| drop(requests.record_exit(victim, UpstreamTag(it), at(0))));
    assert!(requests.is_refused(&victim));
    requests.set_explained_exits(segments.explained_exits().clone());
    assert!(!requests.is_refused(&victim));
    assert_eq!(requests.peek_verdict(&victim, at(10)), SuspectVerdict::Allowed);
    (3..6).for_each(|it| drop(requests.record_exit(victim, UpstreamTag(it), at(20))));
    assert!(requests.is_refused(&victim), "of its own");
}

/// Guards against two deadly segments of which one hides the other.
#[test]
fn two_deadly_segments_are_both_refused() {
    let mut table = table(1);
    table.record_success(segment("system"), at(0));
    record_exits(&mut table, 0..4, &["system", "first"], 100);
    record_exits(&mut table, 4..8, &["system", "second"], 200);
    assert!(is_refused(&table, "first", 300) && is_refused(&table, "second", 300));
    assert!(!is_refused(&table, "system", 300));
}

/// Guards against a segment that was sound, and crashes upstreams since, and is never refused.
#[test]
fn a_segment_that_becomes_deadly_is_refused() {
    let mut table = table(1);
    table.record_success(segment("was-sound"), at(0));
    record_exits(&mut table, 0..10, &["was-sound"], 1_000);
    assert!(is_refused(&table, "was-sound", 1_010));
}

/// Guards against a segment that stays refused although it is harmless.
#[test]
fn an_answer_exonerates_a_segment() {
    let mut table = table(1);
    record_exits(&mut table, 0..3, &["blamed-wrongly"], 0);
    assert!(is_refused(&table, "blamed-wrongly", 10));
    let probe_at = (1..40_000).find(|ms| {
        table.peek_verdict(&segment("blamed-wrongly"), at(*ms)) == SuspectVerdict::Probe
    });
    assert!(probe_at.is_some_and(|ms| (15_000..=30_000).contains(&ms)), "{probe_at:?}");
    table.record_success(segment("blamed-wrongly"), at(30_000));
    assert!(!is_refused(&table, "blamed-wrongly", 30_001));
}

/// Guards against probes that add up over VMs and over time, while requests with a deadly segment
/// come to all VMs all the time.
#[test]
fn probes_of_all_vms_are_few_for_a_long_time() {
    const VMS: u32 = 20;
    let mut tables: Vec<SuspectTable> = (0..VMS).map(table).collect();
    let mut upstream = 0;
    let mut sends: Vec<u64> = Vec::new();
    for ms in (0..LONG_TIME.as_millis() as u64).step_by(20) {
        let vm = (ms / 20 % u64::from(VMS)) as usize;
        let verdict = tables[vm].decide(&segment("deadly"), at(ms));
        if !matches!(verdict, SuspectVerdict::Refused { .. }) {
            sends.push(ms);
            upstream += 1;
            tables[vm].record_exit(segment("deadly"), UpstreamTag(upstream), at(ms));
        }
        let updates = tables[vm].take_updates();
        for (_, other) in tables.iter_mut().enumerate().filter(|(at, _)| *at != vm) {
            send_all(updates.clone(), other, ms);
        }
    }
    let fifth = sends.get(4).copied().unwrap_or_else(|| *sends.last().unwrap());
    let late = sends.iter().filter(|ms| **ms > fifth + 5_000).count();
    println!("sent at {sends:?} ms");
    assert!(late <= MAX_SENDS, "{late} sends later");
}

proptest! {
    /// Guards against VMs that blame different segments because the news came in another order.
    #[test]
    fn the_blamed_segment_does_not_depend_on_the_order_of_news(
        exits in proptest::collection::vec((0_u32..8, 0_usize..4), 1..24),
        order in Just((0..24_usize).collect::<Vec<usize>>()).prop_shuffle(),
    ) {
        let ids = ["a", "b", "c", "d"];
        let mut first = table(1);
        let mut second = table(2);
        for (upstream, id) in &exits {
            first.record_exit(segment(ids[*id]), UpstreamTag(*upstream), at(0));
        }
        for index in order.into_iter().filter(|index| *index < exits.len()) {
            let (upstream, id) = exits[index];
            second.record_exit(segment(ids[id]), UpstreamTag(upstream), at(0));
        }
        for id in ids {
            prop_assert_eq!(first.is_refused(&segment(id)), second.is_refused(&segment(id)));
        }
        prop_assert_eq!(first.explained_exits(), second.explained_exits());
    }
}
