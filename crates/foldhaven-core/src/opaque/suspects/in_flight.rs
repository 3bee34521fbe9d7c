//! Which requests of this VM are at an upstream, and which left it unanswered a moment ago.

use std::collections::VecDeque;
use std::time::Duration;

use crate::opaque::request_fingerprint::RequestFingerprint;
use crate::time::MonoTime;

/// A request that left so short a time before its upstream ended may have ended it: upstreams go on for a while with what
/// their caller has left, and the end is noticed later than it happens.
const DEPARTED_WINDOW: Duration = Duration::from_millis(500);
/// Between the first sign of an end and the certainty that it was one, no request is forgotten that left before the sign.
const DETECTION_TIME: Duration = Duration::from_millis(2_000);
/// How many of those are remembered of one upstream.
const MAX_DEPARTED: usize = 64;

/// One request at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InFlightId(u64);

/// The requests of this VM at one upstream.
#[derive(Debug, Default)]
pub struct InFlightRequests {
    in_flight: Vec<(InFlightId, RequestFingerprint)>,
    departed: VecDeque<(MonoTime, RequestFingerprint)>,
    next: u64,
}

impl InFlightRequests {
    /// Notes that a request is sent there.
    pub fn insert(&mut self, fingerprint: RequestFingerprint) -> InFlightId {
        let id = InFlightId(self.next);
        self.next += 1;
        self.in_flight.push((id, fingerprint));
        id
    }

    /// Notes that a request has ended there and cannot have harmed it: it was answered whole, declined or never sent.
    pub fn remove_harmless(&mut self, id: InFlightId) {
        self.take(id);
    }

    /// Notes that a request is not there any more, whatever it did.
    pub fn remove(&mut self, id: InFlightId, now: MonoTime) {
        let Some(fingerprint) = self.take(id) else { return };
        self.departed.push_back((now, fingerprint));
        let is_old = |departed: &(MonoTime, RequestFingerprint)| {
            now.since(departed.0) > DEPARTED_WINDOW + DETECTION_TIME
        };
        while self.departed.len() > MAX_DEPARTED || self.departed.front().is_some_and(is_old) {
            self.departed.pop_front();
        }
    }

    /// The requests that the upstream may have ended under, of which the first sign came at `detected_at`; each once. They are
    /// forgotten.
    pub fn take_affected(&mut self, detected_at: MonoTime) -> Vec<RequestFingerprint> {
        let departed = std::mem::take(&mut self.departed).into_iter();
        let recent = departed
            .filter(|(at, _)| detected_at.since(*at) <= DEPARTED_WINDOW)
            .map(|(_, fingerprint)| fingerprint);
        let in_flight =
            std::mem::take(&mut self.in_flight).into_iter().map(|(_, fingerprint)| fingerprint);
        let mut affected: Vec<RequestFingerprint> = recent.chain(in_flight).collect();
        affected.sort_unstable();
        affected.dedup();
        affected
    }

    fn take(&mut self, id: InFlightId) -> Option<RequestFingerprint> {
        let at = self.in_flight.iter().position(|(in_flight, _)| *in_flight == id)?;
        Some(self.in_flight.swap_remove(at).1)
    }
}
