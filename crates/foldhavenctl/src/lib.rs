//! The command-line tool of foldhaven for operators.
//!
//! It reads: a description is checked, compared and stamped here, and published by the operators'
//! own means; the tool then waits until it is in force. Nothing is ever changed on a live system.

pub mod burn;
pub mod client;
pub mod cmd;
mod error;
pub mod html;
pub mod source;
pub mod table;

pub use self::error::{CtlError, ExitStatus};
