//! The suspected requests that one VM knows of, and what it does with them.

use std::collections::{BTreeMap, HashMap};
use std::num::NonZeroUsize;
use std::time::Duration;

use super::record::{RecordError, SuspectRecord};
use crate::opaque::affinity::UpstreamTag;
use crate::opaque::peer_table::VmTag;
use crate::opaque::request_fingerprint::RequestFingerprint;
use crate::rank::rank_hash;
use crate::time::MonoTime;
use lru::LruCache;

/// From so many ends on, a request is tried by one VM at a time. Of requests that are only victims, few are at two
/// upstreams that end before they are answered once.
pub const PROBE_EXITS: usize = 2;
/// From so many ends on, it is refused, and tried once in long pauses.
pub const REFUSE_EXITS: usize = 3;
/// After a trial that has shown nothing, another one waits so long at first.
const PROBE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// So long a request is refused before its first trial; then [`BACKOFF_FACTOR`] times longer each time. Three upstreams an
/// hour are lost at most to a request that is sent for ever, and one that was blamed falsely is well again in 20 s.
const FIRST_REFUSAL_DELAY: Duration = Duration::from_secs(10);
const BACKOFF_FACTOR: u32 = 3;
const MAX_BACKOFF: Duration = Duration::from_secs(600);
/// How many turns a pause has, of which each VM has one.
const PROBE_SLOTS: u32 = 10;
/// So long a request is remembered after what was heard of it last: longer than it is refused at the longest.
const SUSPECT_RETENTION: Duration = Duration::from_secs(1_800);
/// So long one is remembered that was pardoned, so that late news of its ends is known for old.
const EXONERATED_RETENTION: Duration = Duration::from_secs(60);
/// How many requests are remembered. Beyond that, those with the fewest ends are dropped, [`EVICTION_BATCH`] at a time.
const MAX_ENTRIES: usize = 4_096;
const EVICTION_BATCH: usize = 512;
/// How many requests are remembered that were answered whole lately.
const MAX_RECENT_SUCCESSES: NonZeroUsize = NonZeroUsize::new(4_096).expect("not zero");
/// A request that was cleared of so many ends is doubted: only a trial clears it from then on, after two ends each. An
/// innocent one has been at that many upstreams that ended within half an hour; it is held back for 10 to 20 s.
const INCONCLUSIVE_CLEARED_EXITS: u8 = 8;
/// For how long such an answer speaks for its request.
const SUCCESS_MAX_AGE: Duration = Duration::from_secs(300);
/// For so long what is new is told again in every round: of four VMs that are told in one, 300 know in four rounds.
const FRESH_PERIOD: Duration = Duration::from_secs(10);
/// What is older goes with every n-th round. Repeating all of it each time took 9.4 to 11.7 KB/s a VM where five requests
/// end engines beside 4,000 others a second.
const FULL_ROUND_INTERVAL: u32 = 8;
/// How many records go into one message; 64 of at most 44 bytes fit one packet or two.
pub const MAX_RECORDS_PER_MESSAGE: usize = 64;

/// What is done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// It is sent on as any other.
    Allowed,
    /// It may be sent on once, to one upstream; other VMs hold it back meanwhile.
    Probe,
    /// It is not sent on.
    Refused {
        /// When it may be tried here.
        wait: Duration,
    },
}

/// A change of what is believed of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectChange {
    /// What is known now.
    pub record: SuspectRecord,
    /// How many ends were known before.
    pub exits_before: usize,
}

/// Who is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpdateScope {
    /// The VMs of this region. A single end is told no further: when many upstreams end at once, it is most of the news,
    /// and it forbids nothing.
    Region,
    /// All VMs.
    Global,
}

/// What other VMs are told of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectUpdate {
    /// What is known.
    pub record: SuspectRecord,
    /// Who is told.
    pub scope: UpdateScope,
}

/// News that wait to be told.
#[derive(Debug, Clone, Copy)]
struct PendingUpdate {
    scope: UpdateScope,
    /// Whether several VMs have come to the same just now; the first one to tell saves the others doing so.
    is_shared: bool,
}

/// Where a record comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordSource {
    /// A VM of this region, which tells the others itself.
    Local,
    /// A VM of another region, which tells only a few here.
    Remote,
}

/// The suspected requests that one VM knows of.
#[derive(Debug)]
pub struct SuspectTable {
    own: VmTag,
    entries: HashMap<RequestFingerprint, SuspectEntry>,
    /// Requests that were answered whole lately. Each answer speaks for its request once.
    recent_successes: LruCache<RequestFingerprint, MonoTime>,
    /// Those that others are to be told of.
    pending: BTreeMap<RequestFingerprint, PendingUpdate>,
    /// Where the next round of repeated news begins.
    cursor: usize,
    /// How many rounds there were.
    rounds: u32,
}

#[derive(Debug)]
struct SuspectEntry {
    record: SuspectRecord,
    /// When it changed last.
    changed_at: MonoTime,
    /// Whether all regions were told of it.
    is_global: bool,
    /// Whether this VM tries it now.
    is_probing: bool,
    /// Whether this VM may try again, since its trial never reached an upstream.
    is_probe_unsent: bool,
}

impl SuspectEntry {
    fn new(fingerprint: RequestFingerprint, now: MonoTime) -> Self {
        Self {
            record: SuspectRecord::new(fingerprint),
            changed_at: now,
            is_global: false,
            is_probing: false,
            is_probe_unsent: false,
        }
    }

    /// After how long a VM may try it. Each VM draws when its turn begins after the pause, so that those that come later hear of
    /// the first trial before theirs. A turn is a tenth of the pause and comes again after each pause: a request that comes to
    /// all VMs at one moment, after none has met it for long, is tried by few.
    fn wait(&self, vm: VmTag, now: MonoTime) -> Duration {
        let backoff = self.backoff();
        if self.is_probe_unsent || backoff.is_zero() {
            return Duration::ZERO;
        }
        let first_slot = self.changed_at + backoff + backoff.mul_f64(self.jitter(vm));
        if now < first_slot {
            return first_slot.since(now);
        }
        let since_slot = now.since(first_slot).as_micros() % backoff.as_micros();
        let since_slot = Duration::from_micros(u64::try_from(since_slot).unwrap_or_default());
        match since_slot < backoff / PROBE_SLOTS {
            true => Duration::ZERO,
            false => backoff - since_slot,
        }
    }

    /// Whether answers alone do not speak for it any more: it was cleared of so many ends that some upstreams answer it and others
    /// end under it.
    fn is_inconclusive(&self) -> bool {
        self.record.cleared_exits >= INCONCLUSIVE_CLEARED_EXITS
    }

    /// From how many ends on it is tried by one VM at a time, or not at all.
    fn is_quarantined(&self) -> bool {
        self.record.exits.len() >= PROBE_EXITS
    }

    fn backoff(&self) -> Duration {
        let SuspectRecord { exits, probes, cleared_exits, .. } = &self.record;
        if self.is_inconclusive() && self.is_quarantined() {
            // Each time that it was cleared again makes the next pause longer, as a trial does.
            let recurrences =
                u32::from(cleared_exits - INCONCLUSIVE_CLEARED_EXITS) / PROBE_EXITS as u32;
            return grow_backoff(FIRST_REFUSAL_DELAY, u32::from(*probes) + recurrences);
        }
        match exits.len() {
            exits if exits < PROBE_EXITS => Duration::ZERO,
            exits if exits < REFUSE_EXITS => match probes {
                0 => Duration::ZERO,
                probes => grow_backoff(PROBE_RETRY_DELAY, u32::from(*probes) - 1),
            },
            _ => grow_backoff(FIRST_REFUSAL_DELAY, (*probes).into()),
        }
    }

    /// A number in 0..1 that differs from VM to VM, and for each VM from trial to trial.
    fn jitter(&self, vm: VmTag) -> f64 {
        let SuspectRecord { fingerprint, probes, .. } = &self.record;
        let hash = rank_hash(&[&fingerprint.to_string(), &vm.0.to_string(), &probes.to_string()]);
        (hash >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn is_expired(&self, now: MonoTime) -> bool {
        let is_cleared = self.record.exits.is_empty() && !self.is_inconclusive();
        let retention = if is_cleared { EXONERATED_RETENTION } else { SUSPECT_RETENTION };
        now.since(self.changed_at) > retention
    }
}

fn grow_backoff(backoff: Duration, times: u32) -> Duration {
    let factor = BACKOFF_FACTOR.saturating_pow(times);
    backoff.saturating_mul(factor).min(MAX_BACKOFF)
}

impl SuspectTable {
    /// The empty table of a VM.
    pub fn new(own: VmTag) -> Self {
        Self {
            own,
            entries: HashMap::new(),
            recent_successes: LruCache::new(MAX_RECENT_SUCCESSES),
            pending: BTreeMap::new(),
            cursor: 0,
            rounds: 0,
        }
    }

    /// How many upstreams are known to have ended under a request since it was answered whole.
    pub fn exit_count(&self, fingerprint: &RequestFingerprint) -> usize {
        self.entries.get(fingerprint).map_or(0, |entry| entry.record.exits.len())
    }

    /// What would be done with a request. Nothing is begun.
    pub fn peek_verdict(&self, fingerprint: &RequestFingerprint, now: MonoTime) -> SuspectVerdict {
        let Some(entry) = self.entries.get(fingerprint) else { return SuspectVerdict::Allowed };
        if !entry.is_quarantined() {
            return SuspectVerdict::Allowed;
        }
        let wait = entry.wait(self.own, now);
        match entry.is_probing || !wait.is_zero() {
            true => SuspectVerdict::Refused { wait: wait.max(PROBE_RETRY_DELAY) },
            false => SuspectVerdict::Probe,
        }
    }

    /// What is done with a request that is about to be sent to an upstream. A trial has begun when this returns it.
    pub fn decide(&mut self, fingerprint: &RequestFingerprint, now: MonoTime) -> SuspectVerdict {
        let verdict = self.peek_verdict(fingerprint, now);
        if verdict == SuspectVerdict::Probe
            && let Some(entry) = self.entries.get_mut(fingerprint)
        {
            entry.record.add_probe();
            entry.changed_at = now;
            entry.is_probing = true;
            entry.is_probe_unsent = false;
            self.queue_update(*fingerprint, UpdateScope::Global);
        }
        verdict
    }

    /// Notes that a trial of this VM is over. One that no upstream got may be made again at once; any other one may have
    /// ended its upstream, also when its caller has left or the end is noticed later.
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

    /// Notes that an upstream ended under a request of this VM.
    pub fn record_exit(
        &mut self,
        fingerprint: RequestFingerprint,
        upstream: UpstreamTag,
        now: MonoTime,
    ) -> Option<SuspectChange> {
        let mut record = self.record(fingerprint);
        record.add_exit(upstream);
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.is_probing = false;
            entry.is_probe_unsent = false;
        }
        let change = self.replace_record(record, now);
        if change.is_some() {
            let is_global = self.entries.get(&fingerprint).is_some_and(|entry| entry.is_global);
            self.queue_update(
                fingerprint,
                if is_global { UpdateScope::Global } else { UpdateScope::Region },
            );
        }
        change
    }

    /// Notes that a request of this VM was answered whole: whatever ended under it before, it was not the cause.
    pub fn record_success(
        &mut self,
        fingerprint: RequestFingerprint,
        now: MonoTime,
    ) -> Option<SuspectChange> {
        let exits_before = self.exit_count(&fingerprint);
        if exits_before == 0 {
            self.recent_successes.put(fingerprint, now);
            return None;
        }
        let is_enough = |entry: &SuspectEntry| entry.is_probing || !entry.is_inconclusive();
        if !self.entries.get(&fingerprint).is_some_and(is_enough) {
            return None;
        }
        self.exonerate(fingerprint, now);
        // What one end made others think forbids nothing, and is forgotten by itself.
        if self.entries.get(&fingerprint).is_some_and(|entry| entry.is_global) {
            self.queue_update(fingerprint, UpdateScope::Global);
        }
        Some(SuspectChange { record: self.record(fingerprint), exits_before })
    }

    /// Clears a request by hand. Returns what changes by that; nothing when nothing is held against it.
    pub fn clear(
        &mut self,
        fingerprint: RequestFingerprint,
        now: MonoTime,
    ) -> Option<SuspectChange> {
        let exits_before = self.exit_count(&fingerprint);
        if exits_before == 0 {
            return None;
        }
        self.exonerate(fingerprint, now);
        self.queue_update(fingerprint, UpdateScope::Global);
        Some(SuspectChange { record: self.record(fingerprint), exits_before })
    }

    /// Takes in what another VM knows. Returns what changes by it.
    ///
    /// # Errors
    ///
    /// When no sound VM can have told that.
    pub fn merge_record(
        &mut self,
        record: &SuspectRecord,
        source: RecordSource,
        now: MonoTime,
    ) -> Result<Option<SuspectChange>, RecordError> {
        record.check()?;
        let fingerprint = record.fingerprint;
        let mut merged = self.record(fingerprint);
        if !merged.merge(record) {
            let is_redundant = merged == *record;
            if is_redundant
                && self.pending.get(&fingerprint).is_some_and(|pending| pending.is_shared)
            {
                self.pending.remove(&fingerprint);
            }
            return Ok(None);
        }
        let change = self.replace_record(merged, now);
        if source == RecordSource::Remote && !self.pending.contains_key(&fingerprint) {
            self.queue_update(fingerprint, UpdateScope::Region);
        }
        Ok(change)
    }

    /// What others are to be told at once; each is told once by this.
    pub fn take_updates(&mut self) -> Vec<SuspectUpdate> {
        self.take_updates_if(|pending| !pending.is_shared)
    }

    /// The same of what several VMs may be about to tell. It is better told after a moment drawn by each.
    pub fn take_shared_updates(&mut self) -> Vec<SuspectUpdate> {
        self.take_updates_if(|pending| pending.is_shared)
    }

    /// Whether there is any of the latter.
    pub fn has_shared_updates(&self) -> bool {
        self.pending.values().any(|pending| pending.is_shared)
    }

    fn take_updates_if(&mut self, matches: impl Fn(&PendingUpdate) -> bool) -> Vec<SuspectUpdate> {
        let pending = std::mem::take(&mut self.pending);
        let (taken, left) = pending.into_iter().partition(|(_, pending)| matches(pending));
        self.pending = left;
        let taken: BTreeMap<RequestFingerprint, PendingUpdate> = taken;
        let updates = taken.into_iter().filter_map(|(fingerprint, pending)| {
            let record = self.entries.get(&fingerprint)?.record.clone();
            Some(SuspectUpdate { record, scope: pending.scope })
        });
        updates.collect()
    }

    /// What is told again in a round, at most [`MAX_RECORDS_PER_MESSAGE`] at a time: what holds requests back and pardons of it. News of
    /// a moment ago goes with every round, since datagrams are lost; older ones with few, for VMs that were cut off.
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

    /// What a VM that has just started is told: the requests with the most ends, at most [`MAX_RECORDS_PER_MESSAGE`].
    pub fn startup_records(&self) -> Vec<SuspectRecord> {
        let mut records = self.records();
        records.retain(|record| record.exits.len() >= PROBE_EXITS);
        records.truncate(MAX_RECORDS_PER_MESSAGE);
        records
    }

    /// All records with ends, those with the most first.
    pub fn records(&self) -> Vec<SuspectRecord> {
        let suspected = self.entries.values().filter(|entry| !entry.record.exits.is_empty());
        let mut records: Vec<SuspectRecord> = suspected.map(|entry| entry.record.clone()).collect();
        records.sort_by_key(|record| (std::cmp::Reverse(record.exits.len()), record.fingerprint));
        records
    }

    /// How long ago a record has changed last.
    pub fn age(&self, fingerprint: &RequestFingerprint, now: MonoTime) -> Option<Duration> {
        self.entries.get(fingerprint).map(|entry| now.since(entry.changed_at))
    }

    /// How many requests are refused or tried one at a time.
    pub fn quarantined_count(&self) -> usize {
        self.entries.values().filter(|entry| entry.record.exits.len() >= PROBE_EXITS).count()
    }

    /// Drops what is too old to count.
    pub fn forget(&mut self, now: MonoTime) {
        self.entries.retain(|_, entry| !entry.is_expired(now));
    }

    /// What is known of a request.
    fn record(&self, fingerprint: RequestFingerprint) -> SuspectRecord {
        let known = self.entries.get(&fingerprint).map(|entry| entry.record.clone());
        known.unwrap_or_else(|| SuspectRecord::new(fingerprint))
    }

    /// Puts a record in the place of the one that was held, and notes whom to tell.
    fn replace_record(&mut self, record: SuspectRecord, now: MonoTime) -> Option<SuspectChange> {
        let fingerprint = record.fingerprint;
        let previous = self.record(fingerprint);
        if previous == record {
            return None;
        }
        if record.exonerations > previous.exonerations {
            // Each answer speaks once, wherever it was given.
            self.recent_successes.pop(&fingerprint);
        }
        self.evict_if_full();
        let entry =
            self.entries.entry(fingerprint).or_insert_with(|| SuspectEntry::new(fingerprint, now));
        entry.record = record;
        entry.changed_at = now;
        entry.is_probe_unsent = false;
        entry.is_global |= entry.record.exits.len() >= PROBE_EXITS;
        let may_exonerate = entry.is_quarantined() && !entry.is_inconclusive();
        if may_exonerate && self.has_recent_success(&fingerprint, now) {
            self.exonerate(fingerprint, now);
            self.pending
                .insert(fingerprint, PendingUpdate { scope: UpdateScope::Global, is_shared: true });
        }
        let record = self.record(fingerprint);
        Some(SuspectChange { record, exits_before: previous.exits.len() })
    }

    /// Whether an answer of a moment ago speaks for a request.
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
        }
    }

    fn queue_update(&mut self, fingerprint: RequestFingerprint, scope: UpdateScope) {
        self.pending.insert(fingerprint, PendingUpdate { scope, is_shared: false });
    }

    /// Drops the requests with the fewest ends, the oldest first, when there are too many.
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
