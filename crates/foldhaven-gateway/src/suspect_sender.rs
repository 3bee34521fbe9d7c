//! Tells other VMs of requests under which upstreams ended.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use foldhaven_core::opaque::suspects::{
    MAX_RECORDS_PER_MESSAGE, SuspectRecord, SuspectUpdate, UpdateScope,
};
use tokio::net::UdpSocket;

use crate::control::{ControlAddress, PlanSuspectTargets, SendReason, SuspectTargets};
use crate::datagrams::send_to;
use crate::peer_message::{PeerMessage, SuspectMessage};
use crate::shared::GatewayShared;
use crate::update_sender::{UpdateSender, wait_for_other_senders};

/// Tells of what holds requests back.
pub struct SuspectSender {
    pub socket: Arc<UdpSocket>,
    pub control: ControlAddress,
    pub shared: Arc<GatewayShared>,
}

impl SuspectSender {
    async fn tell(&self, news: Vec<SuspectUpdate>) -> Result<(), xtra::Error> {
        if news.is_empty() {
            return Ok(());
        }
        let reason = SendReason::Change;
        let SuspectTargets { local: near, remote: far } =
            self.control.send(PlanSuspectTargets { reason }).await?;
        let wide = news.iter().filter(|news| news.scope == UpdateScope::Global);
        let wide: Vec<SuspectRecord> = wide.map(|news| news.record.clone()).collect();
        let all: Vec<SuspectRecord> = news.into_iter().map(|news| news.record).collect();
        self.send(&far, &wide).await;
        self.send(&near, &all).await;
        Ok(())
    }

    async fn send(&self, targets: &[SocketAddr], records: &[SuspectRecord]) {
        if targets.is_empty() {
            return;
        }
        let region = self.shared.settings.region();
        for chunk in records.chunks(MAX_RECORDS_PER_MESSAGE) {
            let telling = SuspectMessage { region: region.clone(), records: chunk.to_vec() };
            let bytes = send_to(&self.socket, targets, &PeerMessage::Suspects(telling)).await;
            let sum = (bytes * targets.len()) as u64;
            self.shared.metrics.add_events("suspects_told_bytes", sum);
        }
    }
}

#[async_trait]
impl UpdateSender for SuspectSender {
    async fn wait_for_updates(&self) {
        self.shared.suspects.wait_for_updates().await;
    }

    async fn send_updates(&self) -> Result<(), xtra::Error> {
        self.tell(self.shared.suspects.take_updates()).await?;
        wait_for_other_senders().await;
        // What has come up meanwhile goes first.
        self.tell(self.shared.suspects.take_updates()).await?;
        self.tell(self.shared.suspects.take_shared_updates()).await
    }

    /// Nothing is sent while nothing holds requests back.
    async fn resend(&self) -> Result<(), xtra::Error> {
        let records = self.shared.suspects.next_resent(self.shared.now());
        if records.is_empty() {
            return Ok(());
        }
        let reason = SendReason::Repeat;
        let SuspectTargets { local: near, remote: far } =
            self.control.send(PlanSuspectTargets { reason }).await?;
        self.send(&far, &records).await;
        self.send(&near, &records).await;
        Ok(())
    }
}
