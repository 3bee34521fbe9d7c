//! Service-level burn: how fast each account and class uses up its error budget.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{AccountName, ClassName};
use crate::time::MonoTime;

/// The short window.
pub const SHORT_WINDOW: Duration = Duration::from_secs(300);
/// The long window.
pub const LONG_WINDOW: Duration = Duration::from_secs(3_600);

const BUCKET: Duration = Duration::from_secs(30);
const BUCKETS: usize = 120;

/// Requests of one account and class, over a window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnCount {
    /// Requests that ended.
    pub total: u64,
    /// Those that were not whole and on time.
    pub bad: u64,
    /// Those that were refused; they are bad too.
    pub refused: u64,
    /// Worth of all of them.
    pub worth: f64,
    /// Worth that was lost.
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

    /// How many times faster than allowed the error budget is used up; 1 is just allowed.
    /// `target` is the share that is to be good.
    pub fn burn_rate(&self, target: f64) -> f64 {
        let budget = (1.0 - target).max(1e-6);
        if self.total == 0 {
            return 0.0;
        }
        (self.bad as f64 / self.total as f64) / budget
    }

    /// The part of the error budget that is left over this window; negative when overdrawn.
    pub fn budget_left(&self, target: f64) -> f64 {
        1.0 - self.burn_rate(target)
    }
}

/// How one request ended, for its account and class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BurnEvent {
    /// Whole and on time.
    Good,
    /// Whole and late, or not whole.
    Bad,
    /// Refused.
    Refused,
}

/// The counts of one kind of requests over the long window, in a ring of buckets.
#[derive(Debug, Clone)]
pub struct BurnRing {
    buckets: Vec<BurnCount>,
    at: u64,
}

/// The counts of one daemon, in a ring of buckets per account and class.
#[derive(Debug, Default)]
pub struct BurnMeter {
    rings: BTreeMap<(AccountName, ClassName), BurnRing>,
}

/// One row of a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// The account.
    pub account: AccountName,
    /// The class.
    pub class: ClassName,
    /// Over the short window.
    pub short: BurnCount,
    /// Over the long window.
    pub long: BurnCount,
}

impl BurnMeter {
    /// Notes how one request ended.
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

    /// The rows of all accounts and classes that had requests in the long window.
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
    now.0 / BUCKET.as_micros() as u64
}

impl BurnRing {
    /// An empty ring.
    pub fn new(now: MonoTime) -> Self {
        Self { buckets: vec![BurnCount::default(); BUCKETS], at: bucket_number(now) }
    }

    /// Notes how one request ended.
    pub fn record(&mut self, event: BurnEvent, worth: f64, now: MonoTime) {
        let slot = bucket_number(now);
        self.turn_to(slot);
        let lost = if event == BurnEvent::Good { 0.0 } else { worth };
        self.buckets[slot as usize % BUCKETS].add(&BurnCount {
            total: 1,
            bad: u64::from(event != BurnEvent::Good),
            refused: u64::from(event == BurnEvent::Refused),
            worth,
            lost,
        });
    }

    /// The counts over the short and the long window.
    pub fn counts(&mut self, now: MonoTime) -> (BurnCount, BurnCount) {
        self.turn_to(bucket_number(now));
        let short = (SHORT_WINDOW.as_secs() / BUCKET.as_secs()) as usize;
        (self.sum(short), self.sum(BUCKETS))
    }

    /// Empties the buckets that time has passed over.
    fn turn_to(&mut self, slot: u64) {
        let passed = slot.saturating_sub(self.at).min(BUCKETS as u64);
        for step in 1..=passed {
            let at = slot - passed + step;
            self.buckets[at as usize % BUCKETS] = BurnCount::default();
        }
        self.at = self.at.max(slot);
    }

    fn sum(&self, count: usize) -> BurnCount {
        let mut sum = BurnCount::default();
        for back in 0..count.min(self.at as usize + 1) {
            let at = (self.at as usize - back) % BUCKETS;
            sum.add(&self.buckets[at]);
        }
        sum
    }
}
