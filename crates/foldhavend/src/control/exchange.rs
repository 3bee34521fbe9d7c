//! The task that exchanges heartbeats and summaries with other daemons.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foldhaven_wire::control::{ExchangeReply, PeerControlClient, connect_control};
use parking_lot::Mutex;

use super::ControlAddress;
use super::messages::{EndExchange, ExchangeTarget, PlanExchanges};
use crate::shared::SharedState;

/// Time after which a call counts as unanswered.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Connections to control addresses. A connection is kept while calls on it succeed.
#[derive(Clone, Default)]
struct PeerConnections {
    clients: Arc<Mutex<BTreeMap<SocketAddr, PeerControlClient>>>,
    /// Addresses with a call in flight.
    in_flight: Arc<Mutex<std::collections::BTreeSet<SocketAddr>>>,
}

/// Marks a call in flight to an address. No second call to it is started until the guard is
/// dropped.
struct CallGuard {
    connections: PeerConnections,
    address: SocketAddr,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.connections.in_flight.lock().remove(&self.address);
    }
}

impl PeerConnections {
    fn start_call(&self, address: SocketAddr) -> Option<CallGuard> {
        let started = self.in_flight.lock().insert(address);
        started.then(|| CallGuard { connections: self.clone(), address })
    }

    async fn client(&self, shared: &SharedState, address: SocketAddr) -> Option<PeerControlClient> {
        if let Some(client) = self.clients.lock().get(&address) {
            return Some(client.clone());
        }
        let connecting = connect_control(address, shared.control_bytes.clone());
        let client = tokio::time::timeout(CALL_TIMEOUT, connecting).await.ok()?.ok()?;
        self.clients.lock().insert(address, client.clone());
        Some(client)
    }

    fn close(&self, address: SocketAddr) {
        self.clients.lock().remove(&address);
    }
}

/// Returns the context of a call that times out after [`CALL_TIMEOUT`].
pub(super) fn call_context() -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + CALL_TIMEOUT;
    context
}

/// Runs a round of exchanges at each heartbeat interval, and at once when there is an update to
/// announce.
pub(super) async fn exchange_loop(shared: Arc<SharedState>, actor: ControlAddress) {
    let connections = PeerConnections::default();
    let interval = shared.settings.times.heartbeat.0;
    loop {
        let Ok(targets) = actor.send(PlanExchanges).await else { return };
        for target in targets {
            let Some(guard) = connections.start_call(target.address) else { continue };
            tokio::spawn(run_exchange(shared.clone(), actor.clone(), target, guard));
        }
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = shared.exchange_wakeup.notified() => {}
        }
    }
}

async fn run_exchange(
    shared: Arc<SharedState>,
    actor: ControlAddress,
    target: ExchangeTarget,
    guard: CallGuard,
) {
    let reply = call_exchange(&shared, &target, &guard.connections).await;
    if reply.is_none() {
        let dialled = shared.settings.dial_address(target.address);
        guard.connections.close(dialled);
        tracing::debug!(step = "exchange", peer = %target.address, vm = ?target.vm, "exchange not answered");
    }
    drop(guard);
    // Sending fails only when the process ends.
    let _ = actor.send(EndExchange { target, reply }).await;
}

async fn call_exchange(
    shared: &SharedState,
    target: &ExchangeTarget,
    connections: &PeerConnections,
) -> Option<ExchangeReply> {
    let address = shared.settings.dial_address(target.address);
    let client = connections.client(shared, address).await?;
    client.exchange(call_context(), target.request.clone()).await.ok()
}
