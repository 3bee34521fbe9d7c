//! Service-level burn rates: how fast each account and class uses up its error budget.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{AccountName, ClassName};
use crate::time::MonoTime;

/// Length of the short window over which burn rates are reported.
pub const SHORT_WINDOW: Duration = Duration::from_secs(300);
/// Length of the long window over which burn rates are reported.
pub const LONG_WINDOW: Duration = Duration::from_secs(3_600);

const BUCKET_SPAN: Duration = Duration::from_secs(30);
const BUCKETS: usize = 120;

/// Counts of the requests of one account and class over a window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnCount {
    /// Number of requests that ended.
    pub total: u64,
    /// Number of requests that were not complete and on time, including refused ones.
    pub bad: u64,
    /// Number of refused requests.
    pub refused: u64,
    /// Total worth of the requests.
    pub worth: f64,
    /// Worth of the bad requests.
    pub lost: f64,
}

impl BurnCount {
    /// Adds another count to this one.
    pub fn add(&mut self, other: &BurnCount) {
        self.total += other.total;
        self.bad += other.bad;
        self.refused += other.refused;
        self.worth += other.worth;
        self.lost += other.lost;
    }

    /// Returns the burn rate: the share of bad requests relative to the error budget. At 1 the
    /// budget is used up exactly. `target` is the share of requests that must be good.
    pub fn burn_rate(&self, target: f64) -> f64 {
        let budget = (1.0 - target).max(1e-6);
        if self.total == 0 {
            return 0.0;
        }
        (self.bad as f64 / self.total as f64) / budget
    }

    /// Returns the remaining share of the error budget in this window, negative if it is exceeded.
    pub fn budget_left(&self, target: f64) -> f64 {
        1.0 - self.burn_rate(target)
    }
}

/// How one request ended, as counted against the error budget of its account and class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BurnEvent {
    /// Complete and on time.
    Good,
    /// Late or incomplete.
    Bad,
    /// Refused.
    Refused,
}

/// Ring buffer of buckets that counts requests over the long window.
#[derive(Debug, Clone)]
pub struct BurnRing {
    buckets: Vec<BurnCount>,
    /// Number of the current bucket, counted from the clock's origin.
    current: u64,
}

/// Counts of good, bad and refused requests at one daemon, per account and class.
#[derive(Debug, Default)]
pub struct BurnMeter {
    rings: BTreeMap<(AccountName, ClassName), BurnRing>,
}

/// The counts of one account and class in a burn rate report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// The account.
    pub account: AccountName,
    /// The class.
    pub class: ClassName,
    /// Counts over the short window.
    pub short: BurnCount,
    /// Counts over the long window.
    pub long: BurnCount,
}

impl BurnMeter {
    /// Records how one request ended.
    pub fn record(
        &mut self,
        account: &AccountName,
        class: &ClassName,
        event: BurnEvent,
        worth: f64,
        now: MonoTime,
    ) {
        let key = (account.clone(), class.clone());
        self.rings.entry(key).or_insert_with(|| BurnRing::new(now)).record(event, worth, now);
    }

    /// Returns the rows of all accounts and classes that had requests in the long window.
    pub fn rows(&mut self, now: MonoTime) -> Vec<BurnRow> {
        let mut rows = Vec::new();
        for ((account, class), ring) in &mut self.rings {
            let (short, long) = ring.counts(now);
            rows.push(BurnRow { account: account.clone(), class: class.clone(), short, long });
        }
        self.rings.retain(|_, ring| ring.sum(BUCKETS).total > 0);
        rows.retain(|row| row.long.total > 0);
        rows
    }
}

fn bucket_number(now: MonoTime) -> u64 {
    now.0 / BUCKET_SPAN.as_micros() as u64
}

impl BurnRing {
    /// Creates an empty ring.
    pub fn new(now: MonoTime) -> Self {
        Self { buckets: vec![BurnCount::default(); BUCKETS], current: bucket_number(now) }
    }

    /// Records how one request ended.
    pub fn record(&mut self, event: BurnEvent, worth: f64, now: MonoTime) {
        let bucket = bucket_number(now);
        self.advance_to(bucket);
        let lost = if event == BurnEvent::Good { 0.0 } else { worth };
        self.buckets[bucket as usize % BUCKETS].add(&BurnCount {
            total: 1,
            bad: u64::from(event != BurnEvent::Good),
            refused: u64::from(event == BurnEvent::Refused),
            worth,
            lost,
        });
    }

    /// Returns the counts over the short and the long window.
    pub fn counts(&mut self, now: MonoTime) -> (BurnCount, BurnCount) {
        self.advance_to(bucket_number(now));
        let short = (SHORT_WINDOW.as_secs() / BUCKET_SPAN.as_secs()) as usize;
        (self.sum(short), self.sum(BUCKETS))
    }

    /// Advances the ring to a bucket and clears the buckets that it passes.
    fn advance_to(&mut self, bucket: u64) {
        let passed = bucket.saturating_sub(self.current).min(BUCKETS as u64);
        for step in 1..=passed {
            let at = bucket - passed + step;
            self.buckets[at as usize % BUCKETS] = BurnCount::default();
        }
        self.current = self.current.max(bucket);
    }

    /// Returns the sum of the last `count` buckets.
    fn sum(&self, count: usize) -> BurnCount {
        let mut sum = BurnCount::default();
        for back in 0..count.min(self.current as usize + 1) {
            let at = (self.current as usize - back) % BUCKETS;
            sum.add(&self.buckets[at]);
        }
        sum
    }
}
