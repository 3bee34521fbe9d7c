//! Keeps the upstreams that may get requests up to date with the platform's list, change by change.

use std::collections::BTreeSet;
use std::sync::Arc;

use foldhaven_core::ids::{ServiceName, UpstreamName};
use foldhaven_core::opaque::idle_connections::max_idle_connections;
use foldhaven_core::opaque::route_table::{OpaqueService, RouteTable};
use foldhaven_core::opaque::upstream_table::{ChangedUpstreams, UpstreamEntry};
use foldhaven_core::time::MonoTime;

use super::ControlActor;
use crate::upstream::{Upstream, UpstreamIdentity};

/// The services of a description. Only their upstreams may get requests.
#[derive(Debug, Default, PartialEq)]
pub(super) struct DescribedServices {
    services: Vec<OpaqueService>,
    /// The services that routes use.
    routed: BTreeSet<ServiceName>,
}

impl DescribedServices {
    fn of(routes: &RouteTable) -> Self {
        let description = routes.description();
        let routed = description.routes.iter().flat_map(|route| &route.services);
        Self {
            services: description.services.clone(),
            routed: routed.map(|weighted| weighted.service.clone()).collect(),
        }
    }
}

impl ControlActor {
    /// Applies the changes of the platform's list since the last call. Upstreams that are still
    /// listed keep their measurements.
    pub(super) fn update_upstreams(&mut self, routes: &Arc<RouteTable>, now: MonoTime) {
        let mut changed = self.platform.table.take_changed();
        if self.update_described_services(routes) {
            changed = ChangedUpstreams::All;
        }
        let names = match changed {
            ChangedUpstreams::Named(names) => names,
            ChangedUpstreams::All => self.all_upstream_names(),
        };
        for name in &names {
            self.update_upstream(name, routes, now);
        }
    }

    /// Records the services of the description. Returns whether they differ from those before.
    fn update_described_services(&mut self, routes: &Arc<RouteTable>) -> bool {
        let is_same = self.used_routes.as_ref().is_some_and(|used| Arc::ptr_eq(used, routes));
        if is_same {
            return false;
        }
        self.used_routes = Some(routes.clone());
        let described = DescribedServices::of(routes);
        std::mem::replace(&mut self.described_services, described) != self.described_services
    }

    fn all_upstream_names(&self) -> BTreeSet<UpstreamName> {
        let listed = self.platform.table.usable().map(|entry| &entry.record.name);
        listed.chain(self.upstreams.names()).cloned().collect()
    }

    fn update_upstream(&mut self, name: &UpstreamName, routes: &RouteTable, now: MonoTime) {
        let entry = self.platform.table.usable_entry(name);
        let entry = entry.filter(|entry| routes.names_service(&entry.record.service));
        let Some(entry) = entry else { return self.remove_upstream(name) };
        let cold_until = entry.cold_until;
        let known = self.upstreams.get(name);
        let known = known.filter(|known| known.identity.matches_record(&entry.record)).cloned();
        let upstream = match known {
            Some(known) => known,
            // Measurements of an earlier process do not apply to a later one.
            None => {
                let added = self.new_upstream(entry, routes);
                self.remove_upstream(name);
                let Some(added) = added else { return };
                self.upstreams.insert(added.clone());
                added
            }
        };
        upstream.set_cold(cold_until);
        if upstream.is_cold(now) && upstream.identity.region == *self.shared.settings.region() {
            self.cold_upstreams.insert(upstream.tag, upstream);
        }
    }

    fn remove_upstream(&mut self, name: &UpstreamName) {
        if let Some(removed) = self.upstreams.remove(name) {
            self.cold_upstreams.remove(&removed.tag);
            self.shared.prefix_caches.lock().remove(removed.tag);
            self.shared.placements.lock().remove(removed.tag);
        }
    }

    /// Returns the upstream of an entry, with everything that is known of it already. `None` if its
    /// data centre is unknown.
    fn new_upstream(&self, entry: &UpstreamEntry, routes: &RouteTable) -> Option<Arc<Upstream>> {
        let record = &entry.record;
        let region = self.settings.regions.get(&record.data_centre)?;
        let service = routes.service(&record.service);
        let brittleness = self.shared.brittle_services.state(&record.service);
        let identity = UpstreamIdentity {
            name: record.name.clone(),
            birth: record.birth,
            service: record.service.clone(),
            address: record.address,
            data_centre: record.data_centre.clone(),
            region: region.clone(),
            slots: record.slots,
            prompt_memory: service.and_then(|service| service.prompt_memory).unwrap_or_default(),
            software: record.software.clone(),
        };
        let upstream = Upstream::new(identity, brittleness);
        self.shared.upstream_limits.apply(&upstream);
        self.shared.leaving_upstreams.apply(&upstream);
        upstream.set_peer_load(self.loads.total(upstream.tag));
        upstream.set_peer_levels(self.loads.total_levels(upstream.tag));
        if let Some(limit) = self.idle_limits.get(&record.service) {
            upstream.pool.set_max_idle(*limit);
        }
        Some(upstream)
    }

    /// Sets how many idle connections this VM may keep to each upstream, if that has changed. It
    /// depends on the number of VMs of the region, all of which connect to its upstreams.
    pub(super) fn update_idle_limits(&mut self, routes: &RouteTable, now: MonoTime) {
        let vms = usize::from(self.peers.assumed_counts(now).local);
        for (service, regions) in self.upstreams.groups() {
            let described = routes.service(service);
            let limit = described.map_or(0, |service| service.connection_limit);
            let limit = max_idle_connections(limit, vms);
            if self.idle_limits.insert(service.clone(), limit) != Some(limit) {
                let upstreams = regions.values().flat_map(|group| group.iter());
                upstreams.for_each(|upstream| upstream.pool.set_max_idle(limit));
            }
        }
    }

    /// Returns the upstreams of this region whose rate the VMs of the region share: those that are
    /// cold or have announced a limit.
    pub(super) fn rate_limited_upstreams(&mut self, now: MonoTime) -> Vec<Arc<Upstream>> {
        self.cold_upstreams.retain(|_, upstream| upstream.is_cold(now));
        let own_region = self.shared.settings.region();
        let limited = self.shared.upstream_limits.limited();
        let limited = limited.into_iter().filter_map(|tag| self.upstreams.find(tag));
        let limited = limited.filter(|it| it.identity.region == *own_region && !it.is_cold(now));
        limited.chain(self.cold_upstreams.values()).cloned().collect()
    }
}
