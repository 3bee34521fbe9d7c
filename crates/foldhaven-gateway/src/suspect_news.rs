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
use crate::news_teller::{NewsTeller, await_others};
use crate::peer_message::{PeerMessage, SuspectTelling};
use crate::shared::GatewayShared;

/// Tells of what holds requests back.
pub struct SuspectTeller {
    pub socket: Arc<UdpSocket>,
    pub control: ControlAddress,
    pub shared: Arc<GatewayShared>,
}

impl SuspectTeller {
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
            let telling = SuspectTelling { region: region.clone(), records: chunk.to_vec() };
            let bytes = send_to(&self.socket, targets, &PeerMessage::Suspects(telling)).await;
            let sum = (bytes * targets.len()) as u64;
            self.shared.metrics.add_events("suspects_told_bytes", sum);
        }
    }
}

#[async_trait]
impl NewsTeller for SuspectTeller {
    async fn await_news(&self) {
        self.shared.suspects.await_news().await;
    }

    async fn tell_news(&self) -> Result<(), xtra::Error> {
        self.tell(self.shared.suspects.take_news()).await?;
        await_others().await;
        // What has come up meanwhile goes first.
        self.tell(self.shared.suspects.take_news()).await?;
        self.tell(self.shared.suspects.take_shared_news()).await
    }

    /// Nothing is sent while nothing holds requests back.
    async fn repeat(&self) -> Result<(), xtra::Error> {
        let records = self.shared.suspects.next_repeated(self.shared.now());
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
