//! What this VM believes of requests under which upstreams ended, shared by both threads, with a log line for each
//! change of it.

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

/// So long after its first description a process that nobody has told anything takes requests: it is the first one, or
/// alone. Seeds are asked every 100 ms and answer within one round trip between regions.
const INFORMED_AFTER: Duration = Duration::from_millis(300);

/// How many routes of requests that were held back are remembered, for operators.
const MAX_ROUTES: NonZeroUsize = NonZeroUsize::new(1_024).expect("not zero");

/// The suspected requests.
pub struct SuspectTracker {
    table: Mutex<SuspectTable>,
    /// The routes of requests that were held back here.
    routes: Mutex<LruCache<RequestFingerprint, RouteName>>,
    /// Limits how many lines on changes are logged.
    quota: LogQuota,
    /// Told when there is something to tell other VMs.
    updates: Notify,
    /// Told when a request is refused from now on.
    refused: watch::Sender<()>,
    /// Whether another VM has told what it knows since this process started.
    is_informed: AtomicBool,
}

/// Counts and logs of a change.
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

    /// How many upstreams ended under a request.
    pub fn exit_count(&self, print: &RequestFingerprint) -> usize {
        self.table.lock().exit_count(print)
    }

    /// What would be done with a request.
    pub fn peek_verdict(&self, print: &RequestFingerprint, now: MonoTime) -> SuspectVerdict {
        self.table.lock().peek_verdict(print, now)
    }

    /// What is done with a request that is about to be sent to an upstream.
    pub fn decide(
        &self,
        print: &RequestFingerprint,
        context: &ChangeContext<'_>,
    ) -> SuspectVerdict {
        let verdict = self.table.lock().decide(print, context.now);
        if verdict == SuspectVerdict::Probe {
            context.metrics.count_event("suspect_tried");
            tracing::info!(%print, "a suspected request is tried");
            self.updates.notify_one();
        }
        verdict
    }

    /// Waits until a request is refused that was not before.
    pub async fn wait_until_refused(&self, print: &RequestFingerprint) {
        let mut refused = self.refused.subscribe();
        // The sender lives as long as this desk.
        while refused.changed().await.is_ok() {
            if self.exit_count(print) >= REFUSE_EXITS {
                return;
            }
        }
    }

    /// Notes which route a request is of that is held back.
    pub fn remember_route(&self, print: RequestFingerprint, route: &RouteName) {
        self.routes.lock().get_or_insert(print, || route.clone());
    }

    /// The route of a request that was held back here.
    pub fn route_of(&self, print: &RequestFingerprint) -> Option<RouteName> {
        self.routes.lock().peek(print).cloned()
    }

    /// Clears a request as a whole answer does. Returns whether anything was held against it.
    pub fn clear(&self, print: RequestFingerprint, context: &ChangeContext<'_>) -> bool {
        let change = self.table.lock().clear(print, context.now);
        let is_cleared = change.is_some();
        self.record_change(change, "operator", context);
        is_cleared
    }

    /// Notes that a trial of this VM is over, and whether an upstream may have got it.
    pub fn finish_probe(&self, print: &RequestFingerprint, was_sent: bool, now: MonoTime) {
        self.table.lock().finish_probe(print, was_sent, now);
    }

    /// Notes that an upstream ended under a request of this VM.
    pub fn record_exit(
        &self,
        print: RequestFingerprint,
        upstream: UpstreamTag,
        context: &ChangeContext<'_>,
    ) {
        let change = self.table.lock().record_exit(print, upstream, context.now);
        self.record_change(change, "own", context);
    }

    /// Notes that a request was answered whole.
    pub fn record_success(&self, print: RequestFingerprint, context: &ChangeContext<'_>) {
        let change = self.table.lock().record_success(print, context.now);
        self.record_change(change, "own", context);
    }

    /// Takes in what another VM told.
    pub fn merge_records(
        &self,
        records: &[SuspectRecord],
        source: RecordSource,
        context: &ChangeContext<'_>,
    ) {
        self.is_informed.store(true, Ordering::Relaxed);
        for record in records {
            let heard = self.table.lock().merge_record(record, source, context.now);
            match heard {
                Ok(change) => self.record_change(change, "told", context),
                Err(fault) => {
                    context.metrics.count_event("suspect_record_dropped");
                    if self.quota.take(false) {
                        tracing::warn!(print = %record.fingerprint, error = %fault, "a record was dropped");
                    }
                }
            }
        }
    }

    /// Whether what other VMs know is known here, as far as there are any to tell it.
    pub fn is_informed(&self, described_for: Duration) -> bool {
        self.has_received_records() || described_for >= INFORMED_AFTER
    }

    /// Whether another VM has told what it knows, since the start or since it was asked again.
    pub fn has_received_records(&self) -> bool {
        self.is_informed.load(Ordering::Relaxed)
    }

    /// Takes what was told so far for out of date.
    pub fn mark_uninformed(&self) {
        self.is_informed.store(false, Ordering::Relaxed);
    }

    /// Waits until there may be something to tell.
    pub async fn wait_for_updates(&self) {
        self.updates.notified().await;
    }

    /// What is to be told at once.
    pub fn take_updates(&self) -> Vec<SuspectUpdate> {
        self.table.lock().take_updates()
    }

    /// What other VMs may be about to tell as well.
    pub fn take_shared_updates(&self) -> Vec<SuspectUpdate> {
        self.table.lock().take_shared_updates()
    }

    /// What is told again and again.
    pub fn next_resent(&self, now: MonoTime) -> Vec<SuspectRecord> {
        self.table.lock().next_resent(now)
    }

    /// What a VM that has just started is told.
    pub fn startup_records(&self) -> Vec<SuspectRecord> {
        self.table.lock().startup_records()
    }

    /// All suspected requests, with the time since the last change of each.
    pub fn records_with_age(&self, now: MonoTime) -> Vec<(SuspectRecord, Duration)> {
        let table = self.table.lock();
        let records = table.records().into_iter();
        records
            .map(|it| (it.clone(), table.age(&it.fingerprint, now).unwrap_or_default()))
            .collect()
    }

    /// Drops what is too old to count.
    pub fn forget(&self, context: &ChangeContext<'_>) {
        let mut table = self.table.lock();
        table.forget(context.now);
        context.metrics.set_level("suspects_held_back", table.quarantined_count() as u64);
    }

    /// Counts and logs a change, and has others told.
    fn record_change(
        &self,
        change: Option<SuspectChange>,
        source: &'static str,
        context: &ChangeContext<'_>,
    ) {
        let Some(SuspectChange { record, exits_before }) = change else { return };
        self.updates.notify_one();
        let ends = record.exits.len();
        let event = match ends {
            0 => "suspect_pardoned",
            ends if ends >= REFUSE_EXITS && exits_before < REFUSE_EXITS => "suspect_refused",
            ends if ends > exits_before => "suspect_ended",
            _ => "suspect_changed",
        };
        context.metrics.count_event(event);
        if event == "suspect_refused" {
            self.refused.send_replace(());
        }
        // One end each is what an upstream leaves of all that it had; more are a belief that others act by.
        let is_plain = ends.max(exits_before) < PROBE_EXITS;
        if self.quota.take(is_plain) {
            tracing::info!(
                print = %record.fingerprint,
                event,
                ends,
                ends_before = exits_before,
                trials = record.probes,
                pardons = record.exonerations,
                source,
                "what is believed of a request changes"
            );
        }
    }
}
