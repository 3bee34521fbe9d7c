//! Tests of the gateway's parts that need no process.

mod answer_cache;
mod peer_messages;
mod platform_state;
