//! Messages that foldhaven exchanges with callers, engines, operators, the platform and between its
//! daemons.

pub mod caller;
pub mod control;
pub mod counted;
pub mod engine;
pub mod error_text;
pub mod event_frames;
pub mod listen;
pub mod operator;
pub mod platform;
pub mod settings_file;
pub mod sse;
