//! Starts a daemon, serves, and stops it without aborting requests.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_wire::listen::listen_at;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::control::{ControlError, start_control};
use crate::platform::HttpPlatform;
use crate::settings::DaemonSettings;
use crate::shared::SharedState;
use crate::traffic::{HttpUpstream, TrafficContext, serve_callers, serve_peers};

/// Time for open connections to close after the last request has ended.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Errors that prevent a daemon from serving.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum DaemonError {
    /// listening at {peer}: {source}
    Listen {
        /// The listening address.
        peer: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// setting up {step}: {source}
    Setup {
        /// What was being set up.
        step: &'static str,
        /// The I/O error.
        source: io::Error,
    },
    /// setting up the HTTP client: {0}
    Client(reqwest::Error),
    /// {0}
    Control(ControlError),
}

/// Serves until SIGTERM or SIGINT, then drains: other VMs and callers send no new requests here,
/// and the daemon ends once all requests in flight have ended or the stop limit is reached.
///
/// # Errors
///
/// Returns an error if an address cannot be bound, or if the runtime, the HTTP client, the control
/// thread or the signal handlers cannot be set up.
pub fn run_daemon(settings: DaemonSettings) -> Result<(), DaemonError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(|source| DaemonError::Setup { step: "the runtime", source })?;
    let result = runtime.block_on(serve(settings));
    runtime.shutdown_background();
    result
}

async fn serve(settings: DaemonSettings) -> Result<(), DaemonError> {
    let addresses = settings.addresses.clone();
    let callers = listen(addresses.caller)?;
    let peers = listen(addresses.peer)?;
    let upstream = HttpUpstream::new().map_err(DaemonError::Client)?;
    let platform_client = reqwest::Client::builder()
        .connect_timeout(Duration::from_secs(1))
        .build()
        .map_err(DaemonError::Client)?;
    let platform = HttpPlatform::new(
        platform_client,
        settings.dial_address(settings.platform),
        settings.platform,
    );
    let shared = SharedState::new(settings);
    start_control(shared.clone(), Arc::new(platform)).map_err(DaemonError::Control)?;
    let context = TrafficContext { shared: shared.clone(), upstream: Arc::new(upstream) };
    let (stop, stopping) = watch::channel(false);
    let servers = [
        tokio::spawn(serve_callers(callers, context.clone(), stopping.clone())),
        tokio::spawn(serve_peers(peers, context, stopping)),
    ];
    tracing::info!(
        vm = %shared.settings.vm,
        data_centre = %shared.settings.data_centre,
        incarnation = shared.incarnation.0,
        caller = %addresses.caller,
        "serving"
    );
    wait_for_signal().await?;
    leave(&shared).await;
    stop.send_replace(true);
    for server in servers {
        // A connection that is still open afterwards is dropped. No request is in flight on it.
        let _ = timeout(CLOSE_TIMEOUT, server).await;
    }
    tracing::info!(vm = %shared.settings.vm, "ended after a planned stop");
    Ok(())
}

fn listen(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    listen_at(address).map_err(|source| DaemonError::Listen { peer: address, source })
}

async fn wait_for_signal() -> Result<(), DaemonError> {
    let watch =
        |kind| signal(kind).map_err(|source| DaemonError::Setup { step: "the signals", source });
    let mut terminate = watch(SignalKind::terminate())?;
    let mut interrupt = watch(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Announces that this VM is leaving, and waits until no more requests arrive and none is in
/// flight.
async fn leave(shared: &Arc<SharedState>) {
    tracing::info!(vm = %shared.settings.vm, in_flight = shared.in_flight(), "leaving");
    shared.start_leaving();
    if let Some(control) = shared.control.get() {
        control.start_leaving();
    }
    let entries_validity = shared.settings.times.entries_hold.0;
    let drain = async {
        tokio::time::sleep(entries_validity).await;
        // Callers that were issued a ticket before had this time to use it.
        shared.tickets.close();
        shared.wait_idle().await;
    };
    match shared.settings.times.stop_limit {
        None => drain.await,
        Some(limit) => {
            if timeout(limit.0, drain).await.is_err() {
                let in_flight = shared.in_flight();
                tracing::warn!(in_flight, "stop limit reached, aborting requests in flight");
            }
        }
    }
}
