//! Tracks which VMs have lost their paths to the upstreams of their regions, shared by both threads. Each change is counted, and logged as far as the log quota permits.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use foldhaven_core::ids::ServiceName;
use foldhaven_core::opaque::lost_paths::{LostPathNotice, LostPathTable};
use foldhaven_core::opaque::path_monitor::{PathChange, PathMonitor};
use foldhaven_core::opaque::peer_table::{ServiceTag, VmTag};
use foldhaven_core::time::MonoTime;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::shared::GatewayShared;
use crate::upstream::Upstream;
use crate::upstream_set::UpstreamGroup;

/// The lost paths of this VM and of others.
pub struct PathTracker {
    own: VmTag,
    /// The paths of this VM.
    monitor: Mutex<PathMonitor>,
    /// When data was last received from any upstream.
    last_received: AtomicU64,
    /// Whether they are lost, so that usually no request waits for a lock.
    is_lost: AtomicBool,
    /// The notices of all VMs.
    lost: Mutex<LostPathTable>,
    /// Whether there are notices, so that usually no request waits for a lock.
    has_notices: AtomicBool,
    /// Notified when there are updates to send to other VMs.
    updates: Notify,
}

impl PathTracker {
    pub fn new(own: VmTag) -> Self {
        Self {
            own,
            monitor: Mutex::default(),
            last_received: AtomicU64::new(0),
            is_lost: AtomicBool::new(false),
            lost: Mutex::default(),
            has_notices: AtomicBool::new(false),
            updates: Notify::new(),
        }
    }

    /// Records that no connection to an upstream could be opened.
    pub fn record_failure(&self, shared: &GatewayShared, upstream: &Upstream) {
        let listed = own_groups(shared, |groups| groups.map(|(_, group)| group.len()).sum());
        let now = shared.now();
        let received = MonoTime(self.last_received.load(Ordering::Relaxed));
        let mut monitor = self.monitor.lock();
        if received > MonoTime::default() {
            monitor.record_received(received);
        }
        let change = monitor.record_failure(upstream.tag, listed, now);
        drop(monitor);
        if let Some(change) = change {
            self.update_own(shared, change);
        }
    }

    /// Records that data was received from an upstream.
    pub fn record_received(&self, now: MonoTime) {
        self.last_received.store(now.0, Ordering::Relaxed);
    }

    /// Records that a connection to an upstream was opened.
    pub fn record_connected(&self) {
        self.monitor.lock().record_connected();
    }

    /// Records that a connection to an upstream was opened and lasts, or that no upstream is listed
    /// any more.
    pub fn record_opened(&self, shared: &GatewayShared) {
        let change = self.monitor.lock().record_opened(shared.now());
        if let Some(change) = change {
            forget_failures(shared);
            self.update_own(shared, change);
        }
    }

    /// Queues the notice of this VM for sending after a change.
    fn update_own(&self, shared: &GatewayShared, change: PathChange) {
        let is_lost = change == PathChange::Lost;
        self.is_lost.store(is_lost, Ordering::Relaxed);
        let services = match is_lost {
            true => own_groups(shared, |groups| {
                groups.map(|(service, _)| ServiceTag::of(service)).collect()
            }),
            false => Vec::new(),
        };
        self.lost.lock().set_own(self.own, services, shared.now());
        self.has_notices.store(true, Ordering::Relaxed);
        self.updates.notify_one();
        let event = if is_lost { "paths_lost" } else { "paths_regained" };
        shared.metrics.count_event(event);
        shared.metrics.set_level("without_paths", u64::from(is_lost));
        if shared.quota.take(false) {
            tracing::warn!(event, "paths to the upstreams of the region changed");
        }
    }

    /// Whether this VM cannot reach the upstreams of its region.
    pub fn is_lost(&self) -> bool {
        self.is_lost.load(Ordering::Relaxed)
    }

    /// Whether another VM cannot reach the upstreams of a service, by its last notice.
    pub fn is_lost_at(&self, vm: VmTag, service: &ServiceName) -> bool {
        self.has_notices() && self.lost.lock().is_lost(vm, ServiceTag::of(service))
    }

    /// Whether a VM cannot reach the upstreams of some service, by its last notice.
    pub fn is_any_lost_at(&self, vm: VmTag) -> bool {
        self.has_notices() && self.lost.lock().is_any_lost(vm)
    }

    /// Whether any VM has sent a notice recently.
    pub fn has_notices(&self) -> bool {
        self.has_notices.load(Ordering::Relaxed)
    }

    /// Applies the notice of another VM, which is relayed if it is from another region. Returns
    /// whether it is news.
    pub fn apply_notice(
        &self,
        shared: &GatewayShared,
        notice: &LostPathNotice,
        is_remote: bool,
    ) -> bool {
        if notice.vm == self.own {
            return false;
        }
        let has_changed = self.lost.lock().apply_notice(notice, is_remote, shared.now());
        self.has_notices.store(true, Ordering::Relaxed);
        if has_changed && is_remote {
            self.updates.notify_one();
        }
        has_changed
    }

    /// Waits until there may be updates to send.
    pub async fn wait_for_updates(&self) {
        self.updates.notified().await;
    }

    /// Removes and returns the updates that are to be sent at once.
    pub fn take_updates(&self, now: MonoTime) -> Vec<LostPathNotice> {
        self.lost.lock().take_unsent(now)
    }

    /// Returns the notices of one round of periodic resending.
    pub fn next_resent(&self, now: MonoTime) -> Vec<LostPathNotice> {
        match self.has_notices() {
            true => self.lost.lock().next_resent(self.own, now),
            false => Vec::new(),
        }
    }

    /// Removes expired notices.
    pub fn remove_expired(&self, shared: &GatewayShared) {
        if !self.has_notices() {
            return;
        }
        let mut lost = self.lost.lock();
        lost.remove_expired(shared.now());
        self.has_notices.store(!lost.is_empty(), Ordering::Relaxed);
        shared.metrics.set_level("vms_without_paths", lost.count() as u64);
    }
}

/// Evaluates the groups of upstreams in the region of this VM, with their services.
fn own_groups<T: Default>(
    shared: &GatewayShared,
    evaluate: impl FnOnce(&mut dyn Iterator<Item = (&ServiceName, &UpstreamGroup)>) -> T,
) -> T {
    let Some(view) = shared.view() else { return T::default() };
    let own_region = shared.settings.region();
    let groups = view.upstreams.iter();
    let mut own = groups.filter_map(|(service, regions)| Some((service, regions.get(own_region)?)));
    evaluate(&mut own)
}

/// Lets requests be sent again to all upstreams, since the paths to them are back.
fn forget_failures(shared: &GatewayShared) {
    own_groups(shared, |groups| {
        groups
            .flat_map(|(_, group)| group.iter())
            .for_each(|upstream| upstream.pool.forget_failures());
    });
}
