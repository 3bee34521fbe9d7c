//! Reads the signals in the answers of an upstream: its rate limit, its leaving, its back-off, its
//! brittleness and its load.

use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::opaque::reported_load::LoadReading;
use foldhaven_core::opaque::slot_share::pause_after_decline;
use foldhaven_core::opaque::upstream_signals::AnswerTiming;
use foldhaven_core::time::MonoTime;
use foldhaven_core::units::RequestRate;
use http::header::RETRY_AFTER;
use http::response::Parts;
use http::{HeaderValue, StatusCode};

use crate::call::CallListener;
use crate::names::HeaderNames;
use crate::shared::GatewayShared;
use crate::upstream::Upstream;

/// Maximum back-off. An upstream that requested a longer one is tried again after this time.
const MAX_BACKOFF: Duration = Duration::from_secs(600);
/// Maximum jitter of a back-off, as a share of the requested time.
const BACKOFF_JITTER: f64 = 0.15;
/// The header value of an upstream that is leaving.
const LEAVING_VALUE: &str = "1";

/// Processes the events of calls to an upstream.
pub struct UpstreamListener {
    shared: Arc<GatewayShared>,
    upstream: Arc<Upstream>,
    /// When the request was sent.
    sent: MonoTime,
}

impl UpstreamListener {
    /// Creates a listener for the answer to a request that is sent now.
    pub fn new(shared: Arc<GatewayShared>, upstream: Arc<Upstream>) -> Self {
        let sent = shared.now();
        Self { shared, upstream, sent }
    }

    /// Counts and logs a header value that cannot be parsed. The header is ignored.
    fn record_unreadable(&self, header: &str, value: &HeaderValue) {
        self.shared.metrics.count_event("upstream_signal_unreadable");
        if self.shared.quota.take(false) {
            let upstream = self.upstream.name();
            tracing::warn!(%upstream, header, ?value, "a header of an upstream cannot be parsed");
        }
    }

    fn is_leaving(&self, head: &Parts) -> bool {
        let name = &self.shared.names.leaving;
        let Some(value) = head.headers.get(name) else { return false };
        let is_leaving = value == LEAVING_VALUE;
        if !is_leaving {
            self.record_unreadable(name.as_str(), value);
        }
        is_leaving
    }

    /// Returns the back-off that an upstream requests when it declines a request with status 503.
    fn backoff(&self, head: &Parts) -> Option<Duration> {
        if head.status != StatusCode::SERVICE_UNAVAILABLE {
            return None;
        }
        let value = head.headers.get(RETRY_AFTER)?;
        let backoff = parse_seconds(value);
        if backoff.is_none() {
            self.record_unreadable(RETRY_AFTER.as_str(), value);
        }
        backoff
    }

    /// Starts a back-off. The jitter spreads the VMs that were declined at the same time.
    fn start_backoff(&self, asked: Duration) {
        let span = asked.min(MAX_BACKOFF).mul_f64(1.0 + BACKOFF_JITTER * rand::random::<f64>());
        let is_new = self.upstream.back_off_until(self.shared.now() + span, self.shared.now());
        self.shared.metrics.count_event("upstream_backoff_asked");
        if is_new && self.shared.quota.take(false) {
            tracing::info!(
            upstream = %self.upstream.name(),
            birth = self.upstream.identity.birth.0,
            asked_ms = asked.as_millis() as u64,
            given_ms = span.as_millis() as u64,
            requests = self.upstream.load.share().in_flight,
            "an upstream requested a back-off"
            );
        }
    }

    /// Returns how many requests the upstream can decline in a second, if it is brittle.
    fn max_declined_per_s(&self, head: &Parts) -> Option<NonZeroU32> {
        let name = &self.shared.names.brittle;
        let value = head.headers.get(name)?;
        let count = value.to_str().ok().and_then(|text| text.trim().parse().ok());
        if count.is_none() {
            self.record_unreadable(name.as_str(), value);
        }
        count
    }

    /// Records whether the upstream is brittle. After it declined a request, this VM sends it
    /// nothing for as long as keeps the sum of all VMs below what the upstream can bear.
    fn record_brittleness(&self, head: &Parts, timing: AnswerTiming) {
        let per_s = self.max_declined_per_s(head);
        // Earlier requests were sent without regard to the room.
        let was_known = self.upstream.brittleness.was_known(timing.sent);
        let service = &self.upstream.identity.service;
        self.shared.brittle_services.record_answer(&self.shared, service, per_s, timing);
        let Some(per_s) = self.upstream.max_declined_per_s() else { return };
        if !is_declined_as_full(head, &self.shared.names) {
            return;
        }
        let senders = self.shared.view().map_or(1, |view| view.slot_holders.newest().len());
        self.report_declined(per_s, senders, was_known);
        if was_known {
            let pause = pause_after_decline(self.upstream.identity.slots, senders, per_s);
            let pause = pause.mul_f64(1.0 + BACKOFF_JITTER * rand::random::<f64>());
            let now = self.shared.now();
            self.upstream.back_off_until(now + pause, now);
            self.shared.metrics.count_event("brittle_upstream_declined");
        }
    }

    /// Logs that a brittle upstream declined a request, with what this VM has at it. `was_known`
    /// tells whether it was known to be brittle when the request was sent.
    fn report_declined(&self, per_s: NonZeroU32, senders: usize, was_known: bool) {
        if !self.shared.quota.take(false) {
            return;
        }
        let upstream = &self.upstream;
        let work_time = self.shared.measured_performance(&upstream.identity.service).slot_time;
        tracing::info!(
            upstream = %upstream.name(),
            birth = upstream.identity.birth.0,
            slots = upstream.identity.slots,
            per_s = per_s.get(),
            senders,
            was_known,
            requests = upstream.load.share().in_flight,
            all_requests = upstream.queue().in_flight,
            abandoned = upstream.abandoned(work_time, self.shared.now()),
            "a brittle upstream declined a request"
        );
    }

    /// Records the load that the upstream tells.
    fn record_load(&self, head: &Parts, timing: AnswerTiming) {
        let name = &self.shared.names.server_load;
        let Some(value) = head.headers.get(name) else { return };
        let reading = value.to_str().ok().and_then(|text| text.parse::<LoadReading>().ok());
        match reading {
            None => self.record_unreadable(name.as_str(), value),
            Some(reading) => {
                if self.upstream.performance.lock().reported_load.record(reading, timing) {
                    self.shared.metrics.count_event("upstream_load_reported");
                }
            }
        }
    }

    fn rate_limit(&self, head: &Parts) -> Option<RequestRate> {
        let name = &self.shared.names.rate_limit;
        let value = head.headers.get(name)?;
        let limit = parse_rate(value);
        if limit.is_none() {
            self.record_unreadable(name.as_str(), value);
        }
        limit
    }
}

impl CallListener for UpstreamListener {
    fn on_connected(&self) {
        self.shared.paths.record_connected();
    }

    fn on_head(&self, head: &Parts) {
        // Another process has the address now.
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let moment = AnswerTiming { sent: self.sent, received: self.shared.now() };
        let limit = self.rate_limit(head);
        self.shared.upstream_limits.record_answer(&self.shared, &self.upstream, limit, moment);
        self.record_brittleness(head, moment);
        self.record_load(head, moment);
        if let Some(backoff) = self.backoff(head) {
            self.start_backoff(backoff);
        }
        if self.is_leaving(head) {
            self.shared.leaving_upstreams.record_answer(&self.shared, &self.upstream);
        }
    }
}

/// Whether an upstream declined a request for want of room.
fn is_declined_as_full(head: &Parts, names: &HeaderNames) -> bool {
    head.status == StatusCode::SERVICE_UNAVAILABLE && head.headers.contains_key(&names.not_run)
}

/// Parses the rate in an upstream's header: a decimal number of requests per second.
fn parse_rate(value: &HeaderValue) -> Option<RequestRate> {
    let per_s: f64 = value.to_str().ok()?.trim().parse().ok()?;
    RequestRate::from_per_s(per_s).ok()
}

/// Parses the duration in an upstream's header: a number of seconds. Dates are not accepted, since
/// clocks differ.
fn parse_seconds(value: &HeaderValue) -> Option<Duration> {
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    let is_span = seconds.is_finite() && seconds >= 0.0;
    is_span.then(|| Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}
