//! How many tokens an answer will probably have, from the answers of its route and the hint of its
//! caller.
//!
//! Upstreams do not say how many tokens an event holds. The hints of callers are right at their
//! median, so the median ratio of hints to events tells it.

/// The weight of a new answer in the means.
const WEIGHT: f64 = 0.02;
/// The step of the median of the tokens per event, as a logarithm.
const MEDIAN_STEP: f64 = 0.05;
/// With fewer hints of answers that have ended, neither the tokens per event nor the errors of hints
/// are known.
const MIN_HINTS: u32 = 8;
/// The variance of the logarithm of a length that is assumed before any is measured.
const INITIAL_VARIANCE: f64 = 0.25;

/// The lengths of the answers of one route, and the errors of the hints about them.
#[derive(Debug, Clone, Copy)]
pub struct AnswerLengths {
    /// The mean logarithm of the number of events.
    log_events: f64,
    /// The variance of that logarithm.
    variance: f64,
    answers: u32,
    /// The median logarithm of the tokens per event.
    log_ratio: f64,
    /// The mean square of the error of the logarithm of hints.
    hint_variance: f64,
    hints: u32,
}

impl Default for AnswerLengths {
    fn default() -> Self {
        Self {
            log_events: 0.0,
            variance: INITIAL_VARIANCE,
            answers: 0,
            log_ratio: 0.0,
            hint_variance: INITIAL_VARIANCE,
            hints: 0,
        }
    }
}

impl AnswerLengths {
    /// Records a complete answer with the hint of its caller and the maximum that it named, 0 if
    /// none.
    pub fn record(&mut self, events: u32, hint: Option<u32>, max_tokens: u32) {
        if events == 0 {
            return;
        }
        let log_events = f64::from(events).ln();
        self.answers = self.answers.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.answers));
        let error = log_events - self.log_events;
        self.log_events += error * weight;
        self.variance += (error * error - self.variance) * WEIGHT;
        if let Some(hint) = usable_hint(hint, max_tokens) {
            self.record_hint(f64::from(hint).ln() - log_events);
        }
    }

    /// Records the logarithm of the ratio of a hint to the events of its answer.
    fn record_hint(&mut self, log_ratio: f64) {
        if self.hints == 0 {
            self.log_ratio = log_ratio;
        }
        self.hints = self.hints.saturating_add(1);
        let error = log_ratio - self.log_ratio;
        self.log_ratio += MEDIAN_STEP.min(error.abs()) * error.signum();
        self.hint_variance += (error * error - self.hint_variance) * WEIGHT;
    }

    /// Returns the tokens that an answer will probably have: the hint and the usual length, each
    /// weighed by how far it was off. The maximum that the caller names if the usual length is not
    /// known, and never more; 0 if it names none either.
    pub fn expected(&self, hint: Option<u32>, max_tokens: u32) -> u32 {
        if self.hints < MIN_HINTS {
            return max_tokens;
        }
        let usual = self.log_events + self.log_ratio;
        let log = usable_hint(hint, max_tokens).map_or(usual, |hint| {
            let part = self.variance / (self.variance + self.hint_variance).max(f64::EPSILON);
            usual + (f64::from(hint).ln() - usual) * part
        });
        let tokens = log.exp().round() as u32;
        if max_tokens == 0 { tokens } else { tokens.min(max_tokens) }
    }
}

/// Returns a hint that can be true: not 0, and no more than the maximum that the caller names. A
/// hint without a maximum cannot be checked.
fn usable_hint(hint: Option<u32>, max_tokens: u32) -> Option<u32> {
    hint.filter(|hint| (1..=max_tokens).contains(hint))
}
