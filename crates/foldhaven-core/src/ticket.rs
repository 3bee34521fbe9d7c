//! Tickets: at-most-once execution of non-repeatable requests without shared state.
//!
//! A ticket names the only process incarnation that may run a request. That process records the
//! ticket as spent before it sends the first byte of the request, and no other process may run it.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::ids::{IncarnationId, VmName};
use crate::time::MonoTime;

/// Maximum number of unexpired tickets of one process.
pub const MAX_LIVE_TICKETS: usize = 65_536;

const TAG_BYTES: usize = 16;

/// Permission to run one request once, at one incarnation of one VM.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestTicket {
    /// The VM that may run the request.
    pub owner: VmName,
    /// The owner's incarnation that may run the request.
    pub incarnation: IncarnationId,
    /// The sequence number of the ticket within that incarnation.
    pub sequence: u64,
    /// Expiry time, on the owner's clock.
    pub expires: MonoTime,
    /// Truncated HMAC of `sequence` and `expires` under the owner's key.
    tag: [u8; TAG_BYTES],
}

impl fmt::Display for RequestTicket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { owner, incarnation, sequence, expires, tag } = self;
        write!(formatter, "{owner}/{incarnation}/{sequence}/{}/", expires.0)?;
        tag.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// invalid ticket: expected `OWNER/INCARNATION/SEQUENCE/EXPIRES/TAG`
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct TicketError;

impl FromStr for RequestTicket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        let parts: Vec<&str> = text.split('/').collect();
        let [owner, incarnation, sequence, expires, tag] = parts.as_slice() else {
            return Err(TicketError);
        };
        Ok(Self {
            owner: owner.parse().map_err(|_| TicketError)?,
            incarnation: incarnation.parse().map_err(|_| TicketError)?,
            sequence: sequence.parse().map_err(|_| TicketError)?,
            expires: MonoTime(expires.parse().map_err(|_| TicketError)?),
            tag: parse_tag(tag)?,
        })
    }
}

fn parse_tag(text: &str) -> Result<[u8; TAG_BYTES], TicketError> {
    if text.len() != TAG_BYTES * 2 || !text.is_ascii() {
        return Err(TicketError);
    }
    let mut tag = [0; TAG_BYTES];
    for (at, byte) in tag.iter_mut().enumerate() {
        let pair = &text[at * 2..at * 2 + 2];
        *byte = u8::from_str_radix(pair, 16).map_err(|_| TicketError)?;
    }
    Ok(tag)
}

/// The result of redeeming a ticket that arrives with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketVerdict<A> {
    /// First use: the ticket is now spent, and the request must be run once.
    Run,
    /// The request is running or has run. Contains the handle of its answer.
    Join(A),
    /// The ticket was spent on a request with different content. This request has not run.
    OtherRequest,
    /// The ticket belongs to another process or incarnation, or was forged.
    Foreign,
    /// The ticket expired. The record of whether it was spent may be gone.
    Expired,
    /// The process is leaving, and the ticket was never spent. It can no longer be spent.
    Closed,
}

#[derive(Debug)]
struct SpentTicket<A> {
    fingerprint: u64,
    expires: MonoTime,
    answer: A,
}

/// The owner's record of issued and spent tickets.
///
/// `A` is the handle of an answer, on which later arrivals with the same ticket wait.
pub struct TicketLedger<A> {
    owner: VmName,
    incarnation: IncarnationId,
    key: [u8; 32],
    next_sequence: u64,
    /// Spent tickets by sequence number.
    spent: BTreeMap<u64, SpentTicket<A>>,
    /// Expiry times of issued tickets that have not expired, by sequence number.
    live: BTreeMap<u64, MonoTime>,
    is_issuing: bool,
    is_closed: bool,
}

impl<A: Clone> TicketLedger<A> {
    /// Creates an empty ledger. `key` must be random and never leave the process.
    pub fn new(owner: VmName, incarnation: IncarnationId, key: [u8; 32]) -> Self {
        let spent = BTreeMap::new();
        let live = BTreeMap::new();
        Self {
            owner,
            incarnation,
            key,
            next_sequence: 1,
            spent,
            live,
            is_issuing: true,
            is_closed: false,
        }
    }

    /// Issues a ticket that is valid for `ttl`. Returns `None` if [`MAX_LIVE_TICKETS`] is reached
    /// or the process is leaving.
    pub fn issue(&mut self, now: MonoTime, ttl: Duration) -> Option<RequestTicket> {
        self.remove_expired(now);
        if !self.is_issuing || self.live.len() >= MAX_LIVE_TICKETS {
            return None;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let expires = now + ttl;
        self.live.insert(sequence, expires);
        let owner = self.owner.clone();
        let tag = self.tag(sequence, expires);
        Some(RequestTicket { owner, incarnation: self.incarnation, sequence, expires, tag })
    }

    /// Checks a ticket and spends it if this is its first use.
    ///
    /// `fingerprint` identifies the content of the request. `answer` is called only if the verdict
    /// is [`TicketVerdict::Run`]; later arrivals get a clone of its result.
    pub fn redeem(
        &mut self,
        ticket: &RequestTicket,
        fingerprint: u64,
        now: MonoTime,
        answer: impl FnOnce() -> A,
    ) -> TicketVerdict<A> {
        if !self.is_own(ticket) {
            return TicketVerdict::Foreign;
        }
        if let Some(spent) = self.spent.get(&ticket.sequence) {
            return match spent.fingerprint == fingerprint {
                true => TicketVerdict::Join(spent.answer.clone()),
                false => TicketVerdict::OtherRequest,
            };
        }
        if now >= ticket.expires {
            return TicketVerdict::Expired;
        }
        if self.is_closed {
            return TicketVerdict::Closed;
        }
        let expires = ticket.expires;
        let spent = SpentTicket { fingerprint, expires, answer: answer() };
        self.spent.insert(ticket.sequence, spent);
        TicketVerdict::Run
    }

    /// Marks a ticket as unspent, so that the caller may use it again. Only valid if the ticket's
    /// request certainly did not run.
    pub fn restore(&mut self, ticket: &RequestTicket) {
        self.spent.remove(&ticket.sequence);
    }

    /// Stops issuing tickets. Issued tickets can still be redeemed, because callers request a
    /// ticket right before they use it.
    pub fn stop_issuing(&mut self) {
        self.is_issuing = false;
    }

    /// Stops issuing tickets and rejects the first use of issued ones. Spent tickets can still be
    /// joined.
    pub fn close(&mut self) {
        self.is_issuing = false;
        self.is_closed = true;
    }

    /// Returns whether a ticket names this process's VM and incarnation as its owner.
    pub fn names_this_process(&self, ticket: &RequestTicket) -> bool {
        ticket.owner == self.owner && ticket.incarnation == self.incarnation
    }

    /// Returns the number of issued tickets that have not expired, as of the last issue.
    pub fn live(&self) -> usize {
        self.live.len()
    }

    fn is_own(&self, ticket: &RequestTicket) -> bool {
        self.names_this_process(ticket) && ticket.tag == self.tag(ticket.sequence, ticket.expires)
    }

    fn tag(&self, sequence: u64, expires: MonoTime) -> [u8; TAG_BYTES] {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.key).expect("any key length will do");
        mac.update(&sequence.to_be_bytes());
        mac.update(&expires.0.to_be_bytes());
        let whole = mac.finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&whole[..TAG_BYTES]);
        tag
    }

    /// Removes the records of expired tickets, those of spent tickets only some time after the
    /// expiry. A ticket without a record that arrives later gets [`TicketVerdict::Expired`].
    fn remove_expired(&mut self, now: MonoTime) {
        const RETENTION_AFTER_EXPIRY: Duration = Duration::from_secs(60);
        self.live.retain(|_, expires| *expires > now);
        self.spent.retain(|_, spent| spent.expires + RETENTION_AFTER_EXPIRY > now);
    }
}
