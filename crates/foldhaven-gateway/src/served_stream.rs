//! The stream of a served connection. It records what the connection is used for, and is not closed
//! during a planned stop before its peer has received what was sent.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::bounded_stream::BoundedStream;
use crate::served_connections::ConnectionActivity;
use crate::shared::GatewayShared;
use crate::watched_stream::WatchedStream;

/// Interval at which a closing stream is checked for unacknowledged data.
const DELIVERY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Size of the send buffer of a closing stream, in bytes. The socket is writable when less than this
/// is unacknowledged, approximately.
const CLOSING_SEND_BUFFER: usize = 4096;

/// The stream of a served connection.
pub struct ServedStream {
    stream: BoundedStream,
    activity: Arc<ConnectionActivity>,
    shared: Arc<GatewayShared>,
    /// The pause before the next check for unacknowledged data. `None` until there was a check.
    delivery_check: Option<Pin<Box<Sleep>>>,
    /// Whether the operating system resets the connection when it is closed.
    is_reset_on_close: bool,
}

impl ServedStream {
    /// Wraps the stream of a connection.
    pub fn new(
        stream: WatchedStream,
        activity: Arc<ConnectionActivity>,
        shared: Arc<GatewayShared>,
    ) -> Self {
        let stream = BoundedStream::new(stream);
        Self { stream, activity, shared, delivery_check: None, is_reset_on_close: false }
    }

    /// Tells the operating system how to close the connection, before a write or after all of them.
    ///
    /// # Errors
    ///
    /// If it does not take that.
    fn set_close(&mut self, is_all_written: bool) -> Result<()> {
        let is_reset = self.activity.is_reset_on_close(is_all_written);
        if is_reset != self.is_reset_on_close {
            let socket = SockRef::from(self.stream.get_ref().get_ref());
            socket.set_linger(is_reset.then_some(Duration::ZERO))?;
            self.is_reset_on_close = is_reset;
        }
        Ok(())
    }

    fn stream(&mut self) -> Pin<&mut BoundedStream> {
        Pin::new(&mut self.stream)
    }

    /// Polls until the peer has received what was sent. The kernel delivers it after the exit of the
    /// process too, but not after a shutdown of the machine.
    fn poll_delivered(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.delivery_check.is_none() {
            let socket = SockRef::from(self.stream.get_ref().get_ref());
            if socket.set_send_buffer_size(CLOSING_SEND_BUFFER).is_err() {
                return Poll::Ready(());
            }
        }
        while !has_room(self.stream.get_ref().get_ref()) {
            let check = self.delivery_check.insert(Box::pin(sleep(DELIVERY_CHECK_INTERVAL)));
            ready!(check.as_mut().poll(context));
        }
        Poll::Ready(())
    }
}

/// Whether the send buffer of a socket has room, or the connection is broken. The runtime only
/// reports the room that was there after the last write.
fn has_room(stream: &TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::OUT)];
    !matches!(poll(&mut polled, Some(&Timespec::default())), Ok(0) | Err(Errno::INTR))
}

impl AsyncRead for ServedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let filled = buffer.filled().len();
        let read = self.stream().poll_read(context, buffer);
        if buffer.filled().len() > filled {
            self.activity.record_read();
        }
        read
    }
}

impl AsyncWrite for ServedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.set_close(false)?;
        self.stream().poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        // The connection flushes its stream after it has written all of its own buffer.
        self.set_close(true)?;
        ready!(self.stream().poll_flush(context))?;
        self.activity.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        self.set_close(true)?;
        if self.shared.is_leaving() {
            ready!(self.poll_delivered(context));
        }
        self.stream().poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.set_close(false)?;
        self.stream().poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
