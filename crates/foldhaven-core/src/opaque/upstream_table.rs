//! The upstreams of all data centres, as far as this daemon has learnt of them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreName, ServiceName, UpstreamBirth, UpstreamName};
use crate::time::MonoTime;

/// An upstream that disappears from the list this soon after the list could not be read may only
/// have failed to renew its entry.
const DISTURBED_MEMORY: Duration = Duration::from_secs(4);
/// How long such an upstream is still used. Live ones are listed again within about two seconds of
/// the return of the list's service, by its operators' word.
const LAPSE_GRACE: Duration = Duration::from_millis(2_300);

/// One process of an upstream, as it is listed. A later start has another name or another birth.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// The name of the process.
    pub name: UpstreamName,
    /// When it started.
    pub birth: UpstreamBirth,
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it takes requests. Another process may get the address later.
    pub address: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: DataCentreName,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it is leaving and takes nothing new.
    pub leaving: bool,
    /// For how much longer it is cold, from when the record was read.
    pub cold_for: Duration,
}

/// What the table holds of one upstream.
#[derive(Debug, Clone)]
pub struct UpstreamEntry {
    /// The record as it was read last.
    pub record: UpstreamRecord,
    /// Until when it is cold.
    pub cold_until: MonoTime,
    /// Until when it is used although it is not listed any more.
    lapses: Option<MonoTime>,
}

impl UpstreamEntry {
    /// Whether a record says something else than what is held, the passing of time aside.
    fn differs_from(&self, record: &UpstreamRecord, now: MonoTime) -> bool {
        let is_cold = self.cold_until.since(now) > Duration::ZERO;
        let held = UpstreamRecord { cold_for: record.cold_for, ..self.record.clone() };
        self.lapses.is_some() || held != *record || is_cold == record.cold_for.is_zero()
    }
}

/// What a whole list changes against the entries that were held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListDifference {
    /// The records that are new or differ from the ones held.
    pub listed: Vec<UpstreamRecord>,
    /// The upstreams that are not listed any more.
    pub unlisted: Vec<UpstreamName>,
}

/// The upstreams and the data centres that are evacuated.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    entries: BTreeMap<UpstreamName, UpstreamEntry>,
    evacuated: BTreeSet<DataCentreName>,
    disturbed: Option<MonoTime>,
}

impl UpstreamTable {
    /// Takes in a record that was written.
    pub fn put(&mut self, record: UpstreamRecord, now: MonoTime) {
        let cold_until = now + record.cold_for;
        let entry = UpstreamEntry { record, cold_until, lapses: None };
        self.entries.insert(entry.record.name.clone(), entry);
    }

    /// Takes in that a record was removed.
    pub fn remove(&mut self, name: &UpstreamName, now: MonoTime) {
        let is_lapse = self.disturbed.is_some_and(|at| now.since(at) < DISTURBED_MEMORY);
        match self.entries.get_mut(name) {
            Some(entry) if is_lapse && !entry.record.leaving => {
                entry.lapses.get_or_insert(now + LAPSE_GRACE);
            }
            Some(_) => drop(self.entries.remove(name)),
            None => {}
        }
    }

    /// Takes in that the record of an upstream names none any more. It is not used, also while a removal would be taken for a
    /// lapse.
    pub fn withdraw(&mut self, name: &UpstreamName) {
        self.entries.remove(name);
    }

    /// Takes in the whole list. Returns what it changes.
    pub fn replace(&mut self, records: Vec<UpstreamRecord>, now: MonoTime) -> ListDifference {
        let listed: BTreeSet<UpstreamName> = records.iter().map(|it| it.name.clone()).collect();
        let is_missing =
            |entry: &&UpstreamEntry| entry.lapses.is_none() && !listed.contains(&entry.record.name);
        let missing = self.entries.values().filter(is_missing);
        let unlisted: Vec<UpstreamName> = missing.map(|entry| entry.record.name.clone()).collect();
        for name in &unlisted {
            self.remove(name, now);
        }
        let is_new = |record: &&UpstreamRecord| {
            self.entries.get(&record.name).is_none_or(|held| held.differs_from(record, now))
        };
        let listed = records.iter().filter(is_new).cloned().collect();
        for record in records {
            self.put(record, now);
        }
        ListDifference { listed, unlisted }
    }

    /// Notes that the list could not be read just now.
    pub fn record_list_failure(&mut self, now: MonoTime) {
        self.disturbed = Some(now);
    }

    /// Takes in which data centres are evacuated.
    pub fn set_evacuated(&mut self, evacuated: BTreeSet<DataCentreName>) {
        self.evacuated = evacuated;
    }

    /// The data centres whose upstreams get nothing.
    pub fn evacuated(&self) -> &BTreeSet<DataCentreName> {
        &self.evacuated
    }

    /// Drops entries that have lapsed. Returns whether there were any.
    pub fn expire(&mut self, now: MonoTime) -> bool {
        let before = self.entries.len();
        self.entries.retain(|_, entry| entry.lapses.is_none_or(|lapses| now < lapses));
        before != self.entries.len()
    }

    /// The upstreams that may get new requests.
    pub fn usable(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.entries.values().filter(|entry| {
            !entry.record.leaving && !self.evacuated.contains(&entry.record.data_centre)
        })
    }

    /// All records, to be passed on to a peer. Their cold times are brought up to date.
    pub fn records(&self, now: MonoTime) -> Vec<UpstreamRecord> {
        let listed = self.entries.values().filter(|entry| entry.lapses.is_none());
        let current = |entry: &UpstreamEntry| UpstreamRecord {
            cold_for: entry.cold_until.since(now),
            ..entry.record.clone()
        };
        listed.map(current).collect()
    }
}
