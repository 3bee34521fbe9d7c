//! Index of the engines that probably cache a prompt prefix.
//!
//! Entries are hints, and only performance depends on them. They come from this daemon's dispatches
//! and from cache events, which may be late or incomplete, and they expire.

use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::UpstreamName;
use crate::time::MonoTime;

/// Number of prompt bytes per cached block.
pub const BLOCK_BYTES: usize = 1024;
/// Number of prompt bytes that count as one token in estimates.
pub const BYTES_PER_TOKEN: usize = 4;
/// Maximum number of blocks of a prompt that are hashed.
pub const MAX_BLOCKS: usize = 256;

const BLOCK_TOKENS: u64 = (BLOCK_BYTES / BYTES_PER_TOKEN) as u64;
/// Maximum number of engines recorded per block.
const MAX_HOLDERS: usize = 8;

/// Returns the estimated number of tokens of a prompt.
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// Returns the chained hashes of the full blocks of a prompt. Equal hashes mean equal prefixes.
pub fn block_hashes(model: &str, prompt: &str) -> Vec<u64> {
    let mut seed = xxh3_64_with_seed(model.as_bytes(), 0);
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    let chain = |block| {
        seed = xxh3_64_with_seed(block, seed);
        seed
    };
    blocks.map(chain).collect()
}

#[derive(Debug, Clone)]
struct BlockHolder {
    engine: UpstreamName,
    last_seen: MonoTime,
}

/// Engines that probably cache each block, bounded in number and age.
pub struct PrefixIndex {
    blocks: LruCache<u64, Vec<BlockHolder>>,
    ttl: Duration,
}

impl PrefixIndex {
    /// Creates an index of at most `capacity` blocks whose entries expire after `ttl`.
    pub fn new(capacity: NonZeroUsize, ttl: Duration) -> Self {
        Self { blocks: LruCache::new(capacity), ttl }
    }

    /// Records that an engine caches, or is about to cache, the blocks.
    pub fn insert(&mut self, engine: &UpstreamName, blocks: &[u64], now: MonoTime) {
        for block in blocks {
            let holders = self.blocks.get_or_insert_mut(*block, Vec::new);
            holders.retain(|holder| holder.engine != *engine);
            if holders.len() >= MAX_HOLDERS {
                holders.remove(0);
            }
            holders.push(BlockHolder { engine: engine.clone(), last_seen: now });
        }
    }

    /// Records that an engine evicted the blocks.
    pub fn remove_blocks(&mut self, engine: &UpstreamName, blocks: &[u64]) {
        for block in blocks {
            if let Some(holders) = self.blocks.peek_mut(block) {
                holders.retain(|holder| holder.engine != *engine);
            }
        }
    }

    /// Removes all entries of an engine, because it restarted or its events have a gap.
    pub fn remove_engine(&mut self, engine: &UpstreamName) {
        for (_, holders) in self.blocks.iter_mut() {
            holders.retain(|holder| holder.engine != *engine);
        }
    }

    /// Returns the number of tokens at the start of a prompt that the engine probably caches.
    pub fn cached_tokens(&self, engine: &UpstreamName, blocks: &[u64], now: MonoTime) -> u64 {
        let holds = |block: &&u64| {
            self.blocks.peek(*block).is_some_and(|holders| {
                let is_fresh = |holder: &BlockHolder| now.since(holder.last_seen) < self.ttl;
                holders.iter().any(|holder| holder.engine == *engine && is_fresh(holder))
            })
        };
        blocks.iter().take_while(holds).count() as u64 * BLOCK_TOKENS
    }
}
