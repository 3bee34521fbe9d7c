//! The room of upstreams.

use std::time::Duration;

use foldhaven_core::opaque::level_loads::{LevelLoads, LevelShare};
use foldhaven_core::opaque::performance::{QueueState, ServicePerformance};
use foldhaven_core::opaque::priority_level::PriorityLevel;
use foldhaven_core::opaque::queue_rank::PrefillBacklog;
use foldhaven_core::opaque::request_class::RoomNeed;
use foldhaven_core::opaque::service_room::{RoomLimits, ServiceRoom, max_backlog, reserved_slots};
use rstest::rstest;

const LAST: u8 = 9;
const BACKLOG: u32 = 10_000;
const NEED: RoomNeed = RoomNeed { prefill_tokens: 1_000, memory_tokens: 1_400 };

/// Returns the queue of an upstream with 16 slots and requests of the first and the last level.
fn queue(urgent: u16, last: u16, backlog: u32) -> QueueState {
    let mut levels = LevelLoads::default();
    let share = |number, in_flight, prefill_backlog| LevelShare {
        level: PriorityLevel::new(number),
        in_flight,
        prefill_backlog,
        memory_tokens: 0,
    };
    levels.add(&share(0, urgent, 0));
    levels.add(&share(LAST, last, backlog));
    QueueState {
        slots: 16,
        in_flight: u32::from(urgent + last),
        prefill_backlog: PrefillBacklog { timely: backlog, deferred: 0 },
        levels,
        ..QueueState::default()
    }
}

fn room(level: u8, queue: QueueState) -> ServiceRoom {
    RoomLimits::new(PriorityLevel::new(level), &[queue], BACKLOG).room(queue)
}

// Guards against less urgent requests that fill an upstream, so that urgent ones displace them.
#[test]
fn less_urgent_requests_leave_slots_free() {
    let full_but_two = queue(4, 10, 0);
    assert_eq!(room(0, full_but_two).slots, 2);
    assert_eq!(room(LAST, full_but_two).slots, 0, "two slots are left for the four urgent ones");
    assert_eq!(room(LAST, queue(0, 14, 0)).slots, 2, "nothing is reserved for nobody");
}

// Guards against a long prefill of less urgent requests that makes urgent ones late, although slots
// are free.
#[test]
fn a_long_prefill_is_no_room() {
    assert_eq!(room(LAST, queue(0, 3, 4_000)).prefill_tokens, 6_000);
    assert!(room(LAST, queue(0, 3, 10_000)).is_empty());
    assert!(!room(0, queue(0, 3, 10_000)).is_empty(), "an urgent one goes before it");
}

// Guards against a request that has begun and is displaced, by its like or by a more urgent one.
#[test]
fn a_slot_that_is_taken_is_no_room() {
    for level in 0..=LAST {
        let limits = RoomLimits::new(PriorityLevel::new(level), &[], BACKLOG);
        for full in [queue(3, 13, 0), queue(16, 0, 0), queue(0, 16, 0)] {
            assert!(!limits.has_room(full, NEED) && limits.room(full).is_empty());
        }
        assert!(limits.has_room(queue(0, 15, 0), NEED));
    }
}

#[rstest]
#[case::none(16, 0.0, 2.0, 0)]
#[case::few(16, 4.0, 0.0, 2)]
#[case::few_and_unseen(16, 4.0, 1.0, 3)]
#[case::hardly_any_and_unseen(16, 0.1, 1.0, 0)]
#[case::many(16, 100.0, 0.0, 4)]
#[case::one_slot(1, 100.0, 1.0, 0)]
#[case::nonsense(16, -3.0, -1.0, 0)]
fn reserved_slots_are_bounded(
    #[case] slots: u32,
    #[case] urgent: f64,
    #[case] unseen: f64,
    #[case] reserved: u32,
) {
    assert_eq!(reserved_slots(slots, urgent, unseen), reserved);
}

// Guards against VMs that all see the same last free slot of an upstream, so that what they send there
// displaces less urgent requests that have begun.
#[test]
fn the_last_slots_are_not_safe_while_reports_are_old() {
    let full_but_one = queue(4, 11, 0);
    let fresh = RoomLimits::new(PriorityLevel::new(0), &[full_but_one], BACKLOG);
    let old = fresh.with_report_age(Duration::from_millis(150), Duration::from_millis(1_200));
    assert!(fresh.has_safe_room(full_but_one, NEED));
    assert!(!old.has_safe_room(full_but_one, NEED) && old.has_room(full_but_one, NEED));
    assert!(old.has_safe_room(queue(4, 9, 0), NEED));
    assert!(old.has_safe_room(queue(15, 0, 0), NEED), "there is nobody to displace");
}

// Guards against a backlog that is bounded by something else than what callers wait for.
#[test]
fn the_backlog_follows_the_shortest_target() {
    let performance = ServicePerformance::default();
    let tokens = max_backlog(&performance, Duration::from_millis(500));
    let time = performance.prefill_time(tokens);
    assert!(time <= Duration::from_millis(100), "{time:?}");
    assert!(time > Duration::from_millis(90), "{time:?}");
}

/// Returns an upstream with slots left whose memory is held by requests of the first and the last
/// level.
fn held_queue(memory_tokens: u32, urgent: u32, last: u32) -> QueueState {
    let mut queue = queue(0, 0, 0);
    let share = |number, memory_tokens| LevelShare {
        level: PriorityLevel::new(number),
        in_flight: 2,
        prefill_backlog: 0,
        memory_tokens,
    };
    queue.levels.add(&share(0, urgent));
    queue.levels.add(&share(LAST, last));
    queue.in_flight = 4;
    queue.memory_tokens = memory_tokens;
    queue
}

// Guards against requests that start while the memory lasts for their beginning only, and are
// displaced in the middle of their streams: an upstream of half the memory has half the room.
#[test]
fn memory_is_held_until_the_end() {
    let limits = RoomLimits::new(PriorityLevel::new(0), &[], BACKLOG);
    let room = |memory| limits.room(held_queue(memory, 2_000, 2_000)).memory_tokens;
    assert_eq!((room(10_000), room(5_000), room(3_000)), (6_000, 1_000, 0));
    assert_eq!(room(0), u32::MAX, "its memory is not told");
    assert!(limits.has_room(held_queue(10_000, 2_000, 2_000), NEED));
    assert!(!limits.has_room(held_queue(5_000, 2_000, 2_000), NEED));
}

// Guards against long prompts that wait until they are late for an upstream without a backlog, while
// slots are free: a backlog is no reason then, but reserved slots and memory still are.
#[test]
fn a_free_slot_counts_beside_a_backlog() {
    let backlogged = queue(0, 3, BACKLOG);
    let limits = RoomLimits::new(PriorityLevel::new(LAST), &[backlogged], BACKLOG);
    assert!(!limits.has_room(backlogged, NEED));
    assert!(limits.has_slot(backlogged, NEED));
    let reserved = queue(2, 13, 0);
    let limits = RoomLimits::new(PriorityLevel::new(LAST), &[reserved], BACKLOG);
    assert!(!limits.has_slot(reserved, NEED), "the last slot is left for urgent requests");
}

// Guards against a request that never starts because it needs more than an upstream has: an empty
// one decides about it.
#[test]
fn a_request_beyond_all_memory_starts_at_an_empty_upstream() {
    let limits = RoomLimits::new(PriorityLevel::new(0), &[], BACKLOG);
    let large = RoomNeed { prefill_tokens: 1_000, memory_tokens: 20_000 };
    assert!(limits.has_room(held_queue(10_000, 0, 0), large));
    assert!(!limits.has_room(held_queue(10_000, 0, 1), large));
}
