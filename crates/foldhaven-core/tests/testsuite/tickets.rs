//! Tests of tickets: a request runs at most once for any sequence of uses.

use std::collections::BTreeMap;
use std::time::Duration;

use foldhaven_core::ids::IncarnationId;
use foldhaven_core::ticket::{RequestTicket, TicketLedger, TicketVerdict};
use foldhaven_core::time::MonoTime;
use proptest::prelude::*;

const TTL: Duration = Duration::from_secs(10);

fn ledger(incarnation: u64, key: u8) -> TicketLedger<u64> {
    TicketLedger::new("vm-1".parse().unwrap(), IncarnationId(incarnation), [key; 32])
}

fn at(secs: u64) -> MonoTime {
    MonoTime::from_millis(secs * 1_000)
}

proptest! {
    /// A ticket runs at most once, however often or late it arrives and whatever its request's
    /// content.
    #[test]
    fn a_ticket_is_run_at_most_once(
        uses in proptest::collection::vec((0usize..4, 0u64..3, 0u64..120), 1..60)
    ) {
        let mut ledger = ledger(1, 7);
        let tickets: Vec<_> = (0..4).map(|_| ledger.issue(at(0), TTL).unwrap()).collect();
        let mut runs: BTreeMap<u64, usize> = BTreeMap::new();
        let mut uses = uses;
        uses.sort_by_key(|(_, _, secs)| *secs);
        for (which, fingerprint, secs) in uses {
            let ticket = &tickets[which];
            if ledger.redeem(ticket, fingerprint, at(secs), || 0) == TicketVerdict::Run {
                *runs.entry(ticket.sequence).or_default() += 1;
                prop_assert!(at(secs) < ticket.expires);
            }
            // Issuing a ticket removes the records of expired ones.
            let _ = ledger.issue(at(secs), TTL);
        }
        prop_assert!(runs.values().all(|runs| *runs == 1));
    }

    /// A ticket can be parsed from its text form, and any change of the text makes it invalid.
    #[test]
    fn a_changed_ticket_is_foreign(position: prop::sample::Index, digit in 0u8..10) {
        let mut ledger = ledger(1, 7);
        let text = ledger.issue(at(0), TTL).unwrap().to_string();
        let mut changed = text.clone().into_bytes();
        let position = position.index(changed.len());
        changed[position] = b'0' + digit;
        let changed = String::from_utf8(changed).unwrap();
        if let Ok(ticket) = changed.parse::<RequestTicket>() {
            let verdict = ledger.redeem(&ticket, 1, at(1), || 0);
            prop_assert_eq!(verdict == TicketVerdict::Run, changed == text);
        }
    }
}

#[test]
fn a_later_incarnation_rejects_an_earlier_ticket() {
    let ticket = ledger(1, 7).issue(at(0), TTL).unwrap();
    let mut later = ledger(2, 7);
    assert_eq!(later.redeem(&ticket, 1, at(1), || 0), TicketVerdict::Foreign);
    assert!(!later.names_this_process(&ticket));
}

#[test]
fn a_request_with_other_content_is_rejected_and_the_same_request_joins() {
    let mut ledger = ledger(1, 7);
    let ticket = ledger.issue(at(0), TTL).unwrap();
    assert_eq!(ledger.redeem(&ticket, 1, at(1), || 42), TicketVerdict::Run);
    assert_eq!(ledger.redeem(&ticket, 1, at(2), || 0), TicketVerdict::Join(42));
    assert_eq!(ledger.redeem(&ticket, 2, at(2), || 0), TicketVerdict::OtherRequest);
    ledger.restore(&ticket);
    assert_eq!(ledger.redeem(&ticket, 1, at(3), || 43), TicketVerdict::Run);
}

#[test]
fn a_closed_ledger_runs_no_unspent_ticket() {
    let mut ledger = ledger(1, 7);
    let (spent, unspent) = (ledger.issue(at(0), TTL).unwrap(), ledger.issue(at(0), TTL).unwrap());
    assert_eq!(ledger.redeem(&spent, 1, at(1), || 5), TicketVerdict::Run);
    ledger.close();
    assert_eq!(ledger.redeem(&unspent, 1, at(1), || 0), TicketVerdict::Closed);
    assert_eq!(ledger.redeem(&spent, 1, at(1), || 0), TicketVerdict::Join(5));
    assert_eq!(ledger.issue(at(1), TTL), None);
}

/// Guards against refusing a caller that got a ticket right before a planned stop.
#[test]
fn issued_tickets_can_be_redeemed_after_issuing_stopped() {
    let mut ledger = ledger(1, 7);
    let ticket = ledger.issue(at(0), TTL).unwrap();
    let unused = ledger.issue(at(0), TTL).unwrap();
    ledger.stop_issuing();
    assert!(ledger.issue(at(1), TTL).is_none());
    assert_eq!(ledger.redeem(&ticket, 1, at(1), || 5), TicketVerdict::Run);
    ledger.close();
    assert_eq!(ledger.redeem(&unused, 1, at(1), || 6), TicketVerdict::Closed);
    assert_eq!(ledger.redeem(&ticket, 1, at(1), || 7), TicketVerdict::Join(5));
}
