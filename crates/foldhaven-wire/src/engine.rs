//! The API of model engines: completions as server-sent events, load reports, cache events and
//! orders.
//!
//! `POST /v1/completions` streams [`crate::caller::CompletionChunk`]s. `GET /load` returns an
//! [`foldhaven_core::load::EngineLoad`], `GET /cache-events?after=N` a [`CacheEventPage`], and
//! `POST /orders` accepts an [`foldhaven_core::placement::EngineOrder`].
//!
//! An engine that refuses a request answers 503 and repeats the attempt id in the
//! [`foldhaven_core::headers::REFUSED_ATTEMPT`] header. It has then recorded that it will not run
//! the attempt. Closing the connection cancels a request.

use serde::{Deserialize, Serialize};

/// A completion request to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRequest {
    /// The model.
    pub model: String,
    /// The prompt as a single text.
    pub prompt: String,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u64,
    /// Whether to stream the answer. Daemons always set this to true.
    pub stream: bool,
}

/// A change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// Hashes of blocks that were added.
    Stored(Vec<u64>),
    /// Hashes of blocks that were removed.
    Evicted(Vec<u64>),
}

/// Cache events in order of their numbers. A missing number means that events were lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventPage {
    /// The events, each with its number.
    pub events: Vec<(u64, CacheChange)>,
    /// The number to pass as `after` in the next request.
    pub last: u64,
}
