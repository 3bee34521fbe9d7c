//! Counts the outcomes of requests by the second in which they were sent.

use std::time::Duration;

use serde::Serialize;

/// Requests sent this soon after the start are also counted separately, because the VMs have
/// learned no performance values yet.
const STARTUP_SPAN: Duration = Duration::from_secs(2);

/// The outcomes of the requests that were sent in one second.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct SecondCounts {
    /// Requests that callers sent, not counting retries.
    pub sent: u64,
    /// Requests answered within their target.
    pub timely: u64,
    /// Requests answered after their target, while the caller still waited.
    pub late: u64,
    /// Requests refused twice, or answered after the caller had given up.
    pub refused: u64,
}

/// The properties of a request that the tally needs.
#[derive(Debug, Clone, Copy)]
pub(super) struct CountedRequest {
    /// When its caller first sent it, counted from the start of the load.
    pub first_sent: Duration,
    /// Size in tokens.
    pub size: f64,
    /// Target for the time to the first event.
    pub target: Duration,
    /// How long the caller waits for the first event.
    pub max_wait: Duration,
}

/// Total sizes of the requests that were sent and of those answered in time.
#[derive(Debug, Clone, Copy, Default)]
struct OnTimeShare {
    sent_size: f64,
    on_time_size: f64,
}

impl OnTimeShare {
    fn value(self) -> f64 {
        if self.sent_size > 0.0 { self.on_time_size / self.sent_size } else { 0.0 }
    }
}

/// The request counts of one trial.
#[derive(Debug)]
pub(super) struct RequestTally {
    seconds: Vec<SecondCounts>,
    all: OnTimeShare,
    first: OnTimeShare,
    /// Times to the first event, in milliseconds.
    times_ms: Vec<f64>,
}

impl RequestTally {
    /// Returns an empty tally for a trial of the given length.
    pub(super) fn new(length: Duration) -> Self {
        let seconds = length.as_secs_f64().ceil().max(1.0) as usize;
        Self {
            seconds: vec![SecondCounts::default(); seconds],
            all: OnTimeShare::default(),
            first: OnTimeShare::default(),
            times_ms: Vec::new(),
        }
    }

    /// Counts a request that was sent.
    pub(super) fn record_sent(&mut self, request: &CountedRequest) {
        self.all.sent_size += request.size;
        if request.first_sent < STARTUP_SPAN {
            self.first.sent_size += request.size;
        }
        self.second(request).sent += 1;
    }

    /// Counts a request whose first event arrived after the caller had waited for `waited`.
    pub(super) fn record_answered(&mut self, request: &CountedRequest, waited: Duration) {
        self.times_ms.push(waited.as_secs_f64() * 1e3);
        if waited > request.target {
            let is_awaited = waited <= request.max_wait;
            let second = self.second(request);
            second.late += u64::from(is_awaited);
            second.refused += u64::from(!is_awaited);
            return;
        }
        self.all.on_time_size += request.size;
        if request.first_sent < STARTUP_SPAN {
            self.first.on_time_size += request.size;
        }
        self.second(request).timely += 1;
    }

    /// Counts a request that was refused on its retry.
    pub(super) fn record_refused(&mut self, request: &CountedRequest) {
        self.second(request).refused += 1;
    }

    fn second(&mut self, request: &CountedRequest) -> &mut SecondCounts {
        let last = self.seconds.len() - 1;
        &mut self.seconds[(request.first_sent.as_secs() as usize).min(last)]
    }

    /// Returns the share of the size of all requests that was answered in time.
    pub(super) fn on_time_share(&self) -> f64 {
        self.all.value()
    }

    /// Returns the same share for requests of the first two seconds.
    pub(super) fn startup_on_time_share(&self) -> f64 {
        self.first.value()
    }

    /// Returns the 99th percentile of the time to the first event, in milliseconds.
    pub(super) fn p99_ms(&mut self) -> f64 {
        self.times_ms.sort_by(f64::total_cmp);
        let at = (self.times_ms.len() as f64 * 0.99) as usize;
        self.times_ms.get(at).copied().unwrap_or_default()
    }

    /// Returns the counts of each second.
    pub(super) fn into_seconds(self) -> Vec<SecondCounts> {
        self.seconds
    }
}
