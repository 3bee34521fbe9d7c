//! Handles the notices of VMs that have lost their paths to upstreams.

use xtra::{Context, Handler};

use super::ControlActor;
use crate::peer_message::PathMessage;

/// Notices of lost paths, received from another VM.
pub struct ReceivePathNotices {
    pub message: PathMessage,
}

impl Handler<ReceivePathNotices> for ControlActor {
    type Return = ();

    async fn handle(&mut self, received: ReceivePathNotices, _: &mut Context<Self>) {
        let PathMessage { region, notices } = received.message;
        let is_remote = region != *self.shared.settings.region();
        for notice in &notices {
            if !self.shared.paths.apply_notice(&self.shared, notice, is_remote) {
                continue;
            }
            self.shared.metrics.count_event("paths_of_peer_changed");
            if self.shared.quota.take(true) {
                let (vm, services) = (notice.vm.0, notice.services.len());
                tracing::info!(vm, services, age_ms = notice.age_ms, "paths of a peer changed");
            }
        }
    }
}
