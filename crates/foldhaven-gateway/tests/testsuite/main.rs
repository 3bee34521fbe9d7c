//! Tests of gateway components that do not need a running process.

mod answer_cache;
mod event_frames;
mod held_memory;
mod peer_messages;
mod platform_eras;
mod platform_state;
