//! Estimates the processor time that the requests of this VM need.

use std::time::Duration;

use foldhaven_core::units::CoreShare;

use crate::clock::BootInstant;

/// The duration of one measurement. Shorter ones would be dominated by single requests.
const SPAN: Duration = Duration::from_millis(1_000);
/// The processor time of a request: 102,000 additional requests on a day cost 57 s of charged
/// processor time, 0.56 ms each. It cannot be measured here, because the platform's processor clock
/// also counts the time that a process waits.
const REQUEST_TIME: Duration = Duration::from_micros(560);
/// A timer that fires this late shows that the process waits for its processor, which then counts
/// as fully used.
const LATE_TIMER: Duration = Duration::from_millis(60);

/// Measures the processor time needed by the requests of the last complete span.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DemandMeter {
    span_start: BootInstant,
    /// The number of requests accepted before the span.
    accepted: u64,
    /// The longest timer delay in the span.
    max_timer_delay: Duration,
    busy: CoreShare,
}

impl Default for DemandMeter {
    fn default() -> Self {
        Self {
            span_start: BootInstant::now(),
            accepted: 0,
            max_timer_delay: Duration::ZERO,
            busy: CoreShare::default(),
        }
    }
}

impl DemandMeter {
    /// Records how late a timer fired.
    pub(crate) fn record_timer_delay(&mut self, delay: Duration) {
        self.max_timer_delay = self.max_timer_delay.max(delay);
    }

    /// Returns the processor time, in cores, that the requests of the last span needed. `accepted`
    /// is the number of requests accepted since the start, and `cores` the capacity of this VM.
    pub(crate) fn busy(&mut self, accepted: u64, cores: CoreShare) -> CoreShare {
        let span = self.span_start.elapsed();
        if span < SPAN {
            return self.busy;
        }
        let requests = accepted.saturating_sub(self.accepted);
        let needed = REQUEST_TIME.as_secs_f64() * requests as f64 / span.as_secs_f64();
        let needed = CoreShare::from_cores(needed);
        let is_overloaded = requests > 0 && self.max_timer_delay >= LATE_TIMER;
        let busy = if is_overloaded { needed.max(cores) } else { needed };
        *self = Self {
            span_start: BootInstant::now(),
            accepted,
            max_timer_delay: Duration::ZERO,
            busy,
        };
        busy
    }
}
