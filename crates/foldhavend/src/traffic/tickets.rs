//! Tickets of this process: issue, first use, and the answers that later arrivals join.

use std::time::Duration;

use foldhaven_core::ids::{IncarnationId, VmName};
use foldhaven_core::ticket::{RequestTicket, TicketLedger, TicketVerdict};
use foldhaven_core::time::MonoTime;
use parking_lot::Mutex;
use tokio::sync::watch;

use super::ends::ServiceResult;

type ResultSlot = watch::Receiver<Option<ServiceResult>>;

/// What is to be done with a request that came with a ticket of this process.
pub enum TicketUse {
    /// Run it once, and tell the result to all who joined.
    Run(TicketRun),
    /// Wait for the result of the first arrival.
    Join(TicketJoin),
    /// The ticket does not permit it.
    Denied(TicketVerdict<()>),
}

/// The one permitted run of a ticket.
pub struct TicketRun {
    sender: watch::Sender<Option<ServiceResult>>,
}

impl TicketRun {
    /// Tells the result to all who joined, now and later.
    pub fn finish(self, result: ServiceResult) {
        self.sender.send_replace(Some(result));
    }
}

/// A wait for the result of an earlier arrival.
pub struct TicketJoin {
    slot: ResultSlot,
}

impl TicketJoin {
    /// The result; nothing when the run was given up without one.
    pub async fn wait(mut self) -> Option<ServiceResult> {
        let waited = self.slot.wait_for(Option::is_some).await.ok()?;
        waited.clone()
    }
}

/// The ledger of this process behind a lock that is held for moments only.
pub struct TicketRegistry {
    ledger: Mutex<TicketLedger<ResultSlot>>,
}

impl TicketRegistry {
    pub fn new(owner: VmName, incarnation: IncarnationId) -> Self {
        let key = rand::random();
        Self { ledger: Mutex::new(TicketLedger::new(owner, incarnation, key)) }
    }

    pub fn issue(&self, now: MonoTime, span: Duration) -> Option<RequestTicket> {
        self.ledger.lock().issue(now, span)
    }

    pub fn names_us(&self, ticket: &RequestTicket) -> bool {
        self.ledger.lock().names_this_process(ticket)
    }

    /// Spends the ticket, or says why that is not possible.
    pub fn redeem(&self, ticket: &RequestTicket, fingerprint: u64, now: MonoTime) -> TicketUse {
        let (sender, slot) = watch::channel(None);
        let verdict = self.ledger.lock().redeem(ticket, fingerprint, now, || slot);
        match verdict {
            TicketVerdict::Run => TicketUse::Run(TicketRun { sender }),
            TicketVerdict::Join(slot) => TicketUse::Join(TicketJoin { slot }),
            TicketVerdict::OtherRequest => TicketUse::Denied(TicketVerdict::OtherRequest),
            TicketVerdict::Foreign => TicketUse::Denied(TicketVerdict::Foreign),
            TicketVerdict::Expired => TicketUse::Denied(TicketVerdict::Expired),
            TicketVerdict::Closed => TicketUse::Denied(TicketVerdict::Closed),
        }
    }

    /// Gives a ticket back whose request certainly has not run.
    pub fn restore(&self, ticket: &RequestTicket) {
        self.ledger.lock().restore(ticket);
    }

    pub fn stop_issuing(&self) {
        self.ledger.lock().stop_issuing();
    }

    pub fn close(&self) {
        self.ledger.lock().close();
    }

    pub fn live(&self) -> usize {
        self.ledger.lock().live()
    }
}
