//! The upstreams that have said in their answers that they leave, shared by both threads, with a log line for each.

use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::upstream_signals::{LeavingNotice, LeavingUpstreams};
use foldhaven_core::time::MonoTime;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::shared::GatewayShared;
use crate::upstream::Upstream;

/// The upstreams that leave , as their answers say.
#[derive(Default)]
pub struct LeavingTracker {
    leaving: Mutex<LeavingUpstreams>,
    /// Told when there is something to tell other VMs.
    updates: Notify,
}

impl LeavingTracker {
    /// Takes in an answer of an upstream that says that it leaves.
    pub fn record_answer(&self, shared: &GatewayShared, upstream: &Upstream) {
        let is_news = self.leaving.lock().note_answer(upstream.tag, shared.now());
        if is_news {
            upstream.set_leaving();
            self.updates.notify_one();
            record_leaving(shared, upstream, "answer");
        }
    }

    /// Takes in what another VM tells. Returns whether it is news.
    pub fn apply_notice(&self, told: &LeavingNotice, now: MonoTime) -> bool {
        self.leaving.lock().hear(told, now)
    }

    /// Has an upstream get nothing new where it has said that it leaves.
    pub fn apply(&self, upstream: &Upstream) {
        if self.leaving.lock().has_said(upstream.tag) {
            upstream.set_leaving();
        }
    }

    /// Waits until there may be something to tell.
    pub async fn wait_for_updates(&self) {
        self.updates.notified().await;
    }

    /// What is to be told at once.
    pub fn take_updates(&self, now: MonoTime) -> Vec<LeavingNotice> {
        self.leaving.lock().take_news(now)
    }

    /// What is told again and again.
    pub fn all_notices(&self, now: MonoTime) -> Vec<LeavingNotice> {
        self.leaving.lock().all(now)
    }

    /// Drops what is too old to count.
    pub fn forget(&self, is_listed: impl Fn(UpstreamTag) -> bool, shared: &GatewayShared) {
        let mut leaving = self.leaving.lock();
        if !leaving.is_empty() {
            leaving.forget(is_listed, shared.now());
            shared.metrics.set_level("leaving_upstreams", leaving.count() as u64);
        }
    }
}

/// Counts and logs that an upstream leaves, which this VM learnt from a source.
pub fn record_leaving(shared: &GatewayShared, upstream: &Upstream, source: &'static str) {
    shared.metrics.count_event("upstream_leaving_signalled");
    if shared.quota.take(false) {
        tracing::info!(
            upstream = %upstream.name(),
            birth = upstream.identity.birth.0,
            requests = upstream.load.share().in_flight,
            source,
            "an upstream is leaving, as its answer says"
        );
    }
}
