//! Which engines probably hold which prompt prefixes.
//!
//! Entries are hints: they come from own dispatches and from cache events that arrive late and
//! with gaps, they expire, and nothing but speed depends on them.

use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::UpstreamName;
use crate::time::MonoTime;

/// The bytes of prompt that make one cached block.
pub const BLOCK_BYTES: usize = 1024;
/// The bytes of prompt that count as one token in estimates.
pub const BYTES_PER_TOKEN: usize = 4;
/// How many blocks of a prompt are looked at.
pub const MAX_BLOCKS: usize = 256;

const BLOCK_TOKENS: u64 = (BLOCK_BYTES / BYTES_PER_TOKEN) as u64;
const MAX_HOLDERS: usize = 8;

/// The estimated tokens of a prompt.
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// The chained hashes of the whole blocks of a prompt: equal hashes stand for equal prefixes.
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
    seen: MonoTime,
}

/// The hints, bounded in number and in age.
pub struct PrefixIndex {
    blocks: LruCache<u64, Vec<BlockHolder>>,
    lifetime: Duration,
}

impl PrefixIndex {
    /// An index of at most `capacity` blocks whose entries last for `lifetime`.
    pub fn new(capacity: NonZeroUsize, lifetime: Duration) -> Self {
        Self { blocks: LruCache::new(capacity), lifetime }
    }

    /// Notes that an engine holds, or is about to hold, these blocks.
    pub fn insert(&mut self, engine: &UpstreamName, blocks: &[u64], now: MonoTime) {
        for block in blocks {
            let holders = self.blocks.get_or_insert_mut(*block, Vec::new);
            holders.retain(|holder| holder.engine != *engine);
            if holders.len() >= MAX_HOLDERS {
                holders.remove(0);
            }
            holders.push(BlockHolder { engine: engine.clone(), seen: now });
        }
    }

    /// Notes that an engine dropped these blocks.
    pub fn remove_blocks(&mut self, engine: &UpstreamName, blocks: &[u64]) {
        for block in blocks {
            if let Some(holders) = self.blocks.peek_mut(block) {
                holders.retain(|holder| holder.engine != *engine);
            }
        }
    }

    /// Forgets all that an engine holds: it restarted, or its events have a gap.
    pub fn remove_engine(&mut self, engine: &UpstreamName) {
        for (_, holders) in self.blocks.iter_mut() {
            holders.retain(|holder| holder.engine != *engine);
        }
    }

    /// The tokens at the start of a prompt that the engine probably holds.
    pub fn cached_tokens(&self, engine: &UpstreamName, blocks: &[u64], now: MonoTime) -> u64 {
        let holds = |block: &&u64| {
            self.blocks.peek(*block).is_some_and(|holders| {
                let fresh = |holder: &BlockHolder| now.since(holder.seen) < self.lifetime;
                holders.iter().any(|holder| holder.engine == *engine && fresh(holder))
            })
        };
        blocks.iter().take_while(holds).count() as u64 * BLOCK_TOKENS
    }
}
