//! Measures the network round-trip time to another VM when connections are established.

use std::time::Duration;

use crate::time::MonoTime;

/// The length of a window. A connection whose first packet is lost takes a second longer to
/// establish, so the shortest measurement of the current and the previous window is used.
const WINDOW: Duration = Duration::from_secs(30);

/// The shortest round trips to one VM in the current and the previous window; `None` in a window
/// without measurements.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoundTrip {
    current: Option<Duration>,
    previous: Option<Duration>,
    began: MonoTime,
}

impl RoundTrip {
    /// Records how long it took to establish a connection.
    pub fn record(&mut self, took: Duration, now: MonoTime) {
        let age = now.since(self.began);
        if age >= WINDOW {
            self.previous = if age < WINDOW * 2 { self.current } else { None };
            self.current = None;
            self.began = now;
        }
        self.current = Some(self.current.map_or(took, |shortest| shortest.min(took)));
    }

    /// Returns the shortest recent round trip; `None` before the first measurement.
    pub fn shortest(&self) -> Option<Duration> {
        self.current.into_iter().chain(self.previous).min()
    }
}
