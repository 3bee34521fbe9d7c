//! Builds the view that traffic threads read: routes, upstreams, links to other VMs and waits.

use std::collections::HashMap;
use std::sync::Arc;

use foldhaven_core::ids::{RegionName, ServiceName};
use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::idle_connections::max_idle_connections;
use foldhaven_core::opaque::peer_table::{PeerBeat, PeerPhase};
use foldhaven_core::opaque::route_table::RouteTable;
use foldhaven_core::opaque::service_order::{ServiceCandidate, ServiceOrder};
use foldhaven_core::opaque::upstream_table::UpstreamEntry;
use foldhaven_core::time::MonoTime;
use foldhaven_core::units::CoreShare;

use super::{ControlKeeper, InService};
use crate::known::StateOffer;
use crate::upstream::{Upstream, UpstreamIdentity};
use crate::view::{GatewayView, PeerLink};

impl ControlKeeper {
    /// Makes a new view for traffic, and decides whether this daemon reads the platform.
    pub(super) fn publish(&mut self) {
        self.set_turn();
        self.is_stale = false;
        let Some(routes) = self.known.routes().cloned() else { return };
        let now = self.now();
        let upstreams = self.current_upstreams(&routes, now);
        let mut beats: Vec<PeerBeat> = self.peers.live(now).cloned().collect();
        let peers = self.current_links(&beats);
        let far_service = self.far_service(&beats);
        let waits = self.far_waits();
        beats.push(self.own_beat());
        let Some(offer) = self.current_offer(&routes, now) else { return };
        let demand = self.current_demand(now);
        self.note_service(demand, now);
        self.note_members(now);
        self.shared.publish(GatewayView {
            routes,
            upstreams,
            peers,
            waits,
            far_service,
            beats,
            doubted: self.peers.doubted(now),
            demand,
            senders: self.loads.active_vms().count() + 1,
            heard: self.peers.heard_by_centre(),
            assumed_vms: self.assumed_vms(),
            offer,
        });
    }

    /// Shows traffic what has changed with the next load report. For news of which many come at once,
    /// as when a large deployment starts: a view of thousands of upstreams takes milliseconds to make.
    pub(super) fn publish_soon(&mut self) {
        self.is_stale = true;
    }

    /// Shows traffic what [`ControlKeeper::publish_soon`] has put off.
    pub(super) fn publish_stale(&mut self) {
        if self.is_stale {
            self.publish();
        }
    }

    /// What another VM may take over from this one, made anew when something of it has changed.
    fn current_offer(
        &mut self,
        routes: &Arc<RouteTable>,
        now: MonoTime,
    ) -> Option<Arc<StateOffer>> {
        let is_of_now = |offer: &Arc<StateOffer>| {
            // All may have been taken anew at one revision.
            offer.revision == self.known.revision() && Arc::ptr_eq(&offer.routes, routes)
        };
        let held = self.offer.take().filter(is_of_now);
        self.offer = held.or_else(|| self.known.offer(now).map(Arc::new));
        self.offer.clone()
    }

    /// The upstreams that may get new requests. What was measured of those that stay listed is kept.
    fn current_upstreams(
        &mut self,
        routes: &RouteTable,
        now: MonoTime,
    ) -> HashMap<ServiceName, Vec<Arc<Upstream>>> {
        // All VMs of a region connect to its upstreams.
        let vms = usize::from(self.peers.assumed_counts(now).near);
        let mut kept = HashMap::new();
        let mut by_service: HashMap<ServiceName, Vec<Arc<Upstream>>> = HashMap::new();
        for entry in self.known.table.usable() {
            if !routes.names_service(&entry.record.service) {
                continue;
            }
            let Some(upstream) = self.upstream_of(entry, routes) else { continue };
            upstream.set_cold(entry.cold_until);
            self.shared.limits.apply(&upstream);
            self.shared.leavers.apply(&upstream);
            let service = routes.service(&upstream.identity.service);
            let limit = service.map_or(0, |service| service.connection_limit);
            upstream.pool.keep_at_most(max_idle_connections(limit, vms));
            by_service.entry(upstream.identity.service.clone()).or_default().push(upstream.clone());
            kept.insert(upstream.name().clone(), upstream);
        }
        let by_tag: HashMap<UpstreamTag, Arc<Upstream>> =
            kept.values().map(|upstream| (upstream.tag, upstream.clone())).collect();
        for tag in self.by_tag.keys().filter(|tag| !by_tag.contains_key(*tag)) {
            self.shared.hints.lock().forget(*tag);
        }
        self.by_tag = by_tag;
        self.upstreams = kept;
        self.look_at_senders(now);
        self.share_rates(now);
        by_service
    }

    /// The upstream of an entry: the one known already, unless it has started again or stands elsewhere. Nothing
    /// that was measured of an earlier life counts for a later one.
    fn upstream_of(&self, entry: &UpstreamEntry, routes: &RouteTable) -> Option<Arc<Upstream>> {
        let record = &entry.record;
        if let Some(known) = self.upstreams.get(&record.name)
            && known.identity.is_of(record)
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

    /// Links to the VMs of the other regions that take requests at any load there.
    fn far_service(&self, beats: &[PeerBeat]) -> HashMap<RegionName, Vec<Arc<PeerLink>>> {
        let own_region = self.shared.settings.region();
        let serving = beats.iter().filter(|beat| beat.phase == PeerPhase::Serving);
        let mut by_region: HashMap<&RegionName, Vec<ServiceCandidate<'_>>> = HashMap::new();
        for beat in serving.filter(|beat| beat.region != *own_region) {
            by_region.entry(&beat.region).or_default().push(ServiceCandidate::of(beat));
        }
        let links = by_region.into_iter().map(|(region, candidates)| {
            let order = ServiceOrder::of(candidates);
            let standing = order.baseline().iter();
            let links = standing.filter_map(|candidate| self.links.get(candidate.vm).cloned());
            (region.clone(), links.collect())
        });
        links.collect()
    }

    /// The processor time that the requests of this region took in the last seconds at most.
    fn current_demand(&mut self, now: MonoTime) -> CoreShare {
        let own = self.meter.busy(self.shared.taken(), self.shared.settings.cores);
        self.demand.record(self.loads.busy().plus(own), now)
    }

    /// Counts and logs which VMs of the region the demand puts in service.
    fn note_service(&mut self, demand: CoreShare, now: MonoTime) {
        let order = self.peers.near_order(now);
        let (chosen, serving) = (order.for_demand(demand), order.len());
        let metrics = &self.shared.metrics;
        metrics.set_level("service_vms", chosen.len() as u64);
        metrics.set_level("service_demand_millicores", (demand.as_f64() * 1_000.0) as u64);
        let is_own = chosen.iter().any(|candidate| *candidate.vm == self.shared.settings.vm);
        let in_service = InService { vms: chosen.len(), is_own };
        if self.in_service != in_service {
            tracing::info!(
                vms = in_service.vms,
                own = is_own,
                serving,
                demand = %demand,
                "callers are sent to other VMs"
            );
            self.in_service = in_service;
        }
    }

    /// Links to the VMs that serve. Those known already are kept with their connections.
    fn current_links(&mut self, beats: &[PeerBeat]) -> Vec<Arc<PeerLink>> {
        let mut links = HashMap::new();
        for beat in beats.iter().filter(|beat| beat.phase == PeerPhase::Serving) {
            let known = self.links.get(&beat.vm).filter(|link| link.address == beat.peer);
            let link = known.cloned().unwrap_or_else(|| Arc::new(PeerLink::new(beat)));
            links.insert(beat.vm.clone(), link);
        }
        self.links = links;
        self.links.values().cloned().collect()
    }
}
