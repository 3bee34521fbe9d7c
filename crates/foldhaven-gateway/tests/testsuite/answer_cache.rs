//! The cache of platform state answers for peers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::opaque::route_table::{CallerLimits, RouteDescription, RouteVersion};
use foldhaven_core::time::MonoTime;
use foldhaven_gateway::feed::FeedSnapshot;
use foldhaven_gateway::platform_state::{
    AnswerCache, ApplyContext, PlatformState, StateFormat, StateOffer, StateRequest,
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
    known.apply_snapshot(snapshot, ApplyContext { now, lag: Duration::ZERO, is_late: false });
    Arc::new(known.offer(now).unwrap())
}

const FORMAT: StateFormat = StateFormat { accepts_spanning: true, accepts_software: true };
const ALL: StateRequest = StateRequest { known_revision: None, format: FORMAT };

/// Guards against serializing the same changes again for each VM of the region that asks.
#[test]
fn equal_requests_share_one_serialized_answer() {
    let (cache, offer) = (AnswerCache::default(), offer(7));
    let first = cache.answer(&offer, ALL).unwrap();
    let second = cache.answer(&offer, ALL).unwrap();
    assert_eq!(first.as_ptr(), second.as_ptr(), "the same bytes");
}

#[test]
fn answer_matches_request_and_current_state() {
    let cache = AnswerCache::default();
    let (older, newer) = (offer(7), offer(8));
    let requests = [Some(7), Some(6), None]
        .map(|known| StateRequest { known_revision: known, format: FORMAT });
    for request in requests.iter().chain(&requests) {
        for offer in [&older, &newer] {
            let fresh = AnswerCache::default().answer(offer, *request).unwrap();
            assert_eq!(cache.answer(offer, *request).unwrap(), fresh, "{request:?}");
        }
    }
    assert_ne!(cache.answer(&older, ALL).unwrap(), cache.answer(&newer, ALL).unwrap());
}
