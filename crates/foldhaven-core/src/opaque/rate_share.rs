//! The rate at which one VM may send requests to an upstream that is cold or that names a limit,
//! such that all VMs together stay within that rate.
//!
//! The VMs that take requests rank each other for an upstream in the same way. Only the first ones
//! send, each with an equal share of the rate, and only while all of them agree on the list
//! ([`SenderAgreement`](crate::opaque::sender_agreement::SenderAgreement)). Lack of knowledge
//! grants no permission: a VM that is still discovering the others, that is leaving, or whose list
//! is disputed sends nothing.

use std::time::Duration;

use crate::ids::{UpstreamName, VmName};
use crate::rank::rank_by;
use crate::time::MonoTime;
use crate::units::RequestRate;

/// The maximum number of VMs that send to one cold upstream. Each may send one request at once, so
/// this is also the burst above the rate within one second. The smallest slack that deployments
/// grant is 3.
pub const MAX_SENDERS: usize = 3;
/// The minimum effective limit, in requests per second: an upstream that gets no requests could not
/// signal that its limit has ended.
const MIN_LIMIT_PER_S: f64 = 0.1;
/// The fraction of the permitted rate that is used. Any excess within one second comes from slots
/// that fall due at the same moment.
const USED_SHARE: f64 = 0.9;
/// The fraction of the interval between two slots that may be made up for when a slot is used late.
/// Requests arrive at any time: without this, a VM with a request every 40 ms used 0.8 of the rate
/// instead of 0.9.
const CATCH_UP_SHARE: f64 = 0.25;

/// A rate that holds for all VMs of a region together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedRate {
    /// The rate in requests per second.
    pub per_s: f64,
    /// The maximum number of VMs that share the rate.
    pub senders: usize,
}

impl SharedRate {
    /// Returns the rate that a cold upstream can handle, in requests per second.
    pub fn of_cold(per_s: f64) -> Self {
        Self { per_s, senders: MAX_SENDERS }
    }

    /// Returns the limit that an upstream names. More VMs may share a higher limit, since what they
    /// send at one moment is small compared to it.
    pub fn of_limit(limit: RequestRate) -> Self {
        let per_s = limit.per_s().max(MIN_LIMIT_PER_S);
        Self { per_s, senders: MAX_SENDERS + per_s as usize }
    }

    /// Combines two rates such that the result satisfies both.
    pub fn stricter(self, other: Self) -> Self {
        Self { per_s: self.per_s.min(other.per_s), senders: self.senders.min(other.senders) }
    }
}

/// The VMs that share the limits of the region, as one VM sees them. Both lists are empty if that
/// VM has no share itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SenderList {
    /// The VMs that share the limits if only live VMs are considered.
    pub live: Vec<VmName>,
    /// The VMs that share the limits if VMs that became unresponsive recently are considered too:
    /// they may be partitioned and still send.
    pub with_unresponsive: Vec<VmName>,
}

/// The share of a rate that one VM may use.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RateShare {
    /// The rate in requests per second.
    pub per_s: f64,
    /// The delay before the first request after this share is granted, which staggers VMs that
    /// start at the same moment.
    pub first_delay: Duration,
}

/// Returns the share of an upstream's rate that this VM may use while its list is agreed.
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
    // A VM that ranks among the first only because unresponsive VMs are left out might send in
    // addition to them.
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
    /// Takes a slot for one request at `rate`. Returns whether one was free.
    pub fn try_acquire(&mut self, rate: f64, now: MonoTime) -> bool {
        if !self.is_ready(rate, now) {
            return false;
        }
        let interval = Duration::from_secs_f64(1.0 / rate);
        let lateness = now.since(self.next_slot);
        // A slot that fell due long ago is not made up for, since there was no demand for it.
        let caught_up = if lateness < interval {
            lateness.min(interval.mul_f64(CATCH_UP_SHARE))
        } else {
            Duration::ZERO
        };
        self.next_slot = now - caught_up + interval;
        true
    }

    /// Whether a slot is free now.
    pub fn is_ready(&self, rate: f64, now: MonoTime) -> bool {
        rate > 0.0 && now >= self.next_slot
    }

    /// Returns the time until a slot is free at `rate`; `None` if there is no rate.
    pub fn wait(&self, rate: f64, now: MonoTime) -> Option<Duration> {
        (rate > 0.0).then(|| self.next_slot.since(now))
    }

    /// Grants no slot before `moment`.
    pub fn delay_until(&mut self, moment: MonoTime) {
        self.next_slot = self.next_slot.max(moment);
    }

    /// Applies a higher rate from now on: the next slot comes at most one interval of it later.
    pub fn raise_rate(&mut self, rate: f64, now: MonoTime) {
        if let Ok(interval) = Duration::try_from_secs_f64(1.0 / rate) {
            self.next_slot = self.next_slot.min(now + interval);
        }
    }
}
