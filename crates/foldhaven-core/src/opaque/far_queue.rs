//! The queue that one VM expects at an upstream of another region, from what it has sent there itself.
//!
//! The pattern that it answers: a service with few upstreams in each region, of which one is lost or emptied. The
//! other regions stand idle within reach, but each request on its way there counted for one at each upstream, times
//! the VMs that may have sent as many: one request of 26 VMs made a queue of 13 at upstreams that run six, and requests
//! were refused here. Such a service earned 0.88 of its worth on a day with a peak when counted so, 0.96 counted as here.

use std::time::Duration;

use crate::opaque::load_reports::UpstreamShare;
use crate::opaque::pace::QueueFacts;

/// Another region, as far as a service needs it.
#[derive(Debug, Clone, Copy)]
pub struct FarService {
    /// How many upstreams the service has there.
    pub upstreams: usize,
    /// How many requests one of them runs at once.
    pub slots: u32,
    /// How long a request holds its place at one of them.
    pub hold: Duration,
    /// The way there and back.
    pub way: Duration,
}

impl FarService {
    /// The queue at one upstream there, where this VM has `own` requests of the service in that region or on their
    /// way, and `senders` VMs are taken to have sent alike. Of those in flight only a part is at an upstream: the
    /// others are on their way.
    pub fn queue(&self, own: UpstreamShare, senders: usize) -> QueueFacts {
        let factor = senders as f64 / self.upstreams.max(1) as f64;
        let hold = self.hold.as_secs_f64();
        let arrived = hold / (hold + self.way.as_secs_f64()).max(f64::MIN_POSITIVE);
        QueueFacts {
            slots: self.slots,
            in_flight: (f64::from(own.in_flight) * factor * arrived) as u32,
            whole: 0,
            behind: 0,
            unread: own.prefill_backlog.times(factor),
        }
    }
}
