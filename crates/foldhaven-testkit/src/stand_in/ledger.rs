//! What a stand-in really did, a JSON line per event, kept outside the process that may be killed.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// What happened to a request at a stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerEvent {
    /// It arrived and was not refused.
    Arrive,
    /// Work on it began.
    Start,
    /// All of it was done.
    End,
    /// It was cancelled.
    Cancel,
    /// It was refused before any work.
    Refuse,
    /// The stand-in was told to take no new work.
    Leaving,
}

/// One line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerLine {
    /// When, in milliseconds since the epoch.
    pub at_ms: u64,
    /// The stand-in.
    pub upstream: String,
    /// Its data centre.
    pub data_centre: String,
    /// What happened.
    pub event: LedgerEvent,
    /// The request.
    pub request: String,
    /// The attempt.
    pub attempt: String,
    /// The path, at a service; the model, at an engine.
    pub target: String,
}

/// Where a stand-in writes its lines.
pub struct LedgerFile {
    upstream: String,
    data_centre: String,
    file: Mutex<File>,
}

/// The present time in milliseconds since the epoch.
pub fn epoch_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl LedgerFile {
    /// Opens a file for appending.
    pub fn open(path: &Path, upstream: &str, data_centre: &str) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        let (upstream, data_centre) = (upstream.to_owned(), data_centre.to_owned());
        Ok(Self { upstream, data_centre, file: Mutex::new(file) })
    }

    /// Writes a line before it returns.
    pub fn write(&self, event: LedgerEvent, request: &str, attempt: &str, target: &str) {
        let line = LedgerLine {
            at_ms: epoch_ms(),
            upstream: self.upstream.clone(),
            data_centre: self.data_centre.clone(),
            event,
            request: request.to_owned(),
            attempt: attempt.to_owned(),
            target: target.to_owned(),
        };
        let mut text = serde_json::to_string(&line).expect("a line is JSON");
        text.push('\n');
        let written = self.file.lock().write_all(text.as_bytes());
        written.expect("the ledger can be written");
    }
}

/// Reads all lines of all ledgers of a folder, in order of time.
pub fn read_ledgers(folder: &Path) -> io::Result<Vec<LedgerLine>> {
    let mut lines = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path: PathBuf = entry?.path();
        if path.extension().is_some_and(|extension| extension == "ledger") {
            let text = std::fs::read_to_string(path)?;
            // A line that is being written right now is read the next time.
            lines.extend(text.lines().filter_map(|line| serde_json::from_str(line).ok()));
        }
    }
    lines.sort_by_key(|line: &LedgerLine| line.at_ms);
    Ok(lines)
}
