//! The limits that upstreams name in their answers, shared by both threads, with a log line for each change.

use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::upstream_signals::{
    AnswerMoment, LimitChange, LimitNotice, RateLimits,
};
use foldhaven_core::time::MonoTime;
use foldhaven_core::units::RequestRate;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::shared::GatewayShared;
use crate::upstream::Upstream;

/// The limits.
#[derive(Default)]
pub struct RateLimitTracker {
    limits: Mutex<RateLimits>,
    /// Told when there is something to tell other VMs.
    updates: Notify,
}

impl RateLimitTracker {
    /// Takes in the limit that an answer names, or that it names none.
    pub fn record_answer(
        &self,
        shared: &GatewayShared,
        upstream: &Upstream,
        limit: Option<RequestRate>,
        moment: AnswerMoment,
    ) {
        let mut limits = self.limits.lock();
        let change = limits.note_answer(upstream.tag, limit, moment);
        let Some(change) = change else { return };
        upstream.set_limited(change.now.is_some());
        shared.metrics.set_level("limited_upstreams", limits.count() as u64);
        drop(limits);
        self.updates.notify_one();
        record_limit_change(shared, upstream, &change, "answer");
    }

    /// Takes in what another VM tells. Returns what has changed.
    pub fn apply_notice(&self, told: &LimitNotice, now: MonoTime) -> Option<LimitChange> {
        self.limits.lock().hear(told, now)
    }

    /// Has an upstream kept to its limit, or to none any more.
    pub fn apply(&self, upstream: &Upstream) {
        let limits = self.limits.lock();
        upstream.set_limited(limits.limit(upstream.tag).is_some());
    }

    /// Waits until there may be something to tell.
    pub async fn wait_for_updates(&self) {
        self.updates.notified().await;
    }

    /// What is to be told at once.
    pub fn take_updates(&self, now: MonoTime) -> Vec<LimitNotice> {
        self.limits.lock().take_news(now)
    }

    /// What is told again and again.
    pub fn all_notices(&self, now: MonoTime) -> Vec<LimitNotice> {
        self.limits.lock().all(now)
    }

    /// Drops what is too old to count.
    pub fn forget(&self, is_listed: impl Fn(UpstreamTag) -> bool, shared: &GatewayShared) {
        let mut limits = self.limits.lock();
        if !limits.is_empty() {
            limits.forget(is_listed, shared.now());
            shared.metrics.set_level("limited_upstreams", limits.count() as u64);
        }
    }

    /// The limit of an upstream.
    pub fn limit(&self, upstream: &Upstream) -> Option<RequestRate> {
        self.limits.lock().limit(upstream.tag)
    }
}

/// Counts and logs a change, of which this VM learnt from a source.
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
            "the limit of an upstream changes"
        );
    }
}
