//! Bounds the memory of the requests that wait at a VM.
//!
//! In an overload, prompts of some ten kilobytes arrive faster than they leave. The least urgent ones
//! are refused first, so that they do not fill the memory that more urgent ones need.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::opaque::priority_level::{LEVEL_COUNT, PriorityLevel};

/// The default limit: a fifth of the memory of a small VM, which has 160 MB.
pub const DEFAULT_WAITING_BYTES: usize = 32 << 20;
/// The memory of a waiting request beside its body: its headers, the buffers of its connection and
/// its state.
pub const REQUEST_BYTES: usize = 32 << 10;
/// The share of the limit that the least urgent requests may not use.
const RESERVED_SHARE: f64 = 0.5;

/// Counts the memory of the requests that wait.
#[derive(Debug)]
pub struct WaitingMemory {
    limit: usize,
    used: AtomicUsize,
}

impl Default for WaitingMemory {
    fn default() -> Self {
        Self::new(DEFAULT_WAITING_BYTES)
    }
}

impl WaitingMemory {
    /// Creates a counter with a limit in bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, used: AtomicUsize::new(0) }
    }

    /// Returns the memory in use, in bytes.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Takes the memory of a request with a body of `body` bytes until the guard is dropped. `None`
    /// if there is too little for its level.
    pub fn take(self: &Arc<Self>, level: PriorityLevel, body: usize) -> Option<WaitingBytes> {
        let bytes = REQUEST_BYTES.saturating_add(body);
        let limit = self.limit_of(level);
        let add = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= limit);
        self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).ok()?;
        Some(WaitingBytes { memory: self.clone(), bytes })
    }

    /// Returns the memory that requests of a level may fill.
    fn limit_of(&self, level: PriorityLevel) -> usize {
        let urgency = level.index() as f64 / (LEVEL_COUNT - 1) as f64;
        (self.limit as f64 * (1.0 - RESERVED_SHARE * urgency)) as usize
    }
}

/// The memory of one waiting request, released when it is dropped.
#[derive(Debug)]
pub struct WaitingBytes {
    memory: Arc<WaitingMemory>,
    bytes: usize,
}

impl Drop for WaitingBytes {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
