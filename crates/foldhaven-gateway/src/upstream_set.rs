//! The upstreams that may get requests, by name, by tag, and by service and region.
//!
//! A deployment has thousands of upstreams, and changes come one by one. A copy of the groups
//! therefore shares everything, and a change copies only what it touches.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use foldhaven_core::ids::{RegionName, ServiceName, UpstreamName};
use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::upstream_ring::UpstreamRing;

use crate::upstream::Upstream;

/// The upstreams of one service in one region.
pub type UpstreamGroup = UpstreamRing<Arc<Upstream>>;

/// The groups of one service by region.
pub type RegionGroups = BTreeMap<RegionName, UpstreamGroup>;

/// All groups. A copy costs as much as there are services and regions.
pub type ServiceGroups = HashMap<ServiceName, RegionGroups>;

/// The upstreams that may get requests.
#[derive(Default)]
pub struct UpstreamSet {
    by_name: HashMap<UpstreamName, Arc<Upstream>>,
    by_tag: HashMap<UpstreamTag, Arc<Upstream>>,
    groups: ServiceGroups,
}

impl UpstreamSet {
    /// Returns the upstream with a name.
    pub fn get(&self, name: &UpstreamName) -> Option<&Arc<Upstream>> {
        self.by_name.get(name)
    }

    /// Returns the upstream with a tag.
    pub fn find(&self, tag: UpstreamTag) -> Option<&Arc<Upstream>> {
        self.by_tag.get(&tag)
    }

    /// Returns all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.by_name.values()
    }

    /// Returns the names of all upstreams.
    pub fn names(&self) -> impl Iterator<Item = &UpstreamName> {
        self.by_name.keys()
    }

    /// Returns the groups.
    pub fn groups(&self) -> &ServiceGroups {
        &self.groups
    }

    /// Returns the groups of a region, with their services.
    pub fn groups_in<'a>(
        &'a self,
        region: &'a RegionName,
    ) -> impl Iterator<Item = (&'a ServiceName, &'a UpstreamGroup)> {
        let groups = self.groups.iter();
        groups.filter_map(move |(service, regions)| Some((service, regions.get(region)?)))
    }

    /// Adds an upstream. Replaces the one with the same name, and returns it.
    pub fn insert(&mut self, upstream: Arc<Upstream>) -> Option<Arc<Upstream>> {
        let replaced = self.remove(upstream.name());
        let identity = &upstream.identity;
        let regions = self.groups.entry(identity.service.clone()).or_default();
        let group = regions.entry(identity.region.clone()).or_default();
        group.insert(upstream.ring_position, upstream.clone());
        self.by_tag.insert(upstream.tag, upstream.clone());
        self.by_name.insert(upstream.name().clone(), upstream);
        replaced
    }

    /// Removes the upstream with a name, and returns it.
    pub fn remove(&mut self, name: &UpstreamName) -> Option<Arc<Upstream>> {
        let removed = self.by_name.remove(name)?;
        // Another upstream may have the same tag.
        if self.by_tag.get(&removed.tag).is_some_and(|held| Arc::ptr_eq(held, &removed)) {
            self.by_tag.remove(&removed.tag);
        }
        self.remove_from_group(&removed);
        Some(removed)
    }

    fn remove_from_group(&mut self, upstream: &Upstream) {
        let identity = &upstream.identity;
        let Some(regions) = self.groups.get_mut(&identity.service) else { return };
        let Some(group) = regions.get_mut(&identity.region) else { return };
        group.remove(upstream.ring_position);
        if group.is_empty() {
            regions.remove(&identity.region);
        }
        if regions.is_empty() {
            self.groups.remove(&identity.service);
        }
    }
}
