//! Tracks which requests of this VM are in flight at an upstream, and which left it recently
//! without a complete answer.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::MonoTime;

/// A request that left an upstream up to this long before its exit may have caused it: upstreams
/// keep working for a while on requests whose callers left, and the exit is noticed later than it
/// happens.
const DEPARTED_WINDOW: Duration = Duration::from_millis(500);
/// Maximum time between the first sign of an exit and its confirmation. Requests that left before
/// the sign are kept for this time too.
const DETECTION_TIME: Duration = Duration::from_millis(2_000);
/// Maximum number of departed requests remembered per upstream.
const MAX_DEPARTED: usize = 64;

/// Identifies one request at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InFlightId(u64);

/// The requests of this VM at one upstream, by the keys of type `K` that they are suspected by.
#[derive(Debug)]
pub struct InFlightRequests<K> {
    in_flight: Vec<(InFlightId, K)>,
    departed: VecDeque<(MonoTime, K)>,
    next: u64,
}

impl<K> Default for InFlightRequests<K> {
    fn default() -> Self {
        Self { in_flight: Vec::new(), departed: VecDeque::new(), next: 0 }
    }
}

impl<K: Ord> InFlightRequests<K> {
    /// Records that a request is sent to the upstream.
    pub fn insert(&mut self, key: K) -> InFlightId {
        let id = InFlightId(self.next);
        self.next += 1;
        self.in_flight.push((id, key));
        id
    }

    /// Returns whether a request is in flight, and the upstream was not found to have exited since.
    pub fn contains(&self, id: InFlightId) -> bool {
        self.in_flight.iter().any(|(in_flight, _)| *in_flight == id)
    }

    /// Removes a request that can't make the upstream exit: it was answered completely, declined
    /// or never sent.
    pub fn remove_harmless(&mut self, id: InFlightId) {
        self.take(id);
    }

    /// Removes a request whose effect on the upstream is unknown, and remembers it as departed.
    pub fn remove(&mut self, id: InFlightId, now: MonoTime) {
        let Some(key) = self.take(id) else { return };
        self.departed.push_back((now, key));
        let is_old =
            |departed: &(MonoTime, K)| now.since(departed.0) > DEPARTED_WINDOW + DETECTION_TIME;
        while self.departed.len() > MAX_DEPARTED || self.departed.front().is_some_and(is_old) {
            self.departed.pop_front();
        }
    }

    /// Removes and returns the requests, without duplicates, that may have caused the exit of the
    /// upstream. `detected_at` is the time of the first sign of the exit.
    pub fn take_affected(&mut self, detected_at: MonoTime) -> Vec<K> {
        let departed = std::mem::take(&mut self.departed).into_iter();
        let recent = departed
            .filter(|(at, _)| detected_at.since(*at) <= DEPARTED_WINDOW)
            .map(|(_, key)| key);
        let in_flight = std::mem::take(&mut self.in_flight).into_iter().map(|(_, key)| key);
        let mut affected: Vec<K> = recent.chain(in_flight).collect();
        affected.sort_unstable();
        affected.dedup();
        affected
    }

    fn take(&mut self, id: InFlightId) -> Option<K> {
        let at = self.in_flight.iter().position(|(in_flight, _)| *in_flight == id)?;
        Some(self.in_flight.swap_remove(at).1)
    }
}
