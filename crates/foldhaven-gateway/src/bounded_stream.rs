//! A TCP stream that is read in small pieces.
//!
//! An HTTP connection allocates the buffer of its next read by the size of the last ones, and keeps it
//! while it is idle. Thousands of callers that have sent a long prompt each would hold as many large
//! buffers.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};

use crate::watched_stream::WatchedStream;

/// The maximum number of bytes of one read. The buffer of a connection grows when a read fills it,
/// and is 8,192 bytes at first.
const MAX_READ_BYTES: u64 = 8_191;

/// A TCP stream of which one read returns at most [`MAX_READ_BYTES`].
pub struct BoundedStream(Take<WatchedStream>);

impl BoundedStream {
    /// Wraps a stream.
    pub fn new(stream: WatchedStream) -> Self {
        Self(stream.take(MAX_READ_BYTES))
    }

    /// Returns the wrapped stream.
    pub fn get_ref(&self) -> &WatchedStream {
        self.0.get_ref()
    }

    fn stream(&mut self) -> Pin<&mut WatchedStream> {
        Pin::new(self.0.get_mut())
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        self.0.set_limit(MAX_READ_BYTES);
        Pin::new(&mut self.0).poll_read(context, buffer)
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.stream().poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        self.stream().poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        self.stream().poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.stream().poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.get_ref().is_write_vectored()
    }
}
