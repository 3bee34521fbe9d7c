//! Divides the slots of a brittle upstream among the VMs of its region.
//!
//! A brittle upstream crashes if it has to decline more than a few requests in a second for want of
//! room. Load reports are too old to prevent that: several VMs would see the same free slot. Each
//! VM therefore uses its own part of the slots only.

use std::num::NonZeroU32;
use std::time::Duration;

use crate::ids::{UpstreamName, VmName};
use crate::rank::rank_hash;
use crate::time::MonoTime;

/// The range of the pause after a declined request.
const MIN_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_secs(10);

/// How long a VM counts as a sender after its last request. A VM that pauses must find its part of
/// the slots unused.
const SENDER_RETENTION: Duration = Duration::from_secs(12);

/// The largest recent number of VMs that send requests.
#[derive(Debug, Default)]
pub struct RecentSenders {
    peak: usize,
    peak_at: MonoTime,
}

impl RecentSenders {
    /// Records the current number. Returns the largest recent one.
    pub fn record(&mut self, current: usize, now: MonoTime) -> usize {
        if current >= self.peak || now.since(self.peak_at) > SENDER_RETENTION {
            *self = Self { peak: current, peak_at: now };
        }
        self.peak
    }
}

/// The part of an upstream's slots that one VM uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotShare {
    slots: u32,
    own: u32,
}

impl SlotShare {
    /// Returns the share of a VM that is one of `senders` VMs. If there are more VMs than slots,
    /// each upstream is used by about as many of them as it has slots.
    pub fn of(vm: &VmName, upstream: &UpstreamName, slots: u32, senders: usize) -> Self {
        let senders = u32::try_from(senders).unwrap_or(u32::MAX).max(1);
        let own = match slots >= senders {
            true => slots / senders,
            false => {
                let rank = rank_hash(&[vm.as_str(), upstream.as_str()]) % u64::from(senders);
                u32::from(rank < u64::from(slots))
            }
        };
        Self { slots, own }
    }

    /// Whether the VM may send one more request if it has `own` requests at the upstream, and all
    /// VMs together have `all`.
    pub fn has_room(self, own: u32, all: u32) -> bool {
        own < self.own && all < self.slots
    }
}

/// Returns for how long a VM sends nothing to a brittle upstream that has declined its request.
/// Although all VMs that use the upstream do so at the same rate, it declines no more than `per_s`
/// requests per second.
pub fn pause_after_decline(slots: u32, senders: usize, per_s: NonZeroU32) -> Duration {
    let users = senders.clamp(1, slots.max(1) as usize);
    let pause = Duration::from_secs_f64(users as f64 / f64::from(per_s.get()));
    pause.clamp(MIN_PAUSE, MAX_PAUSE)
}
