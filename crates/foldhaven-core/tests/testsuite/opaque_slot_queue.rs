//! Requests that wait for a VM's share of the slots of brittle upstreams.

use std::time::Duration;

use foldhaven_core::opaque::slot_queue::SlotQueue;

const SLOT_TIME: Duration = Duration::from_millis(100);

/// Guards against later requests that overtake earlier ones.
#[test]
fn requests_get_slots_in_order_of_arrival() {
    let mut queue = SlotQueue::default();
    let ids: Vec<_> = (0..20).map(|_| queue.enter()).collect();
    assert!(queue.is_at_front(ids[0]));
    assert!(!queue.is_at_front(ids[19]));
    ids[..19].iter().for_each(|id| queue.leave(*id));
    assert!(queue.is_at_front(ids[19]));
    queue.leave(ids[19]);
    assert!(queue.is_empty());
}

/// Guards against requests that wait although they cannot be served in time.
#[test]
fn the_expected_wait_follows_the_position_and_the_share() {
    let mut queue = SlotQueue::default();
    let ids: Vec<_> = (0..6).map(|_| queue.enter()).collect();
    assert_eq!(queue.expected_wait(ids[0], 2, SLOT_TIME), Some(SLOT_TIME / 2));
    assert_eq!(queue.expected_wait(ids[5], 2, SLOT_TIME), Some(SLOT_TIME * 3));
    assert_eq!(queue.expected_wait(ids[5], 0, SLOT_TIME), None);
}
