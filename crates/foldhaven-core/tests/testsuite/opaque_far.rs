//! Where work goes when one region has lost what another has idle: a service of two upstreams a region, one of them
//! lost, and 26 VMs that each may send to the next region.

use std::time::Duration;

use foldhaven_core::opaque::far_queue::FarService;
use foldhaven_core::opaque::load_reports::UpstreamShare;
use foldhaven_core::opaque::queue_rank::UnreadTokens;
use rstest::rstest;

const WAY: Duration = Duration::from_millis(110);
const SENDERS: usize = 26;

fn own(in_flight: u16, tokens: u32) -> UpstreamShare {
    let unread = UnreadTokens { timely: tokens, behind: 0 };
    UpstreamShare { in_flight, on_track: in_flight, deferred: 0, prefill_backlog: unread }
}

/// What a VM has on its way leaves room there; what it holds there does not.
#[rstest]
#[case::one_on_its_way(1, 20, true)]
#[case::two_on_their_way(2, 20, true)]
#[case::one_that_works_for_long(1, 2_000, false)]
#[case::many(8, 20, false)]
fn requests_on_their_way_are_no_queue(
    #[case] in_flight: u16,
    #[case] hold_ms: u64,
    #[case] has_room: bool,
) {
    let hold = Duration::from_millis(hold_ms);
    let there = FarService { upstreams: 2, slots: 6, hold, way: WAY };
    let queue = there.queue(own(in_flight, 0), SENDERS);
    assert_eq!(queue.in_flight < queue.slots, has_room, "{queue:?}");
}

#[test]
fn in_a_large_region_it_counts_as_before_but_for_the_way() {
    let hold = Duration::from_millis(330);
    let there = FarService { upstreams: 52, slots: 12, hold, way: WAY };
    let queue = there.queue(own(40, 6_000), SENDERS);
    assert_eq!((queue.in_flight, queue.unread.timely), (15, 3_000));
}

#[test]
fn nothing_measured_yet_is_no_queue() {
    let there = FarService { upstreams: 0, slots: 6, hold: Duration::ZERO, way: Duration::ZERO };
    assert_eq!(there.queue(own(3, 0), SENDERS).in_flight, 0);
}
