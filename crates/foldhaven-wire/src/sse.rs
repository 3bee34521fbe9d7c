//! Server-sent events: splitting a byte stream into events, and writing them.

use bytes::{Bytes, BytesMut};

/// The data of the event that ends an answer.
pub const DONE: &str = "[DONE]";

/// The largest event that is accepted, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event is too large or is not UTF-8
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct SseError;

/// Splits bytes, in whatever pieces they arrive, into the data of events.
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
    /// Takes in some bytes and returns the data of the events that they complete.
    ///
    /// # Errors
    ///
    /// When an event is too large or is not text.
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

/// Writes one event.
pub fn write_event(data: &str) -> String {
    format!("data: {data}\n\n")
}

/// Writes one named event.
pub fn write_named_event(name: &str, data: &str) -> String {
    format!("event: {name}\ndata: {data}\n\n")
}

/// Cuts a byte stream after whole events and leaves their bytes as they are.
///
/// ```
/// use foldhaven_wire::sse::EventBlocks;
/// let mut blocks = EventBlocks::default();
/// assert_eq!(blocks.push("id: 1\ndata: a\n\nid: 2\nda".into()).unwrap(), "id: 1\ndata: a\n\n");
/// assert_eq!(blocks.last_id(), Some("1"));
/// assert!(!blocks.is_at_boundary());
/// ```
#[derive(Debug, Default)]
pub struct SseEventBuffer {
    partial_event: BytesMut,
    last_id: Option<String>,
    count: u32,
}

impl SseEventBuffer {
    /// Takes in some bytes; returns the whole events that they complete, which may be none.
    ///
    /// # Errors
    ///
    /// When an event is too large.
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

    /// The id of the last whole event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Takes the last id back to an earlier one: the events after it are not passed on.
    pub fn rewind_last_id(&mut self, last_id: Option<String>) {
        self.last_id = last_id;
    }

    /// How many whole events there were.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Whether no part of an event is left over.
    pub fn is_at_boundary(&self) -> bool {
        self.partial_event.is_empty()
    }

    /// Drops a part of an event that will not be completed.
    pub fn discard_partial_event(&mut self) {
        self.partial_event.clear();
    }
}

/// The ids of whole events, in their order. Events without an id have none here.
pub fn event_ids(events: &[u8]) -> impl Iterator<Item = &str> {
    let lines = events.split(|byte| *byte == b'\n');
    let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.filter_map(|id| std::str::from_utf8(id).ok()).map(str::trim)
}

/// The end of the last blank line.
fn last_blank_line(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2)
}
