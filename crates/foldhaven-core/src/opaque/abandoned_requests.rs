//! The requests of one VM at one upstream that the VM has given up, although the upstream may still
//! be processing them.

use std::time::Duration;

use crate::time::MonoTime;

/// How many times the usual processing time an upstream may spend on a request.
const WORK_TIME_FACTOR: u32 = 2;
/// Maximum time for which an abandoned request counts. A suspended upstream usually continues within
/// a second.
const MAX_RETENTION: Duration = Duration::from_secs(1);

/// A request that was given up.
#[derive(Debug, Clone, Copy)]
struct AbandonedRequest {
    sent_at: MonoTime,
    abandoned_at: MonoTime,
}

impl AbandonedRequest {
    /// Whether the upstream may still be processing the request at `now`, if it last answered any
    /// request at `last_received`.
    fn may_run(self, work_time: Duration, last_received: MonoTime, now: MonoTime) -> bool {
        if now.since(self.abandoned_at) >= MAX_RETENTION {
            return false;
        }
        let usual_end = self.sent_at + work_time * WORK_TIME_FACTOR;
        // An upstream that was overdue already may have been suspended. It continues afterwards.
        let was_overdue = usual_end <= self.abandoned_at;
        let is_responsive = !was_overdue || last_received > self.abandoned_at;
        now < usual_end || !is_responsive
    }
}

/// The requests that were given up at one upstream.
#[derive(Debug, Default)]
pub struct AbandonedRequests {
    requests: Vec<AbandonedRequest>,
}

impl AbandonedRequests {
    /// Records that a request was given up.
    pub fn record(&mut self, sent_at: MonoTime, now: MonoTime) {
        let is_recent = |it: &AbandonedRequest| now.since(it.abandoned_at) < MAX_RETENTION;
        self.requests.retain(is_recent);
        self.requests.push(AbandonedRequest { sent_at, abandoned_at: now });
    }

    /// Returns the number of requests that the upstream may still be processing, and drops the
    /// others. `work_time` is the usual time of a request, and `last_received` is when the upstream
    /// last answered any request.
    pub fn count(&mut self, work_time: Duration, last_received: MonoTime, now: MonoTime) -> u32 {
        self.requests.retain(|request| request.may_run(work_time, last_received, now));
        u32::try_from(self.requests.len()).unwrap_or(u32::MAX)
    }
}
