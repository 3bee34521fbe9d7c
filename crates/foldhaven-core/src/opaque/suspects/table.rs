//! The suspected requests that one VM knows, and its decisions on them.

use std::collections::{BTreeSet, HashMap};
use std::num::NonZeroUsize;
use std::time::Duration;

use super::entry::{PROBE_RETRY_DELAY, SuspectEntry};
use super::policy::{PROBE_EXITS, SuspectPolicy};
use super::record::{RecordError, SuspectRecord};
use super::updates::{SuspectUpdate, UpdateQueue, UpdateScope};
use crate::opaque::affinity::UpstreamTag;
use crate::opaque::peer_table::VmTag;
use crate::opaque::request_fingerprint::RequestFingerprint;
use crate::time::MonoTime;
use lru::LruCache;

/// Maximum number of records. If there are more, [`EVICTION_BATCH`] records with the fewest exits
/// are dropped at a time.
const MAX_ENTRIES: usize = 4_096;
const EVICTION_BATCH: usize = 512;
/// Maximum number of recently answered requests that are remembered.
const MAX_RECENT_SUCCESSES: NonZeroUsize = NonZeroUsize::new(4_096).expect("not zero");
/// How long a complete answer counts in favour of its request.
const SUCCESS_MAX_AGE: Duration = Duration::from_secs(300);
/// How long a changed record is resent in every round: with four receivers per round, 300 VMs have
/// received it after four rounds.
const FRESH_PERIOD: Duration = Duration::from_secs(10);
/// Older records are resent in every n-th round only. Resending all of them each time took 9.4 to
/// 11.7 KB/s per VM with five requests that crash upstreams beside 4,000 others a second.
const FULL_ROUND_INTERVAL: u32 = 8;
/// Maximum number of records in one message; 64 records of mostly less than 44 bytes fit one packet
/// or two.
pub const MAX_RECORDS_PER_MESSAGE: usize = 64;

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// It is forwarded like any other.
    Allowed,
    /// It may be forwarded once, to one upstream, while other VMs refuse it.
    Probe,
    /// It is not forwarded.
    Refused {
        /// Time until it may be probed at this VM.
        wait: Duration,
    },
}

/// Change of the record of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectChange {
    /// Record after the change.
    pub record: SuspectRecord,
    /// Number of exits before the change.
    pub exits_before: usize,
}

/// Origin of a received record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordSource {
    /// A VM of this region, which sends it to the others of the region itself.
    Local,
    /// A VM of another region, which sends it to only a few VMs of this region.
    Remote,
}

/// Table of the suspects of one kind, requests or segments, that one VM knows.
#[derive(Debug)]
pub struct SuspectTable {
    own: VmTag,
    policy: SuspectPolicy,
    /// The exits that refused segments explain. They count against no other suspect.
    explained: BTreeSet<UpstreamTag>,
    /// The refused suspects that explain them.
    explaining: BTreeSet<RequestFingerprint>,
    entries: HashMap<RequestFingerprint, SuspectEntry>,
    /// Times of recent complete answers. Each answer counts in favour of its request once.
    recent_successes: LruCache<RequestFingerprint, MonoTime>,
    pending: UpdateQueue,
    /// Rotation position of the next round of resent records.
    cursor: usize,
    /// Number of rounds so far.
    rounds: u32,
}

impl SuspectTable {
    /// Creates the empty table of a VM for whole requests.
    pub fn new(own: VmTag) -> Self {
        Self::with_policy(own, SuspectPolicy::REQUESTS)
    }

    /// Creates the empty table of a VM for suspects of one kind.
    pub fn with_policy(own: VmTag, policy: SuspectPolicy) -> Self {
        Self {
            own,
            policy,
            explained: BTreeSet::new(),
            explaining: BTreeSet::new(),
            entries: HashMap::new(),
            recent_successes: LruCache::new(MAX_RECENT_SUCCESSES),
            pending: UpdateQueue::default(),
            cursor: 0,
            rounds: 0,
        }
    }

    /// Returns the number of upstreams known to have exited with a request in flight since its last
    /// exoneration, except those whose exits a refused segment explains.
    pub fn exit_count(&self, fingerprint: &RequestFingerprint) -> usize {
        self.entries.get(fingerprint).map_or(0, |entry| self.counted_exits(&entry.record))
    }

    fn counted_exits(&self, record: &SuspectRecord) -> usize {
        if self.explained.is_empty() || self.explaining.contains(&record.fingerprint) {
            return record.exits.len();
        }
        record.exits.iter().filter(|exit| !self.explained.contains(exit)).count()
    }

    /// Returns whether a suspect is refused, or probed by one VM at a time.
    fn is_quarantined(&self, record: &SuspectRecord) -> bool {
        self.counted_exits(record) >= self.policy.quarantine_exits(record)
    }

    /// Returns whether a suspect is refused.
    pub fn is_refused(&self, fingerprint: &RequestFingerprint) -> bool {
        self.entries.get(fingerprint).is_some_and(|entry| {
            self.counted_exits(&entry.record) >= self.policy.refuse_exits(&entry.record)
        })
    }

    /// Returns whether a request with this suspect would probably crash another upstream: the
    /// suspect was at several that exited, and no answer speaks for it.
    pub fn is_likely_cause(&self, fingerprint: &RequestFingerprint) -> bool {
        self.entries.get(fingerprint).is_some_and(|entry| {
            let is_trusted = self.policy.trusts_answers && entry.record.exonerations > 0;
            !is_trusted && self.counted_exits(&entry.record) >= PROBE_EXITS
        })
    }

    /// Returns the exits that the refused suspects of this table explain.
    pub fn explained_exits(&self) -> &BTreeSet<UpstreamTag> {
        &self.explained
    }

    /// Sets the exits that suspects of another table explain.
    pub fn set_explained_exits(&mut self, explained: BTreeSet<UpstreamTag>) {
        self.explained = explained;
    }

    /// Determines which suspects are refused, and which exits they explain. Of suspects with common
    /// exits, the one that is most likely the cause explains them: one that was not answered since,
    /// and that is at most of them. All VMs reach the same result from the same records.
    fn update_explained(&mut self) {
        if !self.policy.explains_exits {
            return;
        }
        let records = self.entries.values().map(|entry| &entry.record);
        let mut suspects: Vec<&SuspectRecord> = records
            .filter(|record| record.exits.len() >= self.policy.refuse_exits(record))
            .collect();
        suspects.sort_by_key(|record| {
            let exits = std::cmp::Reverse(record.exits.len());
            (record.exonerations > 0, exits, record.fingerprint)
        });
        let (mut explained, mut explaining) = (BTreeSet::new(), BTreeSet::new());
        for record in suspects {
            let unexplained = record.exits.iter().filter(|exit| !explained.contains(*exit));
            if unexplained.count() >= self.policy.refuse_exits(record) {
                explained.extend(record.exits.iter().copied());
                explaining.insert(record.fingerprint);
            }
        }
        self.explained = explained;
        self.explaining = explaining;
    }

    /// Returns the decision on a request without starting a probe.
    pub fn peek_verdict(&self, fingerprint: &RequestFingerprint, now: MonoTime) -> SuspectVerdict {
        let Some(entry) = self.entries.get(fingerprint) else { return SuspectVerdict::Allowed };
        if !self.is_quarantined(&entry.record) {
            return SuspectVerdict::Allowed;
        }
        let backoff = entry.backoff(self.counted_exits(&entry.record), &self.policy);
        let wait = entry.wait(self.own, backoff, now);
        match entry.is_probing || !wait.is_zero() {
            true => SuspectVerdict::Refused { wait: wait.max(PROBE_RETRY_DELAY) },
            false => SuspectVerdict::Probe,
        }
    }

    /// Returns the decision on a request that is about to be sent to an upstream. If it is
    /// [`SuspectVerdict::Probe`], the probe has started.
    pub fn decide(&mut self, fingerprint: &RequestFingerprint, now: MonoTime) -> SuspectVerdict {
        let verdict = self.peek_verdict(fingerprint, now);
        if verdict == SuspectVerdict::Probe
            && let Some(entry) = self.entries.get_mut(fingerprint)
        {
            entry.record.add_probe();
            entry.changed_at = now;
            entry.is_probing = true;
            entry.is_probe_unsent = false;
            self.pending.push(*fingerprint, UpdateScope::Global);
        }
        verdict
    }

    /// Records that a probe of this VM is over. If it never reached an upstream, it may be repeated
    /// at once. Any other one may have crashed its upstream, even if the caller left or the exit is
    /// noticed later.
    pub fn finish_probe(
        &mut self,
        fingerprint: &RequestFingerprint,
        was_sent: bool,
        now: MonoTime,
    ) {
        if let Some(entry) = self.entries.get_mut(fingerprint)
            && std::mem::take(&mut entry.is_probing)
            && !was_sent
        {
            entry.is_probe_unsent = true;
            entry.changed_at = now;
        }
    }

    /// Records that an upstream exited with a request of this VM in flight. Returns the change, if
    /// any.
    pub fn record_exit(
        &mut self,
        fingerprint: RequestFingerprint,
        upstream: UpstreamTag,
        now: MonoTime,
    ) -> Option<SuspectChange> {
        if !self.policy.explains_exits && self.explained.contains(&upstream) {
            return None;
        }
        let mut record = self.record(fingerprint);
        record.add_exit(upstream, &self.policy);
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.is_probing = false;
            entry.is_probe_unsent = false;
        }
        let change = self.replace_record(record, now);
        if change.is_some() {
            let is_global = self.entries.get(&fingerprint).is_some_and(|entry| entry.is_global);
            self.pending.push(
                fingerprint,
                if is_global { UpdateScope::Global } else { UpdateScope::Region },
            );
        }
        change
    }

    /// Records that a request of this VM was answered completely, so that it didn't cause earlier
    /// exits. Returns the change, if any.
    pub fn record_success(
        &mut self,
        fingerprint: RequestFingerprint,
        now: MonoTime,
    ) -> Option<SuspectChange> {
        let exits_before = self.record(fingerprint).exits.len();
        if exits_before == 0 {
            self.recent_successes.put(fingerprint, now);
            return None;
        }
        let is_enough =
            |entry: &SuspectEntry| entry.is_probing || !entry.is_inconclusive(&self.policy);
        if !self.entries.get(&fingerprint).is_some_and(is_enough) {
            return None;
        }
        self.exonerate(fingerprint, now);
        // A single exit does not quarantine the request at other VMs, and their records of it
        // expire.
        if self.entries.get(&fingerprint).is_some_and(|entry| entry.is_global) {
            self.pending.push(fingerprint, UpdateScope::Global);
        }
        Some(SuspectChange { record: self.record(fingerprint), exits_before })
    }

    /// Clears a request on behalf of an operator. Returns the change; `None` if the request has no
    /// exits.
    pub fn clear(
        &mut self,
        fingerprint: RequestFingerprint,
        now: MonoTime,
    ) -> Option<SuspectChange> {
        let exits_before = self.record(fingerprint).exits.len();
        if exits_before == 0 {
            return None;
        }
        self.exonerate(fingerprint, now);
        self.pending.push(fingerprint, UpdateScope::Global);
        Some(SuspectChange { record: self.record(fingerprint), exits_before })
    }

    /// Merges a record of another VM. Returns the change, if any.
    ///
    /// # Errors
    ///
    /// Returns an error if no correct VM can have made the record.
    pub fn merge_record(
        &mut self,
        record: &SuspectRecord,
        source: RecordSource,
        now: MonoTime,
    ) -> Result<Option<SuspectChange>, RecordError> {
        record.check(&self.policy)?;
        let fingerprint = record.fingerprint;
        let mut merged = self.record(fingerprint);
        if !merged.merge(record, &self.policy) {
            if merged == *record {
                self.pending.remove_shared(&fingerprint);
            }
            return Ok(None);
        }
        let change = self.replace_record(merged, now);
        if source == RecordSource::Remote && !self.pending.contains(&fingerprint) {
            self.pending.push(fingerprint, UpdateScope::Region);
        }
        Ok(change)
    }

    /// Removes and returns the updates that are to be sent at once.
    pub fn take_updates(&mut self) -> Vec<SuspectUpdate> {
        let taken = self.pending.take(false);
        self.updates(taken)
    }

    /// Removes and returns the updates that several VMs may be about to send. They are better sent
    /// after a random delay.
    pub fn take_shared_updates(&mut self) -> Vec<SuspectUpdate> {
        let taken = self.pending.take(true);
        self.updates(taken)
    }

    /// Returns whether there are updates for [`SuspectTable::take_shared_updates`].
    pub fn has_shared_updates(&self) -> bool {
        self.pending.has_shared()
    }

    fn updates(&self, taken: Vec<(RequestFingerprint, UpdateScope)>) -> Vec<SuspectUpdate> {
        let update = |(fingerprint, scope)| {
            let record = self.entries.get(&fingerprint)?.record.clone();
            Some(SuspectUpdate { record, scope })
        };
        taken.into_iter().filter_map(update).collect()
    }

    /// Returns the records that are resent in a round, at most [`MAX_RECORDS_PER_MESSAGE`]: those
    /// of requests that are or were quarantined. Recently changed ones are resent in every round,
    /// because datagrams get lost; older ones that still have exits only in every
    /// `FULL_ROUND_INTERVAL`-th round, for VMs that were partitioned.
    pub fn next_resent(&mut self, now: MonoTime) -> Vec<SuspectRecord> {
        self.rounds = self.rounds.wrapping_add(1);
        let is_full = self.rounds.is_multiple_of(FULL_ROUND_INTERVAL);
        let is_due = |entry: &&SuspectEntry| {
            let is_fresh = now.since(entry.changed_at) <= FRESH_PERIOD;
            entry.is_global && (is_fresh || is_full && !entry.record.exits.is_empty())
        };
        let mut due: Vec<&SuspectRecord> =
            self.entries.values().filter(is_due).map(|entry| &entry.record).collect();
        due.sort_by_key(|record| record.fingerprint);
        let count = due.len().min(MAX_RECORDS_PER_MESSAGE);
        let at = |step: usize| due[(self.cursor + step) % due.len()].clone();
        let resent = (0..count).map(at).collect();
        self.cursor = if count < due.len() { self.cursor + count } else { 0 };
        resent
    }

    /// Returns the records for a VM that has just started: those with the most exits of the
    /// quarantined requests, at most [`MAX_RECORDS_PER_MESSAGE`].
    pub fn startup_records(&self) -> Vec<SuspectRecord> {
        let mut records = self.records();
        records.retain(|record| record.exits.len() >= PROBE_EXITS);
        records.truncate(MAX_RECORDS_PER_MESSAGE);
        records
    }

    /// Returns all records with exits, those with the most exits first.
    pub fn records(&self) -> Vec<SuspectRecord> {
        let suspected = self.entries.values().filter(|entry| !entry.record.exits.is_empty());
        let mut records: Vec<SuspectRecord> = suspected.map(|entry| entry.record.clone()).collect();
        records.sort_by_key(|record| (std::cmp::Reverse(record.exits.len()), record.fingerprint));
        records
    }

    /// Returns the time since the last change of a record.
    pub fn age(&self, fingerprint: &RequestFingerprint, now: MonoTime) -> Option<Duration> {
        self.entries.get(fingerprint).map(|entry| now.since(entry.changed_at))
    }

    /// Returns the number of requests that are refused or probed by one VM at a time.
    pub fn quarantined_count(&self) -> usize {
        self.entries.values().filter(|entry| self.is_quarantined(&entry.record)).count()
    }

    /// Removes expired records.
    pub fn remove_expired(&mut self, now: MonoTime) {
        let count = self.entries.len();
        self.entries.retain(|_, entry| !entry.is_expired(&self.policy, now));
        if self.entries.len() != count {
            self.update_explained();
        }
    }

    /// Returns the record of a request, an empty one if it is unknown.
    fn record(&self, fingerprint: RequestFingerprint) -> SuspectRecord {
        let known = self.entries.get(&fingerprint).map(|entry| entry.record.clone());
        known.unwrap_or_else(|| SuspectRecord::new(fingerprint))
    }

    /// Replaces a record and schedules the update of other VMs if needed. Returns the change, if
    /// any.
    fn replace_record(&mut self, record: SuspectRecord, now: MonoTime) -> Option<SuspectChange> {
        let fingerprint = record.fingerprint;
        let previous = self.record(fingerprint);
        if previous == record {
            return None;
        }
        if record.exonerations > previous.exonerations {
            // Each complete answer counts once, also if another VM counted it.
            self.recent_successes.pop(&fingerprint);
        }
        self.evict_if_full();
        let entry =
            self.entries.entry(fingerprint).or_insert_with(|| SuspectEntry::new(fingerprint, now));
        entry.record = record;
        entry.changed_at = now;
        entry.is_probe_unsent = false;
        entry.is_global |= entry.record.exits.len() >= PROBE_EXITS;
        let is_suspect = entry.record.exits.len() >= PROBE_EXITS;
        let may_exonerate = is_suspect && !entry.is_inconclusive(&self.policy);
        if may_exonerate && self.has_recent_success(&fingerprint, now) {
            self.exonerate(fingerprint, now);
            self.pending.push_shared(fingerprint);
        }
        let record = self.record(fingerprint);
        if previous.exits.len().max(record.exits.len()) > PROBE_EXITS {
            self.update_explained();
        }
        Some(SuspectChange { record, exits_before: previous.exits.len() })
    }

    /// Returns whether a recent complete answer counts in favour of a request.
    fn has_recent_success(&self, fingerprint: &RequestFingerprint, now: MonoTime) -> bool {
        self.recent_successes.peek(fingerprint).is_some_and(|at| now.since(*at) <= SUCCESS_MAX_AGE)
    }

    fn exonerate(&mut self, fingerprint: RequestFingerprint, now: MonoTime) {
        self.recent_successes.pop(&fingerprint);
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.record.exonerate();
            entry.changed_at = now;
            entry.is_probing = false;
            entry.is_probe_unsent = false;
            self.update_explained();
        }
    }

    /// Drops the records with the fewest exits, the oldest first, if there are too many.
    fn evict_if_full(&mut self) {
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        let order = |(fingerprint, entry): (&RequestFingerprint, &SuspectEntry)| {
            (entry.record.exits.len(), entry.changed_at, *fingerprint)
        };
        let mut weakest: Vec<_> = self.entries.iter().map(order).collect();
        weakest.select_nth_unstable(EVICTION_BATCH);
        for (_, _, fingerprint) in &weakest[..EVICTION_BATCH] {
            self.entries.remove(fingerprint);
        }
    }
}
