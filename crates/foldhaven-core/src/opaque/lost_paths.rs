//! Which VMs have lost their paths to the upstreams of which services, as told by these VMs.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::opaque::peer_table::{ServiceTag, VmTag};
use crate::time::MonoTime;

/// How long a notice is valid. A VM renews its notice several times within this time.
const NOTICE_RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of notices of other VMs that are resent in one round.
const MAX_RESENT: usize = 64;

/// The services whose upstreams a VM cannot reach, as VMs send it to each other. Empty once it
/// reaches all of them again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostPathNotice {
    /// The VM without paths.
    pub vm: VmTag,
    /// The services.
    pub services: Vec<ServiceTag>,
    /// The time since that VM renewed the notice, in milliseconds.
    pub age_ms: u32,
}

#[derive(Debug, Clone)]
struct LostPathEntry {
    services: Vec<ServiceTag>,
    renewed_at: MonoTime,
    /// Whether the notice is yet to be sent to other VMs.
    is_unsent: bool,
}

impl LostPathEntry {
    fn notice(&self, vm: VmTag, now: MonoTime) -> LostPathNotice {
        let age = now.since(self.renewed_at).as_millis();
        let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
        LostPathNotice { vm, services: self.services.clone(), age_ms }
    }
}

/// The newest notice of each VM.
#[derive(Debug, Default)]
pub struct LostPathTable {
    entries: BTreeMap<VmTag, LostPathEntry>,
    /// The first VM whose notice is resent in the next round.
    resend_from: Option<VmTag>,
}

impl LostPathTable {
    /// Sets the services whose upstreams this VM cannot reach.
    pub fn set_own(&mut self, own: VmTag, services: Vec<ServiceTag>, now: MonoTime) {
        let entry = LostPathEntry { services, renewed_at: now, is_unsent: true };
        self.entries.insert(own, entry);
    }

    /// Applies the notice of another VM. With `is_relayed`, it is sent on to other VMs. Returns
    /// whether the services of that VM have changed.
    pub fn apply_notice(
        &mut self,
        notice: &LostPathNotice,
        is_relayed: bool,
        now: MonoTime,
    ) -> bool {
        let renewed_at = now - Duration::from_millis(notice.age_ms.into());
        let held = self.entries.get(&notice.vm);
        let is_expired = now.since(renewed_at) >= NOTICE_RETENTION;
        if is_expired || held.is_some_and(|held| renewed_at <= held.renewed_at) {
            return false;
        }
        let has_changed = match held {
            Some(held) => held.services != notice.services,
            None => !notice.services.is_empty(),
        };
        let is_unsent = has_changed && is_relayed;
        let services = notice.services.clone();
        self.entries.insert(notice.vm, LostPathEntry { services, renewed_at, is_unsent });
        has_changed
    }

    /// Whether a VM cannot reach the upstreams of a service.
    pub fn is_lost(&self, vm: VmTag, service: ServiceTag) -> bool {
        self.entries.get(&vm).is_some_and(|entry| entry.services.contains(&service))
    }

    /// Whether a VM cannot reach the upstreams of some service.
    pub fn is_any_lost(&self, vm: VmTag) -> bool {
        self.entries.get(&vm).is_some_and(|entry| !entry.services.is_empty())
    }

    /// Whether no notices are held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of VMs that have lost paths.
    pub fn count(&self) -> usize {
        self.entries.values().filter(|entry| !entry.services.is_empty()).count()
    }

    /// Returns the notices that are yet to be sent, and marks them as sent.
    pub fn take_unsent(&mut self, now: MonoTime) -> Vec<LostPathNotice> {
        let unsent = self.entries.iter_mut().filter(|(_, entry)| entry.is_unsent);
        let notices = unsent.map(|(vm, entry)| {
            entry.is_unsent = false;
            entry.notice(*vm, now)
        });
        notices.collect()
    }

    /// Returns the notices to resend in a round, for VMs that have missed some: that of this VM,
    /// renewed if it has lost paths, and some of the others in turn.
    pub fn next_resent(&mut self, own: VmTag, now: MonoTime) -> Vec<LostPathNotice> {
        if let Some(entry) = self.entries.get_mut(&own).filter(|entry| !entry.services.is_empty()) {
            entry.renewed_at = now;
        }
        let from = self.resend_from.unwrap_or(own);
        let turn = self.entries.range(from..).chain(self.entries.range(..from));
        let mut others = turn.filter(|(vm, _)| **vm != own);
        let mut notices: Vec<LostPathNotice> =
            others.by_ref().take(MAX_RESENT).map(|(vm, entry)| entry.notice(*vm, now)).collect();
        self.resend_from = others.next().map(|(vm, _)| *vm);
        notices.extend(self.entries.get(&own).map(|entry| entry.notice(own, now)));
        notices
    }

    /// Removes notices that were not renewed for too long.
    pub fn remove_expired(&mut self, now: MonoTime) {
        self.entries.retain(|_, entry| now.since(entry.renewed_at) < NOTICE_RETENTION);
    }
}
