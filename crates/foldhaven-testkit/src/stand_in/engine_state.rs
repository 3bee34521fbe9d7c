//! State of a stand-in engine: slots, queue, prefix cache, models and delayed load reports.

use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use foldhaven_core::load::{EngineLoad, HeldModel, OrderFence};
use foldhaven_wire::engine::{CacheChange, CacheEventPage};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// Performance of a model, as the weight store returns it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelProfile {
    /// Prefill rate in prompt tokens per second.
    pub prefill: f64,
    /// Decode rate of one slot in tokens per second.
    pub decode: f64,
    /// Maximum number of requests processed at once.
    pub slots: u32,
}

/// Settings of one stand-in engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Name of the engine.
    pub name: String,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Minimum age of the load reports that the engine returns.
    pub report_lag: Duration,
    /// Whether the engine refuses orders whose fence is not newer than the last one.
    pub checks_fences: bool,
    /// Incarnation of the process, as in the platform's list of upstreams.
    pub incarnation: u64,
}

/// A model that is loaded, or being loaded while `profile` is `None`.
#[derive(Debug)]
struct ModelEntry {
    version: String,
    profile: Option<ModelProfile>,
}

/// A request that waits for a slot. Requests of equal priority get slots in the order of arrival.
struct QueuedRequest {
    priority: u64,
    sequence: u64,
    wake: oneshot::Sender<()>,
}

impl PartialEq for QueuedRequest {
    fn eq(&self, other: &Self) -> bool {
        (self.priority, self.sequence) == (other.priority, other.sequence)
    }
}

impl Eq for QueuedRequest {}

impl PartialOrd for QueuedRequest {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedRequest {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.priority.cmp(&other.priority).then(other.sequence.cmp(&self.sequence))
    }
}

#[derive(Default)]
struct EngineInner {
    models: BTreeMap<String, ModelEntry>,
    fence: OrderFence,
    running: u32,
    queue: BinaryHeap<QueuedRequest>,
    last_sequence: u64,
    backlog: Duration,
    leaving: bool,
    cache: VecDeque<u64>,
    events: VecDeque<(u64, Instant, CacheChange)>,
    last_event_number: u64,
    reports: VecDeque<(Instant, EngineLoad)>,
}

/// Shared state of a stand-in engine.
#[derive(Clone)]
pub struct EngineState {
    options: Arc<EngineOptions>,
    inner: Arc<Mutex<EngineInner>>,
}

/// A request in the queue or in a slot. Dropping it removes its remaining work from the backlog and
/// releases its slot.
pub struct SlotGuard {
    state: EngineState,
    remaining_work: Duration,
    has_slot: bool,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let mut inner = self.state.inner.lock();
        inner.backlog = inner.backlog.saturating_sub(self.remaining_work);
        if self.has_slot {
            inner.running -= 1;
            let slots = self.state.slot_count(&inner);
            while inner.running < slots {
                let Some(next) = inner.queue.pop() else { break };
                if next.wake.send(()).is_ok() {
                    inner.running += 1;
                }
            }
        }
    }
}

/// Delay after which cache events are published.
const CACHE_EVENT_DELAY: Duration = Duration::from_millis(300);
/// Every n-th cache event is dropped, to simulate lost events.
const CACHE_EVENT_LOSS_INTERVAL: u64 = 50;
/// Maximum number of cache events that are kept.
const MAX_CACHE_EVENTS: usize = 4_096;

impl EngineState {
    /// Creates an engine without models.
    pub fn new(options: EngineOptions) -> Self {
        Self { options: Arc::new(options), inner: Arc::default() }
    }

    fn slot_count(&self, inner: &EngineInner) -> u32 {
        let profiles = inner.models.values().filter_map(|entry| entry.profile.as_ref());
        profiles.map(|profile| profile.slots).max().unwrap_or(1)
    }

    /// Returns the profile of a model, or `None` if the model is not loaded.
    pub fn profile(&self, model: &str) -> Option<ModelProfile> {
        self.inner.lock().models.get(model)?.profile.clone()
    }

    /// Returns whether the engine refuses new requests.
    pub fn is_leaving(&self) -> bool {
        self.inner.lock().leaving
    }

    /// Refuses new requests from now on.
    pub fn set_leaving(&self) {
        self.inner.lock().leaving = true;
    }

    /// Records the fence of an order. Returns false, if fences are checked, for a fence that is not
    /// newer than the last one.
    pub fn accept_fence(&self, fence: OrderFence) -> bool {
        let mut inner = self.inner.lock();
        if self.options.checks_fences && fence <= inner.fence {
            return false;
        }
        inner.fence = inner.fence.max(fence);
        true
    }

    /// Marks a model as being loaded. Returns false if this version is already loaded or being
    /// loaded.
    pub fn start_loading(&self, model: &str, version: &str) -> bool {
        let mut inner = self.inner.lock();
        if inner.models.get(model).is_some_and(|entry| entry.version == version) {
            return false;
        }
        let version = version.to_owned();
        inner.models.insert(model.to_owned(), ModelEntry { version, profile: None });
        true
    }

    /// Finishes loading a model. A `profile` of `None` means that the weights could not be fetched.
    pub fn finish_loading(&self, model: &str, profile: Option<ModelProfile>) {
        let mut inner = self.inner.lock();
        match profile {
            Some(profile) => {
                if let Some(entry) = inner.models.get_mut(model) {
                    entry.profile = Some(profile);
                }
            }
            None => drop(inner.models.remove(model)),
        }
    }

    /// Unloads a model if it has this version.
    pub fn unload(&self, model: &str, version: &str) {
        let mut inner = self.inner.lock();
        if inner.models.get(model).is_some_and(|entry| entry.version == version) {
            inner.models.remove(model);
        }
    }

    /// Waits for a slot. Requests with a higher priority get slots first.
    pub async fn acquire_slot(&self, priority: u64, remaining_work: Duration) -> SlotGuard {
        let mut guard = SlotGuard { state: self.clone(), remaining_work, has_slot: false };
        let waiting = {
            let mut inner = self.inner.lock();
            inner.backlog += remaining_work;
            if inner.running < self.slot_count(&inner) {
                inner.running += 1;
                guard.has_slot = true;
                return guard;
            }
            let (wake, waiting) = oneshot::channel();
            inner.last_sequence += 1;
            let sequence = inner.last_sequence;
            inner.queue.push(QueuedRequest { priority, sequence, wake });
            waiting
        };
        let mut waiter = QueuedWaiter { waiting, guard: Some(guard) };
        (&mut waiter.waiting).await.expect("the queue wakes every waiting request");
        let mut guard = waiter.guard.take().expect("the guard is taken only once");
        guard.has_slot = true;
        guard
    }

    /// Returns the number of prompt tokens that were cached, and caches all blocks of the prompt.
    pub fn cache_prompt(&self, blocks: &[u64]) -> u64 {
        let mut inner = self.inner.lock();
        let cached_blocks = blocks.iter().take_while(|block| inner.cache.contains(block)).count();
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
                inner.last_event_number += 1;
                let number = inner.last_event_number;
                if !number.is_multiple_of(CACHE_EVENT_LOSS_INTERVAL) {
                    inner.events.push_back((number, Instant::now(), change));
                }
            }
        }
        let excess = inner.events.len().saturating_sub(MAX_CACHE_EVENTS);
        inner.events.drain(..excess);
        (cached_blocks * foldhaven_core::prefix::BLOCK_BYTES
            / foldhaven_core::prefix::BYTES_PER_TOKEN) as u64
    }

    /// Returns the published cache events whose number is greater than `after`.
    pub fn cache_events(&self, after: u64) -> CacheEventPage {
        let inner = self.inner.lock();
        let published = inner.events.iter().filter(|(_, at, _)| at.elapsed() > CACHE_EVENT_DELAY);
        let events: Vec<_> = published
            .filter(|(number, ..)| *number > after)
            .map(|(number, _, change)| (*number, change.clone()))
            .collect();
        let last = events.last().map_or(after, |(number, _)| *number);
        CacheEventPage { events, last }
    }

    /// Removes completed work of a request from the backlog.
    pub fn complete_work(&self, guard: &mut SlotGuard, done: Duration) {
        let done = done.min(guard.remaining_work);
        guard.remaining_work -= done;
        let mut inner = self.inner.lock();
        inner.backlog = inner.backlog.saturating_sub(done);
    }

    /// Returns the number of running and of queued requests.
    pub fn request_counts(&self) -> (u32, u32) {
        let inner = self.inner.lock();
        let queued = inner.queue.iter().filter(|waiting| !waiting.wake.is_closed()).count();
        (inner.running, queued as u32)
    }

    /// Records the current load, which is reported later.
    pub fn record_report(&self) {
        let (running, queued) = self.request_counts();
        let mut inner = self.inner.lock();
        let held_model = |(name, entry): (&String, &ModelEntry)| HeldModel {
            model: name.parse().expect("a valid model name"),
            version: entry.version.clone(),
            ready: entry.profile.is_some(),
        };
        let load = EngineLoad {
            engine: self.options.name.parse().expect("a valid engine name"),
            incarnation: self.options.incarnation,
            age_ms: 0,
            running,
            queued,
            backlog_ms: inner.backlog.as_millis() as u32,
            slots: self.slot_count(&inner),
            models: inner.models.iter().map(held_model).collect(),
            fence: inner.fence,
            leaving: inner.leaving,
        };
        inner.reports.push_back((Instant::now(), load));
        while inner.reports.len() > 64 {
            inner.reports.pop_front();
        }
    }

    /// Returns the newest report that is at least `report_lag` old.
    pub fn report(&self) -> Option<EngineLoad> {
        let inner = self.inner.lock();
        let old =
            inner.reports.iter().rev().find(|(at, _)| at.elapsed() >= self.options.report_lag);
        old.map(|(at, load)| EngineLoad { age_ms: at.elapsed().as_millis() as u32, ..load.clone() })
    }
}

/// A waiting request. If it is dropped after it was woken, its slot goes to the next request.
struct QueuedWaiter {
    waiting: oneshot::Receiver<()>,
    guard: Option<SlotGuard>,
}

impl Drop for QueuedWaiter {
    fn drop(&mut self) {
        if let Some(guard) = &mut self.guard {
            guard.has_slot = self.waiting.try_recv().is_ok();
        }
    }
}
