//! Keeps track of how far back the software versions of upstreams are known.

use foldhaven_core::opaque::software::SoftwareHistory;
use xtra::{Context, Handler};

use super::ControlActor;

/// The software versions that another VM has seen.
pub struct ReceiveSoftwareHistory {
    pub history: SoftwareHistory,
}

impl Handler<ReceiveSoftwareHistory> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveSoftwareHistory, _: &mut Context<Self>) {
        let ReceiveSoftwareHistory { history } = message;
        let now = self.now();
        let was_complete = self.platform.table.census().is_complete(now);
        if !self.platform.table.merge_software(&history, now) {
            return;
        }
        let census = self.platform.table.census();
        if !was_complete && self.shared.quota.take(true) {
            tracing::info!(
                known_ms = census.known_span(now).as_millis() as u64,
                told_ms = history.known_ms,
                versions = history.versions.len(),
                told_revision = history.revision,
                revision = self.platform.revision(),
                is_complete = census.is_complete(now),
                "software versions told by another VM"
            );
        }
        self.publish();
    }
}
