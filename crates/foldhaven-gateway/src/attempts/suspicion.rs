//! Quarantines requests that may have crashed upstreams.

use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::opaque::suspects::{PROBE_EXITS, SuspectVerdict};

use super::RequestDriver;
use crate::answer::Refusal;
use crate::call::{CallFault, OpenAnswer};
use crate::destinations::RequestDestination;
use crate::upstream::UpstreamRequestGuard;

impl RequestDriver {
    /// Refuses a request that is quarantined.
    pub(super) fn check_suspicion(&self) -> Result<(), Refusal> {
        if self.is_probe {
            return Ok(());
        }
        match self.shared.suspects.peek_verdict(&self.job.fingerprint, self.shared.now()) {
            SuspectVerdict::Refused { wait } => Err(self.quarantine_refusal(wait)),
            SuspectVerdict::Allowed | SuspectVerdict::Probe => Ok(()),
        }
    }

    /// Makes this attempt a probe if one is due. Only the VM that sends to the upstream itself
    /// starts a probe: it informs the other VMs before the request reaches the upstream.
    pub(super) fn begin_probe(&mut self, destination: &RequestDestination) -> Result<(), Refusal> {
        if self.is_probe || matches!(destination, RequestDestination::Peer(_)) {
            return Ok(());
        }
        let verdict =
            self.shared.suspects.decide(&self.job.fingerprint, &self.shared.change_context());
        match verdict {
            SuspectVerdict::Allowed => {}
            SuspectVerdict::Probe => self.is_probe = true,
            SuspectVerdict::Refused { wait } => return Err(self.quarantine_refusal(wait)),
        }
        Ok(())
    }

    fn quarantine_refusal(&self, wait: Duration) -> Refusal {
        self.shared.suspects.remember_route(self.job.fingerprint, &self.job.route.name);
        Refusal::Quarantined { wait }
    }

    /// Waits for the head of an answer, and withdraws the request if it is quarantined meanwhile.
    /// When the third upstream exits, copies of the request may wait at other upstreams, and each
    /// one that starts to run would crash its upstream as well.
    pub(super) async fn unless_quarantined(
        &self,
        answered: impl Future<Output = Result<OpenAnswer, CallFault>>,
    ) -> Result<OpenAnswer, CallFault> {
        if self.is_probe {
            return answered.await;
        }
        tokio::select! {
        biased;
        answered = answered => answered,
        () = self.shared.suspects.wait_until_refused(&self.job.fingerprint) => Err(CallFault::Withdrawn),
        }
    }

    /// Whether another attempt would probably crash another upstream: connections broke during the
    /// request twice, at this VM or as reported by other VMs, or the request is a probe.
    pub(super) fn is_likely_poison(&self) -> bool {
        let reported_exits = self.shared.suspects.exit_count(&self.job.fingerprint);
        self.is_probe || reported_exits.max(self.broken_connections as usize) >= PROBE_EXITS
    }

    /// Counts an attempt whose connection broke after the answer had started.
    pub fn record_broken_connection(&mut self) {
        self.broken_connections += 1;
    }

    /// Registers the request at an upstream until the guard is dropped. `None` for another VM.
    pub(super) fn register_request(
        &self,
        destination: &RequestDestination,
    ) -> Option<UpstreamRequestGuard> {
        let RequestDestination::Upstream(upstream) = destination else { return None };
        Some(Arc::clone(upstream).register_request(self.job.suspect_keys(), self.shared.clock))
    }

    /// Records that the request was answered completely, so it did not crash its upstream.
    pub fn record_answered(&mut self, request_guard: Option<&mut UpstreamRequestGuard>) {
        if let Some(request_guard) = request_guard {
            request_guard.mark_harmless();
        }
        self.is_probe = false;
        self.shared.suspects.record_success(self.job.fingerprint, &self.shared.change_context());
    }
}

impl Drop for RequestDriver {
    fn drop(&mut self) {
        if self.is_probe {
            let was_sent = self.is_probe_sent;
            self.shared.suspects.finish_probe(&self.job.fingerprint, was_sent, self.shared.now());
        }
    }
}
