//! The part of a retry budget that one VM may spend, where all VMs together have one budget.
//!
//! The budget permits, in any window, a share of the requests of that window and a fixed number on
//! top. The share can be split without talk: each VM spends it on the requests that it saw itself.
//! The fixed number is divided by the number of VMs that may exist. The sum over all VMs then stays
//! within the budget as long as no VM assumes fewer VMs than there are.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::MonoTime;

/// The part of the share of requests that is used; the rest covers windows of another phase.
const USED_SHARE: f64 = 0.85;
/// The part of the fixed number that is used: a VM that is killed may have spent its part, and its
/// next process spends another one within the same window.
const USED_FIXED_SHARE: f64 = 0.45;
/// The time slices by which a window is counted.
const SLICES: u32 = 10;

/// A retry budget over all VMs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries permitted for each request.
    pub ratio: f64,
    /// Retries permitted on top, over all VMs, in each window.
    pub extra: f64,
    /// The length of the window.
    pub window: Duration,
}

/// The counts of one part of the window.
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
    /// An empty count.
    pub fn new(limits: RetryLimits) -> Self {
        Self { limits, slices: VecDeque::new() }
    }

    /// The current slice; those that the window has left are dropped.
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
        self.slices.back_mut().expect("a slice was just made")
    }

    /// Counts a request that a caller sent.
    pub fn record_request(&mut self, now: MonoTime) {
        self.slice(now).requests += 1;
    }

    /// Takes one retry out, if this VM's part permits it.
    ///
    /// `vms` is how many VMs may exist; without it only the share of the own requests counts.
    /// `uptime` is how long this process has run: the fixed part of a process that has just started
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
