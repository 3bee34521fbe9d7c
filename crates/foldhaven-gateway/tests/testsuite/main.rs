//! Tests of the gateway's parts that need no process.

mod known;
mod peer_messages;
mod told_states;
