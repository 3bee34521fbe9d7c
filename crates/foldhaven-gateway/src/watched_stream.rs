//! A TCP stream that fails if its peer acknowledges nothing, or reads nothing for too long.

use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::silent_peers::{SILENCE_TIMEOUT, queue_inspector};
use crate::socket_inspector::{QueueInspector, SendQueue};

/// Interval at which the send queue is read while sent data may be unacknowledged.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes of a closed window that show a silent peer. Receivers limit how often
/// they answer, and a single probe may be lost.
const SILENT_PROBES: u8 = 2;

/// Why a connection was given up. Errors of a stream contain it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum PeerFault {
    /// {peer} acknowledged nothing
    Silent {
        /// The address of the peer.
        peer: SocketAddr,
    },
    /// {peer} did not read {unread_bytes} bytes that were sent
    Stalled {
        /// The address of the peer.
        peer: SocketAddr,
        /// The number of bytes that the operating system held for it.
        unread_bytes: u64,
    },
}

impl PeerFault {
    /// Finds the fault among the sources of an error.
    pub fn find<'a>(error: &'a (dyn std::error::Error + 'static)) -> Option<&'a Self> {
        let io_error = error.downcast_ref::<io::Error>().and_then(io::Error::get_ref);
        let fault = io_error.and_then(|inner| inner.downcast_ref());
        fault.or_else(|| error.source().and_then(Self::find))
    }
}

/// A TCP stream that fails if its peer acknowledges nothing, or reads nothing for too long.
pub struct WatchedStream {
    stream: TcpStream,
    /// `None` if send queues cannot be read.
    watch: Option<SendWatch>,
    /// How long the operating system goes on sending after this is dropped, without progress.
    close_limit: Duration,
}

impl WatchedStream {
    /// Wraps a stream whose peer may stop reading for any time.
    pub fn new(stream: TcpStream) -> Self {
        let watch = SendWatch::new(&stream, None);
        Self { stream, watch, close_limit: SILENCE_TIMEOUT }
    }

    /// Wraps a stream whose peer may stop reading for this long.
    pub fn with_stall_limit(stream: TcpStream, limit: Duration) -> Self {
        let watch = SendWatch::new(&stream, Some(limit));
        Self { stream, watch, close_limit: limit }
    }

    /// Returns the wrapped stream.
    pub fn get_ref(&self) -> &TcpStream {
        &self.stream
    }

    /// Records a write, and checks the peer if that is due.
    fn check_written(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let Some(watch) = &mut self.watch else { return written };
        match &written {
            Poll::Ready(Ok(count)) => watch.record_written(*count),
            Poll::Ready(Err(_)) | Poll::Pending => {}
        }
        watch.poll(context)?;
        written
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let Some(watch) = &mut self.watch else { return read };
        match read {
            Poll::Ready(_) => watch.has_received = true,
            Poll::Pending => watch.poll(context)?,
        }
        read
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check_written(context, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.check_written(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

impl Drop for WatchedStream {
    /// Bounds how long the operating system holds what the peer has not read.
    fn drop(&mut self) {
        let socket = SockRef::from(&self.stream);
        let is_given_up = self.watch.as_ref().is_some_and(|watch| watch.is_given_up);
        // If the connection is already closed, nothing is held.
        let _ = match is_given_up {
            true => socket.set_linger(Some(Duration::ZERO)),
            false => socket.set_tcp_user_timeout(Some(self.close_limit)),
        };
    }
}

/// Reads the send queue of a connection at intervals while sent data may be unacknowledged.
struct SendWatch {
    inspector: &'static dyn QueueInspector,
    local: SocketAddr,
    peer: SocketAddr,
    /// How long the peer may read nothing. `None` if that is not limited.
    stall_limit: Option<Duration>,
    /// Created at the first write.
    timer: Option<Pin<Box<Sleep>>>,
    /// Whether sent data may be unacknowledged.
    is_active: bool,
    /// Whether data was received since the last check.
    has_received: bool,
    /// The number of bytes that were sent.
    written_bytes: u64,
    /// The number of those that the peer had acknowledged at the last check.
    acknowledged_bytes: u64,
    /// When the peer last acknowledged data, as far as the checks have shown.
    progress_at: Instant,
    /// Whether probes or retransmissions were unanswered at the last check.
    was_unanswered: bool,
    is_given_up: bool,
}

impl SendWatch {
    /// Creates the watch of a stream. `None` if send queues cannot be read.
    fn new(stream: &TcpStream, stall_limit: Option<Duration>) -> Option<Self> {
        Some(Self {
            inspector: queue_inspector()?,
            local: stream.local_addr().ok()?,
            peer: stream.peer_addr().ok()?,
            stall_limit,
            timer: None,
            is_active: false,
            has_received: false,
            written_bytes: 0,
            acknowledged_bytes: 0,
            progress_at: Instant::now(),
            was_unanswered: false,
            is_given_up: false,
        })
    }

    /// Records that bytes were sent.
    fn record_written(&mut self, count: usize) {
        self.written_bytes += count as u64;
        if !std::mem::replace(&mut self.is_active, true) {
            self.record_received();
            self.schedule_check();
        }
    }

    /// Records that the peer is there.
    fn record_received(&mut self) {
        self.has_received = false;
        self.progress_at = Instant::now();
        self.was_unanswered = false;
    }

    fn schedule_check(&mut self) {
        let next = Instant::now() + CHECK_INTERVAL;
        match &mut self.timer {
            Some(timer) => timer.as_mut().reset(next),
            None => self.timer = Some(Box::pin(sleep_until(next))),
        }
    }

    /// Checks the peer whenever that is due.
    ///
    /// # Errors
    ///
    /// If the connection is to be given up.
    fn poll(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        while self.is_active {
            let Some(timer) = &mut self.timer else { return Ok(()) };
            if timer.as_mut().poll(context).is_pending() {
                return Ok(());
            }
            if let Err(fault) = self.check() {
                self.is_given_up = true;
                return Err(io::Error::new(io::ErrorKind::TimedOut, fault));
            }
            self.schedule_check();
        }
        Ok(())
    }

    fn check(&mut self) -> Result<(), PeerFault> {
        if self.has_received {
            self.record_received();
            return Ok(());
        }
        let Ok(queue) = self.inspector.send_queue(self.local, self.peer) else {
            // The connection is closed, which the next read or write shows.
            self.is_active = false;
            return Ok(());
        };
        let acknowledged_bytes = self.written_bytes.saturating_sub(queue.bytes);
        if acknowledged_bytes > self.acknowledged_bytes {
            self.acknowledged_bytes = acknowledged_bytes;
            let last_ack = Instant::now().checked_sub(queue.last_ack_age);
            self.progress_at = self.progress_at.max(last_ack.unwrap_or(self.progress_at));
        }
        self.is_active = queue.bytes > 0;
        self.check_answered(&queue)?;
        let is_stalled = self.stall_limit.is_some_and(|it| self.progress_at.elapsed() >= it);
        match is_stalled && self.is_active {
            true => Err(PeerFault::Stalled { peer: self.peer, unread_bytes: queue.bytes }),
            false => Ok(()),
        }
    }

    /// Checks whether the peer acknowledges anything. The last of several unanswered probes may have
    /// been sent just now, so that one check does not show it.
    fn check_answered(&mut self, queue: &SendQueue) -> Result<(), PeerFault> {
        let is_unanswered = queue.retransmissions > 0 || queue.probes >= SILENT_PROBES;
        let was_unanswered = std::mem::replace(&mut self.was_unanswered, is_unanswered);
        let silence = queue.last_ack_age.min(self.progress_at.elapsed());
        match is_unanswered && was_unanswered && silence >= SILENCE_TIMEOUT {
            true => Err(PeerFault::Silent { peer: self.peer }),
            false => Ok(()),
        }
    }
}
