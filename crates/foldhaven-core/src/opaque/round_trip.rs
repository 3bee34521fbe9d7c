//! The way to another VM and back, as it was measured when connections came up.

use std::time::Duration;

use crate::time::MonoTime;

/// How long the shortest measurement stands. A connection whose first packet was lost takes a second more,
/// which says nothing of the way; so the shortest of one or two spans counts.
const SPAN: Duration = Duration::from_secs(30);

/// The shortest round trips to one VM in the current span and the one before.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoundTrip {
    current: Option<Duration>,
    previous: Option<Duration>,
    began: MonoTime,
}

impl RoundTrip {
    /// Takes in how long a connection took to come up.
    pub fn record(&mut self, took: Duration, now: MonoTime) {
        let age = now.since(self.began);
        if age >= SPAN {
            self.previous = if age < SPAN * 2 { self.current } else { None };
            self.current = None;
            self.began = now;
        }
        self.current = Some(self.current.map_or(took, |held| held.min(took)));
    }

    /// The shortest round trip measured lately; nothing before the first measurement.
    pub fn shortest(&self) -> Option<Duration> {
        self.current.into_iter().chain(self.previous).min()
    }
}
