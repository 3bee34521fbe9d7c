//! Reads bodies and answers into memory that was reserved before.

use std::error::Error;
use std::time::Duration;

use bytes::Bytes;
use foldhaven_core::opaque::held_memory::{HeldKind, SizeClass};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::clock::timeout;
use crate::held_memory::{HeldBytes, HeldMemory};

/// How long the rest of the body of a refused request is read.
const DISCARD_TIME: Duration = Duration::from_secs(10);

/// Why a body was not read.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum BodyFault {
    /// longer than the limit
    TooLong,
    /// no memory for it
    NoMemory,
    /// reading the body: {0}
    Broken(String),
}

/// The limits on a body.
pub struct BodyReader<'a> {
    /// The memory that is reserved for it.
    pub memory: &'a HeldMemory,
    /// What the bytes are held for.
    pub kind: HeldKind,
    /// The maximum size in bytes.
    pub max_bytes: usize,
    /// How long to wait for memory, without reading meanwhile.
    pub patience: Duration,
}

impl BodyReader<'_> {
    /// Reads a body to its end. The memory is reserved until the bytes are dropped.
    ///
    /// # Errors
    ///
    /// If the body is too long or broken, or if there is no memory for it.
    pub async fn read<B>(&self, body: &mut B) -> Result<Bytes, BodyFault>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: Error,
    {
        let mut buffer = HeldBuffer::default();
        if let Some(length) = body.size_hint().exact() {
            let length = usize::try_from(length).map_err(|_| BodyFault::TooLong)?;
            self.reserve(&mut buffer, length).await?;
        }
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| BodyFault::Broken(error.to_string()))?;
            // Trailers are not passed on.
            let Ok(data) = frame.into_data() else { continue };
            let length = buffer.bytes.len() + data.len();
            if length > buffer.reserved {
                self.reserve(&mut buffer, SizeClass::of(length).max_bytes().min(self.max_bytes))
                    .await?;
            }
            if length > buffer.reserved {
                return Err(BodyFault::TooLong);
            }
            buffer.bytes.extend_from_slice(&data);
        }
        Ok(buffer.into_bytes())
    }

    /// Reserves a larger size for a buffer. What grows step by step waits only for the next class
    /// of sizes, and the longest ones wait no more, so that no two bodies wait for each other.
    async fn reserve(&self, buffer: &mut HeldBuffer, size: usize) -> Result<(), BodyFault> {
        if size > self.max_bytes {
            return Err(BodyFault::TooLong);
        }
        if size <= buffer.reserved {
            return Ok(());
        }
        let taken = timeout(self.patience, self.memory.take(self.kind, size)).await;
        let held = taken.map_err(|_| BodyFault::NoMemory)?;
        buffer.bytes.reserve_exact(size - buffer.bytes.len());
        buffer.reserved = size;
        // The smaller reservation is released after the bytes were moved.
        buffer.held = Some(held);
        Ok(())
    }
}

/// A body with its reserved memory.
#[derive(Default)]
struct HeldBuffer {
    bytes: Vec<u8>,
    reserved: usize,
    held: Option<HeldBytes>,
}

impl HeldBuffer {
    fn into_bytes(mut self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        self.bytes.shrink_to_fit();
        if let Some(held) = &mut self.held {
            held.shrink_to(self.bytes.len());
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for HeldBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads the rest of the body of a refused request in the background and drops it. A connection that
/// is closed with unread bytes is reset, and the caller would not get the refusal.
pub fn discard(mut body: Incoming, max_bytes: usize) {
    if body.is_end_stream() {
        return;
    }
    tokio::spawn(timeout(DISCARD_TIME, async move {
        let mut left = max_bytes;
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest) = left.checked_sub(length) else { return };
            left = rest;
        }
    }));
}
