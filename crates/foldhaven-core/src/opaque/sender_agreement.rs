//! Whether the VMs that share a limit agree on who they are, without asking anybody to decide.
//!
//! The pattern that it answers: a rate that holds over all VMs is divided by each VM's own list of them. Where lists differ
//! the parts add up to more: with three that know only a fourth one, or three that leave while the last takes over
//! their parts, a cold upstream got 18 to 23 requests in a second where 17.5 were allowed. Here a VM uses its part
//! only while each VM on its list has told, within [`FRESH_FOR`], that it holds the same list.
//!
//! Two VMs that use parts of two lists at one moment have no VM in common on them. For a VM that changes its list names
//! none for [`SETTLE_FOR`] after, which is longer than its word for the earlier one counts anywhere; and its word counts
//! from when the *receiver* sent what it answers, so that it does not matter how long messages take. The same argument
//! as for leases (Gray and Cheriton, 1989), with each VM of the list as a grantor.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::IncarnationId;
use crate::opaque::peer_table::VmTag;
use crate::time::MonoTime;

/// Between two rounds of notices, while a limit that they guard is in use.
pub const AGREEMENT_INTERVAL: Duration = Duration::from_millis(150);
/// So long the word of a VM counts, from when it was asked for: three rounds, so that with one message in twenty lost a word is
/// missed once in thousands of rounds.
pub const CONFIRMATION_LIFETIME: Duration = Duration::from_millis(500);
/// So long after a change of its list a VM names none. Longer than [`FRESH_FOR`], by the time that a request may take from its
/// place being taken to its arrival.
pub const SETTLE_TIME: Duration = Duration::from_millis(700);
/// How many rounds are remembered, to know when one was sent that is answered.
const MAX_REMEMBERED_ROUNDS: usize = 16;

/// A digest of a list of VMs; equal lists of equal lives have equal ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ListDigest(pub u64);

/// The round of notices of one lifetime of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgreementRound {
    /// The lifetime.
    pub incarnation: IncarnationId,
    /// Its number.
    pub number: u32,
}

/// The word of a VM on its list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgreementNotice {
    /// The VM.
    pub vm: VmTag,
    /// Its newest round.
    pub round: AgreementRound,
    /// Its list; nothing while it has none that it has held for long enough.
    pub list: Option<ListDigest>,
    /// The newest round of the receiver that it heard.
    pub answers: Option<AgreementRound>,
    /// Whether an answer is wanted at once.
    #[serde(rename = "is_call")]
    pub requests_reply: bool,
}

/// What was heard of one VM.
#[derive(Debug, Clone, Copy)]
struct PeerState {
    round: AgreementRound,
    /// Its list by its newest word, and since when at least that counts.
    confirmation: Option<(ListDigest, MonoTime)>,
}

/// The list of this VM, and the words of others.
#[derive(Debug)]
pub struct SenderAgreement {
    own: VmTag,
    list: Option<ListDigest>,
    /// Since when this is the list.
    since: MonoTime,
    round: AgreementRound,
    /// When the last rounds were sent.
    sent: VecDeque<(u32, MonoTime)>,
    peers: BTreeMap<VmTag, PeerState>,
}

impl SenderAgreement {
    /// A pact of a process that starts now.
    pub fn new(own: VmTag, incarnation: IncarnationId, now: MonoTime) -> Self {
        let round = AgreementRound { incarnation, number: 0 };
        let (sent, peers) = (VecDeque::new(), BTreeMap::new());
        Self { own, list: None, since: now, round, sent, peers }
    }

    /// Takes in which list this VM holds now; nothing when it is on none.
    pub fn set_list(&mut self, list: Option<ListDigest>, now: MonoTime) {
        if list != self.list {
            self.list = list;
            self.since = now;
        }
    }

    /// The list that this VM gives its word for.
    fn settled_list(&self, now: MonoTime) -> Option<ListDigest> {
        self.list.filter(|_| now.since(self.since) >= SETTLE_TIME)
    }

    /// Begins a round of notices.
    pub fn begin_round(&mut self, incarnation: IncarnationId, now: MonoTime) {
        if incarnation != self.round.incarnation {
            self.round = AgreementRound { incarnation, number: 0 };
            self.sent.clear();
        }
        self.round.number += 1;
        self.sent.push_back((self.round.number, now));
        if self.sent.len() > MAX_REMEMBERED_ROUNDS {
            self.sent.pop_front();
        }
    }

    /// The notice to one VM.
    pub fn notice_to(&self, vm: VmTag, requests_reply: bool, now: MonoTime) -> AgreementNotice {
        let answers = self.peers.get(&vm).map(|peer| peer.round);
        let list = self.settled_list(now);
        AgreementNotice { vm: self.own, round: self.round, list, answers, requests_reply }
    }

    /// Takes in the word of another VM.
    pub fn apply(&mut self, notice: &AgreementNotice) {
        let confirmed_at = notice.answers.and_then(|answered| self.sent_at(answered));
        let confirmation = notice.list.zip(confirmed_at);
        let rank = |round: AgreementRound| (round.incarnation, round.number);
        let peer =
            self.peers.entry(notice.vm).or_insert(PeerState { round: notice.round, confirmation });
        if rank(notice.round) > rank(peer.round) {
            peer.round = notice.round;
        }
        let is_older = match (peer.confirmation, confirmed_at) {
            (Some((_, held)), Some(from)) => from < held,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if !is_older {
            peer.confirmation = confirmation;
        }
    }

    /// When a round of this lifetime was sent.
    fn sent_at(&self, round: AgreementRound) -> Option<MonoTime> {
        let is_own = round.incarnation == self.round.incarnation;
        let sent = self.sent.iter().find(|(number, _)| is_own && *number == round.number);
        sent.map(|(_, at)| *at)
    }

    /// Until when this VM may use its part of its list, where `others` are the other VMs on it; nothing when not all agree.
    pub fn agreed_until(&self, others: &[VmTag], now: MonoTime) -> Option<MonoTime> {
        let own = self.settled_list(now)?;
        let mut until = now + CONFIRMATION_LIFETIME;
        for other in others {
            let (list, from) = self.peers.get(other)?.confirmation?;
            if list != own {
                return None;
            }
            until = until.min(from + CONFIRMATION_LIFETIME);
        }
        (now < until).then_some(until)
    }

    /// Forgets VMs that are on no list any more.
    pub fn retain(&mut self, known: impl Fn(VmTag) -> bool) {
        self.peers.retain(|vm, _| known(*vm));
    }
}
