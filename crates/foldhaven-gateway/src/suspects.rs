//! Tracks suspected requests: requests that were in flight at upstreams that exited and may have
//! crashed them. Shared by both threads. Changes are counted, and logged as far
//! as the log quota permits.

use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use foldhaven_core::ids::RouteName;
use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::peer_table::VmTag;
use foldhaven_core::opaque::request_fingerprint::RequestFingerprint;
use foldhaven_core::opaque::suspects::{
    PROBE_EXITS, REFUSE_EXITS, RecordSource, SuspectChange, SuspectRecord, SuspectTable,
    SuspectUpdate, SuspectVerdict,
};
use foldhaven_core::time::MonoTime;
use lru::LruCache;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::logging::LogQuota;
use crate::metrics::GatewayMetrics;

/// The time after its first description from which a process without records from other VMs accepts
/// requests: it is the first process, or partitioned. Seeds are asked every 100 ms and answer
/// within one round trip between regions.
const INFORMED_AFTER: Duration = Duration::from_millis(300);

/// Maximum number of refused requests whose routes are remembered for operators.
const MAX_ROUTES: NonZeroUsize = NonZeroUsize::new(1_024).expect("not zero");

/// The suspected requests that this VM knows.
pub struct SuspectTracker {
    table: Mutex<SuspectTable>,
    /// The routes of requests that this VM refused.
    routes: Mutex<LruCache<RequestFingerprint, RouteName>>,
    /// Limits the number of log lines about changes.
    quota: LogQuota,
    /// Notified when there are updates to send to other VMs.
    updates: Notify,
    /// Notified when a request starts to be refused.
    refused: watch::Sender<()>,
    /// Whether another VM has sent its records since this process started, or since
    /// [`SuspectTracker::mark_uninformed`] was called.
    is_informed: AtomicBool,
}

/// The metrics in which a change is counted, and the time at which it occurs.
pub struct ChangeContext<'a> {
    pub metrics: &'a GatewayMetrics,
    pub now: MonoTime,
}

impl SuspectTracker {
    pub fn new(own: VmTag) -> Self {
        Self {
            table: Mutex::new(SuspectTable::new(own)),
            routes: Mutex::new(LruCache::new(MAX_ROUTES)),
            quota: LogQuota::default(),
            updates: Notify::new(),
            refused: watch::Sender::new(()),
            is_informed: AtomicBool::new(false),
        }
    }

    /// Returns the number of upstreams known to have exited under a request since it was last
    /// exonerated.
    pub fn exit_count(&self, fingerprint: &RequestFingerprint) -> usize {
        self.table.lock().exit_count(fingerprint)
    }

    /// Returns the decision on a request without starting a probe.
    pub fn peek_verdict(&self, fingerprint: &RequestFingerprint, now: MonoTime) -> SuspectVerdict {
        self.table.lock().peek_verdict(fingerprint, now)
    }

    /// Returns the decision on a request that is about to be sent to an upstream. If it is
    /// [`SuspectVerdict::Probe`], the probe has started.
    pub fn decide(
        &self,
        fingerprint: &RequestFingerprint,
        context: &ChangeContext<'_>,
    ) -> SuspectVerdict {
        let verdict = self.table.lock().decide(fingerprint, context.now);
        if verdict == SuspectVerdict::Probe {
            context.metrics.count_event("suspect_tried");
            tracing::info!(print = %fingerprint, "probing a suspected request");
            self.updates.notify_one();
        }
        verdict
    }

    /// Waits until a request starts to be refused.
    pub async fn wait_until_refused(&self, fingerprint: &RequestFingerprint) {
        let mut refused = self.refused.subscribe();
        // The sender exists as long as this tracker.
        while refused.changed().await.is_ok() {
            if self.exit_count(fingerprint) >= REFUSE_EXITS {
                return;
            }
        }
    }

    /// Remembers the route of a request that is refused.
    pub fn remember_route(&self, fingerprint: RequestFingerprint, route: &RouteName) {
        self.routes.lock().get_or_insert(fingerprint, || route.clone());
    }

    /// Returns the route of a request that this VM refused. `None` if it refused none with this
    /// fingerprint recently.
    pub fn route_of(&self, fingerprint: &RequestFingerprint) -> Option<RouteName> {
        self.routes.lock().peek(fingerprint).cloned()
    }

    /// Clears a request on behalf of an operator, as a complete answer would. Returns whether the
    /// request had any exits.
    pub fn clear(&self, fingerprint: RequestFingerprint, context: &ChangeContext<'_>) -> bool {
        let change = self.table.lock().clear(fingerprint, context.now);
        let is_cleared = change.is_some();
        self.record_change(change, "operator", context);
        is_cleared
    }

    /// Records that a probe of this VM is over. `was_sent` tells whether an upstream may have
    /// received it.
    pub fn finish_probe(&self, fingerprint: &RequestFingerprint, was_sent: bool, now: MonoTime) {
        self.table.lock().finish_probe(fingerprint, was_sent, now);
    }

    /// Records that an upstream exited under a request of this VM.
    pub fn record_exit(
        &self,
        fingerprint: RequestFingerprint,
        upstream: UpstreamTag,
        context: &ChangeContext<'_>,
    ) {
        let change = self.table.lock().record_exit(fingerprint, upstream, context.now);
        self.record_change(change, "own", context);
    }

    /// Records that a request was answered completely.
    pub fn record_success(&self, fingerprint: RequestFingerprint, context: &ChangeContext<'_>) {
        let change = self.table.lock().record_success(fingerprint, context.now);
        self.record_change(change, "own", context);
    }

    /// Merges the records that another VM sent.
    pub fn merge_records(
        &self,
        records: &[SuspectRecord],
        source: RecordSource,
        context: &ChangeContext<'_>,
    ) {
        self.is_informed.store(true, Ordering::Relaxed);
        for record in records {
            let result = self.table.lock().merge_record(record, source, context.now);
            match result {
                Ok(change) => self.record_change(change, "told", context),
                Err(fault) => {
                    context.metrics.count_event("suspect_record_dropped");
                    if self.quota.take(false) {
                        tracing::warn!(print = %record.fingerprint, error = %fault, "dropped the invalid record of a suspected request");
                    }
                }
            }
        }
    }

    /// Returns whether this VM has the records of other VMs, or has waited long enough to conclude
    /// that none can send them. `described_for` is the time since the first description.
    pub fn is_informed(&self, described_for: Duration) -> bool {
        self.has_received_records() || described_for >= INFORMED_AFTER
    }

    /// Returns whether another VM has sent its records since startup, or since
    /// [`SuspectTracker::mark_uninformed`] was called.
    pub fn has_received_records(&self) -> bool {
        self.is_informed.load(Ordering::Relaxed)
    }

    /// Marks the records received so far as outdated, so that they are requested again.
    pub fn mark_uninformed(&self) {
        self.is_informed.store(false, Ordering::Relaxed);
    }

    /// Waits until there may be updates to send.
    pub async fn wait_for_updates(&self) {
        self.updates.notified().await;
    }

    /// Removes and returns the updates that are to be sent at once.
    pub fn take_updates(&self) -> Vec<SuspectUpdate> {
        self.table.lock().take_updates()
    }

    /// Removes and returns the updates that other VMs may be about to send as well.
    pub fn take_shared_updates(&self) -> Vec<SuspectUpdate> {
        self.table.lock().take_shared_updates()
    }

    /// Returns the records that are resent in the next round.
    pub fn next_resent(&self, now: MonoTime) -> Vec<SuspectRecord> {
        self.table.lock().next_resent(now)
    }

    /// Returns the records for a VM that has just started.
    pub fn startup_records(&self) -> Vec<SuspectRecord> {
        self.table.lock().startup_records()
    }

    /// Returns the records of all suspected requests, each with the time since its last change.
    pub fn records_with_age(&self, now: MonoTime) -> Vec<(SuspectRecord, Duration)> {
        let table = self.table.lock();
        let records = table.records().into_iter();
        records
            .map(|it| (it.clone(), table.age(&it.fingerprint, now).unwrap_or_default()))
            .collect()
    }

    /// Removes expired records.
    pub fn remove_expired(&self, context: &ChangeContext<'_>) {
        let mut table = self.table.lock();
        table.remove_expired(context.now);
        context.metrics.set_level("suspects_held_back", table.quarantined_count() as u64);
    }

    /// Counts a change, logs it if the log quota permits, and notifies the task that sends updates
    /// to other VMs.
    fn record_change(
        &self,
        change: Option<SuspectChange>,
        source: &'static str,
        context: &ChangeContext<'_>,
    ) {
        let Some(SuspectChange { record, exits_before }) = change else { return };
        self.updates.notify_one();
        let exits = record.exits.len();
        let event = match exits {
            0 => "suspect_pardoned",
            exits if exits >= REFUSE_EXITS && exits_before < REFUSE_EXITS => "suspect_refused",
            exits if exits > exits_before => "suspect_ended",
            _ => "suspect_changed",
        };
        context.metrics.count_event(event);
        if event == "suspect_refused" {
            self.refused.send_replace(());
        }
        // One exit is recorded for each request that was in flight at an upstream that exits. VMs
        // act on a record from its second exit on.
        let is_plain = exits.max(exits_before) < PROBE_EXITS;
        if self.quota.take(is_plain) {
            tracing::info!(
                print = %record.fingerprint,
                event,
                ends = exits,
                ends_before = exits_before,
                trials = record.probes,
                pardons = record.exonerations,
                source,
                "suspected request changed"
            );
        }
    }
}
