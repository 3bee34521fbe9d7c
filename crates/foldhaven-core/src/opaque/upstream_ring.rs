//! The upstreams of one service in one region, and which of them are candidates for a request.
//!
//! The ring is a persistent map: its copies share everything, and a change copies only a few nodes.
//! Candidates are drawn, so that a choice costs the same however many upstreams there are.

use std::collections::HashSet;

use imbl::OrdMap;

use crate::opaque::affinity::{RingPosition, UpstreamTag};

/// In a ring of at most this size, all upstreams are candidates.
pub const MAX_ALL_DRAWN: usize = 64;
/// The number of candidates of which one is preferred for the affinity key. If there were only one,
/// a key would have no preferred upstream while that one is full.
pub const KEYED_CANDIDATES: usize = 16;
/// The maximum number of candidates that probably have cached segments of the prompt.
pub const MAX_HOLDER_CANDIDATES: usize = 16;
/// The number of candidates that are drawn at random.
pub const RANDOM_CANDIDATES: usize = 48;

/// Upstreams in the order of their ring positions.
#[derive(Debug, Clone)]
pub struct UpstreamRing<T>(OrdMap<RingPosition, T>);

impl<T: Clone> Default for UpstreamRing<T> {
    fn default() -> Self {
        Self(OrdMap::new())
    }
}

/// What the candidates of a request depend on.
#[derive(Debug, Clone, Copy)]
pub struct DrawQuery<'a> {
    /// The affinity key of the prompt. `None` if it has none.
    pub key: Option<u64>,
    /// The upstreams that probably have segments of the prompt cached, the best ones first.
    pub holders: &'a [UpstreamTag],
    /// A random position, drawn anew for each request.
    pub random: RingPosition,
}

/// The candidates of a request.
#[derive(Debug)]
pub struct DrawnUpstreams<'a, T> {
    /// The upstreams.
    pub upstreams: Vec<&'a T>,
    /// How many of them, counted from the first, all VMs draw for the affinity key.
    pub keyed: usize,
}

impl<T: Clone> UpstreamRing<T> {
    /// Returns the number of upstreams.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no upstreams.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds an upstream.
    pub fn insert(&mut self, position: RingPosition, upstream: T) {
        self.0.insert(position, upstream);
    }

    /// Removes an upstream.
    pub fn remove(&mut self, position: RingPosition) {
        self.0.remove(&position);
    }

    /// Returns all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.0.values()
    }

    /// Returns all upstreams in the order of the ring, beginning at a position.
    pub fn iter_from(&self, position: RingPosition) -> impl Iterator<Item = &T> {
        self.entries_from(position).map(|(_, upstream)| upstream)
    }

    fn entries_from(&self, position: RingPosition) -> impl Iterator<Item = (&RingPosition, &T)> {
        self.0.range(position..).chain(self.0.range(..position))
    }

    /// Returns the upstream with a tag.
    pub fn find(&self, tag: UpstreamTag) -> Option<&T> {
        self.find_entry(tag).map(|(_, upstream)| upstream)
    }

    fn find_entry(&self, tag: UpstreamTag) -> Option<(&RingPosition, &T)> {
        let (position, upstream) = self.0.range(RingPosition::first_of(tag)..).next()?;
        (position.tag() == tag).then_some((position, upstream))
    }

    /// Draws the candidates of a request: the upstreams that follow the affinity key on the ring,
    /// those that have the prompt cached, and random ones, as far as they are open.
    pub fn draw(
        &self,
        query: &DrawQuery<'_>,
        is_open: impl Fn(&T) -> bool,
    ) -> DrawnUpstreams<'_, T> {
        if self.len() <= MAX_ALL_DRAWN {
            let upstreams: Vec<&T> = self.iter().filter(|upstream| is_open(upstream)).collect();
            let keyed = upstreams.len();
            return DrawnUpstreams { upstreams, keyed };
        }
        let is_open = |(_, upstream): &(&RingPosition, &T)| is_open(upstream);
        let start = query.key.map(RingPosition);
        let keyed = start.into_iter().flat_map(|start| self.entries_from(start));
        let keyed = keyed.filter(is_open).take(KEYED_CANDIDATES);
        let holders = query.holders.iter().take(MAX_HOLDER_CANDIDATES);
        let holders = holders.filter_map(|tag| self.find_entry(*tag)).filter(is_open);
        let random = self.entries_from(query.random).filter(is_open).take(RANDOM_CANDIDATES);
        let keyed: Vec<(&RingPosition, &T)> = keyed.collect();
        let mut drawn: HashSet<RingPosition> =
            keyed.iter().map(|(position, _)| **position).collect();
        let further = holders.chain(random).filter(|(position, _)| drawn.insert(**position));
        let all = keyed.iter().copied().chain(further);
        let upstreams = all.map(|(_, upstream)| upstream).collect();
        DrawnUpstreams { upstreams, keyed: keyed.len() }
    }
}
