//! Tells whether this VM can open connections to the upstreams of its region.
//!
//! Whether an upstream can be reached is a property of the pair of VM and upstream. A VM that fails
//! to connect to several upstreams in a row, of whatever services, has probably lost its own paths,
//! while other VMs still reach these upstreams. If it connects to others, the upstreams are at
//! fault, and no other VM would reach them either.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::opaque::affinity::UpstreamTag;
use crate::time::MonoTime;

/// Number of upstreams in a row to which no connection can be opened before the paths count as
/// lost. In a region with fewer upstreams, all of them.
const MAX_UNREACHED: usize = 4;
/// Failures count as being in a row if no more time than this passes between them.
const FAILURE_RETENTION: Duration = Duration::from_secs(5);

/// A change of the paths to the upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathChange {
    /// This VM can no longer open connections to upstreams.
    Lost,
    /// It can open connections again.
    Regained,
}

/// The state of the paths to the upstreams in the region of this VM.
#[derive(Debug, Default)]
pub struct PathMonitor {
    /// The upstreams to which connections failed since the last one was opened.
    unreached: BTreeSet<UpstreamTag>,
    last_failure: MonoTime,
    is_lost: bool,
}

impl PathMonitor {
    /// Records that no connection to an upstream could be opened. `listed` is the number of
    /// upstreams in the region.
    pub fn record_failure(
        &mut self,
        upstream: UpstreamTag,
        listed: usize,
        now: MonoTime,
    ) -> Option<PathChange> {
        if now.since(self.last_failure) > FAILURE_RETENTION {
            self.unreached.clear();
        }
        self.last_failure = now;
        if self.unreached.len() < MAX_UNREACHED {
            self.unreached.insert(upstream);
        }
        if self.is_lost || self.unreached.len() < listed.clamp(1, MAX_UNREACHED) {
            return None;
        }
        self.is_lost = true;
        Some(PathChange::Lost)
    }

    /// Records that a connection to an upstream was opened, or that no upstream is listed any more.
    pub fn record_opened(&mut self) -> Option<PathChange> {
        self.unreached.clear();
        let was_lost = std::mem::replace(&mut self.is_lost, false);
        was_lost.then_some(PathChange::Regained)
    }

    /// Whether the paths are lost.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }
}
