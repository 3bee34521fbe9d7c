//! The control thread: runs the actor that owns the control state, and the tasks that exchange
//! messages with it.

mod actor;
mod exchange;
mod fetch;
mod loads;
mod messages;
mod orders;
mod publish;
mod server;
mod summary;
mod watch;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use foldhaven_core::description::DescriptionStamp;
use foldhaven_core::ids::UpstreamName;
use foldhaven_wire::control::serve_control;
use foldhaven_wire::operator::StatusAnswer;
use xtra::Mailbox;

use self::actor::ControlActor;
use self::messages::{ReadStatus, RecordStamp, RecordUpstreamLeaving, StartLeaving, TickControl};
use self::server::ControlServer;
use crate::platform::PlatformSource;
use crate::shared::SharedState;

/// Interval at which the control state is checked and a new view is published.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

type ControlAddress = xtra::Address<ControlActor>;

/// The control thread cannot listen at {peer}: {source}
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub struct ControlError {
    /// The control address of this daemon.
    pub peer: SocketAddr,
    /// The I/O error.
    pub source: io::Error,
}

/// Sends messages from traffic threads to the control thread without waiting for it to handle them.
#[derive(Clone)]
pub struct ControlHandle {
    address: ControlAddress,
}

impl ControlHandle {
    /// Records that an upstream announced that it is leaving.
    pub fn record_upstream_leaving(&self, upstream: UpstreamName) {
        self.send(RecordUpstreamLeaving { upstream });
    }

    /// Records that the daemon with the control address `source` has adopted this description.
    pub fn record_stamp(&self, stamp: DescriptionStamp, source: SocketAddr) {
        self.send(RecordStamp { stamp, source });
    }

    /// Starts to drain this daemon and announces that to other daemons at once.
    pub fn start_leaving(&self) {
        self.send(StartLeaving);
    }

    /// Returns the status report for operators, `None` if the control actor has ended.
    pub async fn status(&self) -> Option<StatusAnswer> {
        self.address.send(ReadStatus).await.ok()
    }

    fn send<M: Send + 'static>(&self, message: M)
    where
        ControlActor: xtra::Handler<M>,
    {
        // The mailbox is unbounded and the actor lives as long as the process.
        drop(self.address.send(message).detach());
    }
}

/// Starts the control thread and returns once it listens on the control address.
///
/// # Errors
///
/// Returns an error if the thread or its runtime cannot be started, or if the control address
/// cannot be bound.
pub fn start_control(
    shared: Arc<SharedState>,
    platform: Arc<dyn PlatformSource>,
) -> Result<(), ControlError> {
    let (ready, started) = mpsc::channel();
    let peer = shared.settings.addresses.control;
    let body = move || run_control(shared, platform, ready);
    let spawned = thread::Builder::new().name("control".to_owned()).spawn(body);
    spawned.map_err(|source| ControlError { peer, source })?;
    let result = started.recv().unwrap_or_else(|_| Err(io::ErrorKind::BrokenPipe.into()));
    result.map_err(|source| ControlError { peer, source })
}

fn run_control(
    shared: Arc<SharedState>,
    platform: Arc<dyn PlatformSource>,
    ready: mpsc::Sender<io::Result<()>>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return drop(ready.send(Err(error))),
    };
    runtime.block_on(async move {
        let actor = ControlActor::new(shared.clone());
        let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
        let server = ControlServer { actor: address.clone(), shared: shared.clone() };
        let control = shared.settings.addresses.control;
        let listening = serve_control(control, server, shared.control_bytes.clone()).await;
        let listening = match listening {
            Ok(listening) => listening,
            Err(error) => return drop(ready.send(Err(error))),
        };
        // A second start in one process is a bug of the caller. The first handle is kept.
        let _ = shared.control.set(ControlHandle { address: address.clone() });
        tokio::spawn(tick_loop(address.clone()));
        tokio::spawn(exchange::exchange_loop(shared.clone(), address.clone()));
        tokio::spawn(loads::poll_loop(shared.clone(), address.clone()));
        tokio::spawn(orders::order_loop(shared.clone(), address.clone()));
        tokio::spawn(watch::manifest_loop(shared.clone(), address.clone(), platform.clone()));
        tokio::spawn(watch::upstream_list_loop(shared.clone(), address.clone(), platform));
        let _ = ready.send(Ok(()));
        listening.await;
    });
}

async fn tick_loop(actor: ControlAddress) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if actor.send(TickControl).await.is_err() {
            return;
        }
    }
}
