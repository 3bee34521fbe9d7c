//! Tracks suspects: requests that were in flight at upstreams that exited and may have crashed
//! them, and the segments of their prompts. Shared by both threads. Changes are counted, and logged
//! as far as the log quota permits.

use std::collections::BTreeSet;
use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use foldhaven_core::ids::RouteName;
use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::peer_table::VmTag;
use foldhaven_core::opaque::request_fingerprint::RequestFingerprint;
use foldhaven_core::opaque::suspects::{
    PROBE_EXITS, RecordSource, SuspectChange, SuspectKeys, SuspectPolicy, SuspectRecord,
    SuspectTable, SuspectUpdate, SuspectVerdict,
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

/// The two kinds of suspects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectKind {
    /// Whole requests.
    Requests,
    /// Segments of prompts.
    Segments,
}

impl SuspectKind {
    /// Both kinds.
    pub const ALL: [Self; 2] = [Self::Requests, Self::Segments];

    /// Returns the name in logs.
    fn label(self) -> &'static str {
        match self {
            Self::Requests => "request",
            Self::Segments => "segment",
        }
    }
}

/// The tables of both kinds.
struct SuspectTables {
    requests: SuspectTable,
    segments: SuspectTable,
}

impl SuspectTables {
    fn of(&self, kind: SuspectKind) -> &SuspectTable {
        match kind {
            SuspectKind::Requests => &self.requests,
            SuspectKind::Segments => &self.segments,
        }
    }

    /// Changes a table. The exits that refused segments explain do not count against requests.
    fn change<T>(&mut self, kind: SuspectKind, act: impl FnOnce(&mut SuspectTable) -> T) -> T {
        match kind {
            SuspectKind::Requests => act(&mut self.requests),
            SuspectKind::Segments => {
                let result = act(&mut self.segments);
                if self.requests.explained_exits() != self.segments.explained_exits() {
                    let explained = self.segments.explained_exits().clone();
                    self.requests.set_explained_exits(explained);
                }
                result
            }
        }
    }

    /// Returns whether a condition holds for any suspect of a request.
    fn any(
        &self,
        keys: &SuspectKeys,
        matches: impl Fn(&SuspectTable, &RequestFingerprint) -> bool,
    ) -> bool {
        matches(&self.requests, &keys.request)
            || keys.segments.iter().any(|segment| matches(&self.segments, segment))
    }
}

/// Returns the stricter of the verdicts on two suspects of one request.
fn stricter(left: SuspectVerdict, right: SuspectVerdict) -> SuspectVerdict {
    use SuspectVerdict::{Allowed, Probe, Refused};
    match (left, right) {
        (Refused { wait }, Refused { wait: other }) => Refused { wait: wait.max(other) },
        (Refused { wait }, _) | (_, Refused { wait }) => Refused { wait },
        (Probe, _) | (_, Probe) => Probe,
        (Allowed, Allowed) => Allowed,
    }
}

/// Returns the suspects of a request, with their kinds.
fn suspects_of(keys: &SuspectKeys) -> impl Iterator<Item = (SuspectKind, RequestFingerprint)> {
    let segments = keys.segments.iter().map(|segment| (SuspectKind::Segments, *segment));
    std::iter::once((SuspectKind::Requests, keys.request)).chain(segments)
}

/// The suspects that this VM knows.
pub struct SuspectTracker {
    tables: Mutex<SuspectTables>,
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
            tables: Mutex::new(SuspectTables {
                requests: SuspectTable::new(own),
                segments: SuspectTable::with_policy(own, SuspectPolicy::SEGMENTS),
            }),
            routes: Mutex::new(LruCache::new(MAX_ROUTES)),
            quota: LogQuota::default(),
            updates: Notify::new(),
            refused: watch::Sender::new(()),
            is_informed: AtomicBool::new(false),
        }
    }

    /// Whether a request would probably crash another upstream.
    pub fn is_likely_poison(&self, keys: &SuspectKeys) -> bool {
        self.tables.lock().any(keys, SuspectTable::is_likely_cause)
    }

    /// Returns the decision on a suspect without starting a probe.
    pub fn peek_verdict(
        &self,
        kind: SuspectKind,
        fingerprint: &RequestFingerprint,
        now: MonoTime,
    ) -> SuspectVerdict {
        self.tables.lock().of(kind).peek_verdict(fingerprint, now)
    }

    /// Returns the decision on a request without starting a probe.
    pub fn peek_request(&self, keys: &SuspectKeys, now: MonoTime) -> SuspectVerdict {
        let tables = self.tables.lock();
        let verdicts = suspects_of(keys)
            .map(|(kind, fingerprint)| tables.of(kind).peek_verdict(&fingerprint, now));
        verdicts.fold(SuspectVerdict::Allowed, stricter)
    }

    /// Returns the decision on a request that is about to be sent to an upstream. If it is
    /// [`SuspectVerdict::Probe`], the probe has started.
    pub fn decide(&self, keys: &SuspectKeys, context: &ChangeContext<'_>) -> SuspectVerdict {
        let verdict = self.peek_request(keys, context.now);
        if verdict != SuspectVerdict::Probe {
            return verdict;
        }
        let mut tables = self.tables.lock();
        for (kind, fingerprint) in suspects_of(keys) {
            let verdict = tables.change(kind, |table| table.decide(&fingerprint, context.now));
            if verdict == SuspectVerdict::Probe {
                context.metrics.count_event("suspect_tried");
                tracing::info!(print = %fingerprint, kind = kind.label(), "probing a suspected request");
            }
        }
        self.updates.notify_one();
        verdict
    }

    /// Waits until a request starts to be refused.
    pub async fn wait_until_refused(&self, keys: &SuspectKeys) {
        let mut refused = self.refused.subscribe();
        // The sender exists as long as this tracker.
        while refused.changed().await.is_ok() {
            if self.tables.lock().any(keys, SuspectTable::is_refused) {
                return;
            }
        }
    }

    /// Returns the suspects of a request that are refused.
    pub fn refused_suspects(&self, keys: &SuspectKeys) -> Vec<RequestFingerprint> {
        let tables = self.tables.lock();
        let refused = suspects_of(keys).filter(|(kind, it)| tables.of(*kind).is_refused(it));
        refused.map(|(_, fingerprint)| fingerprint).collect()
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
        let mut is_cleared = false;
        for kind in SuspectKind::ALL {
            let mut tables = self.tables.lock();
            let change = tables.change(kind, |table| table.clear(fingerprint, context.now));
            drop(tables);
            is_cleared |= change.is_some();
            self.record_change(kind, change, "operator", context);
        }
        is_cleared
    }

    /// Records that a probe of this VM is over. `was_sent` tells whether an upstream may have
    /// received it.
    pub fn finish_probe(&self, keys: &SuspectKeys, was_sent: bool, now: MonoTime) {
        let mut tables = self.tables.lock();
        for (kind, fingerprint) in suspects_of(keys) {
            tables.change(kind, |table| table.finish_probe(&fingerprint, was_sent, now));
        }
    }

    /// Records that an upstream exited under requests of this VM.
    pub fn record_exit(
        &self,
        affected: &[SuspectKeys],
        upstream: UpstreamTag,
        context: &ChangeContext<'_>,
    ) {
        let requests = affected.iter().map(|keys| keys.request);
        let segments = affected.iter().flat_map(|keys| keys.segments.iter().copied());
        // Segments come first, as they may explain the exit.
        self.record_exits(SuspectKind::Segments, segments.collect(), upstream, context);
        self.record_exits(SuspectKind::Requests, requests.collect(), upstream, context);
    }

    fn record_exits(
        &self,
        kind: SuspectKind,
        fingerprints: BTreeSet<RequestFingerprint>,
        upstream: UpstreamTag,
        context: &ChangeContext<'_>,
    ) {
        for fingerprint in fingerprints {
            let mut tables = self.tables.lock();
            let record =
                |table: &mut SuspectTable| table.record_exit(fingerprint, upstream, context.now);
            let change = tables.change(kind, record);
            drop(tables);
            self.record_change(kind, change, "own", context);
        }
    }

    /// Records that a request was answered. Only an answer that was written on its prompt to the
    /// end speaks for the segments of the prompt: `is_written` tells whether this one was.
    pub fn record_success(
        &self,
        keys: &SuspectKeys,
        is_written: bool,
        context: &ChangeContext<'_>,
    ) {
        for (kind, fingerprint) in suspects_of(keys) {
            if kind == SuspectKind::Segments && !is_written {
                continue;
            }
            let mut tables = self.tables.lock();
            let record = |table: &mut SuspectTable| table.record_success(fingerprint, context.now);
            let change = tables.change(kind, record);
            drop(tables);
            self.record_change(kind, change, "own", context);
        }
    }

    /// Merges the records that another VM sent.
    pub fn merge_records(
        &self,
        kind: SuspectKind,
        records: &[SuspectRecord],
        source: RecordSource,
        context: &ChangeContext<'_>,
    ) {
        self.is_informed.store(true, Ordering::Relaxed);
        for record in records {
            let mut tables = self.tables.lock();
            let merge = |table: &mut SuspectTable| table.merge_record(record, source, context.now);
            let result = tables.change(kind, merge);
            drop(tables);
            match result {
                Ok(change) => self.record_change(kind, change, "told", context),
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
    pub fn take_updates(&self, kind: SuspectKind) -> Vec<SuspectUpdate> {
        self.tables.lock().change(kind, SuspectTable::take_updates)
    }

    /// Removes and returns the updates that other VMs may be about to send as well.
    pub fn take_shared_updates(&self, kind: SuspectKind) -> Vec<SuspectUpdate> {
        self.tables.lock().change(kind, SuspectTable::take_shared_updates)
    }

    /// Returns the records that are resent in the next round.
    pub fn next_resent(&self, kind: SuspectKind, now: MonoTime) -> Vec<SuspectRecord> {
        self.tables.lock().change(kind, |table| table.next_resent(now))
    }

    /// Returns the records for a VM that has just started.
    pub fn startup_records(&self, kind: SuspectKind) -> Vec<SuspectRecord> {
        self.tables.lock().of(kind).startup_records()
    }

    /// Returns the records of all suspects of a kind, each with the time since its last change.
    pub fn records_with_age(
        &self,
        kind: SuspectKind,
        now: MonoTime,
    ) -> Vec<(SuspectRecord, Duration)> {
        let tables = self.tables.lock();
        let table = tables.of(kind);
        let records = table.records().into_iter();
        records
            .map(|it| (it.clone(), table.age(&it.fingerprint, now).unwrap_or_default()))
            .collect()
    }

    /// Removes expired records.
    pub fn remove_expired(&self, context: &ChangeContext<'_>) {
        let mut tables = self.tables.lock();
        let mut quarantined = 0;
        for kind in SuspectKind::ALL {
            tables.change(kind, |table| table.remove_expired(context.now));
            quarantined += tables.of(kind).quarantined_count();
        }
        context.metrics.set_level("suspects_held_back", quarantined as u64);
    }

    /// Counts a change, logs it if the log quota permits, and notifies the task that sends updates
    /// to other VMs.
    fn record_change(
        &self,
        kind: SuspectKind,
        change: Option<SuspectChange>,
        source: &'static str,
        context: &ChangeContext<'_>,
    ) {
        let Some(SuspectChange { record, exits_before }) = change else { return };
        self.updates.notify_one();
        let exits = record.exits.len();
        let is_refused = self.tables.lock().of(kind).is_refused(&record.fingerprint);
        let event = match exits {
            0 => "suspect_pardoned",
            exits if is_refused && exits > exits_before => "suspect_refused",
            exits if exits > exits_before => "suspect_ended",
            _ => "suspect_changed",
        };
        context.metrics.count_event(event);
        if is_refused {
            self.refused.send_replace(());
        }
        // One exit is recorded for each request that was in flight at an upstream that exits. VMs
        // act on a record from its second exit on.
        let is_plain = exits.max(exits_before) < PROBE_EXITS;
        if self.quota.take(is_plain) {
            tracing::info!(
                print = %record.fingerprint,
                kind = kind.label(),
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
