//! A relay between processes on which a link can be delayed, cut, cut one way, and healed.
//!
//! A cut link loses nothing: like a partition under TCP, bytes wait and arrive late after the heal.

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

/// How a link fares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkState {
    /// The time that one byte needs, each way.
    pub delay: Duration,
    /// Whether bytes from the dialling side wait.
    pub is_cut_there: bool,
    /// Whether bytes to the dialling side wait.
    pub is_cut_back: bool,
}

/// The two ends of a link, by the names that the scenario uses.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkEnds {
    /// The side that dials.
    pub from: String,
    /// The side that is dialled.
    pub to: String,
}

/// All links of one fleet.
#[derive(Clone)]
pub struct LinkRelay {
    links: Arc<Mutex<BTreeMap<LinkEnds, watch::Sender<LinkState>>>>,
    /// The name of a process that was just killed, so that links to it refuse at once.
    killed: broadcast::Sender<String>,
    address: IpAddr,
    next_port: Arc<AtomicU16>,
}

const FIRST_PORT: u16 = 10_000;

/// How often a target that does not listen is tried.
const PROBE: Duration = Duration::from_millis(20);

impl LinkRelay {
    /// A relay without links, on an address of its own.
    pub fn new(address: IpAddr) -> Self {
        let next_port = Arc::new(AtomicU16::new(FIRST_PORT));
        Self { links: Arc::default(), killed: broadcast::Sender::new(64), address, next_port }
    }

    /// Opens a relay to `target` and returns the address to dial in its place. Several targets may
    /// belong to one link. While the target does not listen, the relay refuses connections.
    ///
    /// The link is carried from now on, as soon as the target listens.
    pub fn open(&self, ends: LinkEnds, target: SocketAddr, delay: Duration) -> SocketAddr {
        // Ports are counted up, not taken from the system: one that is free because its target
        // does not listen yet must not be given to another link.
        let port = self.next_port.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::new(self.address, port);
        let name = ends.to.clone();
        let state = self.sender(ends, delay).subscribe();
        let killed = self.killed.subscribe();
        tokio::spawn(serve_link(address, target, state, name, killed));
        address
    }

    /// Refuses connections to a process that was killed, until it listens again.
    pub fn note_killed(&self, name: &str) {
        // Without links nobody listens.
        let _ = self.killed.send(name.to_owned());
    }

    fn sender(&self, ends: LinkEnds, delay: Duration) -> watch::Sender<LinkState> {
        let state = LinkState { delay, is_cut_there: false, is_cut_back: false };
        let mut links = self.links.lock();
        links.entry(ends).or_insert_with(|| watch::Sender::new(state)).clone()
    }

    /// Changes the state of all links that `chosen` picks, and returns how many there were.
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

async fn serve_link(
    address: SocketAddr,
    target: SocketAddr,
    state: watch::Receiver<LinkState>,
    name: String,
    mut killed: broadcast::Receiver<String>,
) {
    loop {
        while TcpStream::connect(target).await.is_err() {
            tokio::time::sleep(PROBE).await;
        }
        let Ok(listener) = TcpListener::bind(address).await else {
            tokio::time::sleep(PROBE).await;
            continue;
        };
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((dialled, _)) = accepted else { break };
                    let Ok(reached) = TcpStream::connect(target).await else { break };
                    tokio::spawn(carry(dialled, reached, state.clone()));
                }
                gone = killed.recv() => {
                    if gone.is_ok_and(|gone| gone == name) {
                        break;
                    }
                }
            }
        }
    }
}

async fn carry(dialled: TcpStream, reached: TcpStream, state: watch::Receiver<LinkState>) {
    // Without this, small messages wait; a failure only makes the link slower.
    let _ = (dialled.set_nodelay(true), reached.set_nodelay(true));
    let (there_read, back_write) = dialled.into_split();
    let (back_read, there_write) = reached.into_split();
    let there = pump(there_read, there_write, state.clone(), |state| state.is_cut_there);
    let back = pump(back_read, back_write, state, |state| state.is_cut_back);
    tokio::join!(there, back);
}

async fn pump(
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
        // The end of the stream waits for the heal like its bytes.
        let _ = state.wait_for(|state| !is_cut(state)).await.is_ok();
        let _ = to.shutdown().await;
    };
    tokio::join!(read, write);
}
