//! Tells other VMs of requests under which upstreams ended: at once when something changes, and what holds requests back
//! again and again, since datagrams are lost and VMs are cut off.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::opaque::suspects::{MAX_TOLD, NewsReach, SuspectNews, SuspectRecord};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, sleep_until};

use crate::datagrams::send_to;
use crate::keeper::{KeeperAddress, PlanSuspectTargets, SuspectTargets, TellOccasion};
use crate::peer_message::{PeerMessage, SuspectTelling};
use crate::shared::GatewayShared;

/// Between two rounds in which what holds requests back is told again. Four VMs hear it in a round, and so hundreds
/// within seconds.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
/// What several VMs have come to at once is told after a moment of up to this, unless another one tells it first.
const SHARED_PAUSE: Duration = Duration::from_millis(80);

/// Tells news until the control thread ends.
pub async fn tell_suspects(
    socket: Arc<UdpSocket>,
    keeper: KeeperAddress,
    shared: Arc<GatewayShared>,
) {
    let mut next_round = Instant::now() + REPEAT_INTERVAL;
    loop {
        let told = tokio::select! {
            () = shared.suspects.await_news() => tell_news(&socket, &keeper, &shared).await,
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

/// Tells what has changed.
async fn tell_news(
    socket: &UdpSocket,
    keeper: &KeeperAddress,
    shared: &GatewayShared,
) -> Result<(), xtra::Error> {
    tell(socket, keeper, shared, shared.suspects.take_news()).await?;
    sleep(SHARED_PAUSE.mul_f64(rand::random())).await;
    // What has come up meanwhile goes first.
    tell(socket, keeper, shared, shared.suspects.take_news()).await?;
    tell(socket, keeper, shared, shared.suspects.take_shared_news()).await
}

async fn tell(
    socket: &UdpSocket,
    keeper: &KeeperAddress,
    shared: &GatewayShared,
    news: Vec<SuspectNews>,
) -> Result<(), xtra::Error> {
    if news.is_empty() {
        return Ok(());
    }
    let SuspectTargets { near, far } =
        keeper.send(PlanSuspectTargets { occasion: TellOccasion::News }).await?;
    let wide = news.iter().filter(|news| news.reach == NewsReach::Wide);
    let wide: Vec<SuspectRecord> = wide.map(|news| news.record.clone()).collect();
    let all: Vec<SuspectRecord> = news.into_iter().map(|news| news.record).collect();
    send_records(socket, shared, &far, &wide).await;
    send_records(socket, shared, &near, &all).await;
    Ok(())
}

/// Tells a few VMs again what holds requests back. Nothing is sent while nothing does.
async fn repeat(
    socket: &UdpSocket,
    keeper: &KeeperAddress,
    shared: &GatewayShared,
) -> Result<(), xtra::Error> {
    let records = shared.suspects.next_repeated(shared.now());
    if records.is_empty() {
        return Ok(());
    }
    let SuspectTargets { near, far } =
        keeper.send(PlanSuspectTargets { occasion: TellOccasion::Repeat }).await?;
    send_records(socket, shared, &far, &records).await;
    send_records(socket, shared, &near, &records).await;
    Ok(())
}

async fn send_records(
    socket: &UdpSocket,
    shared: &GatewayShared,
    targets: &[SocketAddr],
    records: &[SuspectRecord],
) {
    if targets.is_empty() {
        return;
    }
    for chunk in records.chunks(MAX_TOLD) {
        let telling =
            SuspectTelling { region: shared.settings.region().clone(), records: chunk.to_vec() };
        let bytes = send_to(socket, targets, &PeerMessage::Suspects(telling)).await;
        shared.metrics.add_events("suspects_told_bytes", (bytes * targets.len()) as u64);
    }
}
