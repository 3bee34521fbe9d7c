//! The share of a retry budget that one VM may spend, where one budget holds for all VMs together.
//!
//! In any window, the budget permits a fraction of the requests of that window plus a fixed number
//! of retries. The fraction needs no communication: each VM spends it on the requests that it
//! received itself. The fixed number is divided by the number of VMs that may exist. The sum over
//! all VMs stays within the budget as long as no VM assumes fewer VMs than there are.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::MonoTime;

/// The fraction of the request-based budget that is used. The rest covers windows that are aligned
/// differently.
const USED_SHARE: f64 = 0.85;
/// The fraction of the fixed budget that is used: a VM that is killed may have spent its share, and
/// its next process spends another one within the same window.
const USED_FIXED_SHARE: f64 = 0.45;
/// The number of time slices in a window.
const SLICES: u32 = 10;

/// A retry budget for all VMs together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries permitted per request.
    pub ratio: f64,
    /// Additional retries permitted in each window, over all VMs.
    pub extra: f64,
    /// The length of the window.
    pub window: Duration,
}

/// The counts of one time slice.
#[derive(Debug, Clone, Copy)]
struct RetrySlice {
    start: MonoTime,
    requests: u32,
    retries: u32,
}

/// Counts the requests and retries of one service at one VM.
#[derive(Debug)]
pub struct RetryShare {
    limits: RetryLimits,
    slices: VecDeque<RetrySlice>,
}

impl RetryShare {
    /// Creates an empty count.
    pub fn new(limits: RetryLimits) -> Self {
        Self { limits, slices: VecDeque::new() }
    }

    /// Returns the current slice, after dropping those that have left the window.
    fn slice(&mut self, now: MonoTime) -> &mut RetrySlice {
        let length = self.limits.window / SLICES;
        let oldest = now - (self.limits.window + length);
        while self.slices.front().is_some_and(|slice| slice.start < oldest) {
            self.slices.pop_front();
        }
        let is_current = self.slices.back().is_some_and(|slice| now < slice.start + length);
        if !is_current {
            self.slices.push_back(RetrySlice { start: now, requests: 0, retries: 0 });
        }
        self.slices.back_mut().expect("a slice was just added")
    }

    /// Counts a request from a caller.
    pub fn record_request(&mut self, now: MonoTime) {
        self.slice(now).requests += 1;
    }

    /// Withdraws one retry if this VM's share permits it.
    ///
    /// `vms` is the number of VMs that may exist; if `None`, only the fraction of this VM's own
    /// requests counts. `uptime` is how long this process has run: its share of the fixed budget
    /// grows over the first window, since an earlier process of this VM may have spent it.
    pub fn try_withdraw(&mut self, vms: Option<usize>, uptime: Duration, now: MonoTime) -> bool {
        self.slice(now);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let retries: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        let ramp = uptime.div_duration_f64(self.limits.window).min(1.0);
        let fixed = vms.map_or(0.0, |vms| self.limits.extra * ramp / vms.max(1) as f64);
        let permitted =
            self.limits.ratio * f64::from(requests) * USED_SHARE + fixed * USED_FIXED_SHARE;
        if f64::from(retries) + 1.0 > permitted {
            return false;
        }
        self.slice(now).retries += 1;
        true
    }
}
