//! Decides whether a request is tried once more, and how it is refused if not.

use http::StatusCode;

use super::RequestDriver;
use crate::answer::Refusal;
use crate::call::CallFault;
use crate::clock::BootInstant;
use crate::destinations::throttled_wait;

/// How many places are tried at most, those included that could not be reached.
const MAX_TRIES: usize = 4;

impl RequestDriver {
    /// The refusal with which to end after a fault; nothing when another try may follow.
    pub(super) fn end_of_tries(&mut self, fault: &CallFault) -> Option<Refusal> {
        let may_repeat = match fault {
            CallFault::NotSent(_) => self.may_choose_again(),
            CallFault::Declined { .. } if fault.is_misdirected() => {
                // Another process has the address: no upstream of the service got the request.
                self.may_choose_again() && self.take_retry()
            }
            CallFault::Declined { .. } => self.may_send_again(),
            CallFault::Broken(_) | CallFault::Silent | CallFault::TimedOut => self.may_repeat(),
            CallFault::CalledBack => false,
        };
        match may_repeat {
            true => None,
            false => Some(self.refusal_for(fault)),
        }
    }

    /// Whether the request may run a second time, and may be sent to one more place.
    pub fn may_repeat(&mut self) -> bool {
        self.job.route.repeat.is_repeatable() && self.may_send_again()
    }

    /// Whether another place may be chosen for a request that no upstream has got. So may the VM that a
    /// request was forwarded to, among the upstreams of its region.
    fn may_choose_again(&self) -> bool {
        self.tried.count() < MAX_TRIES && BootInstant::now() < self.job.deadline
    }

    /// Whether the request may be sent to one more place that counts it as arrived.
    fn may_send_again(&mut self) -> bool {
        let is_open = self.arrivals < self.job.route.max_attempts && !self.job.is_forwarded;
        is_open && !self.may_be_harmful() && self.may_choose_again() && self.take_retry()
    }

    /// Takes one retry out of this VM's part of the budget.
    fn take_retry(&self) -> bool {
        let Some(view) = self.shared.view() else { return false };
        let is_granted = self.shared.try_withdraw_retry(&self.job.service, &view);
        self.shared.metrics.count_event(if is_granted { "retry" } else { "retry_denied" });
        is_granted
    }

    /// How the caller is refused after a fault: a try that may have run must not be denied.
    fn refusal_for(&self, fault: &CallFault) -> Refusal {
        if self.may_have_run {
            return match fault {
                CallFault::TimedOut => Refusal::TimedOut,
                _ => Refusal::Broken,
            };
        }
        match fault {
            CallFault::Declined { status } if *status == StatusCode::SERVICE_UNAVAILABLE => {
                let view = self.shared.view();
                let wait = view.and_then(|view| throttled_wait(&self.shared, &view, &self.job));
                wait.map_or(Refusal::Full, |wait| Refusal::HeldBack { wait })
            }
            _ => Refusal::NoUpstream,
        }
    }

    /// A refusal is only true while nothing may have run.
    pub(super) fn after_tries(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run { Refusal::Broken } else { refusal }
    }

    /// How the caller is refused when its time has passed.
    pub(super) fn out_of_time(&self) -> Refusal {
        if self.may_have_run { Refusal::TimedOut } else { Refusal::NotReached }
    }
}
