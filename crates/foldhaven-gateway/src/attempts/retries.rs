//! Decides whether a request is retried, and which refusal its caller gets otherwise.

use std::time::Duration;

use foldhaven_core::opaque::admission::queue_wait;
use foldhaven_core::opaque::refusal::Refusal;
use http::StatusCode;

use super::RequestDriver;
use crate::call::CallFault;
use crate::clock::BootInstant;
use crate::destinations::{
    Placement, RoomRule, choose_destination, describe_candidates, throttled_wait,
};

/// Maximum number of destinations per request, including those that could not be reached.
const MAX_DESTINATIONS: usize = 4;

impl RequestDriver {
    /// Returns the refusal that ends the request after a fault, or `None` if another attempt may
    /// follow.
    pub(super) fn final_refusal(&mut self, fault: &CallFault) -> Option<Refusal> {
        let may_repeat = match fault {
            CallFault::NotSent(_) | CallFault::Unreached => self.may_try_another_destination(),
            CallFault::Declined { .. } if fault.is_misdirected() => {
                // Another process has the address: no upstream of the service received the request.
                self.may_try_another_destination() && self.try_withdraw_retry()
            }
            CallFault::Declined { .. } => self.may_send_again(),
            CallFault::Unresponsive if self.alternative.is_some() => true,
            CallFault::Broken(_) | CallFault::Unresponsive | CallFault::TimedOut => {
                self.may_repeat()
            }
            CallFault::Withdrawn => false,
        };
        if may_repeat {
            return None;
        }
        let refusal = self.refusal_for(fault);
        if refusal == Refusal::NoUpstream {
            self.summarize_candidates();
        }
        Some(refusal)
    }

    /// Describes the candidates for the log, after no destination could be found.
    pub(super) fn summarize_candidates(&mut self) {
        let view = self.shared.view();
        self.candidates_summary =
            view.map(|view| describe_candidates(&self.shared, &view, &self.job));
    }

    /// Whether the request may run a second time and be sent to one more destination.
    pub fn may_repeat(&mut self) -> bool {
        self.job.route.repeat.is_repeatable() && self.may_send_again()
    }

    /// Whether one more destination may be tried, by the number of destinations and the deadline.
    /// If no upstream received the request, this also holds at a VM that it was forwarded to, which
    /// chooses among the upstreams of its region.
    fn may_try_another_destination(&self) -> bool {
        self.tried.count() < MAX_DESTINATIONS && BootInstant::now() < self.job.deadline
    }

    /// Whether the request may be sent again after an attempt that reached its destination.
    fn may_send_again(&self) -> bool {
        self.has_attempts_left() && self.try_withdraw_retry()
    }

    /// Whether the request may be sent again, but for the retry budget.
    fn has_attempts_left(&self) -> bool {
        let is_open =
            self.delivered_attempts < self.job.route.max_attempts && !self.job.is_forwarded;
        is_open && !self.is_likely_poison() && self.may_try_another_destination()
    }

    /// Whether no other attempt can follow the one that is about to be sent: the attempts of the route
    /// are used up, or there is no other upstream.
    pub(super) fn is_last_attempt(&self) -> bool {
        let is_used_up = self.delivered_attempts + 1 >= self.job.route.max_attempts;
        is_used_up || !self.job.route.repeat.is_repeatable() || self.permitted_upstreams() < 2
    }

    /// Returns the number of upstreams that the request may run at, in all regions.
    fn permitted_upstreams(&self) -> usize {
        let Some(view) = self.shared.view() else { return 0 };
        let groups = view.upstreams_of(&self.job.service).into_iter().flatten();
        let permitted = groups.filter(|(region, _)| self.job.permits(region));
        permitted.map(|(_, group)| group.len()).sum()
    }

    /// Chooses another destination for a request whose upstream is silent, and takes a retry for it.
    /// Returns whether this request is given up at the silent upstream. If there is no other
    /// destination, it waits: the upstream may go on. A forwarded one is left to its origin, unless
    /// its origin can't send it again, or the caller has the beginning of the answer already.
    pub(super) fn choose_alternative(&mut self) -> bool {
        let may_leave = match self.job.is_forwarded {
            true if !self.job.has_partial_answer => return !self.job.is_last_attempt,
            true => !self.is_likely_poison() && self.may_try_another_destination(),
            false => self.has_attempts_left(),
        };
        if !may_leave {
            return false;
        }
        let Some(view) = self.shared.view() else { return false };
        let rule = if self.job.class().is_some() { RoomRule::AnySlot } else { RoomRule::Any };
        let chosen = choose_destination(&self.shared, &view, &self.job, &self.tried, rule);
        let Ok(Placement::Chosen(chosen)) = chosen else { return false };
        if self.tried.has_upstream(&chosen.destination) {
            return false;
        }
        if !self.try_withdraw_retry() {
            return false;
        }
        self.alternative = Some(chosen);
        true
    }

    /// Takes one retry from this VM's share of the retry budget.
    fn try_withdraw_retry(&self) -> bool {
        let Some(view) = self.shared.view() else { return false };
        let is_granted = self.shared.try_withdraw_retry(&self.job.service, &view);
        self.shared.metrics.count_event(if is_granted { "retry" } else { "retry_denied" });
        is_granted
    }

    /// Returns the refusal for the caller after a fault. If an attempt may have run, the refusal
    /// must not claim that none did.
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
                match wait {
                    Some(wait) => Refusal::Throttled { wait },
                    None if self.job.is_plain() => {
                        let expected_ms = self.last_choice.map_or(0, |it| it.time_to_first_ms);
                        Refusal::QueueFull { wait: queue_wait(Duration::from_millis(expected_ms)) }
                    }
                    None => Refusal::Full,
                }
            }
            _ => Refusal::NoUpstream,
        }
    }

    /// Replaces a refusal by `Broken` if an attempt may have run.
    pub(super) fn refusal_after_attempts(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run { Refusal::Broken } else { refusal }
    }

    /// Returns the refusal for a request that is not finished when the process exits.
    pub fn exit_refusal(&self) -> Refusal {
        match self.delivered_attempts {
            0 => Refusal::Leaving,
            _ => Refusal::Interrupted,
        }
    }

    /// Returns the refusal for a request whose deadline has passed.
    pub(super) fn deadline_refusal(&self) -> Refusal {
        if self.may_have_run { Refusal::TimedOut } else { Refusal::NotReached }
    }
}
