//! Detects that the process was suspended, and requests the current state from other VMs before
//! requests are served again.

use super::ControlActor;

impl ControlActor {
    /// Detects that the process was suspended. What other VMs reported before has to be requested
    /// again, and pooled connections may have been closed unnoticed.
    pub(super) fn check_suspension(&mut self) {
        let now = self.now();
        let Some(suspended_for) = self.shared.wake.check(now) else { return };
        let still_ms = suspended_for.as_millis() as u64;
        let (revision, version) = (self.platform.revision(), self.version().0);
        tracing::warn!(still_ms, revision, version, "the process was suspended");
        self.shared.metrics.count_event("stood_still");
        self.shared.suspects.mark_uninformed();
        self.peers.request_all_again();
        self.upstreams.iter().for_each(|upstream| upstream.pool.clear());
        self.links.values().for_each(|link| link.pool.clear());
    }

    /// Checks whether the process is up to date after a suspension: another VM has answered, and
    /// none has newer platform state.
    pub(super) fn check_resumed(&mut self) {
        let is_known = self.shared.suspects.has_received_records() && self.lag_time().is_zero();
        if let Some(span) = self.shared.wake.record_caught_up(is_known, self.now()) {
            let ms = span.as_millis() as u64;
            tracing::info!(
                ms,
                is_known,
                revision = self.platform.revision(),
                "accepting requests again"
            );
        }
    }
}
