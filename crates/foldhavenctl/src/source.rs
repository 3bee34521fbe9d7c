//! Reads description files and writes output files.

use std::path::Path;

use foldhaven_core::description::{Description, parse_description};

use crate::error::{CtlError, FaultList};

/// Reads and checks a description.
///
/// # Errors
///
/// Returns an error if the file cannot be read, or with all faults of the description.
pub fn read_description(path: &Path) -> Result<Description, CtlError> {
    let peer = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| CtlError::Io {
        step: "reading",
        peer: peer.clone(),
        source,
    })?;
    parse_description(&peer, &text).map_err(|faults| CtlError::Faults(FaultList(faults)))
}

/// Writes a file.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn write_file(path: &Path, content: &str) -> Result<(), CtlError> {
    let peer = path.display().to_string();
    std::fs::write(path, content).map_err(|source| CtlError::Io { step: "writing", peer, source })
}
