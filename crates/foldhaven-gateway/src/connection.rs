//! Connections to upstreams and other VMs, kept for further requests.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use foldhaven_core::opaque::round_trip::RoundTrip;
use foldhaven_core::time::MonoTime;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use crate::clock::{BootInstant, timeout};

/// How long a connection may take to come up. Data centres of one region are a few milliseconds
/// apart; other regions need longer and have [`FAR_CONNECT_LIMIT`].
pub const NEAR_CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// The same between regions, which are some 55 ms apart one way.
pub const FAR_CONNECT_LIMIT: Duration = Duration::from_millis(800);
/// Sent bytes that are not acknowledged for this long end the connection: a VM that lost its power
/// or was cut off says nothing.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(2_000);
/// Pause before and between probes of a silent connection.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes that stay unanswered before the connection ends.
const PROBES: u32 = 2;
/// A kept connection is not used again after this long, unless its peer named a shorter time.
pub const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// The same between VMs, whose fronts keep resting connections for 20 s.
pub const PEER_IDLE_LIMIT: Duration = Duration::from_secs(15);
/// How many unused connections are kept to one address, before a limit was set.
const FIRST_KEPT: usize = 24;

/// A connection on which one request at a time can be sent.
pub struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    idle_since: BootInstant,
    idle_limit: Duration,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// When it does not come up within the limit.
    pub async fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let connecting = timeout(limit, TcpStream::connect(address)).await;
        let stream = connecting.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        prepare(&stream)?;
        let (sender, driver) = handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        tokio::spawn(async move {
            // How a connection ends shows in the calls that were made on it.
            let _ = driver.await;
        });
        Ok(Self { sender, idle_since: BootInstant::now(), idle_limit: IDLE_LIMIT })
    }

    /// Whether its peer has ended it.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    fn is_usable(&self) -> bool {
        self.sender.is_ready() && self.idle_since.elapsed() < self.idle_limit
    }
}

/// Sets the options by which a dead peer is noticed, and sends small messages at once.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// The unused connections to one address.
pub struct ConnectionPool {
    idle: Mutex<Vec<Connection>>,
    most_kept: AtomicUsize,
    /// How long an unused connection is kept, where its peer names no shorter time.
    idle_limit: Duration,
    /// The way there and back, by how long connections took to come up.
    round_trip: Mutex<RoundTrip>,
    made: BootInstant,
}

impl ConnectionPool {
    /// A pool that keeps unused connections for so long.
    pub fn new(idle_limit: Duration) -> Self {
        Self {
            idle: Mutex::default(),
            most_kept: AtomicUsize::new(FIRST_KEPT),
            idle_limit,
            round_trip: Mutex::default(),
            made: BootInstant::now(),
        }
    }

    /// Opens a connection, and measures the way there and back.
    ///
    /// # Errors
    ///
    /// When it does not come up within the limit.
    pub async fn open(&self, address: SocketAddr, limit: Duration) -> io::Result<Connection> {
        let begun = BootInstant::now();
        let connection = Connection::open(address, limit).await?;
        let now = MonoTime::default() + self.made.elapsed();
        self.round_trip.lock().record(begun.elapsed(), now);
        Ok(connection)
    }

    /// The shortest way there and back that was measured lately.
    pub fn round_trip(&self) -> Option<Duration> {
        self.round_trip.lock().shortest()
    }

    /// Whether a request would find a connection that is open already.
    pub fn has_open(&self) -> bool {
        self.idle.lock().iter().any(Connection::is_usable)
    }

    /// Takes the connection that was used last, if one is still usable.
    pub fn take(&self) -> Option<Connection> {
        let mut idle = self.idle.lock();
        while let Some(connection) = idle.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read whole. `limit` is how long its peer keeps it.
    pub fn put(&self, mut connection: Connection, limit: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        connection.idle_since = BootInstant::now();
        connection.idle_limit = limit.map_or(self.idle_limit, |limit| limit.min(self.idle_limit));
        let mut idle = self.idle.lock();
        if idle.len() < self.most_kept.load(Ordering::Relaxed) {
            idle.push(connection);
        }
    }

    /// Limits how many unused connections are kept; those beyond are closed, the oldest first.
    pub fn keep_at_most(&self, count: usize) {
        self.most_kept.store(count, Ordering::Relaxed);
        let mut idle = self.idle.lock();
        let surplus = idle.len().saturating_sub(count);
        idle.drain(..surplus);
    }

    /// Closes all unused connections.
    pub fn clear(&self) {
        self.idle.lock().clear();
    }
}
