//! The control thread: one thread with one actor that holds the control state, and the loops that
//! carry messages to and from it.

mod exchange;
mod fetch;
mod keeper;
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

use self::keeper::ControlKeeper;
use self::messages::{MakeStatus, NoteStamp, NoteUpstreamLeaving, StartLeaving, TickControl};
use self::server::ControlServer;
use crate::platform::PlatformSource;
use crate::shared::SharedState;

/// How often the control state is looked over and a new view is published.
const TICK: Duration = Duration::from_millis(100);

type KeeperAddress = xtra::Address<ControlKeeper>;

/// The control thread cannot listen at {peer}: {source}
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub struct ControlError {
    /// The control address.
    pub peer: SocketAddr,
    /// What went wrong.
    pub source: io::Error,
}

/// How traffic threads tell the control thread something, without waiting for it.
#[derive(Clone)]
pub struct ControlHandle {
    address: KeeperAddress,
}

impl ControlHandle {
    /// An upstream said that it is leaving.
    pub fn note_upstream_leaving(&self, upstream: UpstreamName) {
        self.tell(NoteUpstreamLeaving { upstream });
    }

    /// Somebody at a control address has this description in force.
    pub fn note_stamp(&self, stamp: DescriptionStamp, source: SocketAddr) {
        self.tell(NoteStamp { stamp, source });
    }

    /// This daemon starts to leave, and says so at once.
    pub fn start_leaving(&self) {
        self.tell(StartLeaving);
    }

    /// What operators are told.
    pub async fn status(&self) -> Option<StatusAnswer> {
        self.address.send(MakeStatus).await.ok()
    }

    fn tell<M: Send + 'static>(&self, message: M)
    where
        ControlKeeper: xtra::Handler<M>,
    {
        // The mailbox is unbounded and the actor lives as long as the process.
        drop(self.address.send(message).detach());
    }
}

/// Starts the control thread and returns once it listens.
///
/// # Errors
///
/// When the control address cannot be bound.
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
        let keeper = ControlKeeper::new(shared.clone());
        let address = xtra::spawn_tokio(keeper, Mailbox::unbounded());
        let server = ControlServer { keeper: address.clone(), shared: shared.clone() };
        let control = shared.settings.addresses.control;
        let serving = serve_control(control, server, shared.control_bytes.clone()).await;
        let serving = match serving {
            Ok(serving) => serving,
            Err(error) => return drop(ready.send(Err(error))),
        };
        // A second start in one process would be a fault of the caller; the first one stays.
        let _ = shared.control.set(ControlHandle { address: address.clone() });
        tokio::spawn(tick_loop(address.clone()));
        tokio::spawn(exchange::exchange_loop(shared.clone(), address.clone()));
        tokio::spawn(loads::poll_loop(shared.clone(), address.clone()));
        tokio::spawn(orders::order_loop(shared.clone(), address.clone()));
        tokio::spawn(watch::manifest_loop(shared.clone(), address.clone(), platform.clone()));
        tokio::spawn(watch::list_loop(shared.clone(), address.clone(), platform));
        let _ = ready.send(Ok(()));
        serving.await;
    });
}

async fn tick_loop(keeper: KeeperAddress) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if keeper.send(TickControl).await.is_err() {
            return;
        }
    }
}
