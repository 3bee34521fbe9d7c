//! A stand-in engine's slots, queue, prefix cache, models and lagged load.

use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use foldhaven_core::load::{EngineLoad, HeldModel, OrderFence};
use foldhaven_wire::engine::{CacheChange, CacheEventPage};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// How a model runs, as the weight store says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelProfile {
    /// Tokens of a prompt that are read in a second.
    pub prefill: f64,
    /// Tokens that one slot writes in a second.
    pub decode: f64,
    /// How many requests are batched.
    pub slots: u32,
}

/// Settings of one stand-in engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Its name.
    pub name: String,
    /// How many prefix blocks its cache holds.
    pub cache_blocks: usize,
    /// How old its load reports are.
    pub report_lag: Duration,
    /// Whether it refuses orders with an older fence.
    pub checks_fences: bool,
    /// Its process lifetime, as the platform's list has it.
    pub incarnation: u64,
}

#[derive(Debug)]
struct HeldEntry {
    version: String,
    profile: Option<ModelProfile>,
}

struct Waiting {
    priority: u64,
    order: u64,
    wake: oneshot::Sender<()>,
}

impl PartialEq for Waiting {
    fn eq(&self, other: &Self) -> bool {
        (self.priority, self.order) == (other.priority, other.order)
    }
}

impl Eq for Waiting {}

impl PartialOrd for Waiting {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Waiting {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.priority.cmp(&other.priority).then(other.order.cmp(&self.order))
    }
}

#[derive(Default)]
struct Inner {
    models: BTreeMap<String, HeldEntry>,
    fence: OrderFence,
    running: u32,
    queue: BinaryHeap<Waiting>,
    orders: u64,
    backlog: Duration,
    leaving: bool,
    cache: VecDeque<u64>,
    events: VecDeque<(u64, Instant, CacheChange)>,
    event_number: u64,
    reports: VecDeque<(Instant, EngineLoad)>,
}

/// The shared state of a stand-in engine.
#[derive(Clone)]
pub struct EngineState {
    options: Arc<EngineOptions>,
    inner: Arc<Mutex<Inner>>,
}

/// Work in the queue or in a slot; its part of the backlog and its slot go back on drop.
pub struct SlotGuard {
    state: EngineState,
    work: Duration,
    holds_slot: bool,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let mut inner = self.state.inner.lock();
        inner.backlog = inner.backlog.saturating_sub(self.work);
        if self.holds_slot {
            inner.running -= 1;
            let slots = self.state.slots_of(&inner);
            while inner.running < slots {
                let Some(next) = inner.queue.pop() else { break };
                if next.wake.send(()).is_ok() {
                    inner.running += 1;
                }
            }
        }
    }
}

/// How late cache events are published.
const EVENT_LAG: Duration = Duration::from_millis(300);
/// Every n-th cache event is lost.
const LOST_EVENT: u64 = 50;
const MAX_EVENTS: usize = 4_096;

impl EngineState {
    /// An engine that holds nothing yet.
    pub fn new(options: EngineOptions) -> Self {
        Self { options: Arc::new(options), inner: Arc::default() }
    }

    fn slots_of(&self, inner: &Inner) -> u32 {
        let profiles = inner.models.values().filter_map(|held| held.profile.as_ref());
        profiles.map(|profile| profile.slots).max().unwrap_or(1)
    }

    /// The profile of a model that is ready.
    pub fn profile(&self, model: &str) -> Option<ModelProfile> {
        self.inner.lock().models.get(model)?.profile.clone()
    }

    /// Whether it takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.inner.lock().leaving
    }

    /// Takes no new work from now on.
    pub fn set_leaving(&self) {
        self.inner.lock().leaving = true;
    }

    /// Takes the fence of an order in; returns false when it is older than the last.
    pub fn pass_fence(&self, fence: OrderFence) -> bool {
        let mut inner = self.inner.lock();
        if self.options.checks_fences && fence <= inner.fence {
            return false;
        }
        inner.fence = inner.fence.max(fence);
        true
    }

    /// Starts to load a model; returns false when it is held or being loaded.
    pub fn begin_load(&self, model: &str, version: &str) -> bool {
        let mut inner = self.inner.lock();
        if inner.models.get(model).is_some_and(|held| held.version == version) {
            return false;
        }
        let version = version.to_owned();
        inner.models.insert(model.to_owned(), HeldEntry { version, profile: None });
        true
    }

    /// Ends the loading of a model.
    pub fn end_load(&self, model: &str, profile: Option<ModelProfile>) {
        let mut inner = self.inner.lock();
        match profile {
            Some(profile) => {
                if let Some(held) = inner.models.get_mut(model) {
                    held.profile = Some(profile);
                }
            }
            None => drop(inner.models.remove(model)),
        }
    }

    /// Drops a model.
    pub fn unload(&self, model: &str, version: &str) {
        let mut inner = self.inner.lock();
        if inner.models.get(model).is_some_and(|held| held.version == version) {
            inner.models.remove(model);
        }
    }

    /// Waits for a slot, those of higher priority first.
    pub async fn enter(&self, priority: u64, work: Duration) -> SlotGuard {
        let mut guard = SlotGuard { state: self.clone(), work, holds_slot: false };
        let waiting = {
            let mut inner = self.inner.lock();
            inner.backlog += work;
            if inner.running < self.slots_of(&inner) {
                inner.running += 1;
                guard.holds_slot = true;
                return guard;
            }
            let (wake, waiting) = oneshot::channel();
            inner.orders += 1;
            let order = inner.orders;
            inner.queue.push(Waiting { priority, order, wake });
            waiting
        };
        let mut woken = WokenGuard { waiting, guard: Some(guard) };
        (&mut woken.waiting).await.expect("the queue wakes every waiter");
        let mut guard = woken.guard.take().expect("it is taken once");
        guard.holds_slot = true;
        guard
    }

    /// Tokens of a prompt that the cache holds; its blocks are held from now on.
    pub fn use_cache(&self, blocks: &[u64]) -> u64 {
        let mut inner = self.inner.lock();
        let held = blocks.iter().take_while(|block| inner.cache.contains(block)).count();
        let mut stored = Vec::new();
        for block in blocks {
            if let Some(at) = inner.cache.iter().position(|it| it == block) {
                inner.cache.remove(at);
            } else {
                stored.push(*block);
            }
            inner.cache.push_back(*block);
        }
        let excess = inner.cache.len().saturating_sub(self.options.cache_blocks);
        let evicted: Vec<u64> = inner.cache.drain(..excess).collect();
        for change in [CacheChange::Stored(stored), CacheChange::Evicted(evicted)] {
            let (CacheChange::Stored(list) | CacheChange::Evicted(list)) = &change;
            if !list.is_empty() {
                inner.event_number += 1;
                let number = inner.event_number;
                if !number.is_multiple_of(LOST_EVENT) {
                    inner.events.push_back((number, Instant::now(), change));
                }
            }
        }
        let excess = inner.events.len().saturating_sub(MAX_EVENTS);
        inner.events.drain(..excess);
        (held * foldhaven_core::prefix::BLOCK_BYTES / foldhaven_core::prefix::BYTES_PER_TOKEN)
            as u64
    }

    /// The cache events after a number, as far as they are published.
    pub fn cache_events(&self, after: u64) -> CacheEventPage {
        let inner = self.inner.lock();
        let published = inner.events.iter().filter(|(_, at, _)| at.elapsed() > EVENT_LAG);
        let events: Vec<_> = published
            .filter(|(number, ..)| *number > after)
            .map(|(number, _, change)| (*number, change.clone()))
            .collect();
        let last = events.last().map_or(after, |(number, _)| *number);
        CacheEventPage { events, last }
    }

    /// Work of a request that was done, and no longer is in the backlog.
    pub fn work_off(&self, guard: &mut SlotGuard, done: Duration) {
        let done = done.min(guard.work);
        guard.work -= done;
        let mut inner = self.inner.lock();
        inner.backlog = inner.backlog.saturating_sub(done);
    }

    /// Requests in slots and in the queue.
    pub fn busy(&self) -> (u32, u32) {
        let inner = self.inner.lock();
        let queued = inner.queue.iter().filter(|waiting| !waiting.wake.is_closed()).count();
        (inner.running, queued as u32)
    }

    /// Notes the present load, to be reported later.
    pub fn note_report(&self) {
        let (running, queued) = self.busy();
        let mut inner = self.inner.lock();
        let held = |(name, held): (&String, &HeldEntry)| HeldModel {
            model: name.parse().expect("a model name"),
            version: held.version.clone(),
            ready: held.profile.is_some(),
        };
        let load = EngineLoad {
            engine: self.options.name.parse().expect("an engine name"),
            incarnation: self.options.incarnation,
            age_ms: 0,
            running,
            queued,
            backlog_ms: inner.backlog.as_millis() as u32,
            slots: self.slots_of(&inner),
            models: inner.models.iter().map(held).collect(),
            fence: inner.fence,
            leaving: inner.leaving,
        };
        inner.reports.push_back((Instant::now(), load));
        while inner.reports.len() > 64 {
            inner.reports.pop_front();
        }
    }

    /// The newest report that is at least as old as the lag.
    pub fn report(&self) -> Option<EngineLoad> {
        let inner = self.inner.lock();
        let old =
            inner.reports.iter().rev().find(|(at, _)| at.elapsed() >= self.options.report_lag);
        old.map(|(at, load)| EngineLoad { age_ms: at.elapsed().as_millis() as u32, ..load.clone() })
    }
}

/// A waiter that is dropped after it was woken gives its slot to the next.
struct WokenGuard {
    waiting: oneshot::Receiver<()>,
    guard: Option<SlotGuard>,
}

impl Drop for WokenGuard {
    fn drop(&mut self) {
        if let Some(guard) = &mut self.guard {
            guard.holds_slot = self.waiting.try_recv().is_ok();
        }
    }
}
