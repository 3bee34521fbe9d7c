//! Counters and histograms of one daemon, rendered as the text of `/metrics`.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use foldhaven_core::attempt::RequestOutcome;
use hdrhistogram::Histogram;
use parking_lot::Mutex;

const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// The metrics of one daemon.
#[derive(Debug, Default)]
pub struct MetricsRegistry {
    inner: Mutex<MetricsInner>,
}

#[derive(Debug, Default)]
struct MetricsInner {
    outcomes: BTreeMap<(String, &'static str), u64>,
    reasons: BTreeMap<String, u64>,
    events: BTreeMap<&'static str, u64>,
    times: BTreeMap<(&'static str, String), TimeHistogram>,
    estimate_error: f64,
}

#[derive(Debug)]
struct TimeHistogram(Histogram<u64>);

impl Default for TimeHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, 3_600_000_000, 2);
        Self(histogram.expect("the bounds are valid"))
    }
}

impl MetricsRegistry {
    /// Counts the outcome of a request of a class.
    pub fn count_outcome(&self, class: &str, outcome: RequestOutcome) {
        let label = match outcome {
            RequestOutcome::Complete => "complete",
            RequestOutcome::NotRun => "not_run",
            RequestOutcome::Unknown => "unknown",
        };
        let key = (class.to_owned(), label);
        *self.inner.lock().outcomes.entry(key).or_default() += 1;
    }

    /// Counts the reason why a request was refused or not answered completely.
    pub fn count_reason(&self, reason: String) {
        *self.inner.lock().reasons.entry(reason).or_default() += 1;
    }

    /// Counts an event, such as a retry.
    pub fn count_event(&self, event: &'static str) {
        self.count_events(event, 1);
    }

    /// Adds to the count of an event.
    pub fn count_events(&self, event: &'static str, number: u64) {
        *self.inner.lock().events.entry(event).or_default() += number;
    }

    /// Records a duration for a class. The metric is named `foldhaven_{name}_seconds`.
    pub fn record_time(&self, name: &'static str, class: &str, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        let mut inner = self.inner.lock();
        let times = inner.times.entry((name, class.to_owned())).or_default();
        times.0.saturating_record(micros.max(1));
    }

    /// Sets the moving spread of the time estimates.
    pub fn set_estimate_error(&self, spread: f64) {
        self.inner.lock().estimate_error = spread;
    }

    /// Returns the text of `/metrics`.
    pub fn render(&self) -> String {
        let inner = self.inner.lock();
        let mut text = String::new();
        for ((class, outcome), count) in &inner.outcomes {
            let labels = format!("class=\"{class}\",outcome=\"{outcome}\"");
            write_sample(&mut text, "foldhaven_requests_total", &labels, *count as f64);
        }
        for (reason, count) in &inner.reasons {
            let labels = format!("reason=\"{reason}\"");
            write_sample(&mut text, "foldhaven_refusals_total", &labels, *count as f64);
        }
        for (event, count) in &inner.events {
            let labels = format!("event=\"{event}\"");
            write_sample(&mut text, "foldhaven_events_total", &labels, *count as f64);
        }
        for ((name, class), times) in &inner.times {
            for quantile in QUANTILES {
                let micros = times.0.value_at_quantile(quantile);
                let labels = format!("class=\"{class}\",quantile=\"{quantile}\"");
                let metric = format!("foldhaven_{name}_seconds");
                write_sample(&mut text, &metric, &labels, micros as f64 / 1e6);
            }
        }
        write_sample(&mut text, "foldhaven_estimate_error_ratio", "", inner.estimate_error);
        text
    }
}

fn write_sample(text: &mut String, name: &str, labels: &str, value: f64) {
    // Writing to a string cannot fail.
    let _ = match labels {
        "" => writeln!(text, "{name} {value}"),
        labels => writeln!(text, "{name}{{{labels}}} {value}"),
    };
}
