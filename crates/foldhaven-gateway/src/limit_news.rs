//! Tells the other VMs of the region of the limits that upstreams name: at once when one changes, and again and again to a
//! few, since datagrams are lost and VMs start.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::opaque::upstream_words::ToldLimit;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, sleep_until};

use crate::datagrams::send_to;
use crate::keeper::{KeeperAddress, PlanLimitTargets, TellOccasion};
use crate::peer_message::PeerMessage;
use crate::shared::GatewayShared;

/// Between two rounds in which all limits are told again, to a few VMs each.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Several VMs hear of a limit at once; each tells it after a moment of up to this, unless another one has.
const SHARED_PAUSE: Duration = Duration::from_millis(80);
/// How many limits go into one datagram.
const MAX_TOLD: usize = 256;

/// Tells limits until the control thread ends.
pub async fn tell_limits(
    socket: Arc<UdpSocket>,
    keeper: KeeperAddress,
    shared: Arc<GatewayShared>,
) {
    let mut next_round = Instant::now() + REPEAT_INTERVAL;
    loop {
        let told = tokio::select! {
            () = shared.limits.await_news() => tell_news(&socket, &keeper, &shared).await,
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
    let targets = keeper.send(PlanLimitTargets { occasion: TellOccasion::News }).await?;
    sleep(SHARED_PAUSE.mul_f64(rand::random())).await;
    let news = shared.limits.take_news(shared.now());
    send_limits(socket, shared, &targets, &news).await;
    Ok(())
}

async fn repeat(
    socket: &UdpSocket,
    keeper: &KeeperAddress,
    shared: &GatewayShared,
) -> Result<(), xtra::Error> {
    let limits = shared.limits.all(shared.now());
    if limits.is_empty() {
        return Ok(());
    }
    let targets = keeper.send(PlanLimitTargets { occasion: TellOccasion::Repeat }).await?;
    send_limits(socket, shared, &targets, &limits).await;
    Ok(())
}

async fn send_limits(
    socket: &UdpSocket,
    shared: &GatewayShared,
    targets: &[SocketAddr],
    limits: &[ToldLimit],
) {
    for chunk in limits.chunks(MAX_TOLD) {
        let bytes = send_to(socket, targets, &PeerMessage::Limits(chunk.to_vec())).await;
        shared.metrics.add_events("limits_told_bytes", (bytes * targets.len()) as u64);
    }
}
