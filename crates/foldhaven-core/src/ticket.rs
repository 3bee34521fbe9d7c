//! Tickets: how a request that is not repeatable runs at most once without shared state.
//!
//! A ticket names the one process lifetime that may run a request. That process records a ticket
//! as spent before the first byte of the request leaves, and no other process may run it.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::ids::{IncarnationId, VmName};
use crate::time::MonoTime;

/// How many tickets of one process may be alive at once.
pub const MAX_LIVE_TICKETS: usize = 65_536;

const TAG_BYTES: usize = 16;

/// A permission to run one request once, at one process lifetime of one VM.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestTicket {
    /// The VM that may run the request.
    pub owner: VmName,
    /// The process lifetime that may run it.
    pub incarnation: IncarnationId,
    /// The number of the ticket within that lifetime.
    pub sequence: u64,
    /// When it ends, on the owner's clock.
    pub expires: MonoTime,
    tag: [u8; TAG_BYTES],
}

impl fmt::Display for RequestTicket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { owner, incarnation, sequence, expires, tag } = self;
        write!(formatter, "{owner}/{incarnation}/{sequence}/{}/", expires.0)?;
        tag.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// A text is not a ticket
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

/// What the owner makes of a ticket that arrives with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketVerdict<A> {
    /// First use: the ticket is now spent, and the request is to be run once.
    Run,
    /// The request is running or has run: this is what stands for its answer.
    Join(A),
    /// The ticket was spent on a request with other content; this one has not run.
    OtherRequest,
    /// The ticket is not of this process lifetime, or was not issued by it.
    Foreign,
    /// The ticket has ended. Whether it was spent may have been forgotten.
    Expired,
    /// The process is leaving and the ticket was never spent; it now never will be.
    Closed,
}

#[derive(Debug)]
struct SpentTicket<A> {
    fingerprint: u64,
    expires: MonoTime,
    answer: A,
}

/// The owner's record of tickets: which were issued and which are spent.
///
/// `A` is what stands for an answer, such as a handle on which later arrivals wait.
pub struct TicketLedger<A> {
    owner: VmName,
    incarnation: IncarnationId,
    key: [u8; 32],
    next: u64,
    spent: BTreeMap<u64, SpentTicket<A>>,
    live: BTreeMap<u64, MonoTime>,
    issues: bool,
    closed: bool,
}

impl<A: Clone> TicketLedger<A> {
    /// An empty ledger. `key` is random and never leaves the process.
    pub fn new(owner: VmName, incarnation: IncarnationId, key: [u8; 32]) -> Self {
        let spent = BTreeMap::new();
        let live = BTreeMap::new();
        Self { owner, incarnation, key, next: 1, spent, live, issues: true, closed: false }
    }

    /// Issues a ticket that holds for `span`, unless too many are alive or the process is leaving.
    pub fn issue(&mut self, now: MonoTime, span: Duration) -> Option<RequestTicket> {
        self.forget(now);
        if !self.issues || self.live.len() >= MAX_LIVE_TICKETS {
            return None;
        }
        let sequence = self.next;
        self.next += 1;
        let expires = now + span;
        self.live.insert(sequence, expires);
        let owner = self.owner.clone();
        let tag = self.tag(sequence, expires);
        Some(RequestTicket { owner, incarnation: self.incarnation, sequence, expires, tag })
    }

    /// Judges a ticket, and spends it if this is its first use.
    ///
    /// `fingerprint` stands for the content of the request. `answer` is asked for only when the
    /// verdict is [`TicketVerdict::Run`]; later arrivals join it.
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
        if self.closed {
            return TicketVerdict::Closed;
        }
        let expires = ticket.expires;
        let spent = SpentTicket { fingerprint, expires, answer: answer() };
        self.spent.insert(ticket.sequence, spent);
        TicketVerdict::Run
    }

    /// Takes back the spending of a ticket whose request certainly was not run, so that the caller
    /// may use it again.
    pub fn restore(&mut self, ticket: &RequestTicket) {
        self.spent.remove(&ticket.sequence);
    }

    /// Ends the issue of tickets. Those that callers hold can still be used: a caller asks for one
    /// just before it uses it.
    pub fn stop_issuing(&mut self) {
        self.issues = false;
    }

    /// Ends the issue and the first use of tickets; spent ones can still be joined.
    pub fn close(&mut self) {
        self.issues = false;
        self.closed = true;
    }

    /// Whether a ticket names this process lifetime as its owner.
    pub fn names_this_process(&self, ticket: &RequestTicket) -> bool {
        ticket.owner == self.owner && ticket.incarnation == self.incarnation
    }

    /// How many tickets are issued and not ended.
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

    /// Forgets tickets that ended a while ago. One that comes back later is answered `Expired`.
    fn forget(&mut self, now: MonoTime) {
        const KEPT_AFTER_EXPIRY: Duration = Duration::from_secs(60);
        self.live.retain(|_, expires| *expires > now);
        self.spent.retain(|_, spent| spent.expires + KEPT_AFTER_EXPIRY > now);
    }
}
