//! Tracks the upstreams that have announced in their answers that they are leaving, shared by both
//! threads. Each one is counted, and logged as far as the log quota permits.

use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::upstream_signals::{LeavingNotice, LeavingUpstreams};
use foldhaven_core::time::MonoTime;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::shared::GatewayShared;
use crate::upstream::Upstream;

/// The leaving upstreams.
#[derive(Default)]
pub struct LeavingTracker {
    leaving: Mutex<LeavingUpstreams>,
    /// Notified when there are updates to send to other VMs.
    updates: Notify,
}

impl LeavingTracker {
    /// Records an answer of an upstream that announces that it is leaving.
    pub fn record_answer(&self, shared: &GatewayShared, upstream: &Upstream) {
        let is_new = self.leaving.lock().record_answer(upstream.tag, shared.now());
        if is_new {
            upstream.set_leaving();
            self.updates.notify_one();
            record_leaving(shared, upstream, "answer");
        }
    }

    /// Applies a notice from another VM. Returns whether the upstream was not known to be leaving.
    pub fn apply_notice(&self, notice: &LeavingNotice, now: MonoTime) -> bool {
        self.leaving.lock().apply_notice(notice, now)
    }

    /// Marks an upstream as leaving if it has announced so, so that it gets no new requests.
    pub fn apply(&self, upstream: &Upstream) {
        if self.leaving.lock().contains(upstream.tag) {
            upstream.set_leaving();
        }
    }

    /// Waits until there may be updates to send.
    pub async fn wait_for_updates(&self) {
        self.updates.notified().await;
    }

    /// Removes and returns the updates that are to be sent at once.
    pub fn take_updates(&self, now: MonoTime) -> Vec<LeavingNotice> {
        self.leaving.lock().take_unsent(now)
    }

    /// Returns all leaving upstreams, for periodic resending.
    pub fn all_notices(&self, now: MonoTime) -> Vec<LeavingNotice> {
        self.leaving.lock().all_notices(now)
    }

    /// Removes expired entries.
    pub fn forget(&self, is_listed: impl Fn(UpstreamTag) -> bool, shared: &GatewayShared) {
        let mut leaving = self.leaving.lock();
        if !leaving.is_empty() {
            leaving.remove_expired(is_listed, shared.now());
            shared.metrics.set_level("leaving_upstreams", leaving.count() as u64);
        }
    }
}

/// Counts that an upstream is leaving, and logs it if the log quota permits. `source` names where
/// this VM learned of it.
pub fn record_leaving(shared: &GatewayShared, upstream: &Upstream, source: &'static str) {
    shared.metrics.count_event("upstream_leaving_signalled");
    if shared.quota.take(false) {
        tracing::info!(
        upstream = %upstream.name(),
        birth = upstream.identity.birth.0,
        requests = upstream.load.share().in_flight,
        source,
        "upstream is leaving"
        );
    }
}
