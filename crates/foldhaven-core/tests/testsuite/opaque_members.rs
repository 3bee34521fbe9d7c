//! What is believed of other VMs and of upstreams, from news that comes late, twice or not at all.

use std::time::Duration;

use foldhaven_core::ids::IncarnationId;
use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::load_share::{LoadBook, LoadReport, UpstreamShare, share_interval};
use foldhaven_core::opaque::peer_table::{
    AskedBeats, PeerPhase, PeerPulse, PeerTable, ServiceTag, ServiceWait, VmTag,
};
use foldhaven_core::opaque::region_book::{RegionBook, RegionReport};
use foldhaven_core::opaque::upstream_table::{UpstreamRecord, UpstreamTable};
use foldhaven_core::time::MonoTime;
use rstest::rstest;

use crate::opaque_support::beat;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(1_000_000 + millis)
}

fn table() -> PeerTable {
    table_of("own", 1)
}

/// The table of a process of a VM.
fn table_of(vm: &str, incarnation: u64) -> PeerTable {
    PeerTable::new(vm.parse().unwrap(), IncarnationId(incarnation), "north".parse().unwrap())
}

fn live(table: &PeerTable, now: MonoTime) -> Vec<String> {
    table.live(now).map(|beat| beat.vm.to_string()).collect()
}

#[test]
fn repeating_what_a_dead_vm_said_does_not_keep_it_alive() {
    let mut table = table();
    assert!(table.hear(beat("a", "north", 5), at(0)));
    for millis in (0..5_000).step_by(500) {
        table.hear(beat("a", "north", 5), at(millis));
        table.hear(beat("a", "north", 4), at(millis));
    }
    assert!(live(&table, at(5_000)).is_empty());
    assert!(table.hear(beat("a", "north", 6), at(5_000)), "its return is news");
    assert_eq!(live(&table, at(5_000)), ["a"]);
}

#[test]
fn a_later_lifetime_goes_before_any_sequence() {
    let mut table = table();
    table.hear(beat("a", "north", 900), at(0));
    let mut restarted = beat("a", "north", 1);
    restarted.incarnation = IncarnationId(2);
    assert!(table.hear(restarted, at(10)));
    assert!(!table.hear(beat("a", "north", 901), at(20)), "the earlier lifetime is over");
}

/// Lifetimes are named by the time of day. A VM whose clock was set back while it restarted was not
/// heard by the others until they had forgotten its earlier lifetime, for up to 30 seconds.
#[test]
fn a_process_that_starts_with_an_earlier_clock_is_heard_again() {
    let mut other = table_of("other", 1);
    let mut earlier = beat("own", "north", 40);
    earlier.incarnation = IncarnationId(9_000);
    other.hear(earlier, at(0));
    let mut restarted = table_of("own", 7_000);
    let mut first = beat("own", "north", 1);
    first.incarnation = restarted.incarnation();
    other.hear(first.clone(), at(8_000));
    let told = other.later_lifetime(&first.vm, first.incarnation).expect("it is told").clone();
    restarted.hear(told, at(8_010));
    let mut second = beat("own", "north", 2);
    second.incarnation = restarted.incarnation();
    assert!(other.hear(second.clone(), at(8_500)), "it is news");
    assert_eq!(live(&other, at(8_500)), ["own"]);
    assert!(other.later_lifetime(&second.vm, second.incarnation).is_none());
}

#[test]
fn a_pulse_of_an_earlier_lifetime_changes_nothing_and_one_of_a_later_is_outlived() {
    let mut table = table_of("own", 50);
    table.hear_pulse(pulse("own", 49, 3), at(0));
    assert_eq!(table.incarnation(), IncarnationId(50));
    table.hear_pulse(pulse("own", 60, 3), at(0));
    assert_eq!(table.incarnation(), IncarnationId(61));
}

#[test]
fn leaving_is_news_and_ones_own_heartbeat_is_none() {
    let mut table = table();
    table.hear(beat("a", "north", 1), at(0));
    assert!(!table.hear(beat("a", "north", 2), at(10)));
    let mut leaving = beat("a", "north", 3);
    leaving.phase = PeerPhase::Leaving;
    assert!(table.hear(leaving, at(20)));
    assert!(!table.hear(beat("own", "north", 1), at(30)));
    assert_eq!(table.assumed_count(), 2);
}

#[test]
fn silent_vms_still_count_where_limits_are_divided() {
    let mut table = table();
    table.hear(beat("a", "north", 1), at(0));
    table.forget(at(10_000));
    assert!(live(&table, at(10_000)).is_empty());
    assert_eq!(table.assumed_count(), 2);
    table.forget(at(60_000));
    assert_eq!(table.assumed_count(), 1);
}

fn pulse(vm: &str, incarnation: u64, sequence: u32) -> PeerPulse {
    PeerPulse {
        vm: VmTag::of(&vm.parse().unwrap()),
        incarnation: IncarnationId(incarnation),
        sequence,
        phase: PeerPhase::Serving,
        revision: 1,
        is_turned_away: false,
    }
}

#[test]
fn pulses_keep_known_vms_alive_and_make_unknown_ones_asked_for() {
    let mut table = table();
    table.hear(beat("a", "south", 1), at(0));
    assert_eq!(table.take_asks(), AskedBeats::All, "a process that has just started asks");
    assert_eq!(table.take_asks(), AskedBeats::Of(Vec::new()));
    let asked = |vm: &str| AskedBeats::Of(vec![VmTag::of(&vm.parse().unwrap())]);
    for step in 1..10 {
        table.hear_pulse(pulse("a", 1, 1 + step), at(u64::from(step) * 1_000));
    }
    assert_eq!(live(&table, at(10_000)), ["a"]);
    table.hear_pulse(pulse("unknown", 1, 1), at(10_000));
    assert_eq!(table.take_asks(), asked("unknown"));
    table.hear_pulse(pulse("a", 2, 1), at(10_000));
    assert_eq!(table.take_asks(), asked("a"), "a new lifetime may have other addresses");
}

#[test]
fn a_load_report_of_the_same_lifetime_is_a_sign_of_life() {
    let mut table = table();
    table.hear(beat("a", "north", 1), at(0));
    table.note_report(VmTag::of(&"a".parse().unwrap()), IncarnationId(1), at(2_000));
    table.note_report(VmTag::of(&"a".parse().unwrap()), IncarnationId(0), at(9_000));
    assert_eq!(live(&table, at(4_000)), ["a"]);
    assert!(live(&table, at(5_000)).is_empty(), "an earlier lifetime's report");
}

#[test]
fn far_vms_may_be_silent_for_longer() {
    let mut table = table();
    table.hear(beat("near", "north", 1), at(0));
    table.hear(beat("far", "south", 1), at(0));
    assert_eq!(live(&table, at(4_000)), ["far"]);
    assert!(live(&table, at(5_500)).is_empty());
}

#[test]
fn in_a_large_fleet_pulses_of_all_live_vms_go_round() {
    let mut table = table();
    for number in 0..60 {
        table.hear(beat(&format!("vm-{number}"), "north", 1), at(0));
    }
    let mut told = std::collections::BTreeSet::new();
    for _ in 0..3 {
        told.extend(table.relayed(at(100)).into_iter().map(|pulse| pulse.vm));
    }
    assert_eq!(told.len(), 60);
    assert!(table.relayed(at(10_000)).is_empty(), "silent ones are not told of");
}

/// Found on a deployment of 69 VMs: all of them turned to the same few VMs at a time, so that the
/// others were taken for dead meanwhile.
#[test]
fn vms_do_not_turn_to_the_same_few_at_a_time() {
    let names: Vec<String> = (0..60).map(|number| format!("vm-{number}")).collect();
    let mut hits = std::collections::BTreeMap::new();
    for own in &names {
        let mut table = table_of(own, 1);
        for name in names.iter().filter(|name| *name != own) {
            table.hear(beat(name, "north", 1), at(0));
        }
        for target in table.next_targets(at(0)).near {
            *hits.entry(target).or_insert(0) += 1;
        }
    }
    assert!(hits.len() > 40, "one round reaches {} of 60 VMs", hits.len());
    assert!(hits.values().all(|count| *count < 25), "{hits:?}");
}

/// Tables of all VMs of a region, in which those of `turned_away` say that the platform refuses them.
fn region(vms: usize, turned_away: &[usize]) -> Vec<(PeerTable, bool)> {
    let name = |at: usize| format!("vm-{at}");
    let told = |at: usize| {
        let mut beat = beat(&name(at), "north", 1);
        beat.is_turned_away = turned_away.contains(&at);
        beat
    };
    let table_of = |own: usize| {
        let mut table = table_of(&name(own), 1);
        (0..vms).filter(|at| *at != own).for_each(|at| assert!(table.hear(told(at), at_start())));
        (table, turned_away.contains(&own))
    };
    (0..vms).map(table_of).collect()
}

fn at_start() -> MonoTime {
    at(0)
}

#[rstest]
#[case::small_region(4, &[], 4)]
#[case::large_region(12, &[], 2)]
#[case::everybody_turned_away(12, &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11], 12)]
fn few_vms_of_a_large_region_read_the_platform(
    #[case] vms: usize,
    #[case] turned_away: &[usize],
    #[case] readers: usize,
) {
    let region = region(vms, turned_away);
    let reads = |(table, turned_away): &&(PeerTable, bool)| table.is_reader(*turned_away, at(100));
    assert_eq!(region.iter().filter(reads).count(), readers);
}

#[test]
fn others_read_when_the_platform_turns_the_readers_away() {
    let before = region(12, &[]);
    let readers: Vec<usize> =
        (0..12).filter(|at| before[*at].0.is_reader(false, at_start())).collect();
    let after = region(12, &readers);
    let well =
        (0..12).filter(|at| !readers.contains(at) && after[*at].0.is_reader(false, at_start()));
    assert_eq!(well.count(), 2);
}

#[rstest]
#[case::nobody(&[], false)]
#[case::one_vm_of_its_own(&[3], false)]
#[case::the_readers(&[3, 7], true)]
fn an_outage_is_believed_when_more_than_one_vm_tells_of_it(
    #[case] turned_away: &[usize],
    #[case] is_told: bool,
) {
    let region = region(12, turned_away);
    assert_eq!(region[0].0.hears_of_outage(at(100)), is_told);
    assert!(!region[0].0.hears_of_outage(at(9_000)), "silent VMs tell nothing");
}

#[test]
fn others_read_when_the_readers_are_silent() {
    let mut tables = region(12, &[]);
    let readers: Vec<usize> =
        (0..12).filter(|at| tables[*at].0.is_reader(false, at_start())).collect();
    for (own, (table, _)) in tables.iter_mut().enumerate() {
        for other in (0..12).filter(|other| *other != own && !readers.contains(other)) {
            table.hear(beat(&format!("vm-{other}"), "north", 2), at(4_000));
        }
    }
    let now_reading = |at_: &usize| tables[*at_].0.is_reader(false, at(4_000));
    let count = (0..12).filter(|own| !readers.contains(own)).filter(now_reading).count();
    assert_eq!(count, 2);
}

#[test]
fn every_vm_gets_a_heartbeat_in_its_turn() {
    let mut table = table();
    for number in 0..11 {
        table.hear(beat(&format!("vm-{number}"), "north", 1), at(0));
    }
    let mut reached = std::collections::BTreeSet::new();
    for _ in 0..3 {
        reached.extend(table.next_targets(at(0)).near);
    }
    assert_eq!(reached.len(), 11);
}

fn record(name: &str, leaving: bool, cold_ms: u64) -> UpstreamRecord {
    UpstreamRecord {
        name: name.parse().unwrap(),
        service: "desk".parse().unwrap(),
        address: "127.0.0.1:8080".parse().unwrap(),
        data_centre: "hall".parse().unwrap(),
        slots: 4,
        leaving,
        cold_for: Duration::from_millis(cold_ms),
    }
}

fn usable(table: &UpstreamTable) -> Vec<String> {
    table.usable().map(|entry| entry.record.name.to_string()).collect()
}

#[test]
fn unlisted_leaving_and_evacuated_upstreams_get_nothing() {
    let mut table = UpstreamTable::default();
    table.replace(vec![record("a", false, 0), record("b", true, 0), record("c", false, 0)], at(0));
    assert_eq!(usable(&table), ["a", "c"]);
    table.remove(&"a".parse().unwrap(), at(10));
    assert_eq!(usable(&table), ["c"]);
    table.set_evacuated(["hall".parse().unwrap()].into());
    assert!(usable(&table).is_empty());
}

/// An upstream that vanishes from the list right after the list's service was away may only have
/// failed to renew its entry.
#[rstest]
#[case::after_trouble(true, false, 2_000, true)]
#[case::for_too_long(true, false, 2_400, false)]
#[case::while_leaving(true, true, 100, false)]
#[case::without_trouble(false, false, 0, false)]
fn a_lapsed_entry_holds_for_a_while(
    #[case] disturbed: bool,
    #[case] leaving: bool,
    #[case] later: u64,
    #[case] is_used: bool,
) {
    let mut table = UpstreamTable::default();
    table.put(record("a", leaving, 0), at(0));
    if disturbed {
        table.note_disturbed(at(900));
    }
    table.replace(Vec::new(), at(1_000));
    table.expire(at(1_000 + later));
    assert_eq!(!usable(&table).is_empty(), is_used);
}

#[test]
fn a_whole_list_tells_what_it_changes() {
    let mut table = UpstreamTable::default();
    table.replace(vec![record("a", false, 0), record("b", false, 0)], at(0));
    let leaving = record("b", true, 0);
    let difference = table.replace(vec![leaving.clone(), record("c", false, 0)], at(10));
    assert_eq!(difference.listed, [leaving.clone(), record("c", false, 0)]);
    assert_eq!(difference.unlisted, ["a".parse().unwrap()]);
    let same = table.replace(vec![leaving, record("c", false, 0)], at(20));
    assert!(same.listed.is_empty() && same.unlisted.is_empty());
}

#[test]
fn records_for_peers_carry_the_cold_time_that_is_left() {
    let mut table = UpstreamTable::default();
    table.put(record("a", false, 3_000), at(0));
    assert_eq!(table.records(at(1_000))[0].cold_for, Duration::from_millis(2_000));
    assert_eq!(table.records(at(9_000))[0].cold_for, Duration::ZERO);
}

fn report(vm: &str, sequence: u32, in_flight: u16) -> LoadReport {
    let share = UpstreamShare { in_flight, pending_tokens: 10 };
    LoadReport {
        vm: VmTag::of(&vm.parse().unwrap()),
        incarnation: IncarnationId(1),
        sequence,
        shares: vec![(UpstreamTag(1), share)],
        placements: Vec::new(),
        regions: Vec::new(),
    }
}

#[test]
fn loads_add_up_and_old_reports_do_not_count() {
    let interval = share_interval(2);
    let after = |intervals: u32| at(0) + interval * intervals;
    let mut book = LoadBook::default();
    assert!(book.hear(report("a", 2, 3), after(0)));
    assert!(!book.hear(report("a", 1, 9), after(1)), "overtaken");
    assert!(book.hear(report("b", 1, 4), after(5)));
    let total = |book: &mut LoadBook, now| {
        book.totals(interval, now).get(&UpstreamTag(1)).map_or(0, |share| share.in_flight)
    };
    assert_eq!(total(&mut book, after(6)), 7);
    assert_eq!(total(&mut book, after(12)), 4, "a is silent");
}

fn region_report(teller: &str, sequence: u32, wait_ms: u16) -> RegionReport {
    RegionReport {
        region: "south".parse().unwrap(),
        teller: VmTag::of(&teller.parse().unwrap()),
        incarnation: IncarnationId(1),
        sequence,
        waits: vec![ServiceWait { service: ServiceTag::of(&"desk".parse().unwrap()), wait_ms }],
        lives: Vec::new(),
    }
}

#[test]
fn the_newest_delegate_is_believed_and_an_old_wait_is_not() {
    let mut book = RegionBook::default();
    assert!(book.hear(&region_report("a", 2, 30), at(0)));
    assert!(!book.hear(&region_report("a", 1, 90), at(10)), "overtaken");
    assert!(!book.hear(&region_report("a", 2, 30), at(10)), "relayed by another VM too");
    assert!(book.hear(&region_report("b", 1, 50), at(500)));
    let wait = |book: &RegionBook, region: &str, now| {
        book.wait(&region.parse().unwrap(), &"desk".parse().unwrap(), now)
    };
    assert_eq!(wait(&book, "south", at(600)), Some(Duration::from_millis(50)));
    assert_eq!(wait(&book, "east", at(600)), None);
    assert_eq!(wait(&book, "south", at(5_000)), None);
    book.forget(at(5_000));
    assert!(book.hear(&region_report("b", 1, 50), at(5_000)), "it is forgotten");
}

/// A delegate lists the VMs that it heard from itself; a dead one falls off its list, and then off the
/// others' views, before callers may not be named it any more.
#[test]
fn far_vms_live_as_long_as_their_delegate_hears_them() {
    let mut delegate = table_of("delegate", 1);
    let mut far =
        PeerTable::new("far".parse().unwrap(), IncarnationId(1), "south".parse().unwrap());
    for vm in ["a", "b"] {
        delegate.hear(beat(vm, "north", 1), at(0));
        far.hear(beat(vm, "north", 1), at(0));
    }
    let died = 3_000;
    for millis in (0..12_000).step_by(250) {
        let now = at(millis);
        delegate.note_heard(&"a".parse().unwrap(), now);
        if millis < died {
            delegate.note_heard(&"b".parse().unwrap(), now);
        }
        far.note_lives(&delegate.heard_lives(now), now);
        let expected = if millis < died + 5_000 { 2 } else { 1 };
        if millis != died && millis < died + 5_000 || millis > died + 6_500 {
            assert_eq!(live(&far, now).len(), expected, "at {millis}");
        }
    }
}

#[test]
fn a_list_of_lives_tells_of_starts_but_undoes_no_leaving() {
    let mut table = table();
    let mut starting = beat("a", "south", 1);
    starting.phase = PeerPhase::Starting;
    let mut leaving = beat("b", "south", 1);
    leaving.phase = PeerPhase::Leaving;
    let lives = [starting.life(), leaving.life()];
    table.hear(starting, at(0));
    table.hear(leaving, at(0));
    assert!(table.note_lives(&lives, at(100)));
    let phases: Vec<PeerPhase> = table.live(at(100)).map(|beat| beat.phase).collect();
    assert_eq!(phases, [PeerPhase::Serving, PeerPhase::Leaving]);
}

/// Found by arithmetic on a deployment of 79 VMs: after each restart of one VM all others asked five
/// VMs for all heartbeats, three megabytes for one that nobody knew.
#[test]
fn only_the_heartbeats_of_unknown_lifetimes_are_asked_for() {
    let mut table = table();
    let mut other = table_of("other", 1);
    for number in 0..20 {
        table.hear(beat(&format!("vm-{number}"), "south", 1), at(0));
        other.hear(beat(&format!("vm-{number}"), "south", 1), at(0));
    }
    let mut restarted = beat("vm-3", "south", 1);
    restarted.incarnation = IncarnationId(7);
    other.hear(restarted.clone(), at(0));
    table.take_asks();
    table.note_lives(&[restarted.life(), beat("vm-4", "south", 1).life()], at(100));
    let asks = table.take_asks();
    assert_eq!(asks, AskedBeats::Of(vec![VmTag::of(&restarted.vm)]));
    assert_eq!(other.answers(&asks, at(100)), [restarted]);
    assert_eq!(other.answers(&AskedBeats::All, at(100)).len(), 20);
}

#[test]
fn few_vms_send_heartbeats_to_other_regions() {
    let mut senders = 0;
    for own in 0..12 {
        let mut table = table_of(&format!("vm-{own}"), 1);
        for other in (0..12).filter(|other| *other != own) {
            table.hear(beat(&format!("vm-{other}"), "north", 1), at(0));
            table.hear(beat(&format!("south-{other}"), "south", 1), at(0));
            table.hear(beat(&format!("east-{other}"), "east", 1), at(0));
        }
        let far: Vec<usize> = (0..16).map(|_| table.next_targets(at(0)).far.len()).collect();
        match table.is_delegate(at(0)) {
            true => assert_eq!(far, [2; 16], "one of each region"),
            false => assert_eq!(far.iter().sum::<usize>(), 1, "one in sixteen rounds"),
        }
        senders += usize::from(table.is_delegate(at(0)));
    }
    assert_eq!(senders, 2);
}
