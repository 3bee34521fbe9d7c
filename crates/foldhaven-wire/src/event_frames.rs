//! The frames in which a VM sends the events of a forwarded stream to another one. Each names its
//! position in the stream, and the last one its end, so that missing bytes are detected whatever
//! the events contain.
//!
//! A frame has a header of eight bytes, both numbers big-endian: the position of its first byte in
//! the stream modulo 2^32, and the number of its bytes. A frame without bytes ends the stream.

use bytes::{Buf, BufMut, Bytes, BytesMut};

const HEADER_BYTES: usize = 8;
/// The maximum number of bytes in a frame.
pub const MAX_FRAME_BYTES: usize = 1 << 16;

/// Encodes the events of one stream.
///
/// ```
/// use foldhaven_wire::event_frames::{EventFrameDecoder, EventFrameEncoder};
/// let (mut encoder, mut decoder) = (EventFrameEncoder::default(), EventFrameDecoder::default());
/// let events = decoder.push(encoder.encode(b"data: a\n\n")).unwrap();
/// assert_eq!(events, "data: a\n\n");
/// assert!(!decoder.is_complete());
/// decoder.push(encoder.end()).unwrap();
/// assert!(decoder.is_complete());
/// ```
#[derive(Debug, Default)]
pub struct EventFrameEncoder {
    position: u32,
}

impl EventFrameEncoder {
    /// Returns the frames of these bytes.
    pub fn encode(&mut self, events: &[u8]) -> Bytes {
        let headers = events.len().div_ceil(MAX_FRAME_BYTES) * HEADER_BYTES;
        let mut frames = BytesMut::with_capacity(events.len() + headers);
        for part in events.chunks(MAX_FRAME_BYTES) {
            self.put_frame(part, &mut frames);
        }
        frames.freeze()
    }

    /// Returns the frame that ends the stream.
    pub fn end(&mut self) -> Bytes {
        let mut frame = BytesMut::with_capacity(HEADER_BYTES);
        self.put_frame(&[], &mut frame);
        frame.freeze()
    }

    fn put_frame(&mut self, part: &[u8], frames: &mut BytesMut) {
        let length = u32::try_from(part.len()).expect("parts have at most MAX_FRAME_BYTES");
        frames.put_u32(self.position);
        frames.put_u32(length);
        frames.put_slice(part);
        self.position = self.position.wrapping_add(length);
    }
}

/// Bytes of the stream are missing, or are no frame
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct MissingBytes;

/// Decodes the frames of one stream. The input may be divided at any byte.
#[derive(Debug, Default)]
pub struct EventFrameDecoder {
    buffer: BytesMut,
    position: u32,
    is_ended: bool,
}

impl EventFrameDecoder {
    /// Appends bytes, and returns those of the complete frames.
    ///
    /// # Errors
    ///
    /// If bytes are missing before the last frame. None of the bytes of this call are returned then.
    pub fn push(&mut self, bytes: Bytes) -> Result<Bytes, MissingBytes> {
        self.buffer.extend_from_slice(&bytes);
        let mut events = BytesMut::new();
        while let Some(part) = self.take_frame()? {
            events.extend_from_slice(&part);
        }
        Ok(events.freeze())
    }

    /// Whether the stream has ended, and all of it was received.
    pub fn is_complete(&self) -> bool {
        self.is_ended && self.buffer.is_empty()
    }

    /// Returns the bytes of the next frame; `None` if it is incomplete.
    fn take_frame(&mut self) -> Result<Option<BytesMut>, MissingBytes> {
        let Some(mut header) = self.buffer.get(..HEADER_BYTES) else { return Ok(None) };
        let position = header.get_u32();
        let length = header.get_u32();
        let size = usize::try_from(length).map_err(|_| MissingBytes)?;
        if position != self.position || size > MAX_FRAME_BYTES || self.is_ended {
            return Err(MissingBytes);
        }
        if self.buffer.len() < HEADER_BYTES + size {
            return Ok(None);
        }
        self.buffer.advance(HEADER_BYTES);
        self.position = position.wrapping_add(length);
        self.is_ended = length == 0;
        Ok(Some(self.buffer.split_to(size)))
    }
}
