//! A TCP relay between processes whose links can be delayed, cut in one or both directions, and
//! restored.
//!
//! A cut link loses no bytes: as with TCP in a network partition, they arrive after the link is
//! restored.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{broadcast, mpsc, watch};
use tokio::time::Instant;

/// State of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkState {
    /// One-way delay, in each direction.
    pub delay: Duration,
    /// Whether bytes from the dialling side are held.
    pub is_forward_cut: bool,
    /// Whether bytes to the dialling side are held.
    pub is_backward_cut: bool,
}

/// The two ends of a link, by process name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkEnds {
    /// Dialling process.
    pub from: String,
    /// Dialled process.
    pub to: String,
}

/// All links of a fleet.
#[derive(Clone)]
pub struct LinkRelay {
    links: Arc<Mutex<BTreeMap<LinkEnds, watch::Sender<LinkState>>>>,
    /// Sends the names of killed processes, so that links to them refuse connections immediately.
    killed: broadcast::Sender<String>,
    address: IpAddr,
    next_port: Arc<AtomicU16>,
}

const FIRST_PORT: u16 = 10_000;

/// Interval of connection attempts to a target that does not listen.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);

impl LinkRelay {
    /// Creates a relay without links that listens on `address`.
    pub fn new(address: IpAddr) -> Self {
        let next_port = Arc::new(AtomicU16::new(FIRST_PORT));
        Self { links: Arc::default(), killed: broadcast::Sender::new(64), address, next_port }
    }

    /// Opens a link to `target` and returns the address to dial instead. Several targets may belong
    /// to one link.
    ///
    /// The link accepts connections while the target listens, and refuses them otherwise.
    pub fn open(&self, ends: LinkEnds, target: SocketAddr, delay: Duration) -> SocketAddr {
        // The port is not chosen by the system, because a port is unused until its target listens,
        // and the system could give it to another link.
        let port = self.next_port.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::new(self.address, port);
        let name = ends.to.clone();
        let state = self.state_sender(ends, delay).subscribe();
        let killed = self.killed.subscribe();
        tokio::spawn(serve_link(address, target, state, name, killed));
        address
    }

    /// Makes all links to a killed process refuse connections until it listens again.
    pub fn refuse_until_restart(&self, name: &str) {
        // An error means that there are no links.
        let _ = self.killed.send(name.to_owned());
    }

    fn state_sender(&self, ends: LinkEnds, delay: Duration) -> watch::Sender<LinkState> {
        let state = LinkState { delay, is_forward_cut: false, is_backward_cut: false };
        let mut links = self.links.lock();
        links.entry(ends).or_insert_with(|| watch::Sender::new(state)).clone()
    }

    /// Changes the state of all links for which `chosen` returns true. Returns the number of these
    /// links.
    pub fn change(
        &self,
        chosen: impl Fn(&LinkEnds) -> bool,
        change: impl Fn(&LinkEnds, &mut LinkState),
    ) -> usize {
        let links = self.links.lock();
        let chosen = links.iter().filter(|(ends, _)| chosen(ends));
        chosen.map(|(ends, sender)| sender.send_modify(|state| change(ends, state))).count()
    }
}

/// Forwards connections from `address` to `target`. Starts to listen once the target does, and
/// stops when the target is killed or a connection to it fails.
async fn serve_link(
    address: SocketAddr,
    target: SocketAddr,
    state: watch::Receiver<LinkState>,
    name: String,
    mut killed: broadcast::Receiver<String>,
) {
    loop {
        while TcpStream::connect(target).await.is_err() {
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
        let Ok(listener) = TcpListener::bind(address).await else {
            tokio::time::sleep(PROBE_INTERVAL).await;
            continue;
        };
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((inbound, _)) = accepted else { break };
                    let Ok(outbound) = TcpStream::connect(target).await else { break };
                    tokio::spawn(forward_connection(inbound, outbound, state.clone()));
                }
                killed_name = killed.recv() => {
                    if killed_name.is_ok_and(|killed_name| killed_name == name) {
                        break;
                    }
                }
            }
        }
    }
}

async fn forward_connection(
    inbound: TcpStream,
    outbound: TcpStream,
    state: watch::Receiver<LinkState>,
) {
    // Nagle's algorithm would delay small messages. A failure only makes the link slower.
    let _ = (inbound.set_nodelay(true), outbound.set_nodelay(true));
    let (inbound_read, inbound_write) = inbound.into_split();
    let (outbound_read, outbound_write) = outbound.into_split();
    let forward =
        copy_direction(inbound_read, outbound_write, state.clone(), |state| state.is_forward_cut);
    let backward =
        copy_direction(outbound_read, inbound_write, state, |state| state.is_backward_cut);
    tokio::join!(forward, backward);
}

/// Copies bytes in one direction, with the delay of the link, and holds them while it is cut.
async fn copy_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
    is_cut: impl Fn(&LinkState) -> bool,
) {
    let (sender, mut receiver) = mpsc::channel::<(Instant, Vec<u8>)>(256);
    let delays = state.clone();
    let read = async move {
        let mut buffer = vec![0; 16 << 10];
        while let Ok(length @ 1..) = from.read(&mut buffer).await {
            let due = Instant::now() + delays.borrow().delay;
            if sender.send((due, buffer[..length].to_vec())).await.is_err() {
                return;
            }
        }
    };
    let write = async move {
        while let Some((due, bytes)) = receiver.recv().await {
            tokio::time::sleep_until(due).await;
            let is_open = state.wait_for(|state| !is_cut(state)).await.is_ok();
            if !is_open || to.write_all(&bytes).await.is_err() {
                return;
            }
        }
        // The end of the stream is held on a cut link as well.
        let _ = state.wait_for(|state| !is_cut(state)).await.is_ok();
        let _ = to.shutdown().await;
    };
    tokio::join!(read, write);
}
