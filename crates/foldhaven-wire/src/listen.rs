//! Listening sockets whose connections send small messages without delay.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Listens at an address.
///
/// Accepted connections inherit `TCP_NODELAY` from the listening socket. Without it, each event of
/// a stream is delayed by up to 40 ms until the previous one is acknowledged.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
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
