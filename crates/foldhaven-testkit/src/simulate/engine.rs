//! A simulated engine: it runs some requests at once, lets some more wait, and reads one prompt at a time.

use std::collections::VecDeque;
use std::time::Duration;

use foldhaven_core::opaque::performance::QueueState;
use foldhaven_core::opaque::queue_rank::{PrefillBacklog, QueueRank};
use foldhaven_core::time::MonoTime;

use super::experiment::EngineMix;

/// What an engine needs to know of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineWork {
    /// The number of the request.
    pub request: usize,
    /// The prompt tokens to be read.
    pub tokens: u32,
    /// The events of the answer.
    pub events: u32,
    /// Whether it goes behind others that wait.
    pub rank: QueueRank,
}

/// When an admitted request is answered.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineTimes {
    pub request: usize,
    /// The first event.
    pub first: MonoTime,
    /// The last one.
    pub last: MonoTime,
}

/// One engine.
#[derive(Debug)]
pub(super) struct SimulatedEngine {
    mix: EngineMix,
    running: u32,
    waiting: VecDeque<EngineWork>,
    /// Those of them that go behind the others.
    behind: VecDeque<EngineWork>,
    /// When it has read all prompts that it was given.
    read_until: MonoTime,
    /// The prompt tokens that it has still to read, with when each is read.
    unread: VecDeque<(MonoTime, u32)>,
    /// The requests that arrived, those refused included.
    pub arrivals: u64,
    /// Those that it refused.
    pub refused: u64,
}

impl SimulatedEngine {
    pub(super) fn new(mix: &EngineMix) -> Self {
        Self {
            mix: mix.clone(),
            running: 0,
            waiting: VecDeque::new(),
            behind: VecDeque::new(),
            read_until: MonoTime::default(),
            unread: VecDeque::new(),
            arrivals: 0,
            refused: 0,
        }
    }

    /// Takes a request: it runs, waits, or is refused.
    ///
    /// # Errors
    ///
    /// When as many wait as may.
    pub(super) fn take(
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
            QueueRank::Deferred => self.behind.push_back(work),
        }
        Ok(None)
    }

    /// One of those that ran has ended; another may begin.
    pub(super) fn end(&mut self, now: MonoTime) -> Option<EngineTimes> {
        self.running -= 1;
        let work = self.waiting.pop_front().or_else(|| self.behind.pop_front())?;
        Some(self.admit(work, now))
    }

    fn waiting_count(&self) -> u32 {
        (self.waiting.len() + self.behind.len()) as u32
    }

    fn admit(&mut self, work: EngineWork, now: MonoTime) -> EngineTimes {
        self.running += 1;
        let reading = Duration::from_secs_f64(f64::from(work.tokens) / self.mix.tokens_per_s);
        self.read_until = self.read_until.max(now) + reading;
        self.unread.push_back((self.read_until, work.tokens));
        let first = self.read_until;
        let last = first + self.mix.event.0 * work.events;
        EngineTimes { request: work.request, first, last }
    }

    /// Its queue as it is.
    pub(super) fn queue(&mut self, now: MonoTime) -> QueueState {
        while self.unread.front().is_some_and(|(read, _)| *read <= now) {
            self.unread.pop_front();
        }
        let admitted: u32 = self.unread.iter().map(|(_, tokens)| tokens).sum();
        let waiting: u32 = self.waiting.iter().map(|work| work.tokens).sum();
        let behind: u32 = self.behind.iter().map(|work| work.tokens).sum();
        let in_flight = self.running + self.waiting_count();
        QueueState {
            slots: self.mix.slots,
            in_flight,
            on_track: in_flight,
            deferred: self.behind.len() as u32,
            prefill_backlog: PrefillBacklog { timely: admitted + waiting, deferred: behind },
        }
    }
}

/// As many requests wait at the engine as may.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct EngineFull;
