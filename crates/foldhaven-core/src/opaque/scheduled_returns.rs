//! Which requests this VM has told to come again and when, so that callers that come earlier do not
//! gain a place by it.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::opaque::refusal::MIN_OVERLOAD_RETRY_DELAY;
use crate::opaque::request_fingerprint::RequestFingerprint;
use crate::time::MonoTime;

/// The maximum number of requests that are remembered.
const MAX_REMEMBERED: usize = 1_024;
/// How much earlier than told a caller may come: clocks differ, and times are rounded.
const TOLERANCE: Duration = Duration::from_millis(50);
/// By how much two estimates of when one caller first tried may differ. Copies of a request that
/// other callers send at other times are not taken for it.
const FIRST_TRY_TOLERANCE: Duration = MIN_OVERLOAD_RETRY_DELAY;

/// A request that was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedRequest {
    /// Its fingerprint.
    pub fingerprint: RequestFingerprint,
    /// When its caller first tried, as estimated from its remaining time.
    pub first_try: MonoTime,
}

#[derive(Debug, Clone, Copy)]
struct ScheduledReturn {
    first_try: MonoTime,
    told: MonoTime,
}

/// The requests that one VM has told to come again. If there are too many, the oldest are
/// forgotten.
#[derive(Debug, Default)]
pub struct ScheduledReturns {
    told: HashMap<RequestFingerprint, ScheduledReturn>,
    order: VecDeque<(MonoTime, RequestFingerprint)>,
}

impl ScheduledReturns {
    /// Records when a refused request is expected.
    pub fn record(&mut self, request: RefusedRequest, told: MonoTime, now: MonoTime) {
        let RefusedRequest { fingerprint, first_try } = request;
        self.forget(now);
        self.told.insert(fingerprint, ScheduledReturn { first_try, told });
        self.order.push_back((told, fingerprint));
    }

    /// Returns when a request is expected if it comes earlier than it was told.
    pub fn early(&self, request: RefusedRequest, now: MonoTime) -> Option<MonoTime> {
        let known = self.told.get(&request.fingerprint)?;
        let apart = request.first_try.since(known.first_try);
        let apart = apart.max(known.first_try.since(request.first_try));
        let is_early = apart <= FIRST_TRY_TOLERANCE && now + TOLERANCE < known.told;
        is_early.then_some(known.told)
    }

    /// Returns the time by which a request that arrived at `arrived` is placed among others of its
    /// level: that of the first try of its caller, but the told time if it comes earlier than that. A
    /// caller that had waited for less than the shortest delay that is told cannot have kept one, and
    /// is placed by its arrival.
    pub fn place(&self, request: RefusedRequest, arrived: MonoTime, now: MonoTime) -> MonoTime {
        if let Some(told) = self.early(request, now) {
            return told;
        }
        match arrived.since(request.first_try) < MIN_OVERLOAD_RETRY_DELAY {
            true => arrived,
            false => request.first_try,
        }
    }

    /// Returns the number of remembered requests.
    pub fn len(&self) -> usize {
        self.told.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.told.is_empty()
    }

    /// Forgets requests whose time has come, and the oldest if there are too many.
    fn forget(&mut self, now: MonoTime) {
        while let Some((told, fingerprint)) = self.order.front().copied() {
            if told >= now && self.order.len() < MAX_REMEMBERED {
                return;
            }
            self.order.pop_front();
            if self.told.get(&fingerprint).is_some_and(|it| it.told == told) {
                self.told.remove(&fingerprint);
            }
        }
    }
}
