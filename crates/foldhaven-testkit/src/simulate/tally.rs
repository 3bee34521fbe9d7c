//! What callers got, by the second in which they asked.

use std::time::Duration;

use serde::Serialize;

/// Requests of this long after the start are counted by themselves, too: nothing is learnt yet.
const FIRST_SPAN: Duration = Duration::from_secs(2);

/// What happened in one second.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct SecondCounts {
    /// Requests that callers sent, those that came back not counted again.
    pub sent: u64,
    /// Those that were answered within their target.
    pub timely: u64,
    /// Those that were answered later.
    pub late: u64,
    /// Those that were refused for good, or answered after their caller had left.
    pub refused: u64,
}

/// A request as it is counted.
#[derive(Debug, Clone, Copy)]
pub(super) struct CountedRequest {
    /// When its caller sent it first, after the start.
    pub asked: Duration,
    /// Its size in tokens.
    pub size: f64,
    /// The time within which its caller wants an answer.
    pub target: Duration,
    /// For how long it waits.
    pub patience: Duration,
}

/// Sizes of requests that were sent, and that were answered in time.
#[derive(Debug, Clone, Copy, Default)]
struct EarnedShare {
    owed: f64,
    earned: f64,
}

impl EarnedShare {
    fn value(self) -> f64 {
        if self.owed > 0.0 { self.earned / self.owed } else { 0.0 }
    }
}

/// The counts of one trial.
#[derive(Debug)]
pub(super) struct RequestTally {
    seconds: Vec<SecondCounts>,
    all: EarnedShare,
    first: EarnedShare,
    /// Times to the first event, in milliseconds.
    times_ms: Vec<f64>,
}

impl RequestTally {
    /// No requests, over so long.
    pub(super) fn new(length: Duration) -> Self {
        let seconds = length.as_secs_f64().ceil().max(1.0) as usize;
        Self {
            seconds: vec![SecondCounts::default(); seconds],
            all: EarnedShare::default(),
            first: EarnedShare::default(),
            times_ms: Vec::new(),
        }
    }

    /// Counts a request that was sent.
    pub(super) fn note_sent(&mut self, request: &CountedRequest) {
        self.all.owed += request.size;
        if request.asked < FIRST_SPAN {
            self.first.owed += request.size;
        }
        self.second(request).sent += 1;
    }

    /// Counts one whose first event came after its caller had waited so long.
    pub(super) fn note_answered(&mut self, request: &CountedRequest, waited: Duration) {
        self.times_ms.push(waited.as_secs_f64() * 1e3);
        if waited > request.target {
            let is_wanted = waited <= request.patience;
            let second = self.second(request);
            second.late += u64::from(is_wanted);
            second.refused += u64::from(!is_wanted);
            return;
        }
        self.all.earned += request.size;
        if request.asked < FIRST_SPAN {
            self.first.earned += request.size;
        }
        self.second(request).timely += 1;
    }

    /// Counts one that was refused for good.
    pub(super) fn note_refused(&mut self, request: &CountedRequest) {
        self.second(request).refused += 1;
    }

    fn second(&mut self, request: &CountedRequest) -> &mut SecondCounts {
        let last = self.seconds.len() - 1;
        &mut self.seconds[(request.asked.as_secs() as usize).min(last)]
    }

    /// The share of all sizes that was answered in time.
    pub(super) fn worth(&self) -> f64 {
        self.all.value()
    }

    /// The same of the first two seconds.
    pub(super) fn first_worth(&self) -> f64 {
        self.first.value()
    }

    /// The time in milliseconds that 99 in 100 answers kept within.
    pub(super) fn p99_ms(&mut self) -> f64 {
        self.times_ms.sort_by(f64::total_cmp);
        let at = (self.times_ms.len() as f64 * 0.99) as usize;
        self.times_ms.get(at).copied().unwrap_or_default()
    }

    /// By second.
    pub(super) fn into_seconds(self) -> Vec<SecondCounts> {
        self.seconds
    }
}
