//! The memory of requests that wait at a VM.

use std::sync::Arc;

use foldhaven_core::opaque::affinity::{MAX_HOLDERS, MAX_SEGMENTS, UpstreamTag};
use foldhaven_core::opaque::level_loads::LevelLoads;
use foldhaven_core::opaque::load_reports::UpstreamShare;
use foldhaven_core::opaque::priority_level::PriorityLevel;
use foldhaven_core::opaque::waiting_memory::{
    DEFAULT_WAITING_BYTES, REQUEST_BYTES, WaitingBytes, WaitingMemory,
};
use rstest::rstest;

const LIMIT: usize = 32 << 20;

fn fill(memory: &Arc<WaitingMemory>, level: PriorityLevel, body: usize) -> Vec<WaitingBytes> {
    std::iter::from_fn(|| memory.take(level, body)).collect()
}

/// Guards against a VM that runs out of memory in an overload of long prompts at all levels.
#[test]
fn requests_of_all_levels_together_stay_within_the_limit() {
    let memory = Arc::new(WaitingMemory::new(LIMIT));
    let levels: Vec<PriorityLevel> = PriorityLevel::all().collect();
    let held: Vec<_> = levels.iter().rev().map(|level| fill(&memory, *level, 72_000)).collect();
    assert!(memory.used() <= LIMIT);
    let taken: usize = held.iter().map(|level| level.len() * (REQUEST_BYTES + 72_000)).sum();
    assert_eq!(memory.used(), taken);
}

/// Guards against urgent requests that are refused since less urgent ones fill the memory.
#[test]
fn the_least_urgent_requests_leave_half_of_the_memory() {
    let memory = Arc::new(WaitingMemory::new(LIMIT));
    let first = PriorityLevel::all().next().unwrap();
    let held = fill(&memory, PriorityLevel::LAST, 12_000);
    assert!(memory.used() <= LIMIT / 2);
    assert!(memory.take(PriorityLevel::LAST, 12_000).is_none());
    let urgent = fill(&memory, first, 12_000);
    assert!(urgent.len() >= held.len(), "{} {}", urgent.len(), held.len());
}

/// Guards against memory that stays in use after requests have left.
#[test]
fn the_memory_of_requests_that_left_is_free() {
    let memory = Arc::new(WaitingMemory::new(LIMIT));
    let held = fill(&memory, PriorityLevel::LAST, 12_000);
    drop(held);
    assert_eq!(memory.used(), 0);
    assert!(memory.take(PriorityLevel::LAST, usize::MAX).is_none());
    assert_eq!(memory.used(), 0);
}

/// Guards against a VM that outgrows a small machine: what it knows of the loads of other VMs and of
/// prompt caches at its largest, counted from the sizes of their entries, and the requests that wait.
#[rstest]
#[case::a_fleet(72, 147)]
#[case::twice_its_size(144, 300)]
fn what_a_vm_holds_is_bounded(#[case] vms: usize, #[case] upstreams: usize) {
    const GOAL_BYTES: usize = 80 << 20;
    /// The memory of a process without load, and of the connections of its callers.
    const OTHER_BYTES: usize = 24 << 20;
    let of_upstream =
        size_of::<(UpstreamTag, UpstreamShare)>() + size_of::<(UpstreamTag, LevelLoads)>();
    // Lists take up to twice the memory of their entries.
    let loads = 2 * vms * upstreams * of_upstream;
    let holders = MAX_SEGMENTS * MAX_HOLDERS * size_of::<(UpstreamTag, u64)>();
    let sum = loads + holders + DEFAULT_WAITING_BYTES;
    assert!(sum + OTHER_BYTES < GOAL_BYTES, "{loads} {holders}");
}
