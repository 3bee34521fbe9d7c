//! Updates about suspects that wait to be sent to other VMs.

use std::collections::BTreeMap;

use super::record::SuspectRecord;
use crate::opaque::request_fingerprint::RequestFingerprint;

/// Receivers of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpdateScope {
    /// The VMs of this region. Updates about a single exit go no further: when many upstreams exit
    /// at once they are the bulk of the updates, and no request is held back because of a single
    /// exit.
    Region,
    /// All VMs.
    Global,
}

/// Update about one request for other VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectUpdate {
    /// Record of the request.
    pub record: SuspectRecord,
    /// Receivers of the update.
    pub scope: UpdateScope,
}

/// Update that waits to be sent.
#[derive(Debug, Clone, Copy)]
struct PendingUpdate {
    scope: UpdateScope,
    /// Whether several VMs may have made the same update at the same time. Once one of them has
    /// sent it, the others need not.
    is_shared: bool,
}

/// The updates that wait to be sent, at most one for each suspect.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    pending: BTreeMap<RequestFingerprint, PendingUpdate>,
}

impl UpdateQueue {
    /// Adds an update that is sent at once. It replaces an earlier one of the same suspect.
    pub(super) fn push(&mut self, fingerprint: RequestFingerprint, scope: UpdateScope) {
        self.pending.insert(fingerprint, PendingUpdate { scope, is_shared: false });
    }

    /// Adds an update for all VMs that several VMs may be about to send.
    pub(super) fn push_shared(&mut self, fingerprint: RequestFingerprint) {
        let update = PendingUpdate { scope: UpdateScope::Global, is_shared: true };
        self.pending.insert(fingerprint, update);
    }

    /// Removes an update that several VMs may be about to send, as another VM has sent it.
    pub(super) fn remove_shared(&mut self, fingerprint: &RequestFingerprint) {
        if self.pending.get(fingerprint).is_some_and(|pending| pending.is_shared) {
            self.pending.remove(fingerprint);
        }
    }

    /// Whether an update of a suspect waits.
    pub(super) fn contains(&self, fingerprint: &RequestFingerprint) -> bool {
        self.pending.contains_key(fingerprint)
    }

    /// Whether any update waits that several VMs may be about to send.
    pub(super) fn has_shared(&self) -> bool {
        self.pending.values().any(|pending| pending.is_shared)
    }

    /// Removes and returns the updates that several VMs may be about to send, or the others.
    pub(super) fn take(&mut self, is_shared: bool) -> Vec<(RequestFingerprint, UpdateScope)> {
        let pending = std::mem::take(&mut self.pending);
        let (taken, left): (BTreeMap<_, _>, _) =
            pending.into_iter().partition(|(_, pending)| pending.is_shared == is_shared);
        self.pending = left;
        taken.into_iter().map(|(fingerprint, pending)| (fingerprint, pending.scope)).collect()
    }
}
