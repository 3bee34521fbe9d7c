//! Which requests share the start of a prompt, and which upstreams probably hold it.

use std::collections::HashMap;
use std::num::NonZeroUsize;

use lru::LruCache;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{UpstreamBirth, UpstreamName};

/// How many shared parts are remembered.
const MAX_PARTS: NonZeroUsize = NonZeroUsize::new(8_192).expect("not zero");
/// The part of an upstream's memory after which older parts are taken for dropped: running requests
/// use some of it, and placements of VMs that are not heard are missing.
const USABLE_MEMORY: f64 = 0.7;

/// A shared part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptSegment {
    /// The hash of this part and all before it; equal for prompts that share them all.
    pub key: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// The prompt of a request, as its caller outlines it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptOutline {
    /// The parts that other prompts may share, in order.
    pub shared: Vec<PromptSegment>,
    /// The tokens of the part that belongs to the request alone.
    pub own_tokens: u32,
}

impl PromptOutline {
    /// Reads parts in order, each an id and its tokens; the last one is the request's own.
    ///
    /// Gives nothing when there are no parts, or when one has no readable number of tokens.
    pub fn parse(text: &str) -> Option<Self> {
        let mut outline = Self::default();
        let mut chain = 0;
        for part in text.split(',') {
            let (id, tokens) = part.trim().rsplit_once(':')?;
            chain = xxh3_64_with_seed(id.as_bytes(), chain);
            outline.shared.push(PromptSegment { key: chain, tokens: tokens.parse().ok()? });
        }
        outline.own_tokens = outline.shared.pop()?.tokens;
        Some(outline)
    }

    /// The tokens of the shared parts.
    pub fn shared_tokens(&self) -> u32 {
        self.shared.iter().map(|part| part.tokens).sum()
    }

    /// The key by which prompts with the same shared parts meet.
    pub fn affinity_key(&self) -> Option<u64> {
        self.shared.last().map(|part| part.key)
    }
}

/// One life of an upstream in messages between VMs: the hash of its name and of its birth. What is told of an earlier
/// life names another tag, and so never counts for a later one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UpstreamTag(pub u32);

impl UpstreamTag {
    /// The tag of the life of an upstream that began at its birth.
    pub fn of(name: &UpstreamName, birth: UpstreamBirth) -> Self {
        Self(xxh3_64_with_seed(name.as_str().as_bytes(), birth.0) as u32)
    }
}

/// A prompt that was sent to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPlacement {
    /// The upstream.
    pub upstream: UpstreamTag,
    /// The shared parts.
    pub shared: Vec<PromptSegment>,
    /// The tokens of the request's own part and of the longest answer.
    pub own_tokens: u32,
}

/// Which upstreams probably hold which shared parts. Nothing but speed depends on it.
///
/// An upstream drops the parts that were unused longest when its memory is full. So a part counts as
/// held until so many other tokens have been sent there that they fill the memory.
pub struct PrefixCacheIndex {
    /// By the key of a part: what `written` was for each upstream when the part was sent there.
    parts: LruCache<u64, HashMap<UpstreamTag, u64>>,
    /// The tokens that each upstream has had to take up since it was first heard of.
    written: HashMap<UpstreamTag, u64>,
}

impl Default for PrefixCacheIndex {
    fn default() -> Self {
        Self { parts: LruCache::new(MAX_PARTS), written: HashMap::new() }
    }
}

impl PrefixCacheIndex {
    /// Takes in that a prompt was sent to an upstream.
    pub fn record(&mut self, placement: &PromptPlacement) {
        let tag = placement.upstream;
        let mut written = self.written.get(&tag).copied().unwrap_or_default();
        for part in &placement.shared {
            let holders = self.parts.get_or_insert_mut(part.key, HashMap::new);
            let is_new = holders.insert(tag, written).is_none();
            written += if is_new { u64::from(part.tokens) } else { 0 };
        }
        written += u64::from(placement.own_tokens);
        self.written.insert(tag, written);
    }

    /// The tokens of the shared parts that an upstream with so much memory probably holds.
    pub fn cached_tokens(&self, tag: UpstreamTag, shared: &[PromptSegment], memory: u64) -> u32 {
        let written = self.written.get(&tag).copied().unwrap_or_default();
        let limit = (memory as f64 * USABLE_MEMORY) as u64;
        let is_held = |part: &&PromptSegment| {
            let noted = self.parts.peek(&part.key).and_then(|holders| holders.get(&tag));
            noted.is_some_and(|noted| written - noted < limit)
        };
        shared.iter().take_while(is_held).map(|part| part.tokens).sum()
    }

    /// Forgets an upstream that has ended.
    pub fn remove(&mut self, tag: UpstreamTag) {
        self.written.remove(&tag);
        for (_, holders) in self.parts.iter_mut() {
            holders.remove(&tag);
        }
    }
}
