//! Formats an error for logs and responses.

use std::error::Error;

/// Returns the message of an error followed by those of its sources, innermost last.
pub fn error_text(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
