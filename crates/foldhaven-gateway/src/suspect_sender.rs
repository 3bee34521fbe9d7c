//! Sends updates about suspected requests to other VMs.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use foldhaven_core::opaque::suspects::{
    MAX_RECORDS_PER_MESSAGE, SuspectRecord, SuspectUpdate, UpdateScope,
};

use crate::control::{ControlAddress, PlanUpdateTargets, SendReason, UpdateTargets};
use crate::peer_message::{PeerMessage, SuspectMessage};
use crate::peer_socket::PeerSocket;
use crate::shared::GatewayShared;
use crate::update_sender::{UpdateSender, wait_for_other_senders};

/// Sends the records of suspected requests.
pub struct SuspectSender {
    pub socket: Arc<PeerSocket>,
    pub control: ControlAddress,
    pub shared: Arc<GatewayShared>,
}

impl SuspectSender {
    async fn send_by_scope(&self, updates: Vec<SuspectUpdate>) -> Result<(), xtra::Error> {
        if updates.is_empty() {
            return Ok(());
        }
        let reason = SendReason::Change;
        let UpdateTargets { local, remote } =
            self.control.send(PlanUpdateTargets { reason }).await?;
        let global = updates.iter().filter(|update| update.scope == UpdateScope::Global);
        let global: Vec<SuspectRecord> = global.map(|update| update.record.clone()).collect();
        let all: Vec<SuspectRecord> = updates.into_iter().map(|update| update.record).collect();
        self.send(&remote, &global).await;
        self.send(&local, &all).await;
        Ok(())
    }

    async fn send(&self, targets: &[SocketAddr], records: &[SuspectRecord]) {
        if targets.is_empty() {
            return;
        }
        let region = self.shared.settings.region();
        for chunk in records.chunks(MAX_RECORDS_PER_MESSAGE) {
            let message = SuspectMessage { region: region.clone(), records: chunk.to_vec() };
            let bytes = self.socket.send_to(targets, &PeerMessage::Suspects(message)).await;
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
        self.send_by_scope(self.shared.suspects.take_updates()).await?;
        wait_for_other_senders().await;
        // Updates that came up during the delay are sent first.
        self.send_by_scope(self.shared.suspects.take_updates()).await?;
        self.send_by_scope(self.shared.suspects.take_shared_updates()).await
    }

    /// Sends nothing if no record is due.
    async fn resend(&self) -> Result<(), xtra::Error> {
        let records = self.shared.suspects.next_resent(self.shared.now());
        if records.is_empty() {
            return Ok(());
        }
        let reason = SendReason::Repeat;
        let UpdateTargets { local, remote } =
            self.control.send(PlanUpdateTargets { reason }).await?;
        self.send(&remote, &records).await;
        self.send(&local, &records).await;
        Ok(())
    }
}
