//! Counts the requests of this VM at one destination, for its own choices and for load reports.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use foldhaven_core::opaque::level_loads::{LevelLoads, LevelShare};
use foldhaven_core::opaque::load_reports::UpstreamShare;
use foldhaven_core::opaque::priority_level::PriorityLevel;
use foldhaven_core::opaque::queue_rank::{PrefillBacklog, QueueRank};
use parking_lot::Mutex;

/// What a request adds to the load of its destination.
#[derive(Debug, Clone, Copy)]
pub struct RequestLoad {
    /// The prompt tokens to prefill.
    pub prefill_tokens: u32,
    /// The tokens that the request will hold in memory when it ends.
    pub memory_tokens: u32,
    /// Its rank in the queue of the destination.
    pub rank: QueueRank,
    /// Its priority level; `None` if its service has none or the destination is another VM.
    pub level: Option<PriorityLevel>,
}

/// Counts the requests of this VM at one destination.
#[derive(Debug, Default)]
pub struct LoadCounter {
    in_flight: AtomicU32,
    /// Those of them that can still meet their targets.
    on_track: AtomicU32,
    /// Those that are deferred behind all timely requests and not answered yet.
    deferred: AtomicU32,
    /// The prompt tokens of timely requests that are not answered yet.
    timely_backlog: AtomicU32,
    /// The prompt tokens of deferred requests that are not answered yet.
    deferred_backlog: AtomicU32,
    /// The requests that have a priority level.
    levels: Mutex<LevelLoads>,
}

impl LoadCounter {
    /// Returns the current counts, saturated at the limits of the message format.
    pub fn share(&self) -> UpstreamShare {
        let read =
            |count: &AtomicU32| u16::try_from(count.load(Ordering::Relaxed)).unwrap_or(u16::MAX);
        UpstreamShare {
            in_flight: read(&self.in_flight),
            on_track: read(&self.on_track),
            deferred: read(&self.deferred),
            prefill_backlog: PrefillBacklog {
                timely: self.timely_backlog.load(Ordering::Relaxed),
                deferred: self.deferred_backlog.load(Ordering::Relaxed),
            },
        }
    }

    /// Returns the requests by priority level.
    pub fn levels(&self) -> LevelLoads {
        *self.levels.lock()
    }

    /// Counts a request until the guard is dropped.
    pub fn enter(self: &Arc<Self>, load: RequestLoad) -> LoadGuard {
        let RequestLoad { prefill_tokens: tokens, memory_tokens, rank, level } = load;
        let is_on_track = rank == QueueRank::Timely;
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let is_deferred = rank == QueueRank::Deferred;
        self.on_track.fetch_add(is_on_track.into(), Ordering::Relaxed);
        self.deferred.fetch_add(is_deferred.into(), Ordering::Relaxed);
        self.backlog(rank).fetch_add(tokens, Ordering::Relaxed);
        if let Some(level) = level {
            let share = LevelShare { level, in_flight: 1, prefill_backlog: tokens, memory_tokens };
            self.levels.lock().add(&share);
        }
        LoadGuard {
            counter: self.clone(),
            pending_tokens: tokens,
            memory_tokens,
            rank,
            level,
            is_on_track,
            is_deferred,
        }
    }

    fn backlog(&self, rank: QueueRank) -> &AtomicU32 {
        match rank {
            QueueRank::Timely => &self.timely_backlog,
            QueueRank::Deferred => &self.deferred_backlog,
        }
    }
}

/// Counts one request at a destination until dropped.
pub struct LoadGuard {
    counter: Arc<LoadCounter>,
    /// The prompt tokens still counted as waiting for prefill.
    pending_tokens: u32,
    /// The tokens counted as held in memory.
    memory_tokens: u32,
    rank: QueueRank,
    level: Option<PriorityLevel>,
    /// Whether the request can still meet its targets.
    is_on_track: bool,
    /// Whether the request is deferred and not answered yet.
    is_deferred: bool,
}

impl LoadGuard {
    /// Records that the answer has started, so prefill is finished.
    pub fn record_answered(&mut self) {
        let pending_tokens = std::mem::take(&mut self.pending_tokens);
        self.counter.backlog(self.rank).fetch_sub(pending_tokens, Ordering::Relaxed);
        self.remove_from_level(0, pending_tokens, 0);
        let was_deferred = std::mem::replace(&mut self.is_deferred, false);
        self.counter.deferred.fetch_sub(was_deferred.into(), Ordering::Relaxed);
    }

    fn remove_from_level(&self, in_flight: u16, prefill_backlog: u32, memory_tokens: u32) {
        if let Some(level) = self.level {
            let share = LevelShare { level, in_flight, prefill_backlog, memory_tokens };
            self.counter.levels.lock().remove(&share);
        }
    }

    /// Records that the request has missed its targets.
    pub fn record_late(&mut self) {
        let was_on_track = std::mem::replace(&mut self.is_on_track, false);
        self.counter.on_track.fetch_sub(was_on_track.into(), Ordering::Relaxed);
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.record_answered();
        self.record_late();
        self.remove_from_level(1, 0, self.memory_tokens);
        self.counter.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
