//! The command-line tool of foldhaven for operators.
//!
//! The tool checks, compares and stamps descriptions. Operators publish them with the platform's
//! own tools, and this tool then waits until they are in force. It changes nothing on a live
//! system, except that `suspects --clear` clears a suspected request.

pub mod burn;
pub mod client;
pub mod cmd;
mod error;
pub mod html;
pub mod source;
pub mod table;

pub use self::error::{CtlError, ExitStatus};
