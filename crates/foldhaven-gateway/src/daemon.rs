//! The life of a gateway daemon: one thread for control, one for traffic.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use foldhaven_core::ids::IncarnationId;
use foldhaven_wire::listen::listen_at;
use tokio::net::UdpSocket;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use xtra::Mailbox;

use crate::caller_front::{CallerHandler, ReadyHandler};
use crate::control::{ControlActor, ControlAddress, TickControl};
use crate::datagrams::{
    receive_datagrams, send_agreements, send_demands, send_heartbeats, send_reports, send_updates,
};
use crate::directory::{DirectoryCodec, DirectoryHandler};
use crate::feed::{FeedSink, PlatformFeed};
use crate::front::{FrontHandler, serve_front};
use crate::names::HeaderNames;
use crate::news_teller::tell_until_end;
use crate::operator_front::OperatorHandler;
use crate::peer_front::PeerHandler;
use crate::peer_state::follow_peers;
use crate::reload::follow_settings;
use crate::settings::GatewaySettings;
use crate::shared::GatewayShared;
use crate::signal_news::SignalTeller;
use crate::stop::stop_on_signal;
use crate::suspect_news::SuspectTeller;
use crate::warm_links::keep_links_warm;

/// How often the control state is looked over.
const TICK: Duration = Duration::from_millis(250);

/// What a platform supplies.
pub struct GatewayParts {
    /// Its header names.
    pub names: HeaderNames,
    /// How callers ask which VMs to use.
    pub codec: Arc<dyn DirectoryCodec>,
    /// What it publishes.
    pub feed: Arc<dyn PlatformFeed>,
    /// The file of the settings, which may change while the daemon runs.
    pub settings_path: PathBuf,
}

/// Why a daemon could not serve.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum DaemonError {
    /// listening at {peer}: {source}
    Listen {
        /// The address.
        peer: SocketAddr,
        /// What went wrong.
        source: io::Error,
    },
    /// setting up {step}: {source}
    Setup {
        /// What was being set up.
        step: &'static str,
        /// What went wrong.
        source: io::Error,
    },
}

/// Serves until it is told to stop, and returns after a planned stop.
///
/// # Errors
///
/// When an address cannot be bound or a runtime cannot be set up.
pub fn run_gateway(settings: GatewaySettings, parts: GatewayParts) -> Result<(), DaemonError> {
    for field in settings.unknown.keys() {
        tracing::warn!(field, "unknown field of the settings ignored");
    }
    let shared = GatewayShared::new(settings, parts.names);
    let traffic = make_runtime("the traffic runtime")?;
    let control = make_runtime("the control runtime")?;
    start_control(control, shared.clone(), parts.feed, parts.settings_path)?;
    traffic.block_on(serve(shared, parts.codec))
}

fn make_runtime(step: &'static str) -> Result<Runtime, DaemonError> {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.map_err(|source| DaemonError::Setup { step, source })
}

async fn serve(
    shared: Arc<GatewayShared>,
    codec: Arc<dyn DirectoryCodec>,
) -> Result<(), DaemonError> {
    let addresses = shared.settings.addresses.clone();
    start_front(&shared, addresses.caller, Arc::new(CallerHandler { shared: shared.clone() }))?;
    start_front(&shared, addresses.ready, Arc::new(ReadyHandler { shared: shared.clone() }))?;
    let directory = Arc::new(DirectoryHandler { shared: shared.clone(), codec });
    start_front(&shared, addresses.directory, directory)?;
    let operator = Arc::new(OperatorHandler { shared: shared.clone() });
    start_front(&shared, addresses.operator, operator.clone())?;
    if let Some(metrics) = addresses.metrics {
        start_front(&shared, metrics, operator)?;
    }
    start_front(&shared, addresses.peer, Arc::new(PeerHandler::new(shared.clone())))?;
    tokio::spawn(keep_links_warm(shared.clone()));
    tracing::info!(
        vm = %shared.settings.vm,
        data_centre = %shared.settings.data_centre,
        caller = %addresses.caller,
        "serving"
    );
    let stopping = stop_on_signal(shared).await;
    stopping.map_err(|source| DaemonError::Setup { step: "the signals", source })
}

fn start_front(
    shared: &Arc<GatewayShared>,
    address: SocketAddr,
    handler: Arc<dyn FrontHandler>,
) -> Result<(), DaemonError> {
    let listener = listen_at(address);
    let listener = listener.map_err(|source| DaemonError::Listen { peer: address, source })?;
    tokio::spawn(serve_front(listener, handler, shared.stage.subscribe()));
    Ok(())
}

fn start_control(
    runtime: Runtime,
    shared: Arc<GatewayShared>,
    feed: Arc<dyn PlatformFeed>,
    settings_path: PathBuf,
) -> Result<(), DaemonError> {
    let peer = shared.settings.addresses.peer;
    let socket = runtime.block_on(UdpSocket::bind(peer));
    let socket = socket.map_err(|source| DaemonError::Listen { peer, source })?;
    let spawned = thread::Builder::new().name("control".to_owned()).spawn(move || {
        runtime.block_on(run_control(shared, Arc::new(socket), feed, settings_path))
    });
    spawned.map(drop).map_err(|source| DaemonError::Setup { step: "the control thread", source })
}

async fn run_control(
    shared: Arc<GatewayShared>,
    socket: Arc<UdpSocket>,
    feed: Arc<dyn PlatformFeed>,
    settings_path: PathBuf,
) {
    let incarnation = new_incarnation();
    let (news, told) = mpsc::unbounded_channel();
    let control = ControlActor::new(shared.clone(), incarnation, news);
    let read_assignments = control.read_assignments();
    let is_rate_used = control.rate_watch();
    let address = xtra::spawn_tokio(control, Mailbox::unbounded());
    tokio::spawn(receive_datagrams(socket.clone(), address.clone(), shared.clone()));
    tokio::spawn(send_updates(socket.clone(), told, shared.clone()));
    tokio::spawn(send_reports(socket.clone(), address.clone()));
    let control = address.clone();
    let suspects = SuspectTeller { socket: socket.clone(), control, shared: shared.clone() };
    tokio::spawn(tell_until_end(suspects));
    tokio::spawn(send_agreements(socket.clone(), address.clone(), is_rate_used));
    let control = address.clone();
    let signals = SignalTeller { socket: socket.clone(), control, shared: shared.clone() };
    tokio::spawn(tell_until_end(signals));
    tokio::spawn(send_demands(socket.clone(), address.clone()));
    tokio::spawn(send_heartbeats(socket, address.clone(), shared.clone()));
    tokio::spawn(follow_settings(settings_path, shared.settings.clone(), address.clone()));
    tokio::spawn(follow_peers(shared, address.clone()));
    tokio::spawn(tick(address.clone()));
    feed.run(FeedSink::new(address, read_assignments)).await;
}

async fn tick(control: ControlAddress) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if control.send(TickControl).await.is_err() {
            return;
        }
    }
}

/// The process lifetime that starts now. Clocks may be set back between two starts of a VM by less
/// than a start takes.
fn new_incarnation() -> IncarnationId {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    IncarnationId(since_epoch.as_millis() as u64)
}
