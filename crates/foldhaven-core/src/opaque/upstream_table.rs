//! The upstreams of all data centres that this daemon knows of.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreName, ServiceName, UpstreamName, UpstreamStartTime};
use crate::time::MonoTime;

/// An upstream that disappears from the list within this time after the list was unavailable may
/// only have failed to renew its entry.
const LIST_FAILURE_WINDOW: Duration = Duration::from_secs(4);
/// How long such an upstream is still used. According to the operators, live upstreams are listed
/// again within about two seconds after the list service is back.
const LAPSE_GRACE: Duration = Duration::from_millis(2_300);

/// One process of an upstream, as listed. After a restart, it has another name or start time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// The name of the process.
    pub name: UpstreamName,
    /// The start time of the process.
    pub birth: UpstreamStartTime,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The address at which it accepts requests. Another process may get the address later.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: DataCentreName,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving and accepts no new requests.
    pub leaving: bool,
    /// The remaining time for which it is cold, at the time the record was read.
    pub cold_for: Duration,
}

/// The table entry of one upstream.
#[derive(Debug, Clone)]
pub struct UpstreamEntry {
    /// The record that was read last.
    pub record: UpstreamRecord,
    /// The time at which it stops being cold.
    pub cold_until: MonoTime,
    /// The time until which it is used although it is no longer listed; `None` while it is listed.
    expires: Option<MonoTime>,
}

impl UpstreamEntry {
    /// Returns whether a record differs from this entry. A remaining cold time that only became
    /// shorter is no difference.
    fn differs_from(&self, record: &UpstreamRecord, now: MonoTime) -> bool {
        let is_cold = self.cold_until.since(now) > Duration::ZERO;
        let known = UpstreamRecord { cold_for: record.cold_for, ..self.record.clone() };
        self.expires.is_some() || known != *record || is_cold == record.cold_for.is_zero()
    }
}

/// The difference between a complete list and the previous entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListDifference {
    /// The records that are new or differ from the previous ones.
    pub listed: Vec<UpstreamRecord>,
    /// The upstreams that are no longer listed.
    pub unlisted: Vec<UpstreamName>,
}

/// The known upstreams and the evacuated data centres.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    entries: BTreeMap<UpstreamName, UpstreamEntry>,
    evacuated: BTreeSet<DataCentreName>,
    /// When the list was last found unavailable; `None` if it never was.
    list_failed_at: Option<MonoTime>,
}

impl UpstreamTable {
    /// Adds or replaces a record.
    pub fn put(&mut self, record: UpstreamRecord, now: MonoTime) {
        let cold_until = now + record.cold_for;
        let entry = UpstreamEntry { record, cold_until, expires: None };
        self.entries.insert(entry.record.name.clone(), entry);
    }

    /// Removes an upstream that is no longer listed. If the list was unavailable recently, the
    /// entry may have lapsed only because it was not renewed, so the upstream is used for some time
    /// longer unless it is leaving.
    pub fn remove(&mut self, name: &UpstreamName, now: MonoTime) {
        let may_have_lapsed =
            self.list_failed_at.is_some_and(|at| now.since(at) < LIST_FAILURE_WINDOW);
        match self.entries.get_mut(name) {
            Some(entry) if may_have_lapsed && !entry.record.leaving => {
                entry.expires.get_or_insert(now + LAPSE_GRACE);
            }
            Some(_) => drop(self.entries.remove(name)),
            None => {}
        }
    }

    /// Removes an upstream whose record has become invalid. Unlike after
    /// [`UpstreamTable::remove`], it is never used for some time longer.
    pub fn withdraw(&mut self, name: &UpstreamName) {
        self.entries.remove(name);
    }

    /// Replaces the entries by a complete list. Returns what changed.
    pub fn replace(&mut self, records: Vec<UpstreamRecord>, now: MonoTime) -> ListDifference {
        let listed: BTreeSet<UpstreamName> = records.iter().map(|it| it.name.clone()).collect();
        let is_missing = |entry: &&UpstreamEntry| {
            entry.expires.is_none() && !listed.contains(&entry.record.name)
        };
        let missing = self.entries.values().filter(is_missing);
        let unlisted: Vec<UpstreamName> = missing.map(|entry| entry.record.name.clone()).collect();
        for name in &unlisted {
            self.remove(name, now);
        }
        let is_new = |record: &&UpstreamRecord| {
            self.entries.get(&record.name).is_none_or(|entry| entry.differs_from(record, now))
        };
        let listed = records.iter().filter(is_new).cloned().collect();
        for record in records {
            self.put(record, now);
        }
        ListDifference { listed, unlisted }
    }

    /// Records that the list is unavailable now.
    pub fn record_list_failure(&mut self, now: MonoTime) {
        self.list_failed_at = Some(now);
    }

    /// Sets the evacuated data centres, whose upstreams get no requests.
    pub fn set_evacuated(&mut self, evacuated: BTreeSet<DataCentreName>) {
        self.evacuated = evacuated;
    }

    /// Returns the evacuated data centres, whose upstreams get no requests.
    pub fn evacuated(&self) -> &BTreeSet<DataCentreName> {
        &self.evacuated
    }

    /// Removes entries that have expired. Returns whether there were any.
    pub fn expire(&mut self, now: MonoTime) -> bool {
        let before = self.entries.len();
        self.entries.retain(|_, entry| entry.expires.is_none_or(|expires| now < expires));
        before != self.entries.len()
    }

    /// Returns the upstreams that may get new requests.
    pub fn usable(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.entries.values().filter(|entry| {
            !entry.record.leaving && !self.evacuated.contains(&entry.record.data_centre)
        })
    }

    /// Returns the records of all listed upstreams, to be sent to a peer, with their remaining cold
    /// times at `now`.
    pub fn records(&self, now: MonoTime) -> Vec<UpstreamRecord> {
        let listed = self.entries.values().filter(|entry| entry.expires.is_none());
        let current = |entry: &UpstreamEntry| UpstreamRecord {
            cold_for: entry.cold_until.since(now),
            ..entry.record.clone()
        };
        listed.map(current).collect()
    }
}
