//! Counters and latency histograms, in the text format that metrics collectors read.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use foldhaven_core::burn::{BurnEvent, BurnRing, BurnRow};
use foldhaven_core::ids::{AccountName, DataCentreName, RouteName};
use foldhaven_core::time::MonoTime;
use hdrhistogram::Histogram;
use parking_lot::Mutex;

const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];
/// Maximum time that a histogram distinguishes, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestEnd {
    /// The complete answer of an upstream was delivered.
    Served,
    /// The complete answer of an upstream was delivered, and it reported a failure.
    FailedUpstream,
    /// The gateway itself refused or failed the request, for this reason.
    Refused(&'static str),
    /// The caller disconnected.
    CallerLeft,
    /// A stream was aborted after it had started.
    Cut,
}

impl RequestEnd {
    /// Returns the name of the outcome in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::FailedUpstream => "failed_upstream",
            Self::Refused(reason) => reason,
            Self::CallerLeft => "caller_left",
            Self::Cut => "cut",
        }
    }
}

/// The metrics of one daemon.
#[derive(Default)]
pub struct GatewayMetrics {
    inner: Mutex<MetricsInner>,
}

#[derive(Default)]
struct MetricsInner {
    routes: BTreeMap<RouteName, RouteCounts>,
    events: BTreeMap<&'static str, u64>,
    spans: BTreeMap<&'static str, Histogram<u64>>,
    levels: BTreeMap<&'static str, u64>,
}

#[derive(Default)]
struct RouteCounts {
    ends: BTreeMap<RequestEnd, u64>,
    time_to_first: Option<Histogram<u64>>,
    burn: Option<BurnRing>,
}

/// How much a request contributes to the use of its route's error budget.
#[derive(Debug, Clone, Copy)]
pub struct RequestBurn {
    pub event: BurnEvent,
    /// The size of the request in tokens, to which its worth is proportional.
    pub worth: f64,
    pub now: MonoTime,
}

impl GatewayMetrics {
    /// Counts the outcome of a route's request, and what it uses of the route's error budget.
    pub fn count_end(&self, route: &RouteName, end: RequestEnd, burn: RequestBurn) {
        let mut inner = self.inner.lock();
        let counts = counts_of(&mut inner, route);
        *counts.ends.entry(end).or_default() += 1;
        let ring = counts.burn.get_or_insert_with(|| BurnRing::new(burn.now));
        ring.record(burn.event, burn.worth, burn.now);
    }

    /// Returns how fast each route uses up its error budget. Opaque requests belong to no account,
    /// so the data centre of this VM, which received them from their callers, takes the place of
    /// the account.
    pub fn burn_rows(&self, data_centre: &DataCentreName, now: MonoTime) -> Vec<BurnRow> {
        let mut inner = self.inner.lock();
        let account: Result<AccountName, _> = data_centre.as_str().parse();
        let rows = inner.routes.iter_mut().filter_map(|(route, counts)| {
            let (short, long) = counts.burn.as_mut()?.counts(now);
            let (account, class) = (account.clone().ok()?, route.as_str().parse().ok()?);
            Some(BurnRow { account, class, short, long })
        });
        rows.filter(|row| row.long.total > 0).collect()
    }

    /// Records the time until the answer began or the first event arrived.
    pub fn record_time_to_first(&self, route: &RouteName, span: Duration) {
        let mut inner = self.inner.lock();
        let time_to_first = &mut counts_of(&mut inner, route).time_to_first;
        record(time_to_first.get_or_insert_with(new_histogram), span);
    }

    /// Records the duration of an operation or condition of the control state, such as lagging
    /// behind other VMs.
    pub fn record_span(&self, name: &'static str, span: Duration) {
        let mut inner = self.inner.lock();
        record(inner.spans.entry(name).or_insert_with(new_histogram), span);
    }

    /// Sets a gauge of the control state, such as the known revision.
    pub fn set_level(&self, name: &'static str, level: u64) {
        self.inner.lock().levels.insert(name, level);
    }

    /// Counts an event, such as a retry.
    pub fn count_event(&self, event: &'static str) {
        self.add_events(event, 1);
    }

    /// Adds to the count of an event, such as a number of bytes.
    pub fn add_events(&self, event: &'static str, count: u64) {
        *self.inner.lock().events.entry(event).or_default() += count;
    }

    /// Returns the counts of the events whose names have a prefix.
    pub fn event_counts(&self, prefix: &str) -> BTreeMap<&'static str, u64> {
        let inner = self.inner.lock();
        let counted = inner.events.iter().filter(|(event, _)| event.starts_with(prefix));
        counted.map(|(event, count)| (*event, *count)).collect()
    }

    /// Returns the page that metrics collectors read.
    pub fn page(&self) -> String {
        let inner = self.inner.lock();
        let mut page = String::new();
        for (route, counts) in &inner.routes {
            for (end, count) in &counts.ends {
                let labels = format!("route=\"{route}\",end=\"{}\"", end.label());
                write_line(&mut page, "foldhaven_opaque_requests_total", &labels, *count as f64);
            }
            if let Some(time_to_first) = &counts.time_to_first {
                let labels = format!("route=\"{route}\"");
                write_quantiles(
                    &mut page,
                    "foldhaven_opaque_first_seconds",
                    &labels,
                    time_to_first,
                );
            }
        }
        for (span, histogram) in &inner.spans {
            let labels = format!("span=\"{span}\"");
            write_quantiles(&mut page, "foldhaven_opaque_span_seconds", &labels, histogram);
        }
        for (level, value) in &inner.levels {
            let labels = format!("level=\"{level}\"");
            write_line(&mut page, "foldhaven_opaque_level", &labels, *value as f64);
        }
        for (event, count) in &inner.events {
            let labels = format!("event=\"{event}\"");
            write_line(&mut page, "foldhaven_opaque_events_total", &labels, *count as f64);
        }
        page
    }
}

fn counts_of<'a>(inner: &'a mut MetricsInner, route: &RouteName) -> &'a mut RouteCounts {
    if !inner.routes.contains_key(route) {
        inner.routes.insert(route.clone(), RouteCounts::default());
    }
    inner.routes.get_mut(route).expect("it was just made")
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, 2).expect("the bounds are valid")
}

fn record(histogram: &mut Histogram<u64>, span: Duration) {
    let micros = u64::try_from(span.as_micros()).unwrap_or(MAX_MICROS);
    histogram.saturating_record(micros.max(1));
}

fn write_quantiles(page: &mut String, name: &str, labels: &str, histogram: &Histogram<u64>) {
    for quantile in QUANTILES {
        let seconds = histogram.value_at_quantile(quantile) as f64 / 1e6;
        write_line(page, name, &format!("{labels},quantile=\"{quantile}\""), seconds);
    }
}

fn write_line(page: &mut String, name: &str, labels: &str, value: f64) {
    // Writing to a string cannot fail.
    let _ = writeln!(page, "{name}{{{labels}}} {value}");
}
