//! The names of the headers used between callers, this system and upstreams.

use foldhaven_core::opaque::priority_level::PriorityLevel;
use foldhaven_core::opaque::queue_rank::QueueRank;
use http::{HeaderName, HeaderValue};

/// The header names prescribed by a platform.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// The id of a caller's attempt. Upstreams repeat it in their answers.
    pub attempt: HeaderName,
    /// How long the caller will still wait, in milliseconds.
    pub remaining_ms: HeaderName,
    /// Names the intended upstream, so that another process at its address declines the request.
    pub expected_upstream: HeaderName,
    /// Set by an upstream on each success, as proof that it made the answer.
    pub proof: HeaderName,
    /// Set by an upstream that did not run the request and never will.
    pub not_run: HeaderName,
    /// The rate limit of an upstream for all VMs together, as a decimal number of requests per
    /// second.
    pub rate_limit: HeaderName,
    /// Set to 1 by an upstream that is leaving and accepts no new requests.
    pub leaving: HeaderName,
    /// The number of requests that a brittle upstream can decline in a second for want of room. If
    /// it declines more, it crashes.
    pub brittle: HeaderName,
    /// The load of an upstream: the running requests, the waiting ones, the slots, and how long work
    /// takes at this moment as a percentage of the usual time, separated by commas. The percentage
    /// may be absent.
    pub server_load: HeaderName,
    /// Lists the segments of the prompt, each with its id and its number of tokens.
    pub prompt_outline: HeaderName,
    /// The number of prompt tokens and the maximum number of answer tokens.
    pub token_counts: HeaderName,
    /// The number of answer tokens that the caller expects.
    pub length_hint: HeaderName,
    /// The address of the upstream from which another one fetches the cached segments of a prompt.
    pub fetch_from: HeaderName,
    /// The id of the event after which a stream is resumed.
    pub last_event: HeaderName,
    /// The attempt that brought the first event of a stream which the caller resumes.
    pub resumes: HeaderName,
    /// The rank of a request at an upstream. 0 goes first; see [`HeaderNames::rank_value`].
    pub rank: HeaderName,
    /// Names the account of a request to upstreams. Only this system sets it.
    pub account: HeaderName,
    /// The scheme of the authorization header that carries a caller's key.
    pub key_scheme: &'static str,
    /// Headers that only this system may send to upstreams. They are removed from callers'
    /// requests.
    pub reserved: Vec<HeaderName>,
}

impl HeaderNames {
    /// Returns the header value for a request. `None`, for no header, means 5. The value of a
    /// request with a level does not depend on its rank, so that a request that has begun is not
    /// displaced by others of its level.
    pub fn rank_value(rank: QueueRank, level: Option<PriorityLevel>) -> Option<u16> {
        match (level, rank) {
            (Some(level), _) => Some(level.number().into()),
            (None, QueueRank::Timely) => None,
            (None, QueueRank::Deferred) => Some(8),
        }
    }
}

/// Returns the header value of a name or number.
pub(crate) fn text_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("names are plain text")
}
