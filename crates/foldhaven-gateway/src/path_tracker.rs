//! Tracks which VMs have lost their paths to the upstreams of which services, shared by both
//! threads. Each change is counted, and logged as far as the log quota permits.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};

use foldhaven_core::ids::ServiceName;
use foldhaven_core::opaque::lost_paths::{LostPathNotice, LostPathTable};
use foldhaven_core::opaque::path_monitor::{PathChange, PathMonitor};
use foldhaven_core::opaque::peer_table::{ServiceTag, VmTag};
use foldhaven_core::time::MonoTime;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::shared::GatewayShared;
use crate::upstream::Upstream;

/// The lost paths of this VM and of others.
pub struct PathTracker {
    own: VmTag,
    /// The paths of this VM, by service.
    monitors: Mutex<HashMap<ServiceName, PathMonitor>>,
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
            monitors: Mutex::default(),
            lost: Mutex::default(),
            has_notices: AtomicBool::new(false),
            updates: Notify::new(),
        }
    }

    /// Records that no connection to an upstream could be opened.
    pub fn record_failure(&self, shared: &GatewayShared, upstream: &Upstream) {
        let service = &upstream.identity.service;
        let Some(view) = shared.view() else { return };
        let listed = view.group(service, shared.settings.region()).map_or(0, |group| group.len());
        let change = {
            let mut monitors = self.monitors.lock();
            let monitor = monitors.entry(service.clone()).or_default();
            monitor.record_failure(upstream.tag, listed, shared.now())
        };
        if change.is_some() {
            self.update_own(shared, service, PathChange::Lost);
        }
    }

    /// Records that a connection to an upstream of a service was opened, or that no upstream of the
    /// service is listed any more.
    pub fn record_opened(&self, shared: &GatewayShared, service: &ServiceName) {
        let change = self.monitors.lock().get_mut(service).and_then(PathMonitor::record_opened);
        if change.is_some() {
            forget_failures(shared, service);
            self.update_own(shared, service, PathChange::Regained);
        }
    }

    /// Queues the notice of this VM for sending after a change.
    fn update_own(&self, shared: &GatewayShared, service: &ServiceName, change: PathChange) {
        let lost_services = self.lost_services();
        let tags = lost_services.iter().map(ServiceTag::of).collect();
        self.lost.lock().set_own(self.own, tags, shared.now());
        self.has_notices.store(true, Ordering::Relaxed);
        self.updates.notify_one();
        let event = match change {
            PathChange::Lost => "paths_lost",
            PathChange::Regained => "paths_regained",
        };
        shared.metrics.count_event(event);
        shared.metrics.set_level("services_without_paths", lost_services.len() as u64);
        if shared.quota.take(false) {
            tracing::warn!(%service, event, "paths to the upstreams of a service changed");
        }
    }

    /// Returns the services whose upstreams this VM cannot reach.
    pub fn lost_services(&self) -> Vec<ServiceName> {
        let monitors = self.monitors.lock();
        let lost = monitors.iter().filter(|(_, monitor)| monitor.is_lost());
        lost.map(|(service, _)| service.clone()).collect()
    }

    /// Whether this VM cannot reach the upstreams of a service.
    pub fn is_lost(&self, service: &ServiceName) -> bool {
        self.monitors.lock().get(service).is_some_and(PathMonitor::is_lost)
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

/// Lets requests be sent again to all upstreams of a service to which the paths are back.
fn forget_failures(shared: &GatewayShared, service: &ServiceName) {
    let Some(view) = shared.view() else { return };
    let group = view.group(service, shared.settings.region());
    let upstreams = group.into_iter().flat_map(|group| group.iter());
    upstreams.for_each(|upstream| upstream.pool.forget_failures());
}
