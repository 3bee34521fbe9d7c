//! The platform may come back from a copy of its data. No changes lead from one of its eras to the
//! next.

use std::collections::BTreeSet;
use std::time::Duration;

use foldhaven_core::ids::UpstreamStartTime;
use foldhaven_core::opaque::feed_position::FeedPosition;
use foldhaven_core::opaque::upstream_table::UpstreamRecord;
use foldhaven_core::time::MonoTime;
use foldhaven_gateway::feed::{ChangeSet, FeedChange, FeedSnapshot, NumberedChange};
use foldhaven_gateway::platform_state::{ApplyContext, PlatformState};
use rstest::rstest;

fn context() -> ApplyContext {
    ApplyContext { now: MonoTime::from_millis(1_000_000), lag: Duration::ZERO, is_late: false }
}

fn packed(era: u64, revision: u64) -> u64 {
    FeedPosition { era, revision }.packed()
}

fn record(name: &str) -> UpstreamRecord {
    UpstreamRecord {
        name: name.parse().unwrap(),
        birth: UpstreamStartTime(1),
        service: "desk".parse().unwrap(),
        address: "127.0.0.1:8080".parse().unwrap(),
        data_centre: "hall".parse().unwrap(),
        slots: 4,
        leaving: false,
        cold_for: Duration::ZERO,
        software: None,
    }
}

fn snapshot(revision: u64, names: &[&str]) -> FeedSnapshot {
    FeedSnapshot {
        revision,
        description: None,
        upstreams: names.iter().map(|name| record(name)).collect(),
        unusable: BTreeSet::new(),
        evacuated: BTreeSet::new(),
    }
}

fn changes(after: u64, revision: u64, name: &str) -> ChangeSet {
    let change = FeedChange::UpstreamWritten(record(name));
    ChangeSet { after, revision, changes: vec![NumberedChange { revision, change }] }
}

fn usable(state: &PlatformState) -> Vec<String> {
    state.table.usable().map(|entry| entry.record.name.to_string()).collect()
}

/// Guards against changes of one era that are applied to the state of another, which lacks others.
#[rstest]
#[case::into_the_next_era(packed(1, 29), packed(2, 27), false)]
#[case::of_the_next_era(packed(2, 20), packed(2, 27), false)]
#[case::of_the_same_era(packed(1, 29), packed(1, 30), true)]
fn changes_are_applied_within_one_era(
    #[case] after: u64,
    #[case] revision: u64,
    #[case] is_applied: bool,
) {
    let mut state = PlatformState::default();
    state.apply_snapshot(snapshot(packed(1, 29), &["a"]), context());
    let set = changes(after, revision, "b");
    assert_eq!(state.apply_changes(set, context()).is_some(), is_applied);
    assert_eq!(state.revision(), if is_applied { revision } else { packed(1, 29) });
}

/// Guards against a snapshot of a later era that is ignored because of its lower revision, against
/// one of an earlier era that replaces it, and against changes whose numbers were given out before.
#[test]
fn a_later_era_replaces_an_earlier_one() {
    let mut state = PlatformState::default();
    state.apply_snapshot(snapshot(packed(1, 29), &["a"]), context());
    assert!(state.apply_snapshot(snapshot(packed(2, 27), &["a"]), context()).is_some());
    assert_eq!(state.revision(), packed(2, 27));
    assert!(state.apply_snapshot(snapshot(packed(1, 40), &[]), context()).is_none());
    let set = changes(packed(2, 27), packed(2, 29), "b");
    assert!(state.apply_changes(set, context()).is_some());
    assert_eq!(usable(&state), ["a", "b"]);
}

/// Guards against upstreams that are dropped at all VMs because the copy lacks them.
#[test]
fn what_a_copy_lacks_is_not_announced_as_removed() {
    let mut state = PlatformState::default();
    state.apply_snapshot(snapshot(packed(1, 29), &["a", "b"]), context());
    let announced = state.apply_snapshot(snapshot(packed(2, 27), &["a"]), context()).unwrap();
    assert!(announced.changes.is_empty(), "{announced:?}");
    assert_eq!(usable(&state), ["a", "b"]);
}
