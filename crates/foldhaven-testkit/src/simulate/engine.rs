//! A simulated engine with a fixed number of slots, a bounded queue and serial prefill of prompts.

use std::collections::VecDeque;
use std::time::Duration;

use foldhaven_core::opaque::performance::QueueState;
use foldhaven_core::opaque::queue_rank::{PrefillBacklog, QueueRank};
use foldhaven_core::time::MonoTime;

use super::experiment::EngineMix;

/// The properties of a request that the engine's timing depends on.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineWork {
    /// Index of the request in the simulation.
    pub request: usize,
    /// Prompt tokens that need prefill.
    pub tokens: u32,
    /// Number of events in the answer.
    pub events: u32,
    /// Whether the request is queued after all timely ones.
    pub rank: QueueRank,
}

/// The times at which an admitted request is answered.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineTimes {
    pub request: usize,
    /// Time of the first event.
    pub first: MonoTime,
    /// Time of the last event.
    pub last: MonoTime,
}

/// The state of one simulated engine.
#[derive(Debug)]
pub(super) struct SimulatedEngine {
    mix: EngineMix,
    running: u32,
    waiting: VecDeque<EngineWork>,
    /// Waiting requests that start only when no timely one waits.
    deferred: VecDeque<EngineWork>,
    /// When prefill of all admitted prompts is done.
    prefill_done_at: MonoTime,
    /// Prompts of admitted requests: when the prefill of each ends, and its number of tokens.
    prefill_queue: VecDeque<(MonoTime, u32)>,
    /// Number of requests that arrived, including refused ones.
    pub arrivals: u64,
    /// Number of requests that the engine refused.
    pub refused: u64,
}

impl SimulatedEngine {
    pub(super) fn new(mix: &EngineMix) -> Self {
        Self {
            mix: mix.clone(),
            running: 0,
            waiting: VecDeque::new(),
            deferred: VecDeque::new(),
            prefill_done_at: MonoTime::default(),
            prefill_queue: VecDeque::new(),
            arrivals: 0,
            refused: 0,
        }
    }

    /// Accepts a request. Returns its answer times if it starts at once, `None` if it waits.
    ///
    /// # Errors
    ///
    /// Fails if the queue is full.
    pub(super) fn accept(
        &mut self,
        work: EngineWork,
        now: MonoTime,
    ) -> Result<Option<EngineTimes>, EngineFull> {
        self.arrivals += 1;
        if self.running < self.mix.slots {
            return Ok(Some(self.admit(work, now)));
        }
        if self.waiting_count() >= self.mix.queue {
            self.refused += 1;
            return Err(EngineFull);
        }
        match work.rank {
            QueueRank::Timely => self.waiting.push_back(work),
            QueueRank::Deferred => self.deferred.push_back(work),
        }
        Ok(None)
    }

    /// Frees the slot of a finished request. Returns the answer times of the waiting request that
    /// takes it, or `None` if none waits.
    pub(super) fn end(&mut self, now: MonoTime) -> Option<EngineTimes> {
        self.running -= 1;
        let work = self.waiting.pop_front().or_else(|| self.deferred.pop_front())?;
        Some(self.admit(work, now))
    }

    fn waiting_count(&self) -> u32 {
        (self.waiting.len() + self.deferred.len()) as u32
    }

    fn admit(&mut self, work: EngineWork, now: MonoTime) -> EngineTimes {
        self.running += 1;
        let prefill_time = Duration::from_secs_f64(f64::from(work.tokens) / self.mix.tokens_per_s);
        self.prefill_done_at = self.prefill_done_at.max(now) + prefill_time;
        self.prefill_queue.push_back((self.prefill_done_at, work.tokens));
        let first = self.prefill_done_at;
        let last = first + self.mix.event_time.0 * work.events;
        EngineTimes { request: work.request, first, last }
    }

    /// Returns the current state of the queue.
    pub(super) fn queue(&mut self, now: MonoTime) -> QueueState {
        while self.prefill_queue.front().is_some_and(|(read, _)| *read <= now) {
            self.prefill_queue.pop_front();
        }
        let admitted: u32 = self.prefill_queue.iter().map(|(_, tokens)| tokens).sum();
        let waiting: u32 = self.waiting.iter().map(|work| work.tokens).sum();
        let deferred: u32 = self.deferred.iter().map(|work| work.tokens).sum();
        let in_flight = self.running + self.waiting_count();
        QueueState {
            slots: self.mix.slots,
            in_flight,
            on_track: in_flight,
            deferred: self.deferred.len() as u32,
            prefill_backlog: PrefillBacklog { timely: admitted + waiting, deferred },
            ..QueueState::default()
        }
    }
}

/// The engine's queue is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct EngineFull;
