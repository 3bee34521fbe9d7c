//! The services whose upstreams are brittle: an upstream crashes if it has to decline more than a
//! few requests in a second for want of room.
//!
//! All upstreams of a service are brittle at the same time. Any answer of any of them therefore
//! tells the same of the others, also of processes that have not answered yet: an upstream that has
//! crashed comes back as a new process, and must not crash again before it has told each VM.

use std::collections::BTreeMap;
use std::num::NonZeroU32;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::opaque::peer_table::ServiceTag;
use crate::opaque::upstream_signals::AnswerTiming;
use crate::time::MonoTime;

/// Time after the last announcement from which on an answer without one ends the brittleness. VMs
/// tell each other of announcements every half second.
const END_DELAY: Duration = Duration::from_secs(3);
/// How long the end is remembered, so that a VM that has not received it does not restore the
/// brittleness.
const ENDED_RETENTION: Duration = Duration::from_secs(10);
/// How long a service stays brittle without an answer of any of its upstreams.
const MAX_RETENTION: Duration = Duration::from_secs(600);

/// The brittleness of a service's upstreams, as VMs of a region send it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleNotice {
    /// The service.
    pub service: ServiceTag,
    /// How many requests an upstream can decline in a second; `None` if it is no longer brittle.
    pub max_declined_per_s: Option<NonZeroU32>,
    /// The age of the answer that shows this, in milliseconds.
    pub age_ms: u32,
}

/// A change of the brittleness of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrittleChange {
    /// How many requests an upstream could decline in a second before.
    pub before: Option<NonZeroU32>,
    /// How many it can decline now.
    pub now: Option<NonZeroU32>,
}

#[derive(Debug, Clone, Copy)]
struct BrittleEntry {
    max_declined_per_s: Option<NonZeroU32>,
    /// When the newest answer that shows this was received.
    signalled_at: MonoTime,
    /// Whether it is yet to be sent to other VMs.
    is_unsent: bool,
}

/// The services whose upstreams are brittle, or were until recently.
#[derive(Debug, Default)]
pub struct BrittleServices {
    entries: BTreeMap<ServiceTag, BrittleEntry>,
}

impl BrittleServices {
    /// Records what an answer of an upstream announces; `None` if it announces nothing.
    ///
    /// Answers on several connections may arrive out of order, and only some of the upstreams may
    /// be brittle. An answer without the announcement therefore counts only after a time without
    /// any announcement.
    pub fn record_answer(
        &mut self,
        service: ServiceTag,
        max_declined_per_s: Option<NonZeroU32>,
        timing: AnswerTiming,
    ) -> Option<BrittleChange> {
        let held = self.entries.get(&service);
        let is_newer = match (held, max_declined_per_s) {
            (None, None) => false,
            (None, Some(_)) => true,
            (Some(held), Some(_)) => timing.received >= held.signalled_at,
            (Some(held), None) => {
                let is_brittle = held.max_declined_per_s.is_some();
                is_brittle && timing.sent >= held.signalled_at + END_DELAY
            }
        };
        is_newer.then(|| self.update(service, max_declined_per_s, timing.received, true)).flatten()
    }

    /// Applies the notice of another VM.
    pub fn apply_notice(&mut self, notice: &BrittleNotice, now: MonoTime) -> Option<BrittleChange> {
        let signalled_at = now - Duration::from_millis(notice.age_ms.into());
        match self.entries.get_mut(&notice.service) {
            Some(held) if signalled_at <= held.signalled_at => {
                // The other VMs know the same.
                held.is_unsent &= held.max_declined_per_s != notice.max_declined_per_s;
                None
            }
            _ => self.update(notice.service, notice.max_declined_per_s, signalled_at, false),
        }
    }

    fn update(
        &mut self,
        service: ServiceTag,
        max_declined_per_s: Option<NonZeroU32>,
        signalled_at: MonoTime,
        is_own_answer: bool,
    ) -> Option<BrittleChange> {
        let held = self.entries.get(&service).copied();
        let before = held.and_then(|held| held.max_declined_per_s);
        let has_changed = before != max_declined_per_s;
        let was_unsent = held.is_some_and(|held| held.is_unsent);
        let is_unsent = is_own_answer && (has_changed || was_unsent);
        self.entries.insert(service, BrittleEntry { max_declined_per_s, signalled_at, is_unsent });
        has_changed.then_some(BrittleChange { before, now: max_declined_per_s })
    }

    /// Returns how many requests an upstream of a service can decline in a second. `None` if it is
    /// not brittle.
    pub fn max_declined_per_s(&self, service: ServiceTag) -> Option<NonZeroU32> {
        self.entries.get(&service)?.max_declined_per_s
    }

    /// Whether no services are held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of services whose upstreams are brittle.
    pub fn count(&self) -> usize {
        self.entries.values().filter(|entry| entry.max_declined_per_s.is_some()).count()
    }

    /// Returns the notices that are yet to be sent, and marks them as sent.
    pub fn take_unsent(&mut self, now: MonoTime) -> Vec<BrittleNotice> {
        let unsent = self.entries.iter_mut().filter(|(_, entry)| entry.is_unsent);
        let notices = unsent.map(|(service, entry)| {
            entry.is_unsent = false;
            entry.notice(*service, now)
        });
        notices.collect()
    }

    /// Returns all notices, for VMs that have missed some.
    pub fn all_notices(&self, now: MonoTime) -> Vec<BrittleNotice> {
        self.entries.iter().map(|(service, entry)| entry.notice(*service, now)).collect()
    }

    /// Removes old entries, and returns the services that no longer count as brittle.
    pub fn remove_expired(&mut self, now: MonoTime) -> Vec<ServiceTag> {
        let mut ended = Vec::new();
        self.entries.retain(|service, entry| {
            let is_brittle = entry.max_declined_per_s.is_some();
            let retention = if is_brittle { MAX_RETENTION } else { ENDED_RETENTION };
            let is_kept = now.since(entry.signalled_at) < retention;
            if !is_kept && is_brittle {
                ended.push(*service);
            }
            is_kept
        });
        ended
    }
}

impl BrittleEntry {
    fn notice(&self, service: ServiceTag, now: MonoTime) -> BrittleNotice {
        let age_ms = now.since(self.signalled_at).as_millis();
        BrittleNotice {
            service,
            max_declined_per_s: self.max_declined_per_s,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
        }
    }
}
