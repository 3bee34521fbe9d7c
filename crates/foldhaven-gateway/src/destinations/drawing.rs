//! Draws the candidates of a request from the upstreams of its service in a region, so that a choice
//! costs the same however many upstreams there are.

use std::collections::HashSet;
use std::sync::Arc;

use foldhaven_core::opaque::affinity::{RingPosition, UpstreamTag};

use crate::upstream::Upstream;
use crate::upstream_set::UpstreamGroup;

/// In a group of at most this size, all upstreams are candidates.
const MAX_CANDIDATES: usize = 64;
/// The number of candidates of which one is preferred for the affinity key. If there were only one,
/// a key would have no preferred upstream while that one is full.
const KEYED_CANDIDATES: usize = 16;
/// The number of candidates that are drawn at random.
const RANDOM_CANDIDATES: usize = 48;

/// The candidates of a request.
pub(super) struct DrawnUpstreams<'a> {
    pub(super) upstreams: Vec<&'a Arc<Upstream>>,
    /// How many of them, counted from the first, all VMs draw for the affinity key.
    pub(super) keyed: usize,
}

/// Draws the upstreams that follow the affinity key on the ring, those with these tags, and random
/// ones, as far as they are open.
pub(super) fn draw<'a>(
    group: &'a UpstreamGroup,
    key: Option<u64>,
    holders: &[UpstreamTag],
    is_open: impl Fn(&Upstream) -> bool,
) -> DrawnUpstreams<'a> {
    let is_open = |upstream: &&Arc<Upstream>| is_open(upstream);
    if group.len() <= MAX_CANDIDATES {
        let upstreams: Vec<&Arc<Upstream>> = group.iter().filter(is_open).collect();
        let keyed = upstreams.len();
        return DrawnUpstreams { upstreams, keyed };
    }
    let keyed = key
        .into_iter()
        .flat_map(|key| group.iter_from(RingPosition(key)).filter(is_open).take(KEYED_CANDIDATES));
    let mut upstreams: Vec<&Arc<Upstream>> = keyed.collect();
    let keyed = upstreams.len();
    let mut drawn: HashSet<RingPosition> =
        upstreams.iter().map(|upstream| upstream.ring_position).collect();
    let holders = holders.iter().filter_map(|tag| group.find(*tag)).filter(is_open);
    let random = group.iter_random().filter(is_open).take(RANDOM_CANDIDATES);
    upstreams.extend(holders.chain(random).filter(|it| drawn.insert(it.ring_position)));
    DrawnUpstreams { upstreams, keyed }
}
