//! Detects connections whose peer is silent, for example because it lost its power or its network.
//! Such a peer does not close its connections.
//!
//! Keep-alive probes show it on connections on which everything is acknowledged, and
//! `WatchedStream` on the others. `TCP_USER_TIMEOUT` would cover both, but it also resets the
//! connection of a peer that is there and reads nothing for that time: Linux counts the time for
//! which its receive window is closed, although it acknowledges the probes.

use std::io;
use std::sync::LazyLock;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use crate::socket_inspector::{NetlinkInspector, QueueInspector};

/// Interval before and between keep-alive probes on an idle connection.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which a connection is closed.
pub const KEEPALIVE_PROBES: u32 = 1;
/// A connection is closed if sent bytes or probes are not acknowledged for this long.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns what tells the send queues of connections. `None` if the operating system does not.
pub(crate) fn queue_inspector() -> Option<&'static dyn QueueInspector> {
    static INSPECTOR: LazyLock<Option<NetlinkInspector>> = LazyLock::new(|| {
        let opened = NetlinkInspector::open();
        if let Err(error) = &opened {
            tracing::warn!(
                error = %error,
                "send queues cannot be read, peers that stop reading are taken for silent"
            );
        }
        opened.ok()
    });
    INSPECTOR.as_ref().map(|inspector| inspector as &dyn QueueInspector)
}

/// Sets the socket options that detect a silent peer on an idle connection, and on any connection
/// if send queues cannot be read. In that case, a peer that reads nothing for `unread_limit` is
/// taken for silent.
///
/// # Errors
///
/// If the connection is already closed.
pub fn detect_silence(stream: &TcpStream, unread_limit: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    if queue_inspector().is_none() {
        socket.set_tcp_user_timeout(Some(unread_limit))?;
    }
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)
}
