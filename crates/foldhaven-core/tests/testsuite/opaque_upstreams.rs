//! The upstream table, with list updates that arrive late or not at all.

use std::time::Duration;

use foldhaven_core::ids::UpstreamStartTime;
use foldhaven_core::opaque::upstream_table::{ChangedUpstreams, UpstreamRecord, UpstreamTable};
use rstest::rstest;

use crate::opaque_support::at;

fn record(name: &str, leaving: bool, cold_ms: u64) -> UpstreamRecord {
    UpstreamRecord {
        name: name.parse().unwrap(),
        birth: UpstreamStartTime(1),
        service: "desk".parse().unwrap(),
        address: "127.0.0.1:8080".parse().unwrap(),
        data_centre: "hall".parse().unwrap(),
        slots: 4,
        leaving,
        cold_for: Duration::from_millis(cold_ms),
        software: None,
    }
}

fn usable(table: &UpstreamTable) -> Vec<String> {
    table.usable().map(|entry| entry.record.name.to_string()).collect()
}

#[test]
fn unlisted_leaving_and_evacuated_upstreams_get_no_requests() {
    let mut table = UpstreamTable::default();
    table.replace(vec![record("a", false, 0), record("b", true, 0), record("c", false, 0)], at(0));
    assert_eq!(usable(&table), ["a", "c"]);
    table.remove(&"a".parse().unwrap(), at(10));
    assert_eq!(usable(&table), ["c"]);
    table.set_evacuated(["hall".parse().unwrap()].into());
    assert!(usable(&table).is_empty());
}

/// An upstream that disappears from the list right after the list service was unavailable may only
/// have failed to renew its entry.
#[rstest]
#[case::after_a_list_failure(true, false, 2_000, true)]
#[case::after_the_grace_period(true, false, 2_400, false)]
#[case::while_leaving(true, true, 100, false)]
#[case::without_a_list_failure(false, false, 0, false)]
fn a_lapsed_entry_is_used_for_a_grace_period(
    #[case] has_list_failed: bool,
    #[case] leaving: bool,
    #[case] later_ms: u64,
    #[case] is_used: bool,
) {
    let mut table = UpstreamTable::default();
    table.put(record("a", leaving, 0), at(0));
    if has_list_failed {
        table.record_list_failure(at(900));
    }
    table.replace(Vec::new(), at(1_000));
    table.expire(at(1_000 + later_ms));
    assert_eq!(!usable(&table).is_empty(), is_used);
}

#[test]
fn a_complete_list_returns_what_it_changes() {
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
fn records_for_peers_have_the_remaining_cold_time() {
    let mut table = UpstreamTable::default();
    table.put(record("a", false, 3_000), at(0));
    assert_eq!(table.records(at(1_000))[0].cold_for, Duration::from_millis(2_000));
    assert_eq!(table.records(at(9_000))[0].cold_for, Duration::ZERO);
}

/// Guards against views that are built from all upstreams after each change of one of them.
#[rstest]
#[case::the_fleet(6_002)]
#[case::twice_its_size(12_004)]
fn a_change_names_only_the_upstreams_that_changed(#[case] count: usize) {
    let records: Vec<UpstreamRecord> =
        (0..count).map(|number| record(&format!("u-{number}"), false, 0)).collect();
    let mut table = UpstreamTable::default();
    table.replace(records, at(0));
    assert!(matches!(table.take_changed(), ChangedUpstreams::Named(names) if names.len() == count));
    table.put(record("u-7", true, 0), at(10));
    table.remove(&"u-8".parse().unwrap(), at(10));
    table.remove(&"unknown".parse().unwrap(), at(10));
    let changed = ["u-7", "u-8"].map(|name| name.parse().unwrap());
    assert_eq!(table.take_changed(), ChangedUpstreams::Named(changed.into()));
    assert!(table.take_changed().is_empty());
    assert!(table.usable_entry(&"u-7".parse().unwrap()).is_none());
    assert!(table.usable_entry(&"u-9".parse().unwrap()).is_some());
}

/// Guards against an evacuation that traffic does not notice.
#[test]
fn an_evacuation_may_change_all_upstreams() {
    let mut table = UpstreamTable::default();
    table.set_evacuated(["hall".parse().unwrap()].into());
    assert_eq!(table.take_changed(), ChangedUpstreams::All);
    table.set_evacuated(["hall".parse().unwrap()].into());
    assert!(table.take_changed().is_empty(), "it was evacuated before");
}

/// Guards against an upstream that lapsed and stays in use for good.
#[test]
fn the_end_of_a_grace_period_is_a_change() {
    let mut table = UpstreamTable::default();
    table.replace(vec![record("a", false, 0), record("b", false, 0)], at(0));
    table.record_list_failure(at(0));
    table.remove(&"a".parse().unwrap(), at(100));
    table.take_changed();
    assert!(!table.expire(at(2_300)));
    assert!(table.expire(at(2_500)));
    assert_eq!(table.take_changed(), ChangedUpstreams::Named(["a".parse().unwrap()].into()));
    assert_eq!(usable(&table), ["b"]);
}

/// Guards against a list for other VMs that changes while it is sent.
#[test]
fn a_list_keeps_what_it_showed() {
    let mut table = UpstreamTable::default();
    table.replace(vec![record("a", false, 0), record("b", false, 0)], at(0));
    let list = table.list();
    table.remove(&"a".parse().unwrap(), at(10));
    assert_eq!(list.records(at(10)).len(), 2);
    assert_eq!(table.records(at(10)).len(), 1);
}

/// Guards against a copy of the list that undoes what is known: an upstream that said that it
/// leaves, one that left, and one that was added since.
#[test]
fn a_copy_of_the_list_does_not_undo_what_is_known() {
    let mut table = UpstreamTable::default();
    let listed = ["leaving", "left", "stays"].map(|name| record(name, false, 0)).to_vec();
    table.replace(listed.clone(), at(0));
    table.put(record("leaving", true, 0), at(1_000));
    table.remove(&"left".parse().unwrap(), at(1_000));
    table.put(record("added", false, 0), at(1_000));
    table.replace_by_copy(listed, at(2_000));
    assert_eq!(usable(&table), ["added", "stays"]);
    table.put(record("added", false, 0), at(3_000));
    table.expire(at(7_900));
    assert_eq!(usable(&table), ["added", "stays"]);
    table.expire(at(8_000));
    assert_eq!(usable(&table), ["added", "left", "stays"], "the list still has it");
    table.remove(&"left".parse().unwrap(), at(8_100));
    assert_eq!(usable(&table), ["added", "stays"]);
}

/// Guards against a process that is doubted because another one of the same name left.
#[test]
fn a_later_process_of_the_same_name_is_not_doubted() {
    let mut table = UpstreamTable::default();
    table.replace(vec![record("a", false, 0)], at(0));
    table.remove(&"a".parse().unwrap(), at(1_000));
    let later = UpstreamRecord { birth: UpstreamStartTime(2), ..record("a", false, 0) };
    table.replace_by_copy(vec![later], at(2_000));
    assert_eq!(usable(&table), ["a"]);
}

/// Guards against evacuations that end because a copy lacks them, and against those that never end.
#[rstest]
#[case::written_again(true, true)]
#[case::not_written_again(false, false)]
fn evacuations_that_a_copy_lacks_hold_for_some_time(
    #[case] is_written_again: bool,
    #[case] holds: bool,
) {
    let mut table = UpstreamTable::default();
    table.update_evacuation("hall".parse().unwrap(), true);
    table.set_evacuated_by_copy([].into(), at(1_000));
    assert!(table.confirmed_evacuations().is_empty(), "others decide by themselves");
    table.expire(at(6_900));
    assert_eq!(table.evacuated().len(), 1);
    if is_written_again {
        table.update_evacuation("hall".parse().unwrap(), true);
    }
    table.expire(at(7_000));
    assert_eq!(!table.evacuated().is_empty(), holds);
}
