//! What model engines speak: completions as server-sent events, load reports, cache events, orders.
//!
//! `POST /v1/completions` streams [`crate::caller::CompletionChunk`]s. `GET /load` gives an
//! [`foldhaven_core::load::EngineLoad`], `GET /cache-events?after=N` a [`CacheEventPage`], and
//! `POST /orders` takes an [`foldhaven_core::placement::EngineOrder`]. An engine that refuses a
//! request answers 503 and repeats the attempt id in the header of refused attempts; it has then
//! recorded that it will not run it. Closing the connection cancels a request.

use serde::{Deserialize, Serialize};

/// A request to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRequest {
    /// The model.
    pub model: String,
    /// The prompt as one text.
    pub prompt: String,
    /// The most tokens that the answer may have.
    pub max_tokens: u64,
    /// Always true: daemons take answers as streams.
    pub stream: bool,
}

/// One change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// These blocks are now held.
    Stored(Vec<u64>),
    /// These blocks were dropped.
    Evicted(Vec<u64>),
}

/// Cache events in order of their numbers; a missing number is a gap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventPage {
    /// The events with their numbers.
    pub events: Vec<(u64, CacheChange)>,
    /// The number to ask after next time.
    pub last: u64,
}
