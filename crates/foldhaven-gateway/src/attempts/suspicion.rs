//! Quarantines requests that may have crashed upstreams.

use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::opaque::refusal::Refusal;
use foldhaven_core::opaque::suspects::{PROBE_EXITS, SuspectVerdict};

use super::RequestDriver;
use crate::call::{AnswerEnd, CallFault, OpenAnswer};
use crate::destinations::RequestDestination;
use crate::upstream::UpstreamRequestGuard;
use crate::upstream_exits::{EndedAnswer, confirm_answer};

impl RequestDriver {
    /// Refuses a request that is quarantined.
    pub(super) fn check_suspicion(&self) -> Result<(), Refusal> {
        if self.is_probe {
            return Ok(());
        }
        match self.shared.suspects.peek_request(&self.keys, self.shared.now()) {
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
        let verdict = self.shared.suspects.decide(&self.keys, &self.shared.change_context());
        match verdict {
            SuspectVerdict::Allowed => {}
            SuspectVerdict::Probe => self.is_probe = true,
            SuspectVerdict::Refused { wait } => return Err(self.quarantine_refusal(wait)),
        }
        Ok(())
    }

    fn quarantine_refusal(&self, wait: Duration) -> Refusal {
        for suspect in self.shared.suspects.refused_suspects(&self.keys) {
            self.shared.suspects.remember_route(suspect, &self.job.route.name);
        }
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
        () = self.shared.suspects.wait_until_refused(&self.keys) => Err(CallFault::Withdrawn),
        }
    }

    /// Whether another attempt would probably crash another upstream: connections broke during the
    /// request twice, it or a segment of its prompt was at upstreams that exited, or it is a probe.
    pub(super) fn is_likely_poison(&self) -> bool {
        let has_broken_twice = self.broken_connections as usize >= PROBE_EXITS;
        self.is_probe || has_broken_twice || self.shared.suspects.is_likely_poison(&self.keys)
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
        Some(Arc::clone(upstream).register_request(self.keys.clone(), self.shared.clock))
    }

    /// Records that an answer of a destination has ended. If that shows that it is complete, the
    /// request did not crash its upstream. Otherwise, this is shown by the upstream, if it still
    /// runs. `is_written` tells whether the answer was written on its prompt, and is not the report
    /// of a failure.
    pub fn record_answered(
        &mut self,
        request_guard: Option<UpstreamRequestGuard>,
        end: AnswerEnd,
        is_written: bool,
    ) {
        match (end, request_guard) {
            (AnswerEnd::Framed, request_guard) => {
                if let Some(mut request_guard) = request_guard {
                    request_guard.mark_harmless();
                }
                self.is_probe = false;
                let context = self.shared.change_context();
                self.shared.suspects.record_success(&self.keys, is_written, &context);
            }
            (AnswerEnd::Connection, Some(request_guard)) => {
                let answered = EndedAnswer { keys: self.keys.clone(), request_guard, is_written };
                confirm_answer(&self.shared, answered);
            }
            // The VM that sent the request to the upstream finds out.
            (AnswerEnd::Connection, None) => {}
        }
    }
}

impl Drop for RequestDriver {
    fn drop(&mut self) {
        if self.is_probe {
            let was_sent = self.is_probe_sent;
            self.shared.suspects.finish_probe(&self.keys, was_sent, self.shared.now());
        }
    }
}
