//! The estimated queue of a service in another region, when one region has lost capacity that
//! another has idle: two upstreams per region, one of them lost, and 26 VMs that may each send to
//! the next region.

use std::time::Duration;

use foldhaven_core::opaque::load_reports::UpstreamShare;
use foldhaven_core::opaque::queue_rank::PrefillBacklog;
use foldhaven_core::opaque::remote_queue::RemoteService;
use rstest::rstest;

const ROUND_TRIP: Duration = Duration::from_millis(110);
const SENDERS: usize = 26;

fn own(in_flight: u16, tokens: u32) -> UpstreamShare {
    let prefill_backlog = PrefillBacklog { timely: tokens, deferred: 0 };
    UpstreamShare { in_flight, on_track: in_flight, deferred: 0, prefill_backlog }
}

/// A few short requests are mostly in transit and leave capacity in the other region. Requests that
/// run long, or many at once, occupy the slots there.
#[rstest]
#[case::one_in_transit(1, 20, true)]
#[case::two_in_transit(2, 20, true)]
#[case::one_that_runs_long(1, 2_000, false)]
#[case::many(8, 20, false)]
fn requests_in_transit_do_not_count_as_queued(
    #[case] in_flight: u16,
    #[case] slot_ms: u64,
    #[case] has_capacity: bool,
) {
    let slot_time = Duration::from_millis(slot_ms);
    let remote = RemoteService { upstreams: 2, slots: 6, slot_time, round_trip: ROUND_TRIP };
    let queue = remote.queue(own(in_flight, 0), SENDERS);
    assert_eq!(queue.in_flight < queue.slots, has_capacity, "{queue:?}");
}

#[test]
fn in_a_large_region_only_transit_lowers_the_queue() {
    let slot_time = Duration::from_millis(330);
    let remote = RemoteService { upstreams: 52, slots: 12, slot_time, round_trip: ROUND_TRIP };
    let queue = remote.queue(own(40, 6_000), SENDERS);
    assert_eq!((queue.in_flight, queue.prefill_backlog.timely), (15, 3_000));
}

#[test]
fn the_queue_is_empty_before_any_measurement() {
    let remote = RemoteService {
        upstreams: 0,
        slots: 6,
        slot_time: Duration::ZERO,
        round_trip: Duration::ZERO,
    };
    assert_eq!(remote.queue(own(3, 0), SENDERS).in_flight, 0);
}
