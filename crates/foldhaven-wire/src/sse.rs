//! Server-sent events: parsing a byte stream into events, and serializing events.
//!
//! An event ends with a blank line. Lines end with LF, CR LF or CR. A CR at the end of the bytes
//! ends its line; a LF that follows it later is then a blank line of its own, which is no event.

use bytes::{Bytes, BytesMut};

/// The data of the event that ends an answer.
pub const DONE: &str = "[DONE]";

/// Maximum size of an accepted event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event is too large or is not UTF-8
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct SseError;

/// Splits a byte stream into the data of its events. The input may be divided at any byte.
///
/// ```
/// use foldhaven_wire::sse::SseSplitter;
/// let mut splitter = SseSplitter::default();
/// assert!(splitter.push(b"data: one\n").unwrap().is_empty());
/// assert_eq!(splitter.push(b"\ndata: two\n\n").unwrap(), ["one", "two"]);
/// assert!(splitter.is_at_boundary());
/// ```
#[derive(Debug, Default)]
pub struct SseSplitter {
    buffer: Vec<u8>,
}

impl SseSplitter {
    /// Appends bytes and returns the data of the events that they complete.
    ///
    /// # Errors
    ///
    /// Returns an error if an event is larger than [`MAX_EVENT_BYTES`] or is not UTF-8.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<String>, SseError> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(line) = lines(&self.buffer[start..]).find(|line| line.is_blank) {
            let event = std::str::from_utf8(&self.buffer[start..start + line.end]);
            if let Some(data) = event_data(event.map_err(|_| SseError)?) {
                events.push(data);
            }
            start += line.end;
        }
        self.buffer.drain(..start);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(SseError);
        }
        Ok(events)
    }

    /// Whether no part of an event is left over.
    pub fn is_at_boundary(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// A complete line of some bytes.
struct SseLine {
    is_blank: bool,
    /// The index after the end of the line.
    end: usize,
}

fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

/// Returns the complete lines of bytes that start with a line.
fn lines(bytes: &[u8]) -> impl Iterator<Item = SseLine> {
    let mut start = 0;
    std::iter::from_fn(move || {
        let length = bytes[start..].iter().position(|byte| is_line_end(*byte))?;
        let is_pair = bytes[start + length..].starts_with(b"\r\n");
        start += length + 1 + usize::from(is_pair);
        Some(SseLine { is_blank: length == 0, end: start })
    })
}

fn event_data(event: &str) -> Option<String> {
    let lines = event.split(['\n', '\r']);
    let data: Vec<&str> =
        lines.filter_map(|line| line.strip_prefix("data:")).map(str::trim_start).collect();
    if data.is_empty() { None } else { Some(data.join("\n")) }
}

/// Returns a serialized event without a name.
pub fn write_event(data: &str) -> String {
    format!("data: {data}\n\n")
}

/// Returns a serialized event with a name.
pub fn write_named_event(name: &str, data: &str) -> String {
    format!("event: {name}\ndata: {data}\n\n")
}

/// Buffers a byte stream and releases only complete events, with their bytes unchanged.
///
/// ```
/// use foldhaven_wire::sse::SseEventBuffer;
/// let mut buffer = SseEventBuffer::default();
/// assert_eq!(buffer.push("id: 1\ndata: a\n\nid: 2\nda".into()).unwrap(), "id: 1\ndata: a\n\n");
/// assert_eq!(buffer.last_id(), Some("1"));
/// assert!(!buffer.is_at_boundary());
/// ```
#[derive(Debug, Default)]
pub struct SseEventBuffer {
    partial_event: BytesMut,
    last_id: Option<String>,
    count: u32,
}

impl SseEventBuffer {
    /// Appends bytes and returns the events that they complete, which may be empty.
    ///
    /// # Errors
    ///
    /// Returns an error if an incomplete event is larger than [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: Bytes) -> Result<Bytes, SseError> {
        if self.partial_event.is_empty() && self.complete_part(&bytes) == Some(bytes.len()) {
            self.record_events(&bytes);
            return Ok(bytes);
        }
        self.partial_event.extend_from_slice(&bytes);
        let Some(end) = self.complete_part(&self.partial_event) else {
            return if self.partial_event.len() > MAX_EVENT_BYTES {
                Err(SseError)
            } else {
                Ok(Bytes::new())
            };
        };
        let events = self.partial_event.split_to(end).freeze();
        self.record_events(&events);
        Ok(events)
    }

    /// Returns the length of the complete events. Blank lines before the first event are none.
    fn complete_part(&self, bytes: &[u8]) -> Option<usize> {
        let end = lines(bytes).filter(|line| line.is_blank).last()?.end;
        (self.count > 0 || count_events(&bytes[..end]) > 0).then_some(end)
    }

    fn record_events(&mut self, events: &[u8]) {
        self.count = self.count.saturating_add(count_events(events));
        if let Some(id) = event_ids(events).last() {
            self.last_id = Some(id.to_owned());
        }
    }

    /// Returns the id of the last complete event that has one, or `None` if there was none.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Sets the last id, after the caller dropped or held back the events that follow it.
    pub fn set_last_id(&mut self, last_id: Option<String>) {
        self.last_id = last_id;
    }

    /// Returns the number of complete events, at most `u32::MAX`.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Whether no part of an event is left over.
    pub fn is_at_boundary(&self) -> bool {
        self.partial_event.is_empty()
    }

    /// Discards an incomplete event that will not be completed.
    pub fn discard_partial_event(&mut self) {
        self.partial_event.clear();
    }
}

/// Returns the ids of complete events in order. Events without an id are skipped.
pub fn event_ids(events: &[u8]) -> impl Iterator<Item = &str> {
    let lines = events.split(|byte| is_line_end(*byte));
    let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.filter_map(|id| std::str::from_utf8(id).ok()).map(str::trim)
}

/// Returns the number of blank lines that end an event, at most `u32::MAX`.
fn count_events(events: &[u8]) -> u32 {
    let mut is_within_event = false;
    let ends = lines(events).filter(|line| {
        let was_within_event = std::mem::replace(&mut is_within_event, !line.is_blank);
        line.is_blank && was_within_event
    });
    u32::try_from(ends.count()).unwrap_or(u32::MAX)
}
