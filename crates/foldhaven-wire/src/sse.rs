//! Server-sent events: splitting a byte stream into events, and writing them.

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
