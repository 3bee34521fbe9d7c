//! Listening sockets whose connections send small messages at once.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Listens at an address. Accepted connections inherit `TCP_NODELAY` from the listening socket:
/// without it each event of a stream waits up to 40 ms for the acknowledgement of the one before.
///
/// # Errors
///
/// When the address cannot be bound.
pub fn listen_at(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
