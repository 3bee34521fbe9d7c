//! Reads what an upstream says of itself in its answers.

use std::sync::Arc;

use foldhaven_core::opaque::upstream_words::AnswerMoment;
use foldhaven_core::time::MonoTime;
use foldhaven_core::units::RequestRate;
use http::HeaderValue;
use http::response::Parts;

use crate::call::HeadListener;
use crate::shared::GatewayShared;
use crate::upstream::Upstream;

/// What an upstream sets that leaves.
const IS_LEAVING: &str = "1";

/// Hears an upstream.
pub struct UpstreamListener {
    shared: Arc<GatewayShared>,
    upstream: Arc<Upstream>,
    /// When the request was sent.
    sent: MonoTime,
}

impl UpstreamListener {
    /// A listener for the answer to a request that is sent now.
    pub fn new(shared: Arc<GatewayShared>, upstream: Arc<Upstream>) -> Self {
        let sent = shared.now();
        Self { shared, upstream, sent }
    }

    /// Counts and logs a value that cannot be read; the answer counts as one without it.
    fn note_unreadable(&self, header: &str, value: &HeaderValue) {
        self.shared.metrics.count_event("upstream_word_unreadable");
        if self.shared.quota.take(false) {
            let upstream = self.upstream.name();
            tracing::warn!(%upstream, header, ?value, "an upstream says what cannot be read");
        }
    }

    fn is_leaving(&self, head: &Parts) -> bool {
        let name = &self.shared.names.leaving;
        let Some(value) = head.headers.get(name) else { return false };
        let is_leaving = value == IS_LEAVING;
        if !is_leaving {
            self.note_unreadable(name.as_str(), value);
        }
        is_leaving
    }

    fn rate_limit(&self, head: &Parts) -> Option<RequestRate> {
        let name = &self.shared.names.rate_limit;
        let value = head.headers.get(name)?;
        let limit = read_rate(value);
        if limit.is_none() {
            self.note_unreadable(name.as_str(), value);
        }
        limit
    }
}

impl HeadListener for UpstreamListener {
    fn hear(&self, head: &Parts) {
        let moment = AnswerMoment { sent: self.sent, heard: self.shared.now() };
        let limit = self.rate_limit(head);
        self.shared.limits.note_answer(&self.shared, &self.upstream, limit, moment);
        if self.is_leaving(head) {
            self.shared.leavers.note_answer(&self.shared, &self.upstream);
        }
    }
}

/// Reads a rate as upstreams write it: a decimal number of requests a second.
fn read_rate(value: &HeaderValue) -> Option<RequestRate> {
    let per_s: f64 = value.to_str().ok()?.trim().parse().ok()?;
    RequestRate::of_per_s(per_s).ok()
}

/// Hears nothing.
pub struct DeafListener;

impl HeadListener for DeafListener {
    fn hear(&self, _: &Parts) {}
}
