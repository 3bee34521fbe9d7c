//! Builds the view that the traffic thread reads: routes, upstreams, links to other VMs and
//! expected waits.

use std::collections::HashMap;
use std::sync::Arc;

use foldhaven_core::ids::{RegionName, ServiceName};
use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::idle_connections::max_idle_connections;
use foldhaven_core::opaque::peer_table::{PeerHeartbeat, PeerPhase};
use foldhaven_core::opaque::route_table::RouteTable;
use foldhaven_core::opaque::service_order::{ServiceCandidate, ServiceOrder};
use foldhaven_core::opaque::upstream_table::UpstreamEntry;
use foldhaven_core::time::MonoTime;
use foldhaven_core::units::CoreShare;

use super::{ControlActor, InService};
use crate::platform_state::StateOffer;
use crate::upstream::{Upstream, UpstreamIdentity};
use crate::view::{GatewayView, PeerLink};

impl ControlActor {
    /// Publishes a new view for traffic, and decides whether this daemon reads the platform.
    pub(super) fn publish(&mut self) {
        self.update_read_assignment();
        self.needs_publish = false;
        let Some(routes) = self.platform.routes().cloned() else { return };
        let now = self.now();
        let upstreams = self.current_upstreams(&routes, now);
        let mut heartbeats: Vec<PeerHeartbeat> = self.peers.live(now).cloned().collect();
        let peers = self.current_links(&heartbeats);
        let remote_in_service = self.remote_in_service(&heartbeats);
        let expected_waits = self.waits_by_region();
        heartbeats.push(self.own_heartbeat());
        let Some(offer) = self.current_offer(&routes, now) else { return };
        let demand = self.current_demand(now);
        self.report_in_service(demand, now);
        self.report_members(now);
        self.shared.publish(GatewayView {
            routes,
            upstreams,
            peers,
            expected_waits,
            remote_in_service,
            heartbeats,
            unresponsive_vms: self.peers.unresponsive_local_vms(now),
            demand,
            senders: self.loads.active_vms().count() + 1,
            last_seen: self.peers.last_seen_by_data_centre(),
            assumed_vms: self.assumed_vms(),
            offer,
        });
    }

    /// Publishes a new view with the next load report. Used for changes that may come in large
    /// numbers, such as at the start of a large deployment: building a view of thousands of
    /// upstreams takes milliseconds.
    pub(super) fn publish_later(&mut self) {
        self.needs_publish = true;
    }

    /// Publishes the changes deferred by [`ControlActor::publish_later`].
    pub(super) fn publish_deferred(&mut self) {
        if self.needs_publish {
            self.publish();
        }
    }

    /// Returns the platform state that other VMs can fetch. It is rebuilt only after a change.
    fn current_offer(
        &mut self,
        routes: &Arc<RouteTable>,
        now: MonoTime,
    ) -> Option<Arc<StateOffer>> {
        let is_current = |offer: &Arc<StateOffer>| {
            // A snapshot may replace the whole state without a new revision.
            offer.revision == self.platform.revision() && Arc::ptr_eq(&offer.routes, routes)
        };
        let held = self.offer.take().filter(is_current);
        self.offer = held.or_else(|| self.platform.offer(now).map(Arc::new));
        self.offer.clone()
    }

    /// Returns the upstreams that may get new requests. Upstreams that are still listed keep their
    /// measurements.
    fn current_upstreams(
        &mut self,
        routes: &RouteTable,
        now: MonoTime,
    ) -> HashMap<ServiceName, Vec<Arc<Upstream>>> {
        // All VMs of a region connect to its upstreams.
        let vms = usize::from(self.peers.assumed_counts(now).local);
        let mut kept = HashMap::new();
        let mut by_service: HashMap<ServiceName, Vec<Arc<Upstream>>> = HashMap::new();
        for entry in self.platform.table.usable() {
            if !routes.names_service(&entry.record.service) {
                continue;
            }
            let Some(upstream) = self.upstream_of(entry, routes) else { continue };
            upstream.set_cold(entry.cold_until);
            self.shared.upstream_limits.apply(&upstream);
            self.shared.leaving_upstreams.apply(&upstream);
            let service = routes.service(&upstream.identity.service);
            let limit = service.map_or(0, |service| service.connection_limit);
            upstream.pool.set_max_idle(max_idle_connections(limit, vms));
            by_service.entry(upstream.identity.service.clone()).or_default().push(upstream.clone());
            kept.insert(upstream.name().clone(), upstream);
        }
        let by_tag: HashMap<UpstreamTag, Arc<Upstream>> =
            kept.values().map(|upstream| (upstream.tag, upstream.clone())).collect();
        for tag in self.by_tag.keys().filter(|tag| !by_tag.contains_key(*tag)) {
            self.shared.prefix_caches.lock().remove(*tag);
        }
        self.by_tag = by_tag;
        self.upstreams = kept;
        self.refresh_senders(now);
        self.update_rate_shares(now);
        by_service
    }

    /// Returns the upstream of an entry. A known one is reused unless its process was restarted or
    /// its address has changed, since measurements of an earlier process do not apply to a later
    /// one.
    fn upstream_of(&self, entry: &UpstreamEntry, routes: &RouteTable) -> Option<Arc<Upstream>> {
        let record = &entry.record;
        if let Some(known) = self.upstreams.get(&record.name)
            && known.identity.matches_record(record)
        {
            return Some(known.clone());
        }
        let region = self.settings.regions.get(&record.data_centre)?;
        let service = routes.service(&record.service);
        Some(Upstream::new(UpstreamIdentity {
            name: record.name.clone(),
            birth: record.birth,
            service: record.service.clone(),
            address: record.address,
            data_centre: record.data_centre.clone(),
            region: region.clone(),
            slots: record.slots,
            prompt_memory: service.and_then(|service| service.prompt_memory).unwrap_or_default(),
        }))
    }

    /// Returns links to the VMs of other regions that take requests there at any load.
    fn remote_in_service(
        &self,
        heartbeats: &[PeerHeartbeat],
    ) -> HashMap<RegionName, Vec<Arc<PeerLink>>> {
        let own_region = self.shared.settings.region();
        let serving = heartbeats.iter().filter(|heartbeat| heartbeat.phase == PeerPhase::Serving);
        let mut by_region: HashMap<&RegionName, Vec<ServiceCandidate<'_>>> = HashMap::new();
        for heartbeat in serving.filter(|heartbeat| heartbeat.region != *own_region) {
            by_region.entry(&heartbeat.region).or_default().push(ServiceCandidate::of(heartbeat));
        }
        let links = by_region.into_iter().map(|(region, candidates)| {
            let order = ServiceOrder::of(candidates);
            let baseline = order.baseline().iter();
            let links = baseline.filter_map(|candidate| self.links.get(candidate.vm).cloned());
            (region.clone(), links.collect())
        });
        links.collect()
    }

    /// Returns the peak processor time that the region's requests used in the last few seconds.
    fn current_demand(&mut self, now: MonoTime) -> CoreShare {
        let own = self.meter.busy(self.shared.accepted_requests(), self.shared.settings.cores);
        self.demand.record(self.loads.busy().saturating_add(own), now)
    }

    /// Updates the metrics on the VMs of the region that the demand puts in service, and logs
    /// changes.
    fn report_in_service(&mut self, demand: CoreShare, now: MonoTime) {
        let order = self.peers.local_service_order(now);
        let (chosen, serving) = (order.for_demand(demand), order.len());
        let metrics = &self.shared.metrics;
        metrics.set_level("service_vms", chosen.len() as u64);
        metrics.set_level("service_demand_millicores", (demand.as_cores() * 1_000.0) as u64);
        let is_own = chosen.iter().any(|candidate| *candidate.vm == self.shared.settings.vm);
        let in_service = InService { vms: chosen.len(), is_own };
        if self.in_service != in_service {
            tracing::info!(
            vms = in_service.vms,
            own = is_own,
            serving,
            demand = %demand,
            "VMs in service changed"
            );
            self.in_service = in_service;
        }
    }

    /// Returns links to the VMs that serve. Known links are reused with their connections.
    fn current_links(&mut self, heartbeats: &[PeerHeartbeat]) -> Vec<Arc<PeerLink>> {
        let mut links = HashMap::new();
        for heartbeat in heartbeats.iter().filter(|heartbeat| heartbeat.phase == PeerPhase::Serving)
        {
            let known = self.links.get(&heartbeat.vm).filter(|link| link.address == heartbeat.peer);
            let link = known.cloned().unwrap_or_else(|| Arc::new(PeerLink::new(heartbeat)));
            links.insert(heartbeat.vm.clone(), link);
        }
        self.links = links;
        self.links.values().cloned().collect()
    }
}
