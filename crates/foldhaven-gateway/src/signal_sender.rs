//! Relays the rate limits, leaving notices and brittleness of upstreams to the other VMs of the region.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use foldhaven_core::opaque::brittle_services::BrittleNotice;
use foldhaven_core::opaque::upstream_signals::{LeavingNotice, LimitNotice};

use crate::control::{ControlAddress, PlanSignalTargets, SendReason};
use crate::peer_message::PeerMessage;
use crate::peer_socket::PeerSocket;
use crate::shared::GatewayShared;
use crate::update_sender::{UpdateSender, wait_for_other_senders};

/// Maximum number of upstreams or services in one datagram.
const MAX_NOTICES_PER_DATAGRAM: usize = 256;

/// The notices that are sent in one round.
struct SignalBatch {
    limits: Vec<LimitNotice>,
    leaving: Vec<LeavingNotice>,
    brittle: Vec<BrittleNotice>,
}

impl SignalBatch {
    fn is_empty(&self) -> bool {
        self.limits.is_empty() && self.leaving.is_empty() && self.brittle.is_empty()
    }

    fn messages(&self) -> impl Iterator<Item = PeerMessage> {
        let limits =
            self.limits.chunks(MAX_NOTICES_PER_DATAGRAM).map(|it| PeerMessage::Limits(it.to_vec()));
        let leaving = self
            .leaving
            .chunks(MAX_NOTICES_PER_DATAGRAM)
            .map(|it| PeerMessage::Leavers(it.to_vec()));
        let brittle = self
            .brittle
            .chunks(MAX_NOTICES_PER_DATAGRAM)
            .map(|it| PeerMessage::Brittle(it.to_vec()));
        limits.chain(leaving).chain(brittle)
    }
}

/// Sends rate limits and leaving notices of upstreams. Several VMs may receive the same one from an
/// upstream at the same time.
pub struct SignalSender {
    pub socket: Arc<PeerSocket>,
    pub control: ControlAddress,
    pub shared: Arc<GatewayShared>,
}

impl SignalSender {
    async fn send(&self, targets: &[SocketAddr], batch: &SignalBatch) {
        for message in batch.messages() {
            let bytes = self.socket.send_to(targets, &message).await;
            let sum = (bytes * targets.len()) as u64;
            self.shared.metrics.add_events("upstream_signals_told_bytes", sum);
        }
    }
}

#[async_trait]
impl UpdateSender for SignalSender {
    async fn wait_for_updates(&self) {
        tokio::select! {
            () = self.shared.upstream_limits.wait_for_updates() => {}
            () = self.shared.leaving_upstreams.wait_for_updates() => {}
            () = self.shared.brittle_services.wait_for_updates() => {}
        }
    }

    async fn send_updates(&self) -> Result<(), xtra::Error> {
        let reason = SendReason::Change;
        let targets = self.control.send(PlanSignalTargets { reason }).await?;
        wait_for_other_senders().await;
        let now = self.shared.now();
        let batch = SignalBatch {
            limits: self.shared.upstream_limits.take_updates(now),
            leaving: self.shared.leaving_upstreams.take_updates(now),
            brittle: self.shared.brittle_services.take_updates(now),
        };
        self.send(&targets, &batch).await;
        Ok(())
    }

    async fn resend(&self) -> Result<(), xtra::Error> {
        let now = self.shared.now();
        let batch = SignalBatch {
            limits: self.shared.upstream_limits.all_notices(now),
            leaving: self.shared.leaving_upstreams.all_notices(now),
            brittle: self.shared.brittle_services.all_notices(now),
        };
        if batch.is_empty() {
            return Ok(());
        }
        let reason = SendReason::Repeat;
        let targets = self.control.send(PlanSignalTargets { reason }).await?;
        self.send(&targets, &batch).await;
        Ok(())
    }
}
