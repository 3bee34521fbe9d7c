//! Plans how many upstreams of a region hold a shared segment of prompts.
//!
//! A segment that many upstreams hold takes memory of others at each of them; one that is used more
//! often than its holders have room for is read elsewhere again. So a segment gets as many holders as
//! use it often enough to keep it, and the others don't.

use std::num::NonZeroUsize;

use lru::LruCache;

use crate::opaque::affinity::{MAX_SEGMENTS, PromptPlacement};

/// The maximum number of planned holders. The upstreams are drawn by the key of the segment, and no
/// more are drawn.
pub const MAX_PLANNED_HOLDERS: usize = 16;
/// How often a holder uses a segment while its cache is filled anew. With uses at random times, the
/// segment is evicted between two of them in 5 of 100 cases.
const USES_PER_TURNOVER: f64 = 3.0;
/// The prompt tokens after which earlier uses count 1/e.
const MEMORY_TOKENS: f64 = 8_000_000.0;
/// With fewer prompt tokens seen, the rate of a segment says little.
const MIN_SEEN_TOKENS: f64 = 1_000_000.0;

/// Counts the uses of shared segments by the requests of this VM.
///
/// VMs have about the same mix of requests, so that each can tell from its own how often a segment is
/// used for each token that all of them send.
#[derive(Debug)]
pub struct SegmentUses {
    segments: LruCache<u64, RecentUses>,
    /// The prompt tokens that belonged to one request alone, of all requests.
    seen_tokens: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct RecentUses {
    count: f64,
    /// The tokens that had been seen at the last use.
    counted_at: f64,
}

impl RecentUses {
    fn at(&self, seen_tokens: f64) -> f64 {
        self.count * (-(seen_tokens - self.counted_at) / MEMORY_TOKENS).exp()
    }
}

impl Default for SegmentUses {
    fn default() -> Self {
        let capacity = NonZeroUsize::new(MAX_SEGMENTS).expect("not zero");
        Self { segments: LruCache::new(capacity), seen_tokens: 0.0 }
    }
}

impl SegmentUses {
    /// Records that a prompt was sent to an upstream.
    pub fn record(&mut self, placement: &PromptPlacement) {
        self.seen_tokens += f64::from(placement.unshared_tokens);
        let seen_tokens = self.seen_tokens;
        for segment in &placement.shared {
            let uses = self.segments.get_or_insert_mut(segment.key, RecentUses::default);
            *uses = RecentUses { count: uses.at(seen_tokens) + 1.0, counted_at: seen_tokens };
        }
    }

    /// Returns the number of upstreams that are planned to hold the segment with a key, a power of
    /// two, so that VMs that have counted a little differently plan the same. `cache_tokens` is the
    /// memory for prompts of all upstreams of the region that running requests leave.
    pub fn holders(&self, key: u64, cache_tokens: u64) -> usize {
        let Some(uses) = self.segments.peek(&key) else { return 1 };
        let count = uses.at(self.seen_tokens);
        // A single use does not tell a rate.
        let certain = (count - count.sqrt()).max(0.0);
        let window = self.seen_tokens.clamp(MIN_SEEN_TOKENS, MEMORY_TOKENS);
        let uses_per_turnover = certain / window * cache_tokens as f64;
        let holders = (uses_per_turnover / USES_PER_TURNOVER) as usize;
        let holders = holders.clamp(1, MAX_PLANNED_HOLDERS);
        1 << holders.ilog2()
    }
}
