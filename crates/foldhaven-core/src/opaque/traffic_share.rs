//! Estimates this VM's part of the requests that the VMs of its region send to a service.
//!
//! What the other VMs have sent to another region is not reported. It is estimated from what this VM
//! has sent there, and VMs of different sizes get different numbers of requests: a large one that
//! took itself for a usual one would believe that the other region is full.

/// The weight of a new observation in the means.
const WEIGHT: f64 = 0.02;
/// The number of observations before which the share is not known.
const MIN_COUNT: u32 = 20;

/// The mean numbers of requests at the upstreams of this region.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TrafficShare {
    own: f64,
    all: f64,
    count: u32,
}

impl TrafficShare {
    /// Records the requests of this VM, and of all VMs, at the upstreams of the region.
    pub fn record(&mut self, own: u32, all: u32) {
        self.own += (f64::from(own) - self.own) * WEIGHT;
        self.all += (f64::from(all.max(own)) - self.all) * WEIGHT;
        self.count = self.count.saturating_add(1);
    }

    /// Returns the number of VMs with as many requests as this one that would send as many as all
    /// `vms` VMs together do: `vms` itself if the share is not known, and four times as many at
    /// most.
    pub fn equal_senders(&self, vms: usize) -> usize {
        let vms = vms.max(1);
        if self.count < MIN_COUNT || self.own <= 0.0 {
            return vms;
        }
        ((self.all / self.own).round() as usize).clamp(1, vms * 4)
    }
}
