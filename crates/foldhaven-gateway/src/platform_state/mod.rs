//! The state of the platform, and the revision up to which its changes are applied. Uses no sockets
//! or timers.
//!
//! A VM gets changes from the platform itself, from snapshots and deltas of other VMs, and as early
//! changes; they may arrive in any order and more than once. Everything that the platform
//! published up to [`PlatformState::revision`], or something newer, must be applied in any case,
//! since a VM that holds the newest revision neither asks for changes nor refuses requests.

mod answer_cache;
mod change_log;
mod description_digest;
mod early_changes;
mod updates;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::UpstreamName;
use foldhaven_core::opaque::route_table::{RouteDescription, RouteTable, RouteVersion};
use foldhaven_core::opaque::upstream_table::UpstreamTable;
use foldhaven_core::time::MonoTime;

pub use self::answer_cache::{AnswerCache, StateRequest};
use self::change_log::ChangeLog;
pub use self::change_log::{StateFormat, StateOffer};
pub use self::early_changes::EarlyChanges;
use crate::feed::ChangeSet;

/// The time and lag at which an update is applied, for expiry and for the log.
#[derive(Debug, Clone, Copy)]
pub struct ApplyContext {
    /// The current time.
    pub now: MonoTime,
    /// For how long other VMs have known newer state.
    pub lag: Duration,
    /// Whether this VM may have been without news for long.
    pub is_late: bool,
}

/// The result of applying changes.
#[derive(Debug)]
pub struct AppliedChanges {
    /// The changes that were new, to be forwarded to other VMs.
    pub changes: ChangeSet,
    /// Whether requests may be sent to wrong destinations until traffic sees the changes.
    pub is_urgent: bool,
}

/// The state of the platform.
#[derive(Debug, Default)]
pub struct PlatformState {
    /// The current description. `None` before the first one.
    routes: Option<Arc<RouteTable>>,
    /// The digest of the current description.
    digest: u64,
    /// The listed upstreams.
    pub table: UpstreamTable,
    /// The revision up to which all changes are applied.
    revision: u64,
    /// The newest changes.
    log: ChangeLog,
    /// The changes that were applied before their predecessors.
    early: EarlyChanges,
    /// Whether the known state cannot be updated by changes, so that a snapshot is needed.
    needs_snapshot: bool,
    /// Whether a snapshot was applied, which changes can build on.
    has_state: bool,
    /// The number of invalid upstream records seen.
    unusable_count: u64,
    /// The upstreams whose records are invalid, so that no VM has sent them requests.
    unusable: BTreeSet<UpstreamName>,
}

impl PlatformState {
    /// Returns the revision up to which all changes are applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the current description. `None` before the first one.
    pub fn routes(&self) -> Option<&Arc<RouteTable>> {
        self.routes.as_ref()
    }

    /// Returns the digest of the current description.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the version of the current description, or the lowest version if there is none.
    pub fn version(&self) -> RouteVersion {
        self.routes.as_ref().map_or(RouteVersion::default(), |routes| routes.version())
    }

    /// Returns whether a snapshot was applied, which changes can build on.
    pub fn has_state(&self) -> bool {
        self.has_state
    }

    /// Returns whether changes cannot be applied to the known state, so that a snapshot is needed.
    pub fn needs_snapshot(&self) -> bool {
        self.needs_snapshot
    }

    /// Returns the revision after which changes are to be requested. `None` if a snapshot is
    /// needed.
    pub fn base_revision(&self) -> Option<u64> {
        (self.has_state && !self.needs_snapshot).then_some(self.revision)
    }

    /// Returns the number of invalid upstream records seen since the last call.
    pub fn take_unusable_count(&mut self) -> u64 {
        std::mem::take(&mut self.unusable_count)
    }

    /// Returns the state that other VMs can fetch, which shares its parts with this one. `None`
    /// before the first description.
    pub fn offer(&self, now: MonoTime) -> Option<StateOffer> {
        Some(StateOffer {
            revision: self.revision,
            routes: self.routes.clone()?,
            digest: self.digest,
            upstreams: self.table.list(),
            taken_at: now,
            evacuated: self.table.confirmed_evacuations(),
            log: self.log.clone(),
        })
    }

    fn held_description(&self) -> Option<Box<RouteDescription>> {
        self.routes.as_deref().map(|routes| Box::new(routes.description().clone()))
    }
}
