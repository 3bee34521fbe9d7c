//! What becomes of the shared segments of a prompt at its destination, for logs and counters.

use crate::opaque::affinity::{PrefixCacheIndex, PromptSegment, UpstreamTag};

/// Why an upstream has to read shared segments of a prompt, or that it has not.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PrefixCause {
    /// The prompt has no shared segments, or they are not known.
    #[default]
    None,
    /// All of them are probably cached at the upstream.
    Cached,
    /// The upstream fetches those that it lacks.
    Fetched,
    /// No upstream is known to have them.
    Unknown,
    /// Only upstreams of other regions have them.
    OtherRegion,
    /// The upstreams of this region that had them have probably evicted them.
    Evicted,
    /// Another upstream of this region probably has them.
    PassedOver,
}

impl PrefixCause {
    /// Returns the label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::None => "-",
            Self::Cached => "cached",
            Self::Fetched => "fetched",
            Self::Unknown => "unknown",
            Self::OtherRegion => "other_region",
            Self::Evicted => "evicted",
            Self::PassedOver => "passed_over",
        }
    }
}

impl PrefixCause {
    /// Returns the event that counts the shared tokens that upstreams have to read for this cause;
    /// `None` if they have to read none.
    pub fn event(self) -> Option<&'static str> {
        match self {
            Self::None | Self::Cached | Self::Fetched => None,
            Self::Unknown => Some("prefix_tokens_unknown"),
            Self::OtherRegion => Some("prefix_tokens_other_region"),
            Self::Evicted => Some("prefix_tokens_evicted"),
            Self::PassedOver => Some("prefix_tokens_passed_over"),
        }
    }
}

/// The shared segments of a prompt at its destination.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PrefixUse {
    /// The number of tokens in the shared segments.
    pub shared_tokens: u32,
    /// The number of them that the upstream has to read.
    pub missing_tokens: u32,
    /// Why it has to.
    pub cause: PrefixCause,
}

impl PrefixUse {
    /// Returns the use of shared segments at an upstream that has `missing_tokens` of them to read.
    /// `capacity_of` returns the prompt cache of an upstream of this region in tokens, `None` if the
    /// upstream is not in this region.
    pub fn of(
        index: &PrefixCacheIndex,
        shared: &[PromptSegment],
        missing_tokens: u32,
        is_fetched: bool,
        capacity_of: impl Fn(UpstreamTag) -> Option<u64>,
    ) -> Self {
        let shared_tokens: u32 = shared.iter().map(|segment| segment.tokens).sum();
        let cause = match shared.last() {
            None => PrefixCause::None,
            Some(_) if is_fetched => PrefixCause::Fetched,
            Some(_) if missing_tokens == 0 => PrefixCause::Cached,
            Some(last) => {
                let holders: Vec<UpstreamTag> = index.holders_of(last.key).collect();
                let here = holders.iter().filter_map(|tag| Some((*tag, capacity_of(*tag)?)));
                let cached =
                    here.map(|(tag, capacity)| index.cached_tokens(tag, shared, capacity)).max();
                match cached {
                    None if holders.is_empty() => PrefixCause::Unknown,
                    None => PrefixCause::OtherRegion,
                    Some(cached) if cached >= shared_tokens => PrefixCause::PassedOver,
                    Some(_) => PrefixCause::Evicted,
                }
            }
        };
        Self { shared_tokens, missing_tokens, cause }
    }
}
