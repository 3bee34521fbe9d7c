//! Holds back requests under which upstreams ended.

use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::opaque::suspects::{PROBE_EXITS, SuspectVerdict};

use super::RequestDriver;
use crate::answer::Refusal;
use crate::call::{CallFault, OpenAnswer};
use crate::destinations::RequestDestination;
use crate::upstream::GuestSeat;

impl RequestDriver {
    /// Refuses a request that must not be sent on now.
    pub(super) fn check_suspicion(&self) -> Result<(), Refusal> {
        if self.is_trial {
            return Ok(());
        }
        match self.shared.suspects.peek_verdict(&self.job.print, self.shared.now()) {
            SuspectVerdict::Refused { wait } => Err(self.hold_back(wait)),
            SuspectVerdict::Allowed | SuspectVerdict::Probe => Ok(()),
        }
    }

    /// Begins a trial where one is due. Only the VM that sends to the upstream itself does: the others are told before
    /// the request is there.
    pub(super) fn begin_trial(&mut self, place: &RequestDestination) -> Result<(), Refusal> {
        if self.is_trial || matches!(place, RequestDestination::Peer(_)) {
            return Ok(());
        }
        let verdict = self.shared.suspects.decide(&self.job.print, &self.shared.change_context());
        match verdict {
            SuspectVerdict::Allowed => {}
            SuspectVerdict::Probe => self.is_trial = true,
            SuspectVerdict::Refused { wait } => return Err(self.hold_back(wait)),
        }
        Ok(())
    }

    fn hold_back(&self, wait: Duration) -> Refusal {
        self.shared.suspects.remember_route(self.job.print, &self.job.route.name);
        Refusal::Suspect { wait }
    }

    /// Waits for the head of an answer, and gives up when the request is refused meanwhile: of what waits at upstreams when
    /// the third one ends, each copy that begins to run would end one more.
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
        () = self.shared.suspects.wait_until_refused(&self.job.print) => Err(CallFault::CalledBack),
        }
    }

    /// Whether another try would be a bet with another upstream that is likely to be lost: connections ended under the
    /// request twice, here or as other VMs tell, or it is on trial.
    pub(super) fn may_be_harmful(&self) -> bool {
        let known = self.shared.suspects.exit_count(&self.job.print);
        self.is_trial || known.max(self.breaks as usize) >= PROBE_EXITS
    }

    /// Counts a try that ended with its connection after its answer had begun.
    pub fn count_break(&mut self) {
        self.breaks += 1;
    }

    /// Notes the request at an upstream, until the guard is dropped.
    pub(super) fn admit(&self, place: &RequestDestination) -> Option<GuestSeat> {
        let RequestDestination::Upstream(upstream) = place else { return None };
        Some(Arc::clone(upstream).admit(self.job.print, self.shared.clock))
    }

    /// Notes that the request was answered whole, and so has not ended its upstream.
    pub fn note_answered(&mut self, guest: Option<&mut GuestSeat>) {
        if let Some(guest) = guest {
            guest.note_harmless();
        }
        self.is_trial = false;
        self.shared.suspects.record_success(self.job.print, &self.shared.change_context());
    }
}

impl Drop for RequestDriver {
    fn drop(&mut self) {
        if self.is_trial {
            let was_sent = self.is_trial_sent;
            self.shared.suspects.finish_probe(&self.job.print, was_sent, self.shared.now());
        }
    }
}
