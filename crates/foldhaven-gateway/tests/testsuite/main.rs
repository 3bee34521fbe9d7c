//! Tests of the gateway's parts that need no process.

mod peer_messages;
