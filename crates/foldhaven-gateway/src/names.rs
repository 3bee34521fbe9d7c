//! The names of the headers by which callers, this system and upstreams understand each other.

use foldhaven_core::opaque::queue_rank::QueueRank;
use http::HeaderName;

/// The header names that a platform prescribes.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Names a request; upstreams repeat it in their answers.
    pub attempt: HeaderName,
    /// The milliseconds for which the caller goes on waiting.
    pub remaining_ms: HeaderName,
    /// Tells an upstream which process is meant, so that another one at its address declines.
    pub expected_upstream: HeaderName,
    /// Set by an upstream that did not run the request and never will.
    pub not_run: HeaderName,
    /// Names how many requests a second an upstream takes from all VMs together, as a decimal number.
    pub rate_limit: HeaderName,
    /// Set to 1 by an upstream that leaves and takes nothing new.
    pub leaving: HeaderName,
    /// Outlines the parts of the prompt, each an id and its tokens.
    pub prompt_outline: HeaderName,
    /// The tokens of the prompt and of the longest answer.
    pub token_counts: HeaderName,
    /// Names the upstream from which another one takes over what it keeps of a prompt.
    pub fetch_from: HeaderName,
    /// The event after which a stream goes on.
    pub last_event: HeaderName,
    /// The rank of a request at an upstream: 0 goes first; see [`HeaderNames::rank_value`].
    pub rank: HeaderName,
    /// Names the account of a request to upstreams; only this system sets it.
    pub account: HeaderName,
    /// The scheme of the authorization header that carries a caller's key.
    pub key_scheme: &'static str,
    /// Headers that only this system may send to upstreams; taken out of callers' requests.
    pub reserved: Vec<HeaderName>,
}

impl HeaderNames {
    /// What upstreams are told of a request's rank; none stands for 5.
    pub fn rank_value(rank: QueueRank) -> Option<u16> {
        match rank {
            QueueRank::Timely => None,
            QueueRank::Deferred => Some(8),
        }
    }
}
