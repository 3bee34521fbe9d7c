//! How many requests one VM may send to a cold upstream, so that all VMs together stay under the
//! rate that it bears.
//!
//! The VMs that take requests rank each other for an upstream in the same way, and only the first [`MAX_SENDERS`] of them
//! send, each an equal part of the rate, and only while all of them agree on the list
//! ([`SenderPact`](crate::opaque::sender_pact::SenderPact)). What is not known is no permission: a VM that is learning who
//! there is, or leaves, or whose list is disputed sends nothing; the upstream is warm after some seconds all the same.

use std::time::Duration;

use crate::ids::{UpstreamName, VmName};
use crate::rank::rank_by;
use crate::time::MonoTime;

/// How many VMs send to one cold upstream. Each may send one request at once, so that this is also
/// the burst over the rate within a second; the smallest slack of the deployments so far is 3.
pub const MAX_SENDERS: usize = 3;
/// The part of the permitted rate that is used. What is above it in one second comes from places that fall due at
/// the same moment.
const USED_SHARE: f64 = 0.9;
/// How much of the time between two places may be made up for when one is taken late: requests come at any time, and
/// without it a VM that is asked every 40 ms used 0.8 of its part in place of 0.9.
const MADE_UP: f64 = 0.25;

/// The VMs that a VM holds for those that share a limit of the region.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SenderList {
    /// Those that live, this one among them.
    pub live: Vec<VmName>,
    /// The same list if those that fell silent a moment ago still lived: they may be cut off and send too.
    pub with_silent: Vec<VmName>,
}

/// The part of one VM of the rate of a cold upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RatePart {
    /// Requests a second.
    pub per_s: f64,
    /// How long after it gets this part a VM takes its first place: places of several VMs that begin together are spaced.
    pub first_after: Duration,
}

/// The part of the rate, in requests a second, that this VM may send to a cold upstream while its list holds.
pub fn rate_part(
    rate: f64,
    upstream: &UpstreamName,
    own: &VmName,
    senders: &SenderList,
) -> RatePart {
    let place = |list: &[VmName]| -> Option<usize> {
        let ranked = rank_by(upstream.as_str(), list, |name| name.as_str());
        ranked.into_iter().take(MAX_SENDERS).position(|name| name == own)
    };
    // One that is first only because silent ones are left out might send beside them.
    let (Some(turn), Some(_)) = (place(&senders.live), place(&senders.with_silent)) else {
        return RatePart::default();
    };
    if rate <= 0.0 {
        return RatePart::default();
    }
    let used = rate * USED_SHARE;
    RatePart {
        per_s: used / senders.live.len().min(MAX_SENDERS) as f64,
        first_after: Duration::from_secs_f64((turn + 1) as f64 / used),
    }
}

/// Spaces the requests of one VM to one cold upstream evenly.
#[derive(Debug, Clone, Copy, Default)]
pub struct RatePacer {
    next: MonoTime,
}

impl RatePacer {
    /// Takes a place for one request at a rate; fails when none is free now.
    pub fn take(&mut self, rate: f64, now: MonoTime) -> bool {
        if !self.is_free(rate, now) {
            return false;
        }
        let pause = Duration::from_secs_f64(1.0 / rate);
        let late = now.since(self.next);
        // A place that fell due long ago is not made up for: nobody asked for it.
        let made_up = if late < pause { late.min(pause.mul_f64(MADE_UP)) } else { Duration::ZERO };
        self.next = now - made_up + pause;
        true
    }

    /// Whether a place is free now.
    pub fn is_free(&self, rate: f64, now: MonoTime) -> bool {
        rate > 0.0 && now >= self.next
    }

    /// Gives no place before a moment.
    pub fn hold_until(&mut self, moment: MonoTime) {
        self.next = self.next.max(moment);
    }
}
