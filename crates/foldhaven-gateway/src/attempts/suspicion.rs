//! Quarantines requests that may have crashed upstreams.

use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::opaque::suspects::{PROBE_EXITS, SuspectVerdict};

use super::RequestDriver;
use crate::answer::Refusal;
use crate::call::{CallFault, OpenAnswer};
use crate::destinations::RequestDestination;
use crate::upstream::GuestSeat;

impl RequestDriver {
    /// Refuses a request that is quarantined.
    pub(super) fn check_suspicion(&self) -> Result<(), Refusal> {
        if self.is_trial {
            return Ok(());
        }
        match self.shared.suspects.look(&self.job.print, self.shared.now()) {
            SuspectVerdict::Refused { wait } => Err(self.hold_back(wait)),
            SuspectVerdict::Allowed | SuspectVerdict::Probe => Ok(()),
        }
    }

    /// Makes this attempt a probe if one is due. Only the VM that sends to the upstream itself
    /// starts a probe: it informs the other VMs before the request reaches the upstream.
    pub(super) fn begin_trial(&mut self, place: &RequestDestination) -> Result<(), Refusal> {
        if self.is_trial || matches!(place, RequestDestination::Peer(_)) {
            return Ok(());
        }
        let verdict = self.shared.suspects.judge(&self.job.print, &self.shared.change_context());
        match verdict {
            SuspectVerdict::Allowed => {}
            SuspectVerdict::Probe => self.is_trial = true,
            SuspectVerdict::Refused { wait } => return Err(self.hold_back(wait)),
        }
        Ok(())
    }

    fn hold_back(&self, wait: Duration) -> Refusal {
        self.shared.suspects.note_route(self.job.print, &self.job.route.name);
        Refusal::Suspect { wait }
    }

    /// Waits for the head of an answer, and withdraws the request if it is quarantined meanwhile.
    /// Of the copies that wait at upstreams when the third upstream exits, each one that starts to
    /// run would crash another upstream.
    pub(super) async fn unless_called_back(
        &self,
        answered: impl Future<Output = Result<OpenAnswer, CallFault>>,
    ) -> Result<OpenAnswer, CallFault> {
        if self.is_trial {
            return answered.await;
        }
        tokio::select! {
        biased;
        answered = answered => answered,
        () = self.shared.suspects.until_refused(&self.job.print) => Err(CallFault::CalledBack),
        }
    }

    /// Whether another attempt would probably crash another upstream: connections broke during the
    /// request twice, at this VM or as reported by other VMs, or the request is a probe.
    pub(super) fn may_be_harmful(&self) -> bool {
        let known = self.shared.suspects.ends(&self.job.print);
        self.is_trial || known.max(self.breaks as usize) >= PROBE_EXITS
    }

    /// Counts an attempt whose connection broke after the answer had started.
    pub fn count_break(&mut self) {
        self.breaks += 1;
    }

    /// Registers the request at an upstream until the guard is dropped. `None` for another VM.
    pub(super) fn admit(&self, place: &RequestDestination) -> Option<GuestSeat> {
        let RequestDestination::Upstream(upstream) = place else { return None };
        Some(Arc::clone(upstream).admit(self.job.print, self.shared.clock))
    }

    /// Records that the request was answered completely, so it did not crash its upstream.
    pub fn note_answered(&mut self, guest: Option<&mut GuestSeat>) {
        if let Some(guest) = guest {
            guest.note_harmless();
        }
        self.is_trial = false;
        self.shared.suspects.note_answered(self.job.print, &self.shared.change_context());
    }
}

impl Drop for RequestDriver {
    fn drop(&mut self) {
        if self.is_trial {
            let was_sent = self.is_trial_sent;
            self.shared.suspects.end_trial(&self.job.print, was_sent, self.shared.now());
        }
    }
}
