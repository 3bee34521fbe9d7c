//! Tells the other VMs of the region what upstreams say of themselves.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use foldhaven_core::opaque::upstream_signals::{LeavingNotice, LimitNotice};
use tokio::net::UdpSocket;

use crate::control::{ControlAddress, PlanSignalTargets, SendReason};
use crate::datagrams::send_to;
use crate::news_teller::{NewsTeller, await_others};
use crate::peer_message::PeerMessage;
use crate::shared::GatewayShared;

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

/// Tells of limits and of upstreams that leave. Several VMs hear one upstream at once.
pub struct SignalTeller {
    pub socket: Arc<UdpSocket>,
    pub control: ControlAddress,
    pub shared: Arc<GatewayShared>,
}

impl SignalTeller {
    async fn send(&self, targets: &[SocketAddr], batch: &SignalBatch) {
        for message in batch.messages() {
            let bytes = send_to(&self.socket, targets, &message).await;
            let sum = (bytes * targets.len()) as u64;
            self.shared.metrics.add_events("upstream_signals_told_bytes", sum);
        }
    }
}

#[async_trait]
impl NewsTeller for SignalTeller {
    async fn await_news(&self) {
        tokio::select! {
            () = self.shared.limits.await_news() => {}
            () = self.shared.leavers.await_news() => {}
        }
    }

    async fn tell_news(&self) -> Result<(), xtra::Error> {
        let reason = SendReason::Change;
        let targets = self.control.send(PlanSignalTargets { reason }).await?;
        await_others().await;
        let now = self.shared.now();
        let limits = self.shared.limits.take_news(now);
        let batch = SignalBatch { limits, leavers: self.shared.leavers.take_news(now) };
        self.send(&targets, &batch).await;
        Ok(())
    }

    async fn repeat(&self) -> Result<(), xtra::Error> {
        let now = self.shared.now();
        let limits = self.shared.limits.all(now);
        let batch = SignalBatch { limits, leavers: self.shared.leavers.all(now) };
        if batch.is_empty() {
            return Ok(());
        }
        let reason = SendReason::Repeat;
        let targets = self.control.send(PlanSignalTargets { reason }).await?;
        self.send(&targets, &batch).await;
        Ok(())
    }
}
