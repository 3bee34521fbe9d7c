//! Loads the settings of a daemon from a YAML file and validates them.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;

/// Why settings cannot be loaded.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum SettingsError {
    /// reading {path}: {source}
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// {path}: {message}
    Syntax {
        /// The file.
        path: PathBuf,
        /// The line, the column and what was expected.
        message: String,
    },
    /// {path}: {fault}
    Value {
        /// The file.
        path: PathBuf,
        /// The invalid field and what was expected.
        fault: SettingsFault,
    },
}

/// {field}: {message}
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct SettingsFault {
    /// The field whose value is out of range.
    pub field: &'static str,
    /// What was expected.
    pub message: &'static str,
}

/// Settings whose values are checked against permitted ranges after parsing.
pub trait CheckedSettings: DeserializeOwned {
    /// Returns the first value that is out of range, or `None` if all are valid.
    fn fault(&self) -> Option<SettingsFault>;
}

/// Loads settings from a file and validates them.
///
/// # Errors
///
/// Returns an error if the file cannot be read, is not YAML with the expected fields, or has a
/// value out of range.
pub fn read_settings<T: CheckedSettings>(path: &Path) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path)
        .map_err(|source| SettingsError::Read { path: path.to_owned(), source })?;
    let settings: T = serde_saphyr::from_str(&text).map_err(|error| SettingsError::Syntax {
        path: path.to_owned(),
        message: error.to_string(),
    })?;
    match settings.fault() {
        None => Ok(settings),
        Some(fault) => Err(SettingsError::Value { path: path.to_owned(), fault }),
    }
}
