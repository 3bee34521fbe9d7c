//! The tickets that this process issues: their first use, and the results that later requests with
//! the same ticket share.

use std::time::Duration;

use foldhaven_core::ids::{IncarnationId, VmName};
use foldhaven_core::ticket::{RequestTicket, TicketLedger, TicketVerdict};
use foldhaven_core::time::MonoTime;
use parking_lot::Mutex;
use tokio::sync::watch;

use super::service_result::ServiceResult;

type ResultSlot = watch::Receiver<Option<ServiceResult>>;

/// How to handle a request with a ticket of this process.
pub enum TicketRedemption {
    /// Run the request once, and publish the result to all that joined.
    Run(TicketRun),
    /// Wait for the result of the first request with this ticket.
    Join(TicketJoin),
    /// Refuse the request, because the ticket does not permit it.
    Denied(TicketVerdict<()>),
}

/// The right to run the request of a ticket, given to the first request that redeems the ticket.
pub struct TicketRun {
    sender: watch::Sender<Option<ServiceResult>>,
}

impl TicketRun {
    /// Publishes the result to all requests that joined or will join.
    pub fn finish(self, result: ServiceResult) {
        self.sender.send_replace(Some(result));
    }
}

/// A handle to wait for the result of an earlier request with the same ticket.
pub struct TicketJoin {
    slot: ResultSlot,
}

impl TicketJoin {
    /// Returns the result, or `None` if the run was aborted without one.
    pub async fn wait(mut self) -> Option<ServiceResult> {
        let waited = self.slot.wait_for(Option::is_some).await.ok()?;
        waited.clone()
    }
}

/// The ticket ledger of this process, behind a lock that is never held across an await.
pub struct TicketRegistry {
    ledger: Mutex<TicketLedger<ResultSlot>>,
}

impl TicketRegistry {
    pub fn new(owner: VmName, incarnation: IncarnationId) -> Self {
        let key = rand::random();
        Self { ledger: Mutex::new(TicketLedger::new(owner, incarnation, key)) }
    }

    /// Issues a ticket that is valid for `span`. Returns `None` if too many tickets are live or the
    /// process is leaving.
    pub fn issue(&self, now: MonoTime, span: Duration) -> Option<RequestTicket> {
        self.ledger.lock().issue(now, span)
    }

    /// Returns whether a ticket names this process as its owner.
    pub fn is_own(&self, ticket: &RequestTicket) -> bool {
        self.ledger.lock().names_this_process(ticket)
    }

    /// Spends the ticket, joins its earlier use, or returns why neither is permitted.
    pub fn redeem(
        &self,
        ticket: &RequestTicket,
        fingerprint: u64,
        now: MonoTime,
    ) -> TicketRedemption {
        let (sender, slot) = watch::channel(None);
        let verdict = self.ledger.lock().redeem(ticket, fingerprint, now, || slot);
        match verdict {
            TicketVerdict::Run => TicketRedemption::Run(TicketRun { sender }),
            TicketVerdict::Join(slot) => TicketRedemption::Join(TicketJoin { slot }),
            TicketVerdict::OtherRequest => TicketRedemption::Denied(TicketVerdict::OtherRequest),
            TicketVerdict::Foreign => TicketRedemption::Denied(TicketVerdict::Foreign),
            TicketVerdict::Expired => TicketRedemption::Denied(TicketVerdict::Expired),
            TicketVerdict::Closed => TicketRedemption::Denied(TicketVerdict::Closed),
        }
    }

    /// Marks a ticket as unspent. Only valid if its request certainly has not run.
    pub fn restore(&self, ticket: &RequestTicket) {
        self.ledger.lock().restore(ticket);
    }

    /// Stops issuing tickets. Issued tickets can still be redeemed.
    pub fn stop_issuing(&self) {
        self.ledger.lock().stop_issuing();
    }

    /// Stops issuing tickets and rejects the first use of issued ones.
    pub fn close(&self) {
        self.ledger.lock().close();
    }

    /// Returns the number of issued tickets that have not expired, as of the last issue.
    pub fn live(&self) -> usize {
        self.ledger.lock().live()
    }
}
