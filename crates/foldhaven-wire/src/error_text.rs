//! The text of an error for logs and answers.

use std::error::Error;

/// The error with its causes, innermost last.
pub fn error_text(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
