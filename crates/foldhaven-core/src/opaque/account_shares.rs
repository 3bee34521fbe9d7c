//! How the accounts of one level share the room: max-min with equal weights.
//!
//! Next goes the first request of the account to which fewest requests were let go lately. An
//! account that asks for less than its share gets all of it, and one with many requests takes what
//! the others leave.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use crate::opaque::account_demand::AccountTag;
use crate::time::MonoTime;

/// The time in which what an account was granted decays by the factor e: about as long as a long
/// request holds its slot.
const SHARE_TIME: Duration = Duration::from_millis(2_000);
/// An account that was granted less than this is forgotten.
const MIN_GRANTED: f64 = 0.05;
/// Grants are compared in whole thousandths, so that they have a total order.
const GRANT_UNIT: f64 = 1_000.0;

/// The account of a request; requests without one share one.
type AccountKey = Option<AccountTag>;

#[derive(Debug, Clone, Copy)]
struct Grant {
    count: f64,
    updated: MonoTime,
}

impl Grant {
    fn current(&self, now: MonoTime) -> f64 {
        self.count * (-now.since(self.updated).div_duration_f64(SHARE_TIME)).exp()
    }
}

/// What each account was granted lately at one VM.
#[derive(Debug, Default)]
pub struct AccountShares {
    grants: HashMap<AccountKey, Grant>,
}

impl AccountShares {
    /// Records that a request of an account starts.
    pub fn record(&mut self, account: AccountKey, now: MonoTime) {
        let count = self.granted(account, now) + 1.0;
        self.grants.insert(account, Grant { count, updated: now });
        self.grants.retain(|_, grant| grant.current(now) >= MIN_GRANTED);
    }

    /// Returns the number of requests that an account was granted, of which older ones count less.
    pub fn granted(&self, account: AccountKey, now: MonoTime) -> f64 {
        self.grants.get(&account).map_or(0.0, |grant| grant.current(now))
    }

    /// Puts requests in the order in which their accounts take turns. `requests` is in the order in
    /// which the requests of one account go.
    pub fn take_turns<T: Copy>(&self, requests: &[(AccountKey, T)], now: MonoTime) -> Vec<T> {
        let mut queues: HashMap<AccountKey, VecDeque<T>> = HashMap::new();
        requests
            .iter()
            .for_each(|(account, it)| queues.entry(*account).or_default().push_back(*it));
        if queues.len() < 2 {
            return requests.iter().map(|(_, it)| *it).collect();
        }
        let start = |account: &AccountKey| (self.granted(*account, now) * GRANT_UNIT) as u64;
        let mut next: BinaryHeap<Reverse<(u64, AccountKey)>> =
            queues.keys().map(|account| Reverse((start(account), *account))).collect();
        let mut order = Vec::with_capacity(requests.len());
        while let Some(Reverse((granted, account))) = next.pop() {
            let queue = queues.get_mut(&account).expect("each account has a queue");
            order.extend(queue.pop_front());
            if !queue.is_empty() {
                next.push(Reverse((granted + GRANT_UNIT as u64, account)));
            }
        }
        order
    }

    /// Returns how many of `waiting`, given by account, take their turn before a further request.
    /// `own_ahead` of its own account go before it, and are not among `waiting`.
    pub fn count_ahead(
        &self,
        account: AccountKey,
        own_ahead: usize,
        waiting: &HashMap<AccountKey, usize>,
        now: MonoTime,
    ) -> usize {
        let own = self.granted(account, now) + own_ahead as f64;
        let before = |(other, count): (&AccountKey, &usize)| {
            let turns = (own - self.granted(*other, now)).ceil().max(0.0);
            (*count).min(turns as usize)
        };
        own_ahead
            + waiting.iter().filter(|(other, _)| **other != account).map(before).sum::<usize>()
    }
}
