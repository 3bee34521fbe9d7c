//! The UDP socket for messages between VMs, with counts of what is sent.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::peer_message::PeerMessage;
use crate::shared::GatewayShared;

/// The interval at which the bytes sent are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The socket that this VM sends messages to other VMs from.
pub struct PeerSocket {
    socket: UdpSocket,
    shared: Arc<GatewayShared>,
}

impl PeerSocket {
    /// Opens the socket at an address.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn bind(address: SocketAddr, shared: Arc<GatewayShared>) -> io::Result<Self> {
        Ok(Self { socket: UdpSocket::bind(address).await?, shared })
    }

    /// Receives a datagram. Returns its length and its sender.
    ///
    /// # Errors
    ///
    /// If an earlier datagram could not be delivered.
    pub async fn recv_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(buffer).await
    }

    /// Sends a message to some VMs. Returns its size in bytes, or 0 if it was not sent.
    pub async fn send_to(&self, targets: &[SocketAddr], message: &PeerMessage) -> usize {
        let bytes = match message.bytes() {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::warn!(error = %error, "a message was not sent");
                return 0;
            }
        };
        self.send_bytes(targets, &bytes, message.sent_bytes_metric()).await;
        bytes.len()
    }

    /// Sends a serialized message to some VMs, and adds to the metric that counts its bytes. Errors
    /// are only logged: a failed datagram is treated like a lost one.
    pub async fn send_bytes(&self, targets: &[SocketAddr], bytes: &[u8], metric: &'static str) {
        for target in targets {
            if let Err(error) = self.socket.send_to(bytes, target).await {
                tracing::debug!(peer = %target, error = %error, "sending to a peer failed");
            }
        }
        self.shared.metrics.add_events(metric, (bytes.len() * targets.len()) as u64);
    }
}

/// Logs at intervals how many bytes were sent to other VMs since the start, by kind of message.
pub async fn log_sent_bytes(shared: Arc<GatewayShared>) {
    loop {
        sleep(LOG_INTERVAL).await;
        let sent = shared.metrics.event_counts(PeerMessage::SENT_BYTES_PREFIX);
        tracing::info!(sent = ?sent, "bytes sent to other VMs");
    }
}
