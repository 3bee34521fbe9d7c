//! What the requests of one route have shown, whichever upstream ran them: how often they fail by their
//! nature, and how many events their answers have.

use crate::opaque::event_order::{EventSteps, UsualSteps};

/// The weight of one more end of a request. Small, so that an upstream that fails for some seconds does not
/// become what is usual.
const MIN_WEIGHT: f64 = 0.01;

/// A mean whose first values count evenly, and later ones with a small weight.
#[derive(Debug, Clone, Copy, Default)]
struct RunningMean {
    value: f64,
    count: u32,
}

impl RunningMean {
    fn record(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        let weight = MIN_WEIGHT.max(1.0 / f64::from(self.count));
        self.value += (value - self.value) * weight;
    }
}

/// What the requests of one route have shown.
#[derive(Debug, Clone, Copy, Default)]
pub struct RouteHistory {
    failure_mean: RunningMean,
    event_mean: RunningMean,
    numbering: UsualSteps,
}

impl RouteHistory {
    /// Takes in how a request ended at an upstream.
    pub fn record_outcome(&mut self, has_failed: bool) {
        self.failure_mean.record(f64::from(u8::from(has_failed)));
    }

    /// Takes in how many events a whole answer had.
    pub fn record_event_count(&mut self, events: u32) {
        self.event_mean.record(f64::from(events));
    }

    /// How the events of its streams are numbered.
    pub fn numbering_mut(&mut self) -> &mut UsualSteps {
        &mut self.numbering
    }

    /// The steps that its streams are judged by.
    pub fn usual_numbering(&self) -> Option<EventSteps> {
        self.numbering.steps()
    }

    /// The share of requests that usually fails.
    pub fn failure_share(&self) -> f64 {
        self.failure_mean.value
    }

    /// The number of events that an answer usually has; 0 before any was seen.
    pub fn usual_event_count(&self) -> f64 {
        self.event_mean.value
    }
}
