//! Reads the settings of a daemon from a YAML file and checks them.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;

/// Why settings cannot be used.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum SettingsError {
    /// reading {path}: {source}
    Read {
        /// The file.
        path: PathBuf,
        /// What went wrong.
        source: io::Error,
    },
    /// {path}: {message}
    Syntax {
        /// The file.
        path: PathBuf,
        /// Line, column and what was expected.
        message: String,
    },
    /// {path}: {fault}
    Value {
        /// The file.
        path: PathBuf,
        /// The field and what was expected.
        fault: SettingsFault,
    },
}

/// {field}: {message}
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct SettingsFault {
    /// The field that has a value out of range.
    pub field: &'static str,
    /// What was expected.
    pub message: &'static str,
}

/// Settings that can be checked beyond their shape.
pub trait CheckedSettings: DeserializeOwned {
    /// The first value that is out of range.
    fn fault(&self) -> Option<SettingsFault>;
}

/// Reads settings from a file and checks them.
///
/// # Errors
///
/// When the file cannot be read, is not YAML of the right shape, or has a value out of range.
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
