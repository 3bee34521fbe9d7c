//! Detects connections whose peer is silent, for example because it lost its power or its network.
//! Such a peer does not close its connections.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Interval before and between keep-alive probes on an idle connection.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which a connection is closed. Linux ignores it if
/// `TCP_USER_TIMEOUT` is set.
pub const KEEPALIVE_PROBES: u32 = 2;
/// The `TCP_USER_TIMEOUT` of all connections: a connection is closed if sent bytes are not
/// acknowledged for this long, or if a probe is unanswered and nothing was received for this long.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Sets the socket options that detect a silent peer.
///
/// # Errors
///
/// If the connection is already closed.
pub fn detect_silence(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(SILENCE_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)
}
