//! Tells the other VMs of the region what upstreams say of themselves: at once when something changes, and again and again
//! to a few, since datagrams are lost and VMs start.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::opaque::upstream_signals::{LeavingNotice, LimitNotice};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, sleep_until};

use crate::datagrams::send_to;
use crate::keeper::{KeeperAddress, PlanSignalTargets, TellOccasion};
use crate::peer_message::PeerMessage;
use crate::shared::GatewayShared;

/// Between two rounds in which all is told again, to a few VMs each.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Several VMs hear one upstream at once; each tells of it after a moment of up to this, unless another one has.
const SHARED_PAUSE: Duration = Duration::from_millis(80);
/// How many upstreams go into one datagram.
const MAX_TOLD: usize = 256;

/// What VMs are told in one round.
struct SignalBatch {
    limits: Vec<LimitNotice>,
    leavers: Vec<LeavingNotice>,
}

impl SignalBatch {
    fn is_empty(&self) -> bool {
        self.limits.is_empty() && self.leavers.is_empty()
    }

    fn messages(&self) -> impl Iterator<Item = PeerMessage> {
        let limits = self.limits.chunks(MAX_TOLD).map(|it| PeerMessage::Limits(it.to_vec()));
        let leavers = self.leavers.chunks(MAX_TOLD).map(|it| PeerMessage::Leavers(it.to_vec()));
        limits.chain(leavers)
    }
}

/// Tells until the control thread ends.
pub async fn tell_signals(
    socket: Arc<UdpSocket>,
    keeper: KeeperAddress,
    shared: Arc<GatewayShared>,
) {
    let mut next_round = Instant::now() + REPEAT_INTERVAL;
    loop {
        let told = tokio::select! {
            () = shared.limits.await_news() => tell_news(&socket, &keeper, &shared).await,
            () = shared.leavers.await_news() => tell_news(&socket, &keeper, &shared).await,
            () = sleep_until(next_round) => {
                next_round = Instant::now() + REPEAT_INTERVAL;
                repeat(&socket, &keeper, &shared).await
            }
        };
        if told.is_err() {
            return;
        }
    }
}

async fn tell_news(
    socket: &UdpSocket,
    keeper: &KeeperAddress,
    shared: &GatewayShared,
) -> Result<(), xtra::Error> {
    let targets = keeper.send(PlanSignalTargets { occasion: TellOccasion::News }).await?;
    sleep(SHARED_PAUSE.mul_f64(rand::random())).await;
    let now = shared.now();
    let limits = shared.limits.take_news(now);
    let batch = SignalBatch { limits, leavers: shared.leavers.take_news(now) };
    send_signals(socket, shared, &targets, &batch).await;
    Ok(())
}

async fn repeat(
    socket: &UdpSocket,
    keeper: &KeeperAddress,
    shared: &GatewayShared,
) -> Result<(), xtra::Error> {
    let now = shared.now();
    let limits = shared.limits.all(now);
    let batch = SignalBatch { limits, leavers: shared.leavers.all(now) };
    if batch.is_empty() {
        return Ok(());
    }
    let targets = keeper.send(PlanSignalTargets { occasion: TellOccasion::Repeat }).await?;
    send_signals(socket, shared, &targets, &batch).await;
    Ok(())
}

async fn send_signals(
    socket: &UdpSocket,
    shared: &GatewayShared,
    targets: &[SocketAddr],
    batch: &SignalBatch,
) {
    for message in batch.messages() {
        let bytes = send_to(socket, targets, &message).await;
        shared.metrics.add_events("upstream_signals_told_bytes", (bytes * targets.len()) as u64);
    }
}
