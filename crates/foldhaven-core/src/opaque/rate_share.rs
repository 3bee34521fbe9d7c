//! How many requests one VM may send to an upstream that is cold, or that names a limit, so that all VMs together stay
//! under the rate.
//!
//! The VMs that take requests rank each other for an upstream in the same way, and only the first of them send, each an
//! equal part of the rate, and only while all of them agree on the list
//! ([`SenderPact`](crate::opaque::sender_pact::SenderPact)). What is not known is no permission: a VM that is learning who
//! there is, or leaves, or whose list is disputed sends nothing.

use std::time::Duration;

use crate::ids::{UpstreamName, VmName};
use crate::rank::rank_by;
use crate::time::MonoTime;
use crate::units::RequestRate;

/// How many VMs send to one cold upstream. Each may send one request at once, so that this is also
/// the burst over the rate within a second; the smallest slack of the deployments so far is 3.
pub const MAX_SENDERS: usize = 3;
/// The limit, in requests a second, that is used for one that is lower: an upstream that gets nothing could not say that
/// its limit has ended.
const MIN_LIMIT_PER_S: f64 = 0.1;
/// The part of the permitted rate that is used. What is above it in one second comes from places that fall due at
/// the same moment.
const USED_SHARE: f64 = 0.9;
/// How much of the time between two places may be made up for when one is taken late: requests come at any time, and
/// without it a VM that is asked every 40 ms used 0.8 of its part in place of 0.9.
const CATCH_UP_SHARE: f64 = 0.25;

/// A rate that holds over all VMs of a region.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedRate {
    /// Requests a second.
    pub per_s: f64,
    /// How many VMs may have a part of it.
    pub senders: usize,
}

impl SharedRate {
    /// What a cold upstream bears, in requests a second.
    pub fn of_cold(per_s: f64) -> Self {
        Self { per_s, senders: MAX_SENDERS }
    }

    /// The limit that an upstream names. More VMs may share a higher one: what they send at one moment is small against it.
    pub fn of_limit(limit: RequestRate) -> Self {
        let per_s = limit.per_s().max(MIN_LIMIT_PER_S);
        Self { per_s, senders: MAX_SENDERS + per_s as usize }
    }

    /// The rate that keeps to both.
    pub fn stricter(self, other: Self) -> Self {
        Self { per_s: self.per_s.min(other.per_s), senders: self.senders.min(other.senders) }
    }
}

/// The VMs that a VM holds for those that share a limit of the region.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SenderList {
    /// Those that live, this one among them.
    pub live: Vec<VmName>,
    /// The same list if those that fell silent a moment ago still lived: they may be cut off and send too.
    pub with_unresponsive: Vec<VmName>,
}

/// The part of one VM of a shared rate.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RateShare {
    /// Requests a second.
    pub per_s: f64,
    /// How long after it gets this part a VM takes its first place: places of several VMs that begin together are spaced.
    pub first_delay: Duration,
}

/// The part of the rate of an upstream that this VM may use while its list holds.
pub fn rate_share(
    rate: SharedRate,
    upstream: &UpstreamName,
    own: &VmName,
    senders: &SenderList,
) -> RateShare {
    let rank = |list: &[VmName]| -> Option<usize> {
        let ranked = rank_by(upstream.as_str(), list, |name| name.as_str());
        ranked.into_iter().take(rate.senders).position(|name| name == own)
    };
    // One that is first only because silent ones are left out might send beside them.
    let (Some(position), Some(_)) = (rank(&senders.live), rank(&senders.with_unresponsive)) else {
        return RateShare::default();
    };
    if rate.per_s <= 0.0 {
        return RateShare::default();
    }
    let usable = rate.per_s * USED_SHARE;
    RateShare {
        per_s: usable / senders.live.len().min(rate.senders) as f64,
        first_delay: Duration::from_secs_f64((position + 1) as f64 / usable),
    }
}

/// Spaces the requests of one VM to one upstream evenly.
#[derive(Debug, Clone, Copy, Default)]
pub struct RatePacer {
    next_slot: MonoTime,
}

impl RatePacer {
    /// Takes a place for one request at a rate; fails when none is free now.
    pub fn try_acquire(&mut self, rate: f64, now: MonoTime) -> bool {
        if !self.is_ready(rate, now) {
            return false;
        }
        let interval = Duration::from_secs_f64(1.0 / rate);
        let lateness = now.since(self.next_slot);
        // A place that fell due long ago is not made up for: nobody asked for it.
        let caught_up = if lateness < interval {
            lateness.min(interval.mul_f64(CATCH_UP_SHARE))
        } else {
            Duration::ZERO
        };
        self.next_slot = now - caught_up + interval;
        true
    }

    /// Whether a place is free now.
    pub fn is_ready(&self, rate: f64, now: MonoTime) -> bool {
        rate > 0.0 && now >= self.next_slot
    }

    /// The time until a place is free at a rate; nothing where none will be.
    pub fn wait(&self, rate: f64, now: MonoTime) -> Option<Duration> {
        (rate > 0.0).then(|| self.next_slot.since(now))
    }

    /// Gives no place before a moment.
    pub fn delay_until(&mut self, moment: MonoTime) {
        self.next_slot = self.next_slot.max(moment);
    }

    /// Takes in that a higher rate is in force from now on.
    pub fn raise_rate(&mut self, rate: f64, now: MonoTime) {
        if let Ok(interval) = Duration::try_from_secs_f64(1.0 / rate) {
            self.next_slot = self.next_slot.min(now + interval);
        }
    }
}
