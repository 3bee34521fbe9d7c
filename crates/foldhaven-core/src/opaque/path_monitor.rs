//! Tells whether this VM can open connections to the upstreams of its region.
//!
//! Whether an upstream can be reached is a property of the pair of VM and upstream. A VM that fails
//! to connect to several upstreams in a row, of whatever services, has probably lost its own paths,
//! while other VMs still reach these upstreams. If it connects to others, the upstreams are at
//! fault, and no other VM would reach them either. So they are if it still receives data from some
//! on connections that it has: in a peak, upstreams refuse connections beyond their limit.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::opaque::affinity::UpstreamTag;
use crate::time::MonoTime;

/// Number of upstreams in a row to which no connection can be opened before the paths count as
/// lost. In a region with fewer upstreams, all of them.
const MAX_UNREACHED: usize = 4;
/// Failures count as being in a row if no more time than this passes between them.
const FAILURE_RETENTION: Duration = Duration::from_secs(5);

/// Time after the last data from any upstream from which on the paths may be lost.
const HEARD_TIME: Duration = Duration::from_millis(500);
/// Time for which paths that came back are not lost again. Notices of every change go to all VMs.
const MIN_REGAINED_TIME: Duration = Duration::from_secs(1);

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
    /// When data was last received from any of them. `None` if it never was.
    last_received: Option<MonoTime>,
    /// When the paths came back. `None` if they were never lost.
    regained_at: Option<MonoTime>,
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
        let is_settling = self.regained_at.is_some_and(|at| now.since(at) < MIN_REGAINED_TIME);
        let is_suspected = self.unreached.len() >= listed.clamp(1, MAX_UNREACHED);
        let is_heard = self.last_received.is_some_and(|at| now.since(at) < HEARD_TIME);
        if self.is_lost || is_settling || is_heard || !is_suspected {
            return None;
        }
        self.is_lost = true;
        Some(PathChange::Lost)
    }

    /// Records that data was received from an upstream.
    pub fn record_received(&mut self, now: MonoTime) {
        self.last_received = Some(now);
    }

    /// Records that a connection to an upstream was opened. It may be closed at once, so it does not
    /// show that lost paths are back.
    pub fn record_connected(&mut self) {
        self.unreached.clear();
    }

    /// Records that a connection to an upstream was opened and lasts, or that no upstream is listed
    /// any more.
    pub fn record_opened(&mut self, now: MonoTime) -> Option<PathChange> {
        self.unreached.clear();
        let was_lost = std::mem::replace(&mut self.is_lost, false);
        if was_lost {
            self.regained_at = Some(now);
        }
        was_lost.then_some(PathChange::Regained)
    }

    /// Whether the paths are lost.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }
}
