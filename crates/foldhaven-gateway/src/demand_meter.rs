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
    begun: BootInstant,
    /// The requests taken until then.
    taken: u64,
    /// The latest timer of the span.
    latest: Duration,
    busy: CoreShare,
}

impl Default for DemandMeter {
    fn default() -> Self {
        Self {
            begun: BootInstant::now(),
            taken: 0,
            latest: Duration::ZERO,
            busy: CoreShare::default(),
        }
    }
}

impl DemandMeter {
    /// Takes in how late a timer was.
    pub(crate) fn note_timer(&mut self, late: Duration) {
        self.latest = self.latest.max(late);
    }

    /// The part of a core that the requests of the last span needed, where `taken` were taken since the start and
    /// this VM has `cores`.
    pub(crate) fn busy(&mut self, taken: u64, cores: CoreShare) -> CoreShare {
        let span = self.begun.elapsed();
        if span < SPAN {
            return self.busy;
        }
        let requests = taken.saturating_sub(self.taken);
        let needed = REQUEST_TIME.as_secs_f64() * requests as f64 / span.as_secs_f64();
        let needed = CoreShare::from_cores(needed);
        let is_strained = requests > 0 && self.latest >= LATE_TIMER;
        let busy = if is_strained { needed.max(cores) } else { needed };
        *self = Self { begun: BootInstant::now(), taken, latest: Duration::ZERO, busy };
        busy
    }
}
