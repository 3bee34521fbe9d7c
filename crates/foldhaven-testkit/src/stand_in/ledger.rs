//! Ledgers: files in which stand-ins record what they did, one JSON line per event. A ledger
//! outlives its process, which tests may kill.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// An event at a stand-in, mostly of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerEvent {
    /// The request arrived and was not refused.
    Arrive,
    /// Processing of the request started.
    Start,
    /// The request was processed completely.
    End,
    /// The request was cancelled.
    Cancel,
    /// The request was refused before any processing.
    Refuse,
    /// The stand-in was told to refuse new requests.
    Leaving,
}

/// A line of a ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerLine {
    /// Time of the event, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Name of the stand-in.
    pub upstream: String,
    /// Data centre of the stand-in.
    pub data_centre: String,
    /// Kind of the event.
    pub event: LedgerEvent,
    /// Request id.
    pub request: String,
    /// Attempt id.
    pub attempt: String,
    /// Path for a service, model for an engine.
    pub target: String,
}

/// Appends the events of one stand-in to its ledger.
pub struct LedgerWriter {
    upstream: String,
    data_centre: String,
    file: Mutex<File>,
}

/// Returns the current time in milliseconds since the Unix epoch.
pub fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl LedgerWriter {
    /// Opens a ledger for appending and creates it if it does not exist.
    pub fn open(path: &Path, upstream: &str, data_centre: &str) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        let (upstream, data_centre) = (upstream.to_owned(), data_centre.to_owned());
        Ok(Self { upstream, data_centre, file: Mutex::new(file) })
    }

    /// Appends a line. It is in the file when this returns, so that it survives a kill of the
    /// process.
    pub fn write(&self, event: LedgerEvent, request: &str, attempt: &str, target: &str) {
        let line = LedgerLine {
            at_ms: unix_time_ms(),
            upstream: self.upstream.clone(),
            data_centre: self.data_centre.clone(),
            event,
            request: request.to_owned(),
            attempt: attempt.to_owned(),
            target: target.to_owned(),
        };
        let mut text = serde_json::to_string(&line).expect("a line can be serialized");
        text.push('\n');
        let written = self.file.lock().write_all(text.as_bytes());
        written.expect("the ledger can be written");
    }
}

/// Returns all lines of all ledgers in a folder, sorted by time.
pub fn read_ledgers(folder: &Path) -> io::Result<Vec<LedgerLine>> {
    let mut lines = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path: PathBuf = entry?.path();
        if path.extension().is_some_and(|extension| extension == "ledger") {
            let text = std::fs::read_to_string(path)?;
            // A line that is only partly written is skipped. A later call reads it.
            lines.extend(text.lines().filter_map(|line| serde_json::from_str(line).ok()));
        }
    }
    lines.sort_by_key(|line: &LedgerLine| line.at_ms);
    Ok(lines)
}
