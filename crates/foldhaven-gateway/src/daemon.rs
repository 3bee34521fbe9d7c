//! Sets up a gateway daemon, with one thread for control and one for traffic.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use foldhaven_core::ids::IncarnationId;
use foldhaven_wire::listen::listen_at;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use xtra::Mailbox;

use crate::caller_front::{CallerHandler, ReadyHandler};
use crate::control::{ControlActor, ControlAddress, TickControl};
use crate::datagrams::{
    receive_datagrams, send_agreements, send_demands, send_heartbeats, send_reports, send_speeds,
    send_updates,
};
use crate::directory::{DirectoryCodec, DirectoryHandler};
use crate::feed::{FeedSink, PlatformFeed};
use crate::front::{FrontHandler, serve_front};
use crate::names::HeaderNames;
use crate::operator_front::OperatorHandler;
use crate::origin_sender::OriginSender;
use crate::path_prober::probe_lost_paths;
use crate::path_sender::PathSender;
use crate::peer_front::PeerHandler;
use crate::peer_socket::{PeerSocket, log_sent_bytes};
use crate::peer_state::sync_with_peers;
use crate::reload::watch_settings;
use crate::settings::GatewaySettings;
use crate::shared::GatewayShared;
use crate::signal_sender::SignalSender;
use crate::stop::stop_on_signal;
use crate::suspect_sender::SuspectSender;
use crate::update_sender::run_update_sender;
use crate::warm_links::keep_links_warm;

/// Interval between two periodic checks of the control state.
const TICK: Duration = Duration::from_millis(250);

/// The platform-specific parts of a gateway daemon.
pub struct PlatformAdapter {
    /// The header names of the platform.
    pub names: HeaderNames,
    /// The format in which callers ask which VMs to use.
    pub codec: Arc<dyn DirectoryCodec>,
    /// The source of the platform state.
    pub feed: Arc<dyn PlatformFeed>,
    /// The path of the settings file, which may change while the daemon runs.
    pub settings_path: PathBuf,
}

/// Why a daemon could not be started.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum DaemonError {
    /// listening at {peer}: {source}
    Listen {
        /// The address.
        peer: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// setting up {step}: {source}
    Setup {
        /// What could not be set up.
        step: &'static str,
        /// The cause.
        source: io::Error,
    },
}

/// Runs the daemon until it receives a signal to stop. Returns after the planned stop.
///
/// # Errors
///
/// If an address cannot be bound or a runtime cannot be set up.
pub fn run_gateway(settings: GatewaySettings, adapter: PlatformAdapter) -> Result<(), DaemonError> {
    for field in settings.unknown.keys() {
        tracing::warn!(field, "unknown settings field ignored");
    }
    let shared = GatewayShared::new(settings, adapter.names);
    let traffic = build_runtime("the traffic runtime")?;
    let control = build_runtime("the control runtime")?;
    start_control(control, shared.clone(), adapter.feed, adapter.settings_path)?;
    traffic.block_on(serve(shared, adapter.codec))
}

fn build_runtime(step: &'static str) -> Result<Runtime, DaemonError> {
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
    tokio::spawn(probe_lost_paths(shared.clone()));
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
    tokio::spawn(serve_front(listener, handler, shared.clone()));
    Ok(())
}

fn start_control(
    runtime: Runtime,
    shared: Arc<GatewayShared>,
    feed: Arc<dyn PlatformFeed>,
    settings_path: PathBuf,
) -> Result<(), DaemonError> {
    let peer = shared.settings.addresses.peer;
    let socket = runtime.block_on(PeerSocket::bind(peer, shared.clone()));
    let socket = socket.map_err(|source| DaemonError::Listen { peer, source })?;
    let spawned = thread::Builder::new().name("control".to_owned()).spawn(move || {
        runtime.block_on(run_control(shared, Arc::new(socket), feed, settings_path))
    });
    spawned.map(drop).map_err(|source| DaemonError::Setup { step: "the control thread", source })
}

async fn run_control(
    shared: Arc<GatewayShared>,
    socket: Arc<PeerSocket>,
    feed: Arc<dyn PlatformFeed>,
    settings_path: PathBuf,
) {
    let incarnation = new_incarnation();
    let (updates, pending_updates) = mpsc::unbounded_channel();
    let control = ControlActor::new(shared.clone(), incarnation, updates);
    let read_assignments = control.read_assignments();
    let is_rate_used = control.rate_watch();
    let address = xtra::spawn_tokio(control, Mailbox::unbounded());
    tokio::spawn(receive_datagrams(socket.clone(), address.clone(), shared.clone()));
    tokio::spawn(send_updates(socket.clone(), pending_updates, shared.clone()));
    tokio::spawn(send_reports(socket.clone(), address.clone()));
    let control = address.clone();
    let suspects = SuspectSender { socket: socket.clone(), control, shared: shared.clone() };
    tokio::spawn(run_update_sender(suspects));
    tokio::spawn(send_agreements(socket.clone(), address.clone(), is_rate_used));
    let control = address.clone();
    let signals = SignalSender { socket: socket.clone(), control, shared: shared.clone() };
    tokio::spawn(run_update_sender(signals));
    let control = address.clone();
    let paths = PathSender { socket: socket.clone(), control, shared: shared.clone() };
    tokio::spawn(run_update_sender(paths));
    let origins = OriginSender { socket: socket.clone(), shared: shared.clone() };
    tokio::spawn(origins.run());
    tokio::spawn(send_demands(socket.clone(), address.clone()));
    tokio::spawn(send_speeds(socket.clone(), address.clone()));
    tokio::spawn(send_heartbeats(socket, address.clone(), shared.clone()));
    tokio::spawn(watch_settings(settings_path, shared.settings.clone(), address.clone()));
    tokio::spawn(sync_with_peers(shared.clone(), address.clone()));
    tokio::spawn(tick(address.clone()));
    tokio::spawn(log_sent_bytes(shared.clone()));
    feed.run(FeedSink::new(address, read_assignments, shared.probe_request.clone())).await;
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

/// Returns the incarnation of a process that starts now. It is later than that of the previous
/// process of this VM, provided that the clock was set back in between by less than a start takes.
fn new_incarnation() -> IncarnationId {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    IncarnationId(since_epoch.as_millis() as u64)
}
