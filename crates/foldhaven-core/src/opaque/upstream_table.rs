//! The upstreams of all data centres that this daemon knows of.
//!
//! Deployments have thousands of upstreams, of which few change at a time. The table therefore
//! remembers which ones changed, and shares its entries with its clones.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use imbl::OrdMap;
use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreName, ServiceName, SoftwareVersion, UpstreamName, UpstreamStartTime};
use crate::opaque::software::{SoftwareCensus, SoftwareHistory};
use crate::time::MonoTime;

/// An upstream that disappears from the list within this time after the list was unavailable may
/// only have failed to renew its entry.
const LIST_FAILURE_WINDOW: Duration = Duration::from_secs(4);
/// How long such an upstream is still used. According to the operators, live upstreams are listed
/// again within about two seconds after the list service is back.
const LAPSE_GRACE: Duration = Duration::from_millis(2_300);

/// How long the processes that left are remembered. The platform may come back from a copy of its
/// data that is some seconds old and lists them.
const DEPARTED_RETENTION: Duration = Duration::from_secs(60);
/// How long what a copy says about such processes and about evacuations is doubted. What is still
/// true is written again within about two seconds, and the entries of ended processes lapse after
/// less than four.
const DOUBT_TIME: Duration = Duration::from_secs(6);

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
    /// The version of its software. `None` if it names none. Serialized separately, since earlier
    /// daemons do not know it.
    #[serde(skip)]
    pub software: Option<SoftwareVersion>,
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

/// The upstreams of a table that changed between two calls of [`UpstreamTable::take_changed`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangedUpstreams {
    /// All of them may have changed.
    All,
    /// Those with these names.
    Named(BTreeSet<UpstreamName>),
}

impl Default for ChangedUpstreams {
    fn default() -> Self {
        Self::Named(BTreeSet::new())
    }
}

impl ChangedUpstreams {
    /// Whether no upstream has changed.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Named(names) if names.is_empty())
    }

    fn insert(&mut self, name: &UpstreamName) {
        if let Self::Named(names) = self {
            names.insert(name.clone());
        }
    }
}

/// The entries of a table at one moment.
#[derive(Debug, Clone, Default)]
pub struct UpstreamList(OrdMap<UpstreamName, Arc<UpstreamEntry>>);

impl UpstreamList {
    /// Returns the records of all listed upstreams, to be sent to a peer, with their remaining cold
    /// times at `now`.
    pub fn records(&self, now: MonoTime) -> Vec<UpstreamRecord> {
        let listed = self.0.values().filter(|entry| entry.expires.is_none());
        let current = |entry: &Arc<UpstreamEntry>| UpstreamRecord {
            cold_for: entry.cold_until.since(now),
            ..entry.record.clone()
        };
        listed.map(current).collect()
    }
}

/// The known upstreams and the evacuated data centres.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    entries: OrdMap<UpstreamName, Arc<UpstreamEntry>>,
    /// The software of the entries, and of those that left a short time ago.
    census: SoftwareCensus,
    /// The upstreams that are used for some time longer although they are no longer listed.
    lapsed: BTreeSet<UpstreamName>,
    evacuated: BTreeSet<DataCentreName>,
    /// The processes that have left, and when.
    departed: BTreeMap<UpstreamName, (UpstreamStartTime, MonoTime)>,
    /// The records of such processes that a copy lists, and when they are used if the list still
    /// has them.
    doubted: BTreeMap<UpstreamName, (UpstreamRecord, MonoTime)>,
    /// The evacuations that a copy lacks, and when they end if they are not written again.
    doubted_evacuations: BTreeMap<DataCentreName, MonoTime>,
    /// When the list was last found unavailable; `None` if it never was.
    list_failed_at: Option<MonoTime>,
    /// What changed since [`UpstreamTable::take_changed`] was last called.
    changed: ChangedUpstreams,
}

impl UpstreamTable {
    /// Adds or replaces a record.
    pub fn put(&mut self, record: UpstreamRecord, now: MonoTime) {
        let cold_until = now + record.cold_for;
        let name = record.name.clone();
        self.changed.insert(&name);
        self.lapsed.remove(&name);
        self.doubted.remove(&name);
        self.census.add(&record.service, &record.software);
        let entry = UpstreamEntry { record, cold_until, expires: None };
        if let Some(replaced) = self.entries.insert(name, Arc::new(entry)) {
            let UpstreamRecord { service, software, .. } = &replaced.record;
            self.census.remove(service, software, now);
        }
    }

    /// Removes an upstream that is no longer listed. If the list was unavailable recently, the
    /// entry may have lapsed only because it was not renewed, so the upstream is used for some time
    /// longer unless it is leaving.
    pub fn remove(&mut self, name: &UpstreamName, now: MonoTime) {
        self.doubted.remove(name);
        let may_have_lapsed =
            self.list_failed_at.is_some_and(|at| now.since(at) < LIST_FAILURE_WINDOW);
        match self.entries.get_mut(name) {
            Some(entry) if may_have_lapsed && !entry.record.leaving => {
                Arc::make_mut(entry).expires.get_or_insert(now + LAPSE_GRACE);
                self.lapsed.insert(name.clone());
            }
            Some(entry) => {
                let birth = entry.record.birth;
                self.departed.insert(name.clone(), (birth, now));
                self.withdraw(name, now);
            }
            None => {}
        }
    }

    /// Removes an upstream whose record has become invalid. Unlike after
    /// [`UpstreamTable::remove`], it is never used for some time longer.
    pub fn withdraw(&mut self, name: &UpstreamName, now: MonoTime) {
        if let Some(removed) = self.entries.remove(name) {
            let UpstreamRecord { service, software, .. } = &removed.record;
            self.census.remove(service, software, now);
            self.lapsed.remove(name);
            self.changed.insert(name);
        }
    }

    /// Replaces the entries by a complete list that is an older copy of the platform's list: what
    /// the copy lacks may have been added since, and what it lists may have left.
    pub fn replace_by_copy(
        &mut self,
        mut records: Vec<UpstreamRecord>,
        now: MonoTime,
    ) -> ListDifference {
        self.record_list_failure(now);
        for record in &mut records {
            let held = self.entries.get(&record.name).map(|entry| &entry.record);
            let held = held.filter(|held| held.birth == record.birth);
            record.leaving |= held.is_some_and(|held| held.leaving);
        }
        let has_left = |record: &UpstreamRecord| {
            let departed = self.departed.get(&record.name);
            departed.is_some_and(|(birth, _)| *birth == record.birth)
        };
        let (doubted, listed): (Vec<_>, Vec<_>) = records.into_iter().partition(has_left);
        let difference = self.replace(listed, now);
        let until = now + DOUBT_TIME;
        self.doubted.extend(doubted.into_iter().map(|it| (it.name.clone(), (it, until))));
        difference
    }

    /// Sets the evacuated data centres as an older copy lists them: those that it lacks stay
    /// evacuated for some time, since they may be written again.
    pub fn set_evacuated_by_copy(&mut self, copied: BTreeSet<DataCentreName>, now: MonoTime) {
        let lacking: Vec<DataCentreName> = self.evacuated.difference(&copied).cloned().collect();
        let until = now + DOUBT_TIME;
        self.set_evacuated(copied.union(&self.evacuated).cloned().collect());
        self.doubted_evacuations = lacking.into_iter().map(|centre| (centre, until)).collect();
    }

    /// Replaces the entries by a complete list. Returns what changed.
    pub fn replace(&mut self, records: Vec<UpstreamRecord>, now: MonoTime) -> ListDifference {
        let listed: BTreeSet<UpstreamName> = records.iter().map(|it| it.name.clone()).collect();
        let is_missing = |entry: &&Arc<UpstreamEntry>| {
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
        self.doubted_evacuations.clear();
        if self.evacuated != evacuated {
            self.evacuated = evacuated;
            self.changed = ChangedUpstreams::All;
        }
    }

    /// Returns the evacuated data centres, whose upstreams get no requests.
    pub fn evacuated(&self) -> &BTreeSet<DataCentreName> {
        &self.evacuated
    }

    /// Starts or ends the evacuation of a data centre.
    pub fn update_evacuation(&mut self, centre: DataCentreName, is_evacuated: bool) {
        self.doubted_evacuations.remove(&centre);
        let has_changed = match is_evacuated {
            true => self.evacuated.insert(centre),
            false => self.evacuated.remove(&centre),
        };
        if has_changed {
            self.changed = ChangedUpstreams::All;
        }
    }

    /// Ends the doubts about a copy that have lasted for long enough. Returns whether that changed
    /// anything.
    fn end_doubts(&mut self, now: MonoTime) -> bool {
        let is_over = |until: &MonoTime| *until <= now;
        let ended: Vec<DataCentreName> = self
            .doubted_evacuations
            .iter()
            .filter(|(_, until)| is_over(until))
            .map(|(centre, _)| centre.clone())
            .collect();
        let listed: Vec<UpstreamRecord> = self
            .doubted
            .values()
            .filter(|(_, until)| is_over(until))
            .map(|(record, _)| record.clone())
            .collect();
        let has_changed = !ended.is_empty() || !listed.is_empty();
        ended.into_iter().for_each(|centre| self.update_evacuation(centre, false));
        for record in listed {
            self.departed.remove(&record.name);
            self.put(record, now);
        }
        has_changed
    }

    /// Returns the evacuated data centres without those that only an older state names. Each VM
    /// decides by itself how long it believes the older state.
    pub fn confirmed_evacuations(&self) -> BTreeSet<DataCentreName> {
        let is_confirmed =
            |centre: &&DataCentreName| !self.doubted_evacuations.contains_key(*centre);
        self.evacuated.iter().filter(is_confirmed).cloned().collect()
    }

    /// Removes entries that have expired, and ends doubts about a copy. Returns whether there were
    /// any.
    pub fn expire(&mut self, now: MonoTime) -> bool {
        self.departed.retain(|_, (_, at)| now.since(*at) < DEPARTED_RETENTION);
        let had_doubts = self.end_doubts(now);
        let has_expired = |name: &&UpstreamName| {
            let expires = self.entries.get(*name).and_then(|entry| entry.expires);
            expires.is_some_and(|expires| expires <= now)
        };
        let expired: Vec<UpstreamName> = self.lapsed.iter().filter(has_expired).cloned().collect();
        for name in &expired {
            self.withdraw(name, now);
        }
        had_doubts || !expired.is_empty()
    }

    /// Returns the upstreams that may get new requests.
    pub fn usable(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.entries.values().map(Arc::as_ref).filter(|entry| self.is_usable(entry))
    }

    /// Returns the entry of an upstream; `None` if it may not get new requests.
    pub fn usable_entry(&self, name: &UpstreamName) -> Option<&UpstreamEntry> {
        self.entries.get(name).map(Arc::as_ref).filter(|entry| self.is_usable(entry))
    }

    fn is_usable(&self, entry: &UpstreamEntry) -> bool {
        !entry.record.leaving && !self.evacuated.contains(&entry.record.data_centre)
    }

    /// Records that the list before this moment is not known, see [`SoftwareCensus::restart_span`].
    pub fn restart_software_span(&mut self, revision: u64, now: MonoTime) {
        self.census.restart_span(revision, now);
    }

    /// Merges what another VM knows of software versions. Returns whether that was news.
    pub fn merge_software(&mut self, history: &SoftwareHistory, now: MonoTime) -> bool {
        self.census.merge(history, now)
    }

    /// Whether an upstream is listed, or has left a short time ago.
    pub fn is_known(&self, name: &UpstreamName) -> bool {
        self.entries.contains_key(name) || self.departed.contains_key(name)
    }

    /// Returns the software of all upstreams, also of those that get no new requests.
    pub fn census(&self) -> &SoftwareCensus {
        &self.census
    }

    /// Marks all upstreams as changed, because something else that decides about them has changed.
    pub fn mark_all_changed(&mut self) {
        self.changed = ChangedUpstreams::All;
    }

    /// Returns which upstreams changed since the last call.
    pub fn take_changed(&mut self) -> ChangedUpstreams {
        std::mem::take(&mut self.changed)
    }

    /// Returns the current entries, which the table continues to share.
    pub fn list(&self) -> UpstreamList {
        UpstreamList(self.entries.clone())
    }

    /// Returns the records of all listed upstreams, as [`UpstreamList::records`] does.
    pub fn records(&self, now: MonoTime) -> Vec<UpstreamRecord> {
        self.list().records(now)
    }
}
