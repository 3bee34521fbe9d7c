//! Tracks which services have brittle upstreams, shared by both threads. Each change is counted, and
//! logged as far as the log quota permits.

use std::collections::HashMap;
use std::num::NonZeroU32;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use foldhaven_core::ids::ServiceName;
use foldhaven_core::opaque::brittle_services::{BrittleChange, BrittleNotice, BrittleServices};
use foldhaven_core::opaque::peer_table::ServiceTag;
use foldhaven_core::opaque::upstream_signals::AnswerTiming;
use foldhaven_core::time::MonoTime;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::shared::GatewayShared;

/// Whether the upstreams of one service are brittle. Shared by all its upstreams, so that a process
/// that starts counts as brittle like the others.
#[derive(Debug, Default)]
pub struct ServiceBrittleness {
    /// How many requests an upstream can decline in a second. 0 if it is not brittle.
    max_declined_per_s: AtomicU32,
    /// When this VM learned that the upstreams are brittle.
    since: AtomicU64,
}

impl ServiceBrittleness {
    fn set(&self, max_declined_per_s: Option<NonZeroU32>, now: MonoTime) {
        let per_s = max_declined_per_s.map_or(0, NonZeroU32::get);
        let before = self.max_declined_per_s.swap(per_s, Ordering::Relaxed);
        if before == 0 {
            self.since.store(now.0, Ordering::Relaxed);
        }
    }

    /// Returns how many requests an upstream can decline in a second. `None` if it is not brittle.
    pub fn max_declined_per_s(&self) -> Option<NonZeroU32> {
        NonZeroU32::new(self.max_declined_per_s.load(Ordering::Relaxed))
    }

    /// Whether this VM knew at a time that the upstreams are brittle.
    pub fn was_known(&self, moment: MonoTime) -> bool {
        self.max_declined_per_s().is_some() && self.since.load(Ordering::Relaxed) <= moment.0
    }
}

/// The services whose upstreams are brittle.
#[derive(Default)]
pub struct BrittleTracker {
    services: Mutex<BrittleServices>,
    states: Mutex<HashMap<ServiceTag, Arc<ServiceBrittleness>>>,
    /// Notified when there are updates to send to other VMs.
    updates: Notify,
}

impl BrittleTracker {
    /// Returns the state that all upstreams of a service share.
    pub fn state(&self, service: &ServiceName) -> Arc<ServiceBrittleness> {
        self.states.lock().entry(ServiceTag::of(service)).or_default().clone()
    }

    /// Records what an answer of an upstream announces. `None` if it announces nothing.
    pub fn record_answer(
        &self,
        shared: &GatewayShared,
        service: &ServiceName,
        max_declined_per_s: Option<NonZeroU32>,
        timing: AnswerTiming,
    ) {
        let mut services = self.services.lock();
        if services.is_empty() && max_declined_per_s.is_none() {
            return;
        }
        let tag = ServiceTag::of(service);
        let Some(change) = services.record_answer(tag, max_declined_per_s, timing) else { return };
        drop(services);
        self.updates.notify_one();
        self.apply_change(shared, tag, &change, "answer");
    }

    /// Applies what another VM of the region reports.
    pub fn apply_notice(&self, shared: &GatewayShared, notice: &BrittleNotice) {
        let change = self.services.lock().apply_notice(notice, shared.now());
        if let Some(change) = change {
            self.apply_change(shared, notice.service, &change, "peer");
        }
    }

    /// Makes a change effective for all upstreams of a service. `source` names where this VM
    /// learned of it.
    fn apply_change(
        &self,
        shared: &GatewayShared,
        service: ServiceTag,
        change: &BrittleChange,
        source: &'static str,
    ) {
        let state = self.states.lock().entry(service).or_default().clone();
        state.set(change.now, shared.now());
        shared.metrics.count_event("upstream_brittle_changed");
        shared.metrics.set_level("brittle_services", self.services.lock().count() as u64);
        if shared.quota.take(false) {
            let per_s = |count: Option<NonZeroU32>| count.map(NonZeroU32::get);
            let view = shared.view();
            let names = view.as_ref().map(|view| view.upstreams.keys());
            let name = names.into_iter().flatten().find(|name| ServiceTag::of(name) == service);
            tracing::info!(
                service = name.map_or("-", ServiceName::as_str),
                per_s = per_s(change.now),
                before = per_s(change.before),
                source,
                "brittleness of a service changed"
            );
        }
    }

    /// Waits until there may be updates to send.
    pub async fn wait_for_updates(&self) {
        self.updates.notified().await;
    }

    /// Removes and returns the updates that are to be sent at once.
    pub fn take_updates(&self, now: MonoTime) -> Vec<BrittleNotice> {
        self.services.lock().take_unsent(now)
    }

    /// Returns all notices, for periodic resending.
    pub fn all_notices(&self, now: MonoTime) -> Vec<BrittleNotice> {
        self.services.lock().all_notices(now)
    }

    /// Removes expired entries.
    pub fn forget(&self, shared: &GatewayShared) {
        let now = shared.now();
        let ended = self.services.lock().remove_expired(now);
        let states = self.states.lock();
        let ended = ended.iter().filter_map(|service| states.get(service));
        ended.for_each(|state| state.set(None, now));
    }
}
