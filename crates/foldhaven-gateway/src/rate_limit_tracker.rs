//! Tracks the rate limits that upstreams announce in their answers, shared by both threads. Each
//! change is counted, and logged as far as the log quota permits.

use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::upstream_signals::{
    AnswerTiming, LimitChange, LimitNotice, RateLimits,
};
use foldhaven_core::time::MonoTime;
use foldhaven_core::units::RequestRate;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::shared::GatewayShared;
use crate::upstream::Upstream;

/// The rate limits of upstreams.
#[derive(Default)]
pub struct RateLimitTracker {
    limits: Mutex<RateLimits>,
    /// Notified when there are updates to send to other VMs.
    updates: Notify,
}

impl RateLimitTracker {
    /// Records the limit that an answer announces. `None` if it announces none.
    pub fn record_answer(
        &self,
        shared: &GatewayShared,
        upstream: &Upstream,
        limit: Option<RequestRate>,
        moment: AnswerTiming,
    ) {
        let mut limits = self.limits.lock();
        let change = limits.record_answer(upstream.tag, limit, moment);
        let Some(change) = change else { return };
        upstream.set_limited(change.now.is_some());
        shared.metrics.set_level("limited_upstreams", limits.count() as u64);
        drop(limits);
        self.updates.notify_one();
        record_limit_change(shared, upstream, &change, "answer");
    }

    /// Applies a limit that another VM reports. Returns the change, if any.
    pub fn apply_notice(&self, notice: &LimitNotice, now: MonoTime) -> Option<LimitChange> {
        self.limits.lock().apply_notice(notice, now)
    }

    /// Updates whether an upstream is marked as limited.
    pub fn apply(&self, upstream: &Upstream) {
        let limits = self.limits.lock();
        upstream.set_limited(limits.limit(upstream.tag).is_some());
    }

    /// Returns the upstreams that have a limit.
    pub fn limited(&self) -> Vec<UpstreamTag> {
        self.limits.lock().limited().collect()
    }

    /// Waits until there may be updates to send.
    pub async fn wait_for_updates(&self) {
        self.updates.notified().await;
    }

    /// Removes and returns the updates that are to be sent at once.
    pub fn take_updates(&self, now: MonoTime) -> Vec<LimitNotice> {
        self.limits.lock().take_unsent(now)
    }

    /// Returns all limits, for periodic resending.
    pub fn all_notices(&self, now: MonoTime) -> Vec<LimitNotice> {
        self.limits.lock().all_notices(now)
    }

    /// Removes expired entries.
    pub fn forget(&self, is_listed: impl Fn(UpstreamTag) -> bool, shared: &GatewayShared) {
        let mut limits = self.limits.lock();
        if !limits.is_empty() {
            limits.remove_expired(is_listed, shared.now());
            shared.metrics.set_level("limited_upstreams", limits.count() as u64);
        }
    }

    /// Returns the limit of an upstream. `None` if it has none.
    pub fn limit(&self, upstream: &Upstream) -> Option<RequestRate> {
        self.limits.lock().limit(upstream.tag)
    }
}

/// Counts the change of a limit, and logs it if the log quota permits. `source` names where this VM
/// learned of it.
pub fn record_limit_change(
    shared: &GatewayShared,
    upstream: &Upstream,
    change: &LimitChange,
    source: &'static str,
) {
    let event = match (change.before, change.now) {
        (None, _) => "upstream_limit_named",
        (_, None) => "upstream_limit_ended",
        _ => "upstream_limit_changed",
    };
    shared.metrics.count_event(event);
    if shared.quota.take(false) {
        let per_s = change.now.map(RequestRate::per_s);
        let before = change.before.map(RequestRate::per_s);
        tracing::info!(
        upstream = %upstream.name(),
        birth = upstream.identity.birth.0,
        per_s,
        before,
        event,
        source,
        "upstream limit changed"
        );
    }
}
