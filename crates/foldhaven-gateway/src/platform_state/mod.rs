//! What is known of the platform, and up to which of its changes, without sockets or timers.
//!
//! A VM learns of changes by its own reading, by snapshots and differences of other VMs, and of some before their turn, in any order
//! and more than once. Whatever the order, all that the platform published up to [`PlatformState::revision`] is in
//! force here, or something newer: VMs that hold the newest revision neither ask nor refuse.

mod answer_cache;
mod change_log;
mod description_digest;
mod early_changes;
mod updates;

use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::opaque::route_table::{RouteDescription, RouteTable, RouteVersion};
use foldhaven_core::opaque::upstream_table::UpstreamTable;
use foldhaven_core::time::MonoTime;

pub use self::answer_cache::{AnswerCache, StateRequest};
use self::change_log::ChangeLog;
pub use self::change_log::StateOffer;
pub use self::early_changes::EarlyChanges;
use crate::feed::ChangeSet;

/// When something is taken in, for the log and for what lapses.
#[derive(Debug, Clone, Copy)]
pub struct ApplyContext {
    /// The time.
    pub now: MonoTime,
    /// For how long others have known more.
    pub lag: Duration,
}

/// Changes that were taken in.
#[derive(Debug)]
pub struct AppliedChanges {
    /// What of them was new, as others are to be told of it.
    pub changes: ChangeSet,
    /// Whether requests may be sent wrongly until traffic sees them.
    pub is_urgent: bool,
}

/// What is known of the platform.
#[derive(Debug, Default)]
pub struct PlatformState {
    /// The description in force.
    routes: Option<Arc<RouteTable>>,
    /// The digest of that description.
    digest: u64,
    /// The upstreams as the platform lists them.
    pub table: UpstreamTable,
    /// Up to which count the platform's changes are known.
    revision: u64,
    /// The newest of them.
    log: ChangeLog,
    /// Changes in force ahead of their turn.
    early: EarlyChanges,
    /// Whether changes do not lead from what is known to what others know, so that all of it is asked for.
    needs_snapshot: bool,
    /// Whether a snapshot was taken in, so that changes can follow it.
    has_state: bool,
    /// How many records were seen that name no upstream.
    unusable_count: u64,
}

impl PlatformState {
    /// Up to which count the platform's changes are known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The description in force.
    pub fn routes(&self) -> Option<&Arc<RouteTable>> {
        self.routes.as_ref()
    }

    /// The digest of the description in force.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The version of the description in force; the least one before there is any.
    pub fn version(&self) -> RouteVersion {
        self.routes.as_ref().map_or(RouteVersion::default(), |routes| routes.version())
    }

    /// Whether changes can follow what is known.
    pub fn has_state(&self) -> bool {
        self.has_state
    }

    /// Whether changes do not lead on, so that all is to be asked for.
    pub fn needs_snapshot(&self) -> bool {
        self.needs_snapshot
    }

    /// The revision from which changes are to be told; nothing when all is to be.
    pub fn base_revision(&self) -> Option<u64> {
        (self.has_state && !self.needs_snapshot).then_some(self.revision)
    }

    /// How many records were seen that name no upstream, since this was asked last.
    pub fn take_unusable_count(&mut self) -> u64 {
        std::mem::take(&mut self.unusable_count)
    }

    /// What other VMs may take over; nothing before the first description.
    pub fn offer(&self, now: MonoTime) -> Option<StateOffer> {
        Some(StateOffer {
            revision: self.revision,
            routes: self.routes.clone()?,
            digest: self.digest,
            upstreams: self.table.records(now),
            evacuated: self.table.evacuated().clone(),
            log: self.log.clone(),
        })
    }

    fn held_description(&self) -> Option<Box<RouteDescription>> {
        self.routes.as_deref().map(|routes| Box::new(routes.description().clone()))
    }
}
