//! Connections to upstreams and other VMs, pooled for reuse.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use foldhaven_core::health::TargetHealth;
use foldhaven_core::opaque::round_trip::RoundTrip;
use foldhaven_core::time::MonoTime;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;

use crate::clock::{BootInstant, timeout};
use crate::silent_peers::{SILENCE_TIMEOUT, detect_silence};
use crate::watched_stream::WatchedStream;

/// Connect timeout within a region, whose data centres are a few milliseconds apart. Connections to
/// other regions have [`REMOTE_CONNECT_TIMEOUT`].
pub const LOCAL_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Connect timeout between regions, which are about 55 ms apart one way.
pub const REMOTE_CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum idle time of a connection to an upstream that is reused. A shorter keep-alive timeout of
/// the peer takes precedence.
pub const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Maximum idle time of a reused connection between VMs, which keep idle connections open for 20 s.
pub const PEER_IDLE_LIMIT: Duration = Duration::from_secs(15);
/// Maximum number of idle connections to one address until a limit is set.
const INITIAL_MAX_IDLE: usize = 24;

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
    /// If it is not established within the limit.
    pub async fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let connecting = timeout(limit, TcpStream::connect(address)).await;
        let stream = connecting.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        configure_socket(&stream, SILENCE_TIMEOUT)?;
        let io = TokioIo::new(WatchedStream::new(stream));
        let (sender, driver) = handshake(io).await.map_err(io::Error::other)?;
        tokio::spawn(async move {
            // Connection errors are reported by the calls on the connection.
            let _ = driver.await;
        });
        Ok(Self { sender, idle_since: BootInstant::now(), idle_limit: IDLE_LIMIT })
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    fn is_usable(&self) -> bool {
        self.sender.is_ready() && self.idle_since.elapsed() < self.idle_limit
    }
}

/// Sets the socket options that detect a silent peer on an idle connection, and disables Nagle's algorithm.
/// `unread_limit` holds for a peer that reads nothing, if that cannot be told from silence.
pub fn configure_socket(stream: &TcpStream, unread_limit: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    detect_silence(stream, unread_limit)
}

/// Measures the round-trip time when connections are established. The pools of several addresses
/// may share one.
pub struct RoundTripMeter {
    round_trip: Mutex<RoundTrip>,
    created: BootInstant,
}

impl Default for RoundTripMeter {
    fn default() -> Self {
        Self { round_trip: Mutex::default(), created: BootInstant::now() }
    }
}

impl RoundTripMeter {
    /// Returns the shortest recent round-trip time. `None` before the first measurement.
    pub fn shortest(&self) -> Option<Duration> {
        self.round_trip.lock().shortest()
    }

    fn record(&self, measured: Duration) {
        let now = MonoTime::default() + self.created.elapsed();
        self.round_trip.lock().record(measured, now);
    }
}

/// The idle connections to one address.
pub struct ConnectionPool {
    idle: Mutex<Vec<Connection>>,
    max_idle: AtomicUsize,
    /// Maximum idle time of a reused connection, if its peer names no shorter one.
    idle_limit: Duration,
    /// The recent failures to open a connection.
    opening: Mutex<TargetHealth>,
    created: BootInstant,
    /// `None` if nobody asks for the round-trip time.
    meter: Option<Arc<RoundTripMeter>>,
}

impl ConnectionPool {
    /// Creates a pool that reuses connections up to the given idle time.
    pub fn new(idle_limit: Duration) -> Self {
        let max_idle = AtomicUsize::new(INITIAL_MAX_IDLE);
        Self {
            idle: Mutex::default(),
            max_idle,
            idle_limit,
            opening: Mutex::default(),
            created: BootInstant::now(),
            meter: None,
        }
    }

    /// Creates a pool that also records the round-trip times of its connections.
    pub fn with_meter(idle_limit: Duration, meter: Arc<RoundTripMeter>) -> Self {
        Self { meter: Some(meter), ..Self::new(idle_limit) }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// If it is not established within the limit. If nobody answered, the idle connections are
    /// closed, since they are probably dead as well. If it was refused, they may still work.
    pub async fn open(&self, address: SocketAddr, limit: Duration) -> io::Result<Connection> {
        let started = BootInstant::now();
        let opened = Connection::open(address, limit).await;
        match opened {
            Ok(_) => self.opening.lock().record_success(),
            Err(_) => self.opening.lock().record_failure(true, self.now()),
        }
        if opened.as_ref().is_err_and(|error| error.kind() == io::ErrorKind::TimedOut) {
            self.clear();
        }
        let connection = opened?;
        if let Some(meter) = &self.meter {
            meter.record(started.elapsed());
        }
        Ok(connection)
    }

    fn now(&self) -> MonoTime {
        MonoTime::default() + self.created.elapsed()
    }

    /// Whether a request can probably be sent: on a usable connection or on a new one. Connections
    /// that are open may continue to work while new ones are refused.
    pub fn can_send(&self) -> bool {
        !self.opening.lock().is_ejected(self.now()) || self.has_usable_connection()
    }

    /// Whether the last attempt to open a connection failed.
    pub fn is_failing_to_open(&self) -> bool {
        self.opening.lock().is_failing()
    }

    /// Forgets the failures to open a connection, since their cause has ended.
    pub fn forget_failures(&self) {
        self.opening.lock().record_success();
    }

    /// Whether the pool has a usable connection.
    pub fn has_usable_connection(&self) -> bool {
        self.idle.lock().iter().any(Connection::is_usable)
    }

    /// Takes the most recently used connection that is still usable.
    pub fn take(&self) -> Option<Connection> {
        let mut idle = self.idle.lock();
        while let Some(connection) = idle.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool, after its answer was read completely. `limit` is how long
    /// it may stay idle by the keep-alive timeout of its peer.
    pub fn put(&self, mut connection: Connection, limit: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        connection.idle_since = BootInstant::now();
        connection.idle_limit = limit.map_or(self.idle_limit, |limit| limit.min(self.idle_limit));
        let mut idle = self.idle.lock();
        if idle.len() < self.max_idle.load(Ordering::Relaxed) {
            idle.push(connection);
        }
    }

    /// Sets the maximum number of idle connections, and closes those beyond it, the oldest first.
    pub fn set_max_idle(&self, count: usize) {
        self.max_idle.store(count, Ordering::Relaxed);
        let mut idle = self.idle.lock();
        let surplus = idle.len().saturating_sub(count);
        idle.drain(..surplus);
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.lock().clear();
    }
}
