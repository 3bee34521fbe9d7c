//! The suspected requests that one VM knows of, and what it does with them.

use std::collections::{BTreeMap, HashMap};
use std::num::NonZeroUsize;
use std::time::Duration;

use super::record::{RecordFault, SuspectRecord};
use crate::opaque::affinity::UpstreamTag;
use crate::opaque::peer_table::VmTag;
use crate::opaque::request_print::RequestPrint;
use crate::rank::rank_hash;
use crate::time::MonoTime;
use lru::LruCache;

/// From so many ends on, a request is tried by one VM at a time. Of requests that are only victims, few are at two
/// upstreams that end before they are answered once.
pub const TRIED_ENDS: usize = 2;
/// From so many ends on, it is refused, and tried once in long pauses.
pub const REFUSED_ENDS: usize = 3;
/// After a trial that has shown nothing, another one waits so long at first.
const TRIAL_PAUSE: Duration = Duration::from_secs(1);
/// So long a request is refused before its first trial; then [`PAUSE_GROWTH`] times longer each time. Three upstreams an
/// hour are lost at most to a request that is sent for ever, and one that was blamed falsely is well again in 20 s.
const FIRST_PAUSE: Duration = Duration::from_secs(10);
const PAUSE_GROWTH: u32 = 3;
const LONGEST_PAUSE: Duration = Duration::from_secs(600);
/// How many turns a pause has, of which each VM has one.
const TURNS: u32 = 10;
/// So long a request is remembered after what was heard of it last: longer than it is refused at the longest.
const MEMORY: Duration = Duration::from_secs(1_800);
/// So long one is remembered that was pardoned, so that late news of its ends is known for old.
const PARDON_MEMORY: Duration = Duration::from_secs(60);
/// How many requests are remembered. Beyond that, those with the fewest ends are dropped, [`DROPPED`] at a time.
const MAX_ENTRIES: usize = 4_096;
const DROPPED: usize = 512;
/// How many requests are remembered that were answered whole lately.
const MAX_VOUCHERS: NonZeroUsize = NonZeroUsize::new(4_096).expect("not zero");
/// A request that was cleared of so many ends is doubted: only a trial clears it from then on, after two ends each. An
/// innocent one has been at that many upstreams that ended within half an hour; it is held back for 10 to 20 s.
const DOUBTED_CLEARED: u8 = 8;
/// For how long such an answer speaks for its request.
const VOUCHER_AGE: Duration = Duration::from_secs(300);
/// For so long what is new is told again in every round: of four VMs that are told in one, 300 know in four rounds.
const FRESH: Duration = Duration::from_secs(10);
/// What is older goes with every n-th round. Repeating all of it each time took 9.4 to 11.7 KB/s a VM where five requests
/// end engines beside 4,000 others a second.
const OLD_ROUNDS: u32 = 8;
/// How many records go into one message; 64 of at most 44 bytes fit one packet or two.
pub const MAX_TOLD: usize = 64;

/// What is done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// It is sent on as any other.
    Free,
    /// It may be sent on once, to one upstream; other VMs hold it back meanwhile.
    Trial,
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
    pub ends_before: usize,
}

/// Who is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum NewsReach {
    /// The VMs of this region. A single end is told no further: when many upstreams end at once, it is most of the news,
    /// and it forbids nothing.
    Near,
    /// All VMs.
    Wide,
}

/// What other VMs are told of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectNews {
    /// What is known.
    pub record: SuspectRecord,
    /// Who is told.
    pub reach: NewsReach,
}

/// News that wait to be told.
#[derive(Debug, Clone, Copy)]
struct WaitingNews {
    reach: NewsReach,
    /// Whether several VMs have come to the same just now; the first one to tell saves the others doing so.
    is_shared: bool,
}

/// Where a record comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordSource {
    /// A VM of this region, which tells the others itself.
    Near,
    /// A VM of another region, which tells only a few here.
    Far,
}

/// The suspected requests that one VM knows of.
#[derive(Debug)]
pub struct SuspectTable {
    own: VmTag,
    entries: HashMap<RequestPrint, SuspectEntry>,
    /// Requests that were answered whole lately. Each answer speaks for its request once.
    vouchers: LruCache<RequestPrint, MonoTime>,
    /// Those that others are to be told of.
    news: BTreeMap<RequestPrint, WaitingNews>,
    /// Where the next round of repeated news begins.
    turn: usize,
    /// How many rounds there were.
    rounds: u32,
}

#[derive(Debug)]
struct SuspectEntry {
    record: SuspectRecord,
    /// When it changed last.
    since: MonoTime,
    /// Whether all regions were told of it.
    is_wide: bool,
    /// Whether this VM tries it now.
    is_trying: bool,
    /// Whether this VM may try again, since its trial never reached an upstream.
    is_untried: bool,
}

impl SuspectEntry {
    fn new(print: RequestPrint, now: MonoTime) -> Self {
        Self {
            record: SuspectRecord::new(print),
            since: now,
            is_wide: false,
            is_trying: false,
            is_untried: false,
        }
    }

    /// After how long a VM may try it. Each VM draws when its turn begins after the pause, so that those that come later hear of
    /// the first trial before theirs. A turn is a tenth of the pause and comes again after each pause: a request that comes to
    /// all VMs at one moment, after none has met it for long, is tried by few.
    fn wait(&self, vm: VmTag, now: MonoTime) -> Duration {
        let pause = self.pause();
        if self.is_untried || pause.is_zero() {
            return Duration::ZERO;
        }
        let first_turn = self.since + pause + pause.mul_f64(self.draw(vm));
        if now < first_turn {
            return first_turn.since(now);
        }
        let since_turn = now.since(first_turn).as_micros() % pause.as_micros();
        let since_turn = Duration::from_micros(u64::try_from(since_turn).unwrap_or_default());
        match since_turn < pause / TURNS {
            true => Duration::ZERO,
            false => pause - since_turn,
        }
    }

    /// Whether answers alone do not speak for it any more: it was cleared of so many ends that some upstreams answer it and others
    /// end under it.
    fn is_doubted(&self) -> bool {
        self.record.cleared >= DOUBTED_CLEARED
    }

    /// From how many ends on it is tried by one VM at a time, or not at all.
    fn is_held_back(&self) -> bool {
        self.record.ends.len() >= TRIED_ENDS
    }

    fn pause(&self) -> Duration {
        let SuspectRecord { ends, trials, cleared, .. } = &self.record;
        if self.is_doubted() && self.is_held_back() {
            // Each time that it was cleared again makes the next pause longer, as a trial does.
            let again = u32::from(cleared - DOUBTED_CLEARED) / TRIED_ENDS as u32;
            return grown(FIRST_PAUSE, u32::from(*trials) + again);
        }
        match ends.len() {
            ends if ends < TRIED_ENDS => Duration::ZERO,
            ends if ends < REFUSED_ENDS => match trials {
                0 => Duration::ZERO,
                trials => grown(TRIAL_PAUSE, u32::from(*trials) - 1),
            },
            _ => grown(FIRST_PAUSE, (*trials).into()),
        }
    }

    /// A number in 0..1 that differs from VM to VM, and for each VM from trial to trial.
    fn draw(&self, vm: VmTag) -> f64 {
        let SuspectRecord { print, trials, .. } = &self.record;
        let hash = rank_hash(&[&print.to_string(), &vm.0.to_string(), &trials.to_string()]);
        (hash >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn is_forgotten(&self, now: MonoTime) -> bool {
        let is_cleared = self.record.ends.is_empty() && !self.is_doubted();
        let memory = if is_cleared { PARDON_MEMORY } else { MEMORY };
        now.since(self.since) > memory
    }
}

fn grown(pause: Duration, times: u32) -> Duration {
    let factor = PAUSE_GROWTH.saturating_pow(times);
    pause.saturating_mul(factor).min(LONGEST_PAUSE)
}

impl SuspectTable {
    /// The empty table of a VM.
    pub fn new(own: VmTag) -> Self {
        Self {
            own,
            entries: HashMap::new(),
            vouchers: LruCache::new(MAX_VOUCHERS),
            news: BTreeMap::new(),
            turn: 0,
            rounds: 0,
        }
    }

    /// How many upstreams are known to have ended under a request since it was answered whole.
    pub fn ends(&self, print: &RequestPrint) -> usize {
        self.entries.get(print).map_or(0, |entry| entry.record.ends.len())
    }

    /// What would be done with a request. Nothing is begun.
    pub fn look(&self, print: &RequestPrint, now: MonoTime) -> SuspectVerdict {
        let Some(entry) = self.entries.get(print) else { return SuspectVerdict::Free };
        if !entry.is_held_back() {
            return SuspectVerdict::Free;
        }
        let wait = entry.wait(self.own, now);
        match entry.is_trying || !wait.is_zero() {
            true => SuspectVerdict::Refused { wait: wait.max(TRIAL_PAUSE) },
            false => SuspectVerdict::Trial,
        }
    }

    /// What is done with a request that is about to be sent to an upstream. A trial has begun when this returns it.
    pub fn judge(&mut self, print: &RequestPrint, now: MonoTime) -> SuspectVerdict {
        let verdict = self.look(print, now);
        if verdict == SuspectVerdict::Trial
            && let Some(entry) = self.entries.get_mut(print)
        {
            entry.record.add_trial();
            entry.since = now;
            entry.is_trying = true;
            entry.is_untried = false;
            self.note_news(*print, NewsReach::Wide);
        }
        verdict
    }

    /// Notes that a trial of this VM is over. One that no upstream got may be made again at once; any other one may have
    /// ended its upstream, also when its caller has left or the end is noticed later.
    pub fn end_trial(&mut self, print: &RequestPrint, was_sent: bool, now: MonoTime) {
        if let Some(entry) = self.entries.get_mut(print)
            && std::mem::take(&mut entry.is_trying)
            && !was_sent
        {
            entry.is_untried = true;
            entry.since = now;
        }
    }

    /// Notes that an upstream ended under a request of this VM.
    pub fn note_end(
        &mut self,
        print: RequestPrint,
        upstream: UpstreamTag,
        now: MonoTime,
    ) -> Option<SuspectChange> {
        let mut record = self.record(print);
        record.add_end(upstream);
        if let Some(entry) = self.entries.get_mut(&print) {
            entry.is_trying = false;
            entry.is_untried = false;
        }
        let change = self.take(record, now);
        if change.is_some() {
            let is_wide = self.entries.get(&print).is_some_and(|entry| entry.is_wide);
            self.note_news(print, if is_wide { NewsReach::Wide } else { NewsReach::Near });
        }
        change
    }

    /// Notes that a request of this VM was answered whole: whatever ended under it before, it was not the cause.
    pub fn note_answered(&mut self, print: RequestPrint, now: MonoTime) -> Option<SuspectChange> {
        let ends_before = self.ends(&print);
        if ends_before == 0 {
            self.vouchers.put(print, now);
            return None;
        }
        let is_enough = |entry: &SuspectEntry| entry.is_trying || !entry.is_doubted();
        if !self.entries.get(&print).is_some_and(is_enough) {
            return None;
        }
        self.pardon(print, now);
        // What one end made others think forbids nothing, and is forgotten by itself.
        if self.entries.get(&print).is_some_and(|entry| entry.is_wide) {
            self.note_news(print, NewsReach::Wide);
        }
        Some(SuspectChange { record: self.record(print), ends_before })
    }

    /// Clears a request by hand. Returns what changes by that; nothing when nothing is held against it.
    pub fn clear(&mut self, print: RequestPrint, now: MonoTime) -> Option<SuspectChange> {
        let ends_before = self.ends(&print);
        if ends_before == 0 {
            return None;
        }
        self.pardon(print, now);
        self.note_news(print, NewsReach::Wide);
        Some(SuspectChange { record: self.record(print), ends_before })
    }

    /// Takes in what another VM knows. Returns what changes by it.
    ///
    /// # Errors
    ///
    /// When no sound VM can have told that.
    pub fn hear(
        &mut self,
        record: &SuspectRecord,
        source: RecordSource,
        now: MonoTime,
    ) -> Result<Option<SuspectChange>, RecordFault> {
        record.check()?;
        let print = record.print;
        let mut joined = self.record(print);
        if !joined.join(record) {
            let is_told = joined == *record;
            if is_told && self.news.get(&print).is_some_and(|news| news.is_shared) {
                self.news.remove(&print);
            }
            return Ok(None);
        }
        let change = self.take(joined, now);
        if source == RecordSource::Far && !self.news.contains_key(&print) {
            self.note_news(print, NewsReach::Near);
        }
        Ok(change)
    }

    /// What others are to be told at once; each is told once by this.
    pub fn take_news(&mut self) -> Vec<SuspectNews> {
        self.take_news_if(|news| !news.is_shared)
    }

    /// The same of what several VMs may be about to tell. It is better told after a moment drawn by each.
    pub fn take_shared_news(&mut self) -> Vec<SuspectNews> {
        self.take_news_if(|news| news.is_shared)
    }

    /// Whether there is any of the latter.
    pub fn has_shared_news(&self) -> bool {
        self.news.values().any(|news| news.is_shared)
    }

    fn take_news_if(&mut self, is_meant: impl Fn(&WaitingNews) -> bool) -> Vec<SuspectNews> {
        let news = std::mem::take(&mut self.news);
        let (taken, left) = news.into_iter().partition(|(_, news)| is_meant(news));
        self.news = left;
        let taken: BTreeMap<RequestPrint, WaitingNews> = taken;
        let told = taken.into_iter().filter_map(|(print, news)| {
            let record = self.entries.get(&print)?.record.clone();
            Some(SuspectNews { record, reach: news.reach })
        });
        told.collect()
    }

    /// What is told again in a round, at most [`MAX_TOLD`] at a time: what holds requests back and pardons of it. News of
    /// a moment ago goes with every round, since datagrams are lost; older ones with few, for VMs that were cut off.
    pub fn next_repeated(&mut self, now: MonoTime) -> Vec<SuspectRecord> {
        self.rounds = self.rounds.wrapping_add(1);
        let is_full = self.rounds.is_multiple_of(OLD_ROUNDS);
        let is_due = |entry: &&SuspectEntry| {
            let is_fresh = now.since(entry.since) <= FRESH;
            entry.is_wide && (is_fresh || is_full && !entry.record.ends.is_empty())
        };
        let mut repeated: Vec<&SuspectRecord> =
            self.entries.values().filter(is_due).map(|entry| &entry.record).collect();
        repeated.sort_by_key(|record| record.print);
        let count = repeated.len().min(MAX_TOLD);
        let at = |step: usize| repeated[(self.turn + step) % repeated.len()].clone();
        let told = (0..count).map(at).collect();
        self.turn = if count < repeated.len() { self.turn + count } else { 0 };
        told
    }

    /// What a VM that has just started is told: the requests with the most ends, at most [`MAX_TOLD`].
    pub fn told_to_starter(&self) -> Vec<SuspectRecord> {
        let mut records = self.records();
        records.retain(|record| record.ends.len() >= TRIED_ENDS);
        records.truncate(MAX_TOLD);
        records
    }

    /// All records with ends, those with the most first.
    pub fn records(&self) -> Vec<SuspectRecord> {
        let suspected = self.entries.values().filter(|entry| !entry.record.ends.is_empty());
        let mut records: Vec<SuspectRecord> = suspected.map(|entry| entry.record.clone()).collect();
        records.sort_by_key(|record| (std::cmp::Reverse(record.ends.len()), record.print));
        records
    }

    /// How long ago a record has changed last.
    pub fn age(&self, print: &RequestPrint, now: MonoTime) -> Option<Duration> {
        self.entries.get(print).map(|entry| now.since(entry.since))
    }

    /// How many requests are refused or tried one at a time.
    pub fn held_back(&self) -> usize {
        self.entries.values().filter(|entry| entry.record.ends.len() >= TRIED_ENDS).count()
    }

    /// Drops what is too old to count.
    pub fn forget(&mut self, now: MonoTime) {
        self.entries.retain(|_, entry| !entry.is_forgotten(now));
    }

    /// What is known of a request.
    fn record(&self, print: RequestPrint) -> SuspectRecord {
        let known = self.entries.get(&print).map(|entry| entry.record.clone());
        known.unwrap_or_else(|| SuspectRecord::new(print))
    }

    /// Puts a record in the place of the one that was held, and notes whom to tell.
    fn take(&mut self, record: SuspectRecord, now: MonoTime) -> Option<SuspectChange> {
        let print = record.print;
        let held = self.record(print);
        if held == record {
            return None;
        }
        if record.pardons > held.pardons {
            // Each answer speaks once, wherever it was given.
            self.vouchers.pop(&print);
        }
        self.make_room();
        let entry = self.entries.entry(print).or_insert_with(|| SuspectEntry::new(print, now));
        entry.record = record;
        entry.since = now;
        entry.is_untried = false;
        entry.is_wide |= entry.record.ends.len() >= TRIED_ENDS;
        let may_be_vouched = entry.is_held_back() && !entry.is_doubted();
        if may_be_vouched && self.has_voucher(&print, now) {
            self.pardon(print, now);
            self.news.insert(print, WaitingNews { reach: NewsReach::Wide, is_shared: true });
        }
        let record = self.record(print);
        Some(SuspectChange { record, ends_before: held.ends.len() })
    }

    /// Whether an answer of a moment ago speaks for a request.
    fn has_voucher(&self, print: &RequestPrint, now: MonoTime) -> bool {
        self.vouchers.peek(print).is_some_and(|at| now.since(*at) <= VOUCHER_AGE)
    }

    fn pardon(&mut self, print: RequestPrint, now: MonoTime) {
        self.vouchers.pop(&print);
        if let Some(entry) = self.entries.get_mut(&print) {
            entry.record.pardon();
            entry.since = now;
            entry.is_trying = false;
            entry.is_untried = false;
        }
    }

    fn note_news(&mut self, print: RequestPrint, reach: NewsReach) {
        self.news.insert(print, WaitingNews { reach, is_shared: false });
    }

    /// Drops the requests with the fewest ends, the oldest first, when there are too many.
    fn make_room(&mut self) {
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        let order = |(print, entry): (&RequestPrint, &SuspectEntry)| {
            (entry.record.ends.len(), entry.since, *print)
        };
        let mut weakest: Vec<_> = self.entries.iter().map(order).collect();
        weakest.select_nth_unstable(DROPPED);
        for (_, _, print) in &weakest[..DROPPED] {
            self.entries.remove(print);
        }
    }
}
