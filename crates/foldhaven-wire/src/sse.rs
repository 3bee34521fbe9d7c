//! Server-sent events: parsing a byte stream into events, and serializing events.

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
        while let Some(length) = find_blank_line(&self.buffer[start..]) {
            let event = std::str::from_utf8(&self.buffer[start..start + length]);
            if let Some(data) = event_data(event.map_err(|_| SseError)?) {
                events.push(data);
            }
            start += length + 2;
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

fn find_blank_line(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|pair| pair == b"\n\n")
}

fn event_data(event: &str) -> Option<String> {
    let data: Vec<&str> =
        event.lines().filter_map(|line| line.strip_prefix("data:")).map(str::trim_start).collect();
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
        let is_whole = self.partial_event.is_empty() && bytes.ends_with(b"\n\n");
        if is_whole {
            self.record_events(&bytes);
            return Ok(bytes);
        }
        self.partial_event.extend_from_slice(&bytes);
        let Some(end) = last_blank_line(&self.partial_event) else {
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

    fn record_events(&mut self, events: &[u8]) {
        let ends = events.windows(2).filter(|pair| *pair == b"\n\n").count();
        self.count = self.count.saturating_add(u32::try_from(ends).unwrap_or(u32::MAX));
        let lines = events.rsplit(|byte| *byte == b'\n');
        let id = lines.into_iter().find_map(|line| line.strip_prefix(b"id:"));
        if let Some(id) = id.and_then(|id| std::str::from_utf8(id).ok()) {
            self.last_id = Some(id.trim().to_owned());
        }
    }

    /// Returns the id of the last complete event that has one, or `None` if there was none.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Sets the last id back to an earlier one, after the caller dropped the events that follow it.
    pub fn rewind_last_id(&mut self, last_id: Option<String>) {
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
    let lines = events.split(|byte| *byte == b'\n');
    let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.filter_map(|id| std::str::from_utf8(id).ok()).map(str::trim)
}

/// Returns the index after the last blank line, or `None` if there is none.
fn last_blank_line(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|index| index + 2)
}
