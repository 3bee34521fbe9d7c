//! Sends updates about suspects to other VMs.

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
use crate::suspects::SuspectKind;
use crate::update_sender::{UpdateSender, wait_for_other_senders};

/// Sends the records of suspected requests and segments.
pub struct SuspectSender {
    pub socket: Arc<PeerSocket>,
    pub control: ControlAddress,
    pub shared: Arc<GatewayShared>,
}

impl SuspectSender {
    async fn send_by_scope(
        &self,
        kind: SuspectKind,
        updates: Vec<SuspectUpdate>,
    ) -> Result<(), xtra::Error> {
        if updates.is_empty() {
            return Ok(());
        }
        let reason = SendReason::Change;
        let UpdateTargets { local, remote } =
            self.control.send(PlanUpdateTargets { reason }).await?;
        let global = updates.iter().filter(|update| update.scope == UpdateScope::Global);
        let global: Vec<SuspectRecord> = global.map(|update| update.record.clone()).collect();
        let all: Vec<SuspectRecord> = updates.into_iter().map(|update| update.record).collect();
        self.send(kind, &remote, &global).await;
        self.send(kind, &local, &all).await;
        Ok(())
    }

    async fn send_updates_of(&self, kind: SuspectKind) -> Result<(), xtra::Error> {
        self.send_by_scope(kind, self.shared.suspects.take_updates(kind)).await
    }

    async fn resend_of(&self, kind: SuspectKind) -> Result<(), xtra::Error> {
        let records = self.shared.suspects.next_resent(kind, self.shared.now());
        if records.is_empty() {
            return Ok(());
        }
        let reason = SendReason::Repeat;
        let UpdateTargets { local, remote } =
            self.control.send(PlanUpdateTargets { reason }).await?;
        self.send(kind, &remote, &records).await;
        self.send(kind, &local, &records).await;
        Ok(())
    }

    async fn send(&self, kind: SuspectKind, targets: &[SocketAddr], records: &[SuspectRecord]) {
        if targets.is_empty() {
            return;
        }
        let region = self.shared.settings.region();
        for chunk in records.chunks(MAX_RECORDS_PER_MESSAGE) {
            let suspects = SuspectMessage { region: region.clone(), records: chunk.to_vec() };
            let bytes = self.socket.send_to(targets, &suspect_message(kind, suspects)).await;
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
        for kind in SuspectKind::ALL {
            self.send_updates_of(kind).await?;
        }
        wait_for_other_senders().await;
        for kind in SuspectKind::ALL {
            // Updates that came up during the delay are sent first.
            self.send_updates_of(kind).await?;
            let shared = self.shared.suspects.take_shared_updates(kind);
            self.send_by_scope(kind, shared).await?;
        }
        Ok(())
    }

    /// Sends nothing if no record is due.
    async fn resend(&self) -> Result<(), xtra::Error> {
        for kind in SuspectKind::ALL {
            self.resend_of(kind).await?;
        }
        Ok(())
    }
}

/// Returns the message that carries suspects of a kind.
pub fn suspect_message(kind: SuspectKind, suspects: SuspectMessage) -> PeerMessage {
    match kind {
        SuspectKind::Requests => PeerMessage::Suspects(suspects),
        SuspectKind::Segments => PeerMessage::SuspectSegments(suspects),
    }
}
