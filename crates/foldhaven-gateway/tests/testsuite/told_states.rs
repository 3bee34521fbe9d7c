//! What peers are told of the platform, written once for all that ask the same.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::opaque::route_table::{CallerLimits, RouteDescription, RouteVersion};
use foldhaven_core::time::MonoTime;
use foldhaven_gateway::feed::FeedSnapshot;
use foldhaven_gateway::known::{
    AnswerCache, ApplyContext, PlatformState, StateOffer, StateRequest,
};

fn offer(revision: u64) -> Arc<StateOffer> {
    let limits = CallerLimits {
        header_bytes: 1,
        body_bytes: 1,
        header_time: Duration::ZERO,
        idle_time: Duration::ZERO,
    };
    let version = RouteVersion(revision);
    let description = RouteDescription {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        limits,
        accounts: None,
    };
    let snapshot = FeedSnapshot {
        revision,
        description: Some(description),
        upstreams: Vec::new(),
        unusable: BTreeSet::new(),
        evacuated: BTreeSet::new(),
    };
    let now = MonoTime::from_millis(1_000_000);
    let mut known = PlatformState::default();
    known.take_snapshot(snapshot, ApplyContext { now, behind: Duration::ZERO });
    Arc::new(known.offer(now).unwrap())
}

const ALL: StateRequest = StateRequest { known: None, is_spanning: true };

/// A VM wrote the same changes anew for each VM of its region that asked, one after the other.
#[test]
fn an_answer_is_written_once_for_all_that_ask_the_same() {
    let (told, offer) = (AnswerCache::default(), offer(7));
    let first = told.answer(&offer, ALL).unwrap();
    let second = told.answer(&offer, ALL).unwrap();
    assert_eq!(first.as_ptr(), second.as_ptr(), "the same bytes");
}

#[test]
fn an_answer_is_of_what_is_asked_and_held_now() {
    let told = AnswerCache::default();
    let (old, new) = (offer(7), offer(8));
    let asks = [Some(7), Some(6), None].map(|known| StateRequest { known, is_spanning: true });
    for ask in asks.iter().chain(&asks) {
        for offer in [&old, &new] {
            let fresh = AnswerCache::default().answer(offer, *ask).unwrap();
            assert_eq!(told.answer(offer, *ask).unwrap(), fresh, "{ask:?}");
        }
    }
    assert_ne!(told.answer(&old, ALL).unwrap(), told.answer(&new, ALL).unwrap());
}
