//! How many requests one VM may send to a cold upstream, so that all VMs together stay under the
//! rate that it bears.
//!
//! The VMs do not ask each other. Each ranks the live VMs of its region for an upstream in the same
//! way, and only the first [`MAX_SENDERS`] of them send, each an equal part of the rate. Where VMs
//! disagree on who is live, at most the union of their choices sends; a VM that has just started
//! sends nothing until it has heard from others.

use std::time::Duration;

use crate::ids::{UpstreamName, VmName};
use crate::rank::rank_by;
use crate::time::MonoTime;

/// How many VMs send to one cold upstream. Each may send one request at once, so that this is also
/// the burst over the rate within a second; the smallest slack of the deployments so far is 3.
pub const MAX_SENDERS: usize = 3;

/// The part of the permitted rate that is used, for VMs that disagree on who is live.
const USED_SHARE: f64 = 0.9;

/// The rate at which one VM may send to a cold upstream, in requests a second.
///
/// `live` are the live VMs of the region, `own` among them.
pub fn cold_share(rate: f64, upstream: &UpstreamName, own: &VmName, live: &[VmName]) -> f64 {
    let ranked = rank_by(upstream.as_str(), live, |name| name.as_str());
    let senders = ranked.len().min(MAX_SENDERS);
    let is_sender = ranked.into_iter().take(MAX_SENDERS).any(|name| name == own);
    match is_sender {
        true => rate * USED_SHARE / senders as f64,
        false => 0.0,
    }
}

/// Spaces the requests of one VM to one cold upstream evenly.
#[derive(Debug, Clone, Copy, Default)]
pub struct ColdPacer {
    next: MonoTime,
}

impl ColdPacer {
    /// Takes a place for one request at a rate; fails when none is free now.
    pub fn take(&mut self, rate: f64, now: MonoTime) -> bool {
        if rate <= 0.0 || now < self.next {
            return false;
        }
        self.next = now + Duration::from_secs_f64(1.0 / rate);
        true
    }

    /// Whether a place is free now.
    pub fn is_free(&self, rate: f64, now: MonoTime) -> bool {
        rate > 0.0 && now >= self.next
    }
}
