//! Liveness of other VMs and membership changes, with heartbeats that arrive late, twice or not at
//! all.

use foldhaven_core::ids::IncarnationId;
use foldhaven_core::opaque::peer_table::{
    KnownCounts, LivenessUpdate, PeerPhase, PeerTable, RegionTag, RequestedHeartbeats, ViewDigest,
    VmTag,
};
use foldhaven_core::time::MonoTime;

use crate::opaque_support::{at, heartbeat, region_table, table, table_of};

fn live(table: &PeerTable, now: MonoTime) -> Vec<String> {
    table.live(now).map(|heartbeat| heartbeat.vm.to_string()).collect()
}

#[test]
fn repeated_heartbeats_do_not_keep_a_dead_vm_live() {
    let mut table = table();
    assert!(table.apply_heartbeat(heartbeat("a", "north", 5), at(0)));
    for millis in (0..5_000).step_by(500) {
        table.apply_heartbeat(heartbeat("a", "north", 5), at(millis));
        table.apply_heartbeat(heartbeat("a", "north", 4), at(millis));
    }
    assert!(live(&table, at(5_000)).is_empty());
    assert!(
        table.apply_heartbeat(heartbeat("a", "north", 6), at(5_000)),
        "its return is a membership change"
    );
    assert_eq!(live(&table, at(5_000)), ["a"]);
}

#[test]
fn a_later_incarnation_supersedes_any_sequence() {
    let mut table = table();
    table.apply_heartbeat(heartbeat("a", "north", 900), at(0));
    let mut restarted = heartbeat("a", "north", 1);
    restarted.incarnation = IncarnationId(2);
    assert!(table.apply_heartbeat(restarted, at(10)));
    assert!(
        !table.apply_heartbeat(heartbeat("a", "north", 901), at(20)),
        "the earlier incarnation is over"
    );
}

/// Incarnations are numbered by the wall clock. A VM whose clock was set back during a restart was
/// ignored by the others until they had removed its earlier incarnation, for up to 30 seconds.
#[test]
fn a_process_restarted_with_an_earlier_clock_is_accepted() {
    let mut other = table_of("other", 1);
    let mut earlier = heartbeat("own", "north", 40);
    earlier.incarnation = IncarnationId(9_000);
    other.apply_heartbeat(earlier, at(0));
    let mut restarted = table_of("own", 7_000);
    let mut first = heartbeat("own", "north", 1);
    first.incarnation = restarted.incarnation();
    other.apply_heartbeat(first.clone(), at(8_000));
    let later = other
        .later_incarnation(&first.vm, first.incarnation)
        .expect("the later incarnation is known")
        .clone();
    restarted.apply_heartbeat(later, at(8_010));
    let mut second = heartbeat("own", "north", 2);
    second.incarnation = restarted.incarnation();
    assert!(other.apply_heartbeat(second.clone(), at(8_500)), "it is a membership change");
    assert_eq!(live(&other, at(8_500)), ["own"]);
    assert!(other.later_incarnation(&second.vm, second.incarnation).is_none());
}

#[test]
fn liveness_updates_of_the_own_vm_only_raise_its_incarnation() {
    let mut table = table_of("own", 50);
    table.apply_liveness_update(liveness_update("own", 49, 3), at(0));
    assert_eq!(table.incarnation(), IncarnationId(50));
    table.apply_liveness_update(liveness_update("own", 60, 3), at(0));
    assert_eq!(table.incarnation(), IncarnationId(61));
}

#[test]
fn leaving_is_a_membership_change_and_the_own_heartbeat_is_not() {
    let mut table = table();
    table.apply_heartbeat(heartbeat("a", "north", 1), at(0));
    assert!(!table.apply_heartbeat(heartbeat("a", "north", 2), at(10)));
    let mut leaving = heartbeat("a", "north", 3);
    leaving.phase = PeerPhase::Leaving;
    assert!(table.apply_heartbeat(leaving, at(20)));
    assert!(!table.apply_heartbeat(heartbeat("own", "north", 1), at(30)));
    assert_eq!(table.vm_count(), 2);
}

#[test]
fn stale_vms_still_count_where_limits_are_divided() {
    let mut table = table();
    table.apply_heartbeat(heartbeat("a", "north", 1), at(0));
    table.remove_expired(at(10_000));
    assert!(live(&table, at(10_000)).is_empty());
    assert_eq!(table.vm_count(), 2);
    table.remove_expired(at(60_000));
    assert_eq!(table.vm_count(), 1);
}

/// Guards against shares that add up to more than the limit: three VMs that knew only a fourth one
/// each divided a limit by two, though four shared it.
#[test]
fn unknown_vms_do_not_make_a_share_larger() {
    let mut table = table();
    table.apply_heartbeat(heartbeat("a", "north", 1), at(0));
    let counts = |local, all| KnownCounts { local, all };
    assert_eq!(table.assumed_counts(at(0)), counts(2, 2));
    let view = ViewDigest {
        vm: VmTag::of(&"a".parse().unwrap()),
        incarnation: IncarnationId(1),
        region: RegionTag::of(&"north".parse().unwrap()),
        digest: 1,
        known: counts(4, 9),
    };
    table.apply_view_digest(&view, at(10));
    assert_eq!(table.assumed_counts(at(20)), counts(4, 9));
    table.apply_heartbeat(heartbeat("a", "north", 2), at(2_000));
    assert_eq!(table.assumed_counts(at(2_000)), counts(4, 9), "the report is still valid");
    let mut restarted = heartbeat("a", "north", 1);
    restarted.incarnation = IncarnationId(2);
    table.apply_heartbeat(restarted, at(2_100));
    assert_eq!(
        table.assumed_counts(at(2_100)),
        counts(2, 2),
        "the report of the earlier incarnation is dropped"
    );
}

fn liveness_update(vm: &str, incarnation: u64, sequence: u32) -> LivenessUpdate {
    LivenessUpdate {
        vm: VmTag::of(&vm.parse().unwrap()),
        incarnation: IncarnationId(incarnation),
        sequence,
        phase: PeerPhase::Serving,
        revision: 1,
        is_turned_away: false,
    }
}

#[test]
fn liveness_updates_keep_known_vms_live_and_request_unknown_ones() {
    let mut table = table();
    table.apply_heartbeat(heartbeat("a", "south", 1), at(0));
    assert_eq!(
        table.take_heartbeat_requests(),
        RequestedHeartbeats::All,
        "a recently started process requests all"
    );
    assert_eq!(table.take_heartbeat_requests(), RequestedHeartbeats::Of(Vec::new()));
    let requested = |vm: &str| RequestedHeartbeats::Of(vec![VmTag::of(&vm.parse().unwrap())]);
    for step in 1..10 {
        table.apply_liveness_update(liveness_update("a", 1, 1 + step), at(u64::from(step) * 1_000));
    }
    assert_eq!(live(&table, at(10_000)), ["a"]);
    table.apply_liveness_update(liveness_update("unknown", 1, 1), at(10_000));
    assert_eq!(table.take_heartbeat_requests(), requested("unknown"));
    table.apply_liveness_update(liveness_update("a", 2, 1), at(10_000));
    assert_eq!(
        table.take_heartbeat_requests(),
        requested("a"),
        "a new incarnation may have other addresses"
    );
}

#[test]
fn a_load_report_of_the_same_incarnation_is_a_sign_of_life() {
    let mut table = table();
    table.apply_heartbeat(heartbeat("a", "north", 1), at(0));
    table.record_load_report(VmTag::of(&"a".parse().unwrap()), IncarnationId(1), at(2_000));
    table.record_load_report(VmTag::of(&"a".parse().unwrap()), IncarnationId(0), at(9_000));
    assert_eq!(live(&table, at(4_000)), ["a"]);
    assert!(
        live(&table, at(5_000)).is_empty(),
        "a report of an earlier incarnation does not count"
    );
}

#[test]
fn remote_vms_have_a_longer_liveness_timeout() {
    let mut table = table();
    table.apply_heartbeat(heartbeat("near", "north", 1), at(0));
    table.apply_heartbeat(heartbeat("far", "south", 1), at(0));
    assert_eq!(live(&table, at(4_000)), ["far"]);
    assert!(live(&table, at(5_500)).is_empty());
}

/// A delegate lists the VMs that it received messages from directly. A dead VM must drop off its
/// list, and then off the views of other regions, before callers may no longer be sent to it.
#[test]
fn remote_vms_are_live_while_their_delegate_receives_messages() {
    let mut delegate = table_of("delegate", 1);
    let mut remote = region_table("far", 1, "south");
    for vm in ["a", "b"] {
        delegate.apply_heartbeat(heartbeat(vm, "north", 1), at(0));
        remote.apply_heartbeat(heartbeat(vm, "north", 1), at(0));
    }
    let died = 3_000;
    for millis in (0..12_000).step_by(250) {
        let now = at(millis);
        delegate.record_contact(&"a".parse().unwrap(), now);
        if millis < died {
            delegate.record_contact(&"b".parse().unwrap(), now);
        }
        remote.apply_reported_incarnations(&delegate.directly_seen_incarnations(now), now);
        let expected = if millis < died + 5_000 { 2 } else { 1 };
        if millis != died && millis < died + 5_000 || millis > died + 6_500 {
            assert_eq!(live(&remote, now).len(), expected, "at {millis}");
        }
    }
}

#[test]
fn a_delegate_report_applies_starts_but_never_reverts_leaving() {
    let mut table = table();
    let mut starting = heartbeat("a", "south", 1);
    starting.phase = PeerPhase::Starting;
    let mut leaving = heartbeat("b", "south", 1);
    leaving.phase = PeerPhase::Leaving;
    let incarnations = [starting.vm_incarnation(), leaving.vm_incarnation()];
    table.apply_heartbeat(starting, at(0));
    table.apply_heartbeat(leaving, at(0));
    assert!(table.apply_reported_incarnations(&incarnations, at(100)));
    let phases: Vec<PeerPhase> = table.live(at(100)).map(|heartbeat| heartbeat.phase).collect();
    assert_eq!(phases, [PeerPhase::Serving, PeerPhase::Leaving]);
}
