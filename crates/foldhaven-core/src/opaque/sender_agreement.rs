//! Agreement between the VMs that share a limit on who they are, without a coordinator.
//!
//! A rate that holds for all VMs is divided by each VM's own list of senders. If lists differ, the
//! shares add up to more than the rate: with three VMs that know only a fourth one, or three that
//! leave while the last one takes over their shares, a cold upstream got 18 to 23 requests in a
//! second where 17.5 were allowed. Therefore a VM uses its share only while each VM on its list has
//! confirmed, within [`CONFIRMATION_LIFETIME`], that it holds the same list.
//!
//! Two VMs that use shares of two different lists at the same moment have no VM in common on these
//! lists: a VM that changes its list confirms none for [`SETTLE_TIME`] afterwards, which is longer
//! than its confirmation of the earlier list is valid anywhere. A confirmation is valid from the
//! time at which its *receiver* sent the round that it answers, so message delays do not matter.
//! This is the argument for leases (Gray and Cheriton, 1989), with each VM of the list as a
//! grantor.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::IncarnationId;
use crate::opaque::peer_table::VmTag;
use crate::time::MonoTime;

/// The interval between two rounds of notices while a limit that depends on the agreement is in
/// use.
pub const AGREEMENT_INTERVAL: Duration = Duration::from_millis(150);
/// How long the confirmation of a VM is valid after it was requested. This is three rounds, so that
/// with a message loss of 5 % (one in twenty) a confirmation is missed once in thousands of rounds.
pub const CONFIRMATION_LIFETIME: Duration = Duration::from_millis(500);
/// How long a VM confirms no list after a change of its list. Exceeds [`CONFIRMATION_LIFETIME`] by
/// the time that a request may take from being granted a slot to its arrival.
pub const SETTLE_TIME: Duration = Duration::from_millis(700);
/// The number of own rounds whose send times are remembered.
const MAX_REMEMBERED_ROUNDS: usize = 16;

/// A digest of a list of VMs. Lists of the same VMs in the same incarnations have equal digests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ListDigest(pub u64);

/// A round of notices of one incarnation of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgreementRound {
    /// The process incarnation.
    pub incarnation: IncarnationId,
    /// The number of the round within the incarnation.
    pub number: u32,
}

/// A VM's confirmation of its list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgreementNotice {
    /// The VM.
    pub vm: VmTag,
    /// Its newest round.
    pub round: AgreementRound,
    /// Its list; `None` while it has no list or has not held it for [`SETTLE_TIME`].
    pub list: Option<ListDigest>,
    /// The newest round of the receiver that the VM has received.
    pub answers: Option<AgreementRound>,
    /// Whether the receiver should reply at once.
    #[serde(rename = "is_call")]
    pub requests_reply: bool,
}

/// What was received from another VM.
#[derive(Debug, Clone, Copy)]
struct PeerState {
    round: AgreementRound,
    /// The newest confirmed list, and the time from which the confirmation is valid.
    confirmation: Option<(ListDigest, MonoTime)>,
}

/// The list of this VM, and the confirmations of the others.
#[derive(Debug)]
pub struct SenderAgreement {
    own: VmTag,
    list: Option<ListDigest>,
    /// When the list last changed.
    changed_at: MonoTime,
    round: AgreementRound,
    /// The numbers and send times of the last rounds.
    sent_rounds: VecDeque<(u32, MonoTime)>,
    peers: BTreeMap<VmTag, PeerState>,
}

impl SenderAgreement {
    /// Creates the agreement of a process that starts now.
    pub fn new(own: VmTag, incarnation: IncarnationId, now: MonoTime) -> Self {
        let round = AgreementRound { incarnation, number: 0 };
        let (sent_rounds, peers) = (VecDeque::new(), BTreeMap::new());
        Self { own, list: None, changed_at: now, round, sent_rounds, peers }
    }

    /// Sets the list that this VM holds; `None` if it isn't a sender.
    pub fn set_list(&mut self, list: Option<ListDigest>, now: MonoTime) {
        if list != self.list {
            self.list = list;
            self.changed_at = now;
        }
    }

    /// Returns the list that this VM confirms; `None` until it has held it for [`SETTLE_TIME`].
    fn settled_list(&self, now: MonoTime) -> Option<ListDigest> {
        self.list.filter(|_| now.since(self.changed_at) >= SETTLE_TIME)
    }

    /// Begins a round of notices.
    pub fn begin_round(&mut self, incarnation: IncarnationId, now: MonoTime) {
        if incarnation != self.round.incarnation {
            self.round = AgreementRound { incarnation, number: 0 };
            self.sent_rounds.clear();
        }
        self.round.number += 1;
        self.sent_rounds.push_back((self.round.number, now));
        if self.sent_rounds.len() > MAX_REMEMBERED_ROUNDS {
            self.sent_rounds.pop_front();
        }
    }

    /// Returns the notice to one VM.
    pub fn notice_to(&self, vm: VmTag, requests_reply: bool, now: MonoTime) -> AgreementNotice {
        let answers = self.peers.get(&vm).map(|peer| peer.round);
        let list = self.settled_list(now);
        AgreementNotice { vm: self.own, round: self.round, list, answers, requests_reply }
    }

    /// Applies the notice of another VM.
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

    /// Returns when a round of this incarnation was sent.
    fn sent_at(&self, round: AgreementRound) -> Option<MonoTime> {
        let is_own = round.incarnation == self.round.incarnation;
        let sent_rounds =
            self.sent_rounds.iter().find(|(number, _)| is_own && *number == round.number);
        sent_rounds.map(|(_, at)| *at)
    }

    /// Returns until when this VM may use its share, where `others` are the other VMs on its list;
    /// `None` if they do not all agree.
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

    /// Drops the confirmations of VMs that are no longer known.
    pub fn retain(&mut self, known: impl Fn(VmTag) -> bool) {
        self.peers.retain(|vm, _| known(*vm));
    }
}
