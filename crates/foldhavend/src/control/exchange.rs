//! The loop that exchanges heartbeats and summaries with other daemons.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foldhaven_wire::control::{ExchangeReply, PeerControlClient, connect_control};
use parking_lot::Mutex;

use super::KeeperAddress;
use super::messages::{EndExchange, ExchangeTarget, PlanExchanges};
use crate::shared::SharedState;

/// A call that takes longer than this counts as not answered.
pub(super) const CALL_LIMIT: Duration = Duration::from_millis(1_000);

/// Connections to control addresses, kept while calls on them succeed.
#[derive(Clone, Default)]
struct PeerConnections {
    open: Arc<Mutex<BTreeMap<SocketAddr, PeerControlClient>>>,
    calling: Arc<Mutex<std::collections::BTreeSet<SocketAddr>>>,
}

/// One call under way to an address; no second one is started until it ends.
struct CallGuard {
    connections: PeerConnections,
    address: SocketAddr,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.connections.calling.lock().remove(&self.address);
    }
}

impl PeerConnections {
    fn start_call(&self, address: SocketAddr) -> Option<CallGuard> {
        let started = self.calling.lock().insert(address);
        started.then(|| CallGuard { connections: self.clone(), address })
    }

    async fn client(&self, shared: &SharedState, address: SocketAddr) -> Option<PeerControlClient> {
        if let Some(client) = self.open.lock().get(&address) {
            return Some(client.clone());
        }
        let connecting = connect_control(address, shared.control_bytes.clone());
        let client = tokio::time::timeout(CALL_LIMIT, connecting).await.ok()?.ok()?;
        self.open.lock().insert(address, client.clone());
        Some(client)
    }

    fn drop_client(&self, address: SocketAddr) {
        self.open.lock().remove(&address);
    }
}

/// A context for one call that is given up after [`CALL_LIMIT`].
pub(super) fn call_context() -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + CALL_LIMIT;
    context
}

/// Runs a round of exchanges at each interval, and at once when there is news.
pub(super) async fn exchange_loop(shared: Arc<SharedState>, keeper: KeeperAddress) {
    let connections = PeerConnections::default();
    let interval = shared.settings.times.heartbeat.0;
    loop {
        let Ok(targets) = keeper.send(PlanExchanges).await else { return };
        for target in targets {
            let Some(guard) = connections.start_call(target.address) else { continue };
            tokio::spawn(run_exchange(shared.clone(), keeper.clone(), target, guard));
        }
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = shared.exchange_now.notified() => {}
        }
    }
}

async fn run_exchange(
    shared: Arc<SharedState>,
    keeper: KeeperAddress,
    target: ExchangeTarget,
    guard: CallGuard,
) {
    let reply = call_exchange(&shared, &target, &guard.connections).await;
    if reply.is_none() {
        let dialled = shared.settings.reroute(target.address);
        guard.connections.drop_client(dialled);
        tracing::debug!(step = "exchange", peer = %target.address, vm = ?target.vm, "not answered");
    }
    drop(guard);
    // The actor ends only with the process.
    let _ = keeper.send(EndExchange { target, reply }).await;
}

async fn call_exchange(
    shared: &SharedState,
    target: &ExchangeTarget,
    connections: &PeerConnections,
) -> Option<ExchangeReply> {
    let address = shared.settings.reroute(target.address);
    let client = connections.client(shared, address).await?;
    client.exchange(call_context(), target.request.clone()).await.ok()
}
