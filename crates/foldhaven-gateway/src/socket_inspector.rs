//! Reads from the operating system how much sent data of a TCP connection is not acknowledged yet,
//! and whether the peer still answers. Linux tells this through netlink (`sock_diag(7)`).

use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::time::Duration;

use parking_lot::Mutex;
use rustix::net::{
    AddressFamily, RecvFlags, SendFlags, SocketFlags, SocketType, netlink, recv, send, socket_with,
};

/// Message type of a request and its answer.
const SOCK_DIAG_BY_FAMILY: u16 = 20;
/// Message type of an error.
const NLMSG_ERROR: u16 = 2;
/// Flag of a request.
const NLM_F_REQUEST: u16 = 1;
/// The protocol number of TCP.
const IPPROTO_TCP: u8 = 6;
/// The attribute with the state of the connection, `struct tcp_info`.
const INET_DIAG_INFO: u16 = 2;
/// Size of `struct nlmsghdr` in bytes.
const HEADER_BYTES: usize = 16;
/// Size of `struct inet_diag_req_v2` in bytes.
const REQUEST_BYTES: usize = 56;
/// Size of `struct inet_diag_msg` in bytes.
const ANSWER_BYTES: usize = 72;
/// Size of `struct nlattr` in bytes.
const ATTRIBUTE_BYTES: usize = 4;
/// Offset of `idiag_wqueue` in `struct inet_diag_msg`.
const QUEUE_OFFSET: usize = 60;
/// Offset of `tcpi_last_ack_recv` in `struct tcp_info`.
const LAST_ACK_OFFSET: usize = 56;
/// Size of the buffer for an answer, which is about 400 bytes long.
const BUFFER_BYTES: usize = 2_048;

/// The data that a connection has sent and that its peer has not acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendQueue {
    /// Its size in bytes, with the data that waits for room in the receive window.
    pub bytes: u64,
    /// The number of consecutive retransmissions without an acknowledgement.
    pub retransmissions: u8,
    /// The number of consecutive probes of a closed window without an acknowledgement.
    pub probes: u8,
    /// The time since the last acknowledgement.
    pub last_ack_age: Duration,
}

/// Reads the send queues of the connections of this process.
pub trait QueueInspector: Send + Sync {
    /// Returns the send queue of the connection between two addresses.
    ///
    /// # Errors
    ///
    /// If there is no such connection, or the operating system does not tell.
    fn send_queue(&self, local: SocketAddr, peer: SocketAddr) -> io::Result<SendQueue>;
}

/// Reads send queues through a netlink socket.
pub struct NetlinkInspector {
    /// One request at a time: the kernel queues its answer before `send` returns.
    socket: Mutex<OwnedFd>,
}

impl NetlinkInspector {
    /// Opens the netlink socket.
    ///
    /// # Errors
    ///
    /// If the operating system does not tell the state of connections.
    pub fn open() -> io::Result<Self> {
        let socket = socket_with(
            AddressFamily::NETLINK,
            SocketType::DGRAM,
            SocketFlags::CLOEXEC | SocketFlags::NONBLOCK,
            Some(netlink::SOCK_DIAG),
        )?;
        let inspector = Self { socket: Mutex::new(socket) };
        let known = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let nobody = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        inspector.send_queue(known.local_addr()?, nobody)?;
        Ok(inspector)
    }
}

impl QueueInspector for NetlinkInspector {
    fn send_queue(&self, local: SocketAddr, peer: SocketAddr) -> io::Result<SendQueue> {
        let mut buffer = [0; BUFFER_BYTES];
        let socket = self.socket.lock();
        send(&*socket, &request_of(local, peer), SendFlags::empty())?;
        let (length, _) = recv(&*socket, &mut buffer[..], RecvFlags::empty())?;
        drop(socket);
        parse_answer(&buffer[..length])
    }
}

/// Returns the request for the connection between two addresses.
fn request_of(local: SocketAddr, peer: SocketAddr) -> Vec<u8> {
    let family = if local.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let length = (HEADER_BYTES + REQUEST_BYTES) as u32;
    let mut request = Vec::with_capacity(HEADER_BYTES + REQUEST_BYTES);
    request.extend(length.to_ne_bytes());
    request.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    request.extend(NLM_F_REQUEST.to_ne_bytes());
    // The sequence number and the port of the sender.
    request.extend([0; 8]);
    let extensions = 1 << (INET_DIAG_INFO - 1);
    request.extend([family.as_raw() as u8, IPPROTO_TCP, extensions, 0]);
    // All states.
    request.extend(u32::MAX.to_ne_bytes());
    request.extend(local.port().to_be_bytes());
    request.extend(peer.port().to_be_bytes());
    request.extend(address_bytes(local.ip()));
    request.extend(address_bytes(peer.ip()));
    // Any interface.
    request.extend(0_u32.to_ne_bytes());
    // No cookie.
    request.extend(u64::MAX.to_ne_bytes());
    request
}

fn address_bytes(address: IpAddr) -> [u8; 16] {
    match address {
        IpAddr::V6(address) => Ipv6Addr::octets(&address),
        IpAddr::V4(address) => {
            let mut bytes = [0; 16];
            bytes[..4].copy_from_slice(&address.octets());
            bytes
        }
    }
}

fn parse_answer(message: &[u8]) -> io::Result<SendQueue> {
    let kind = read_u16(message, 4)?;
    if kind == NLMSG_ERROR {
        let code = read_u32(message, HEADER_BYTES)? as i32;
        return Err(io::Error::from_raw_os_error(-code));
    }
    let answer = message.get(HEADER_BYTES..).ok_or_else(too_short)?;
    let bytes = read_u32(answer, QUEUE_OFFSET)?.into();
    let info = find_attribute(answer.get(ANSWER_BYTES..).ok_or_else(too_short)?, INET_DIAG_INFO)?;
    let [_, _, retransmissions, probes, ..] = *info else { return Err(too_short()) };
    let last_ack_age = Duration::from_millis(read_u32(info, LAST_ACK_OFFSET)?.into());
    Ok(SendQueue { bytes, retransmissions, probes, last_ack_age })
}

/// Returns the content of an attribute.
fn find_attribute(mut attributes: &[u8], wanted: u16) -> io::Result<&[u8]> {
    loop {
        let (length, kind) = (usize::from(read_u16(attributes, 0)?), read_u16(attributes, 2)?);
        if kind == wanted {
            return attributes.get(ATTRIBUTE_BYTES..length).ok_or_else(too_short);
        }
        let next = length.max(ATTRIBUTE_BYTES).next_multiple_of(ATTRIBUTE_BYTES);
        attributes = attributes.get(next..).ok_or_else(too_short)?;
    }
}

fn read_u16(bytes: &[u8], offset: usize) -> io::Result<u16> {
    let field = bytes.get(offset..).and_then(|rest| rest.first_chunk());
    field.map(|field| u16::from_ne_bytes(*field)).ok_or_else(too_short)
}

fn read_u32(bytes: &[u8], offset: usize) -> io::Result<u32> {
    let field = bytes.get(offset..).and_then(|rest| rest.first_chunk());
    field.map(|field| u32::from_ne_bytes(*field)).ok_or_else(too_short)
}

fn too_short() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the answer about a connection is too short")
}
