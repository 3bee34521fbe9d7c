//! Estimates the processor time that the requests of this VM need.

use std::time::Duration;

use foldhaven_core::units::CoreShare;

use crate::clock::BootInstant;

/// The span of one measurement. Shorter ones would show single requests.
const SPAN: Duration = Duration::from_millis(1_000);
/// The processor time of a request. Where the platform charges it, 102,000 requests more on a day took 57 s more,
/// 0.56 ms each. It is not measured here: the platform's processor clock runs on while a process waits.
const REQUEST_TIME: Duration = Duration::from_micros(560);
/// A timer that fires so late shows that this process waits for its processor: it is then taken to use all of it.
const LATE_TIMER: Duration = Duration::from_millis(60);

/// What the requests of the last whole span needed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DemandMeter {
    span_start: BootInstant,
    /// The requests taken until then.
    accepted: u64,
    /// The latest timer of the span.
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
    /// Takes in how late a timer was.
    pub(crate) fn record_timer_delay(&mut self, delay: Duration) {
        self.max_timer_delay = self.max_timer_delay.max(delay);
    }

    /// The part of a core that the requests of the last span needed, where `accepted` were taken since the start and
    /// this VM has `cores`.
    pub(crate) fn busy(&mut self, accepted: u64, cores: CoreShare) -> CoreShare {
        let span = self.span_start.elapsed();
        if span < SPAN {
            return self.busy;
        }
        let requests = accepted.saturating_sub(self.accepted);
        let needed = REQUEST_TIME.as_secs_f64() * requests as f64 / span.as_secs_f64();
        let needed = CoreShare::of_cores(needed);
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
