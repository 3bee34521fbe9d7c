//! Sends the notices of lost paths to other VMs.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use foldhaven_core::opaque::lost_paths::LostPathNotice;

use crate::control::{ControlAddress, PlanUpdateTargets, SendReason, UpdateTargets};
use crate::peer_message::{PathMessage, PeerMessage};
use crate::peer_socket::PeerSocket;
use crate::shared::GatewayShared;
use crate::update_sender::UpdateSender;

/// Sends the notices of this VM, and relays those of other regions.
pub struct PathSender {
    pub socket: Arc<PeerSocket>,
    pub control: ControlAddress,
    pub shared: Arc<GatewayShared>,
}

impl PathSender {
    async fn send(
        &self,
        notices: Vec<LostPathNotice>,
        reason: SendReason,
    ) -> Result<(), xtra::Error> {
        if notices.is_empty() {
            return Ok(());
        }
        let UpdateTargets { local, remote } =
            self.control.send(PlanUpdateTargets { reason }).await?;
        let targets: Vec<SocketAddr> = local.into_iter().chain(remote).collect();
        let region = self.shared.settings.region().clone();
        let message = PeerMessage::Paths(PathMessage { region, notices });
        self.socket.send_to(&targets, &message).await;
        Ok(())
    }
}

#[async_trait]
impl UpdateSender for PathSender {
    async fn wait_for_updates(&self) {
        self.shared.paths.wait_for_updates().await;
    }

    async fn send_updates(&self) -> Result<(), xtra::Error> {
        let notices = self.shared.paths.take_updates(self.shared.now());
        self.send(notices, SendReason::Change).await
    }

    async fn resend(&self) -> Result<(), xtra::Error> {
        let notices = self.shared.paths.next_resent(self.shared.now());
        self.send(notices, SendReason::Repeat).await
    }
}
