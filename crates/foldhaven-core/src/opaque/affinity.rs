//! Finds out which requests share a prompt prefix and which upstreams probably have it cached.

use std::collections::HashMap;
use std::num::NonZeroUsize;

use lru::LruCache;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{UpstreamName, UpstreamStartTime};

/// Maximum number of shared segments to keep track of.
pub const MAX_SEGMENTS: usize = 8_192;
/// Maximum number of upstreams to keep track of for one segment, the most recent ones. They bound
/// the memory of a segment that thousands of upstreams have cached.
pub const MAX_HOLDERS: usize = 64;
/// The fraction of an upstream's prompt cache after which older segments are assumed to be evicted.
/// It is below 1 because the answers of running requests use some of the cache, and placements by
/// unreachable VMs are unknown.
const USABLE_CACHE: f64 = 0.9;

/// A segment of a prompt that other prompts may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptSegment {
    /// The hash of this segment and all before it. It is equal for prompts that share all of them.
    pub key: u64,
    /// The number of tokens in the segment.
    pub tokens: u32,
}

/// The structure of a request's prompt, as announced by the caller.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptOutline {
    /// The segments that other prompts may share, in order.
    pub shared: Vec<PromptSegment>,
    /// The number of tokens in the segment that belongs to this request alone.
    pub unshared_tokens: u32,
}

impl PromptOutline {
    /// Parses comma-separated segments `ID:TOKENS` in order; the last one is the request's own.
    ///
    /// Returns `None` if there are no segments or one has no valid number of tokens.
    pub fn parse(text: &str) -> Option<Self> {
        let mut outline = Self::default();
        let mut prefix_hash = 0;
        for segment in text.split(',') {
            let (id, tokens) = segment.trim().rsplit_once(':')?;
            prefix_hash = xxh3_64_with_seed(id.as_bytes(), prefix_hash);
            outline.shared.push(PromptSegment { key: prefix_hash, tokens: tokens.parse().ok()? });
        }
        outline.unshared_tokens = outline.shared.pop()?.tokens;
        Some(outline)
    }

    /// Returns the ids of the segments that other prompts may share, given the text that
    /// [`PromptOutline::parse`] reads.
    pub fn shared_ids(text: &str) -> impl Iterator<Item = &str> {
        let mut segments = text.split(',');
        segments.next_back();
        segments.filter_map(|segment| Some(segment.trim().rsplit_once(':')?.0))
    }

    /// Returns the number of tokens in the shared segments.
    pub fn shared_tokens(&self) -> u32 {
        self.shared.iter().map(|segment| segment.tokens).sum()
    }

    /// Returns the key that prompts with the same shared segments have in common; `None` without
    /// shared segments.
    pub fn affinity_key(&self) -> Option<u64> {
        self.shared.last().map(|segment| segment.key)
    }
}

/// Identifies one incarnation of an upstream in messages between VMs, by a hash of its name and
/// start time. Messages about an earlier incarnation have another tag and so never apply to a later
/// one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UpstreamTag(pub u32);

impl UpstreamTag {
    /// Returns the tag of the incarnation of an upstream that started at `birth`.
    pub fn of(name: &UpstreamName, birth: UpstreamStartTime) -> Self {
        RingPosition::of(name, birth).tag()
    }
}

/// The position of one incarnation of an upstream on a hash ring. Positions are spread evenly, so
/// that the upstreams that follow any position are a random sample, and all VMs that start at the
/// same position find the same ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RingPosition(pub u64);

impl RingPosition {
    /// Returns the position of the incarnation of an upstream that started at `birth`.
    pub fn of(name: &UpstreamName, birth: UpstreamStartTime) -> Self {
        // The upper half is the tag, so that upstreams can be looked up by it.
        Self(xxh3_64_with_seed(name.as_str().as_bytes(), birth.0).rotate_left(32))
    }

    /// Returns the first position that upstreams with a tag may have.
    pub fn first_of(tag: UpstreamTag) -> Self {
        Self(u64::from(tag.0) << 32)
    }

    /// Returns the tag of the upstream.
    pub fn tag(self) -> UpstreamTag {
        UpstreamTag((self.0 >> 32) as u32)
    }
}

/// A prompt that was sent to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPlacement {
    /// The upstream.
    pub upstream: UpstreamTag,
    /// The shared segments of the prompt.
    pub shared: Vec<PromptSegment>,
    /// The number of prompt tokens that belong to this request alone.
    #[serde(rename = "own_tokens")]
    pub unshared_tokens: u32,
}

/// Estimates which upstreams have which shared segments cached. Errors cost speed, not correctness.
///
/// An upstream evicts the least recently used segments when its cache is full. A segment is
/// therefore assumed to be cached until enough other tokens to fill the cache were sent to the
/// upstream.
pub struct PrefixCacheIndex {
    /// The holders of each segment by its key, the most recent one last.
    segments: LruCache<u64, Vec<SegmentHolder>>,
    /// The number of tokens that each upstream had to cache since its first recorded placement.
    written: HashMap<UpstreamTag, u64>,
}

/// An upstream to which a segment was sent.
#[derive(Debug, Clone, Copy)]
struct SegmentHolder {
    upstream: UpstreamTag,
    /// The number of tokens that it had had to cache when the segment was last sent there.
    written_before: u64,
}

impl Default for PrefixCacheIndex {
    fn default() -> Self {
        Self {
            segments: LruCache::new(NonZeroUsize::new(MAX_SEGMENTS).expect("not zero")),
            written: HashMap::new(),
        }
    }
}

impl PrefixCacheIndex {
    /// Records that a prompt was sent to an upstream. `capacity` is the size of its prompt cache in
    /// tokens.
    pub fn record(&mut self, placement: &PromptPlacement, capacity: u64) {
        let upstream = placement.upstream;
        let limit = usable_tokens(capacity);
        let mut written = self.written.get(&upstream).copied().unwrap_or_default();
        for segment in &placement.shared {
            let holders = self.segments.get_or_insert_mut(segment.key, Vec::new);
            let held = holders.iter().position(|holder| holder.upstream == upstream);
            let since = held.map(|at| written.saturating_sub(holders.remove(at).written_before));
            if since.is_none() && holders.len() >= MAX_HOLDERS {
                holders.remove(0);
            }
            holders.push(SegmentHolder { upstream, written_before: written });
            written += since.map_or(u64::from(segment.tokens), |since| {
                renewed_tokens(segment.tokens, since, limit)
            });
        }
        written += u64::from(placement.unshared_tokens);
        self.written.insert(upstream, written);
    }

    /// Returns the upstreams to which the longest known prefix of the segments was sent, the most
    /// recent one first.
    pub fn holders(&self, shared: &[PromptSegment]) -> impl Iterator<Item = UpstreamTag> {
        let mut known = shared.iter().rev().filter_map(|segment| self.segments.peek(&segment.key));
        let longest = known.find(|holders| !holders.is_empty());
        let holders = longest.into_iter().flat_map(|holders| holders.iter().rev());
        holders.map(|holder| holder.upstream)
    }

    /// Returns the upstreams to which the segment with a key was sent.
    pub fn holders_of(&self, key: u64) -> impl Iterator<Item = UpstreamTag> {
        let holders = self.segments.peek(&key).into_iter().flatten();
        holders.map(|holder| holder.upstream)
    }

    /// Returns the number of leading tokens of the shared segments that an upstream probably has
    /// cached. `capacity` is the size of its prompt cache in tokens.
    pub fn cached_tokens(&self, tag: UpstreamTag, shared: &[PromptSegment], capacity: u64) -> u32 {
        let Some(written) = self.written.get(&tag) else { return 0 };
        let limit = usable_tokens(capacity);
        let is_cached = |segment: &&PromptSegment| {
            let holders = self.segments.peek(&segment.key);
            let holder = holders.and_then(|it| it.iter().find(|holder| holder.upstream == tag));
            let since = holder.and_then(|holder| written.checked_sub(holder.written_before));
            since.is_some_and(|since| since < limit)
        };
        shared.iter().take_while(is_cached).map(|segment| segment.tokens).sum()
    }

    /// Returns the upstream from which to fetch shared segments, and how many tokens it probably has
    /// beyond the first `present`, which are there already. `capacity_of` returns the prompt cache of
    /// an upstream in tokens, `None` if nothing may be fetched from it.
    pub fn best_source(
        &self,
        shared: &[PromptSegment],
        present: u32,
        capacity_of: impl Fn(UpstreamTag) -> Option<u64>,
    ) -> Option<(UpstreamTag, u32)> {
        let sources = self.holders(shared).filter_map(|tag| {
            let cached = self.cached_tokens(tag, shared, capacity_of(tag)?);
            Some((tag, cached.checked_sub(present).filter(|tokens| *tokens > 0)?))
        });
        sources.max_by_key(|(_, tokens)| *tokens)
    }

    /// Removes an upstream that has exited.
    pub fn remove(&mut self, tag: UpstreamTag) {
        // Its entries among the holders no longer count, and are displaced by later ones.
        self.written.remove(&tag);
    }
}

/// Returns the tokens of a prompt cache after which older segments are assumed to be evicted.
fn usable_tokens(capacity: u64) -> u64 {
    (capacity as f64 * USABLE_CACHE) as u64
}

/// Returns by how many tokens a segment that is used again brings others closer to eviction, in the
/// mean: those used since its last use, which was `since` tokens ago. All of them, if it was evicted
/// meanwhile and is read again.
fn renewed_tokens(tokens: u32, since: u64, limit: u64) -> u64 {
    let share = since as f64 / limit.max(1) as f64;
    (f64::from(tokens) * share.min(1.0)) as u64
}
