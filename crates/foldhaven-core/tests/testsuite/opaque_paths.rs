//! Lost paths to upstreams: when this VM concludes that it has lost them, and how VMs tell each
//! other.

use std::collections::VecDeque;
use std::time::Duration;

use bincode::{DefaultOptions, Options};
use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::lost_paths::{LostPathNotice, LostPathTable};
use foldhaven_core::opaque::path_monitor::{PathChange, PathMonitor};
use foldhaven_core::opaque::peer_table::{ServiceTag, VmTag};
use rstest::rstest;

use crate::opaque_support::at;

const SERVICE: ServiceTag = ServiceTag(0xF00D_BEEF);
/// Interval between two rounds of resending, and the number of VMs of the region that get each.
const ROUND: Duration = Duration::from_millis(500);
const FAN_OUT: usize = 4;
/// Maximum time until all VMs of a region know of lost paths although all first notices were lost.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(10);
/// Maximum bytes that a VM sends per second, as the platform requires.
const MAX_BYTES_PER_S: usize = 9_000;

/// Returns the tag of a VM by its index. Tags are hashes, which use all bits.
fn tag(index: u32) -> VmTag {
    VmTag(0xA000_0000 + index)
}

fn index(vm: VmTag) -> usize {
    (vm.0 - tag(0).0) as usize
}

/// Guards against paths that count as lost because one of several upstreams has ended.
#[rstest]
#[case::one(1, 1)]
#[case::two(2, 2)]
#[case::four(4, 4)]
#[case::many(200, 4)]
fn paths_are_lost_once_several_upstreams_fail_in_a_row(#[case] listed: usize, #[case] wanted: u32) {
    let mut monitor = PathMonitor::default();
    for tag in 1..wanted {
        for _ in 0..3 {
            assert_eq!(monitor.record_failure(UpstreamTag(tag), listed, at(0)), None);
        }
    }
    let change = monitor.record_failure(UpstreamTag(wanted), listed, at(0));
    assert_eq!(change, Some(PathChange::Lost));
    assert_eq!(monitor.record_failure(UpstreamTag(99), listed, at(1)), None, "said once");
    assert!(monitor.is_lost());
    assert_eq!(monitor.record_opened(at(2)), Some(PathChange::Regained));
    assert_eq!(monitor.record_opened(at(2)), None);
}

/// Guards against failures that add up although connections were opened between them, or although
/// they are far apart.
#[test]
fn failures_that_are_not_in_a_row_do_not_add_up() {
    let mut monitor = PathMonitor::default();
    for tag in 1..50 {
        assert_eq!(monitor.record_failure(UpstreamTag(tag), 2, at(0)), None);
        assert_eq!(monitor.record_opened(at(2)), None);
    }
    for tag in 1..50 {
        let moment = at(u64::from(tag) * 6_000);
        assert_eq!(monitor.record_failure(UpstreamTag(tag), 2, moment), None);
    }
}

/// Guards against an older notice that overrides a newer one, and against notices that never end.
#[test]
fn the_newest_notice_of_a_vm_counts_until_it_expires() {
    let mut table = LostPathTable::default();
    let notice = |services: &[ServiceTag], age_ms| LostPathNotice {
        vm: VmTag(1),
        services: services.to_vec(),
        age_ms,
    };
    assert!(table.apply_notice(&notice(&[SERVICE], 100), false, at(1_000)));
    assert!(table.is_lost(VmTag(1), SERVICE));
    assert!(table.apply_notice(&notice(&[], 50), false, at(1_100)));
    assert!(!table.apply_notice(&notice(&[SERVICE], 400), false, at(1_200)), "older");
    assert!(!table.is_lost(VmTag(1), SERVICE));
    assert!(table.apply_notice(&notice(&[SERVICE], 0), false, at(1_300)));
    table.remove_expired(at(11_299));
    assert!(table.is_any_lost(VmTag(1)));
    table.remove_expired(at(11_300));
    assert!(table.is_empty());
    assert!(!table.apply_notice(&notice(&[SERVICE], 10_000), false, at(12_000)), "expired");
}

/// Guards against notices that are lost for good, against news that reaches some VMs only, and
/// against bytes that grow with the square of the VMs: all VMs of one data centre have lost their
/// paths, and every notice but those of resending rounds is lost.
#[rstest]
#[case::fleet(200)]
#[case::twice_the_fleet(400)]
fn all_vms_learn_of_lost_paths_within_the_byte_bound(#[case] vms: u32) {
    let lost: Vec<VmTag> = (0..vms / 3).map(tag).collect();
    let mut tables: Vec<LostPathTable> = (0..vms).map(|_| LostPathTable::default()).collect();
    for vm in &lost {
        tables[index(*vm)].set_own(*vm, vec![SERVICE], at(0));
        tables[index(*vm)].take_unsent(at(0));
    }
    let mut cursor = 0;
    let mut now = at(0);
    let mut max_bytes = 0;
    while now < at(0) + CONVERGENCE_LIMIT {
        now = now + ROUND;
        let mut sent: VecDeque<(usize, Vec<LostPathNotice>)> = VecDeque::new();
        for (vm, table) in tables.iter_mut().enumerate() {
            let notices = table.next_resent(tag(vm as u32), now);
            let encoded = DefaultOptions::new().serialize(&notices);
            let size = encoded.expect("it can be serialized").len();
            max_bytes = max_bytes.max(size * FAN_OUT);
            for step in 0..FAN_OUT {
                sent.push_back(((vm + 1 + cursor + step) % vms as usize, notices.clone()));
            }
        }
        cursor += FAN_OUT;
        for (target, notices) in sent {
            for notice in notices.iter().filter(|notice| index(notice.vm) != target) {
                tables[target].apply_notice(notice, false, now);
            }
        }
        tables.iter_mut().for_each(|table| table.remove_expired(now));
    }
    let per_s = max_bytes * 2;
    assert!(per_s <= MAX_BYTES_PER_S, "{per_s} bytes per second");
    let unknown: usize = tables
        .iter()
        .map(|table| lost.iter().filter(|vm| !table.is_lost(**vm, SERVICE)).count())
        .sum();
    assert_eq!(unknown, 0, "of {} times {}", tables.len(), lost.len());
}

/// Guards against paths that count as lost in a peak, when upstreams refuse connections beyond
/// their limit, or all those of a data centre restart, while requests are answered on open ones.
#[test]
fn paths_on_which_data_arrives_are_not_lost() {
    let mut monitor = PathMonitor::default();
    for step in 0..400_u64 {
        let moment = at(step * 5);
        if step % 4 == 0 {
            monitor.record_received(moment);
        }
        let upstream = UpstreamTag(step as u32 % 8);
        assert_eq!(monitor.record_failure(upstream, 8, moment + Duration::from_millis(1)), None);
    }
    assert!(!monitor.is_lost());
}

/// Guards against data that was received before the paths were lost and hides the loss.
#[test]
fn paths_are_lost_once_data_no_longer_arrives() {
    let mut monitor = PathMonitor::default();
    monitor.record_received(at(100));
    let fails_at = |ms: u64, tag: u32, monitor: &mut PathMonitor| {
        monitor.record_failure(UpstreamTag(tag), 8, at(ms))
    };
    assert!((0..4).all(|tag| fails_at(101, tag, &mut monitor).is_none()));
    assert_eq!(fails_at(700, 4, &mut monitor), Some(PathChange::Lost));
}

/// Guards against notices that change many times in a second, while some connections are opened
/// and others fail.
#[test]
fn a_change_of_the_paths_is_not_soon_reversed() {
    let mut monitor = PathMonitor::default();
    let mut changes = 0;
    for step in 0..2_000_u64 {
        let moment = at(step * 5);
        let change = match step % 6 {
            5 => monitor.record_opened(moment),
            tag => monitor.record_failure(UpstreamTag(tag as u32), 8, moment),
        };
        changes += usize::from(change.is_some());
    }
    assert!(changes <= 2 * 10, "{changes} changes in 10 s");
}
