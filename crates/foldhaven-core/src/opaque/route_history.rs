//! What the requests of one route have shown, whichever upstream ran them: how often they fail by their
//! nature, and how many events their answers have.

use crate::opaque::event_sequence::{EventNumbering, LearnedNumbering};

/// The weight of one more end of a request. Small, so that an upstream that fails for some seconds does not
/// become what is usual.
const WEIGHT: f64 = 0.01;

/// A mean whose first values count evenly, and later ones with a small weight.
#[derive(Debug, Clone, Copy, Default)]
struct RunningMean {
    value: f64,
    count: u32,
}

impl RunningMean {
    fn note(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.count));
        self.value += (value - self.value) * weight;
    }
}

/// What the requests of one route have shown.
#[derive(Debug, Clone, Copy, Default)]
pub struct RouteHistory {
    failures: RunningMean,
    events: RunningMean,
    steps: LearnedNumbering,
}

impl RouteHistory {
    /// Takes in how a request ended at an upstream.
    pub fn note_end(&mut self, has_failed: bool) {
        self.failures.note(f64::from(u8::from(has_failed)));
    }

    /// Takes in how many events a whole answer had.
    pub fn note_events(&mut self, events: u32) {
        self.events.note(f64::from(events));
    }

    /// How the events of its streams are numbered.
    pub fn steps_mut(&mut self) -> &mut LearnedNumbering {
        &mut self.steps
    }

    /// The steps that its streams are judged by.
    pub fn usual_steps(&self) -> Option<EventNumbering> {
        self.steps.numbering()
    }

    /// The share of requests that usually fails.
    pub fn failure_share(&self) -> f64 {
        self.failures.value
    }

    /// The number of events that an answer usually has; 0 before any was seen.
    pub fn usual_events(&self) -> f64 {
        self.events.value
    }
}
