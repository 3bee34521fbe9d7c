//! Builds the view that the traffic thread reads: routes, upstreams, links to other VMs and
//! expected waits. Only what has changed is built anew.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use foldhaven_core::ids::{RegionName, VmName};
use foldhaven_core::opaque::peer_table::{PeerHeartbeat, PeerPhase, VmTag};
use foldhaven_core::opaque::route_table::RouteTable;
use foldhaven_core::opaque::service_order::{ServiceCandidate, ServiceOrder};
use foldhaven_core::opaque::slot_share::HolderLists;
use foldhaven_core::time::MonoTime;
use foldhaven_core::units::CoreShare;

use super::{ControlActor, InService};
use crate::platform_state::StateOffer;
use crate::view::{GatewayView, MemberView, PeerLink, RegionPeers};

impl ControlActor {
    /// Publishes a new view for traffic. Costs as much as there are changes since the last one.
    pub(super) fn publish(&mut self) {
        match self.has_member_change {
            true => self.update_reader_role(),
            false => self.update_read_assignment(),
        }
        self.needs_publish = false;
        let Some(routes) = self.platform.routes().cloned() else { return };
        let now = self.now();
        self.update_upstreams(&routes, now);
        let members = self.current_members(&routes, now);
        self.update_rate_shares(now);
        let Some(offer) = self.current_offer(&routes, now) else { return };
        let demand = self.current_demand(now);
        let senders = self.loads.active_vms().count() + 1;
        let slot_holders = self.update_slot_holders(now);
        self.shared.publish(GatewayView {
            routes,
            upstreams: self.upstreams.groups().clone(),
            software: self.platform.table.census().clone(),
            members,
            expected_waits: self.waits_by_region(),
            demand,
            senders,
            slot_holders,
            offer,
        });
    }

    /// Publishes a view that also shows what has changed of the other VMs, such as which ones are
    /// no longer live. Costs as much as there are VMs.
    pub(super) fn publish_members(&mut self) {
        self.has_member_change = true;
        self.publish();
    }

    /// Publishes a new view with the next load report, since the membership has changed. Such
    /// changes come in large numbers at the start of a large deployment.
    pub(super) fn publish_members_later(&mut self) {
        self.has_member_change = true;
        self.needs_publish = true;
    }

    /// Publishes the changes that were deferred to the next load report.
    pub(super) fn publish_deferred(&mut self) {
        if self.needs_publish {
            self.publish();
        }
    }

    /// Returns what is known of the other VMs. It is collected again only after a change.
    fn current_members(&mut self, routes: &RouteTable, now: MonoTime) -> Arc<MemberView> {
        let phase = self.phase();
        if !self.has_member_change && self.published_phase == Some(phase) {
            return self.members_view.clone();
        }
        self.has_member_change = false;
        self.published_phase = Some(phase);
        self.refresh_senders(now);
        self.update_idle_limits(routes, now);
        let mut heartbeats: Vec<PeerHeartbeat> = self.peers.live(now).cloned().collect();
        let regions = self.current_peers(&heartbeats);
        heartbeats.push(self.own_heartbeat());
        let demand = self.current_demand(now);
        self.report_in_service(demand, now);
        self.report_members(now);
        self.members_view = Arc::new(MemberView {
            heartbeats,
            regions,
            unresponsive_vms: self.peers.unresponsive_local_vms(now),
            last_seen: self.peers.last_seen_by_data_centre(),
            assumed_vms: self.assumed_vms().filter(|_| !self.is_isolated()),
        });
        self.members_view.clone()
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
        let vms = chosen.iter().map(|candidate| VmTag::of(candidate.vm)).collect();
        let in_service = InService { vms, is_own };
        let has_changed = (self.in_service.vms.len(), self.in_service.is_own)
            != (in_service.vms.len(), in_service.is_own);
        if has_changed {
            tracing::info!(
            vms = in_service.vms.len(),
            own = is_own,
            serving,
            demand = %demand,
            "VMs in service changed"
            );
        }
        self.in_service = in_service;
    }

    /// Updates the VMs that share the slots of brittle upstreams: those that are in service and get
    /// callers, and the others that have requests. A process that does not know its peers yet takes
    /// no share.
    fn update_slot_holders(&mut self, now: MonoTime) -> HolderLists {
        let own = VmTag::of(&self.shared.settings.vm);
        let others: BTreeSet<VmTag> =
            self.in_service.vms.iter().copied().chain(self.loads.active_vms()).collect();
        let is_needed = self.in_service.is_own || !self.shared.busy_upstreams.is_empty();
        let is_holder = is_needed && self.has_learnt_peers() && self.phase() == PeerPhase::Serving;
        let current = others.into_iter().filter(|vm| *vm != own).chain(is_holder.then_some(own));
        self.slot_holders.update(current, now).clone()
    }

    /// Returns the VMs that serve, by region. Known links are reused with their connections.
    fn current_peers(&mut self, heartbeats: &[PeerHeartbeat]) -> HashMap<RegionName, RegionPeers> {
        let mut links = HashMap::new();
        let mut by_region: HashMap<RegionName, Vec<&PeerHeartbeat>> = HashMap::new();
        let serving = heartbeats.iter().filter(|heartbeat| heartbeat.phase == PeerPhase::Serving);
        for heartbeat in serving {
            let known = self.links.get(&heartbeat.vm).filter(|link| link.address == heartbeat.peer);
            let link = known.cloned().unwrap_or_else(|| {
                let traffic = self.region_traffic.entry(heartbeat.region.clone()).or_default();
                Arc::new(PeerLink::new(heartbeat, traffic.clone()))
            });
            links.insert(heartbeat.vm.clone(), link);
            by_region.entry(heartbeat.region.clone()).or_default().push(heartbeat);
        }
        self.links = links;
        let peers = |(region, heartbeats): (RegionName, Vec<&PeerHeartbeat>)| {
            let peers = self.region_peers(&region, &heartbeats);
            (region, peers)
        };
        by_region.into_iter().map(peers).collect()
    }

    fn region_peers(&self, region: &RegionName, heartbeats: &[&PeerHeartbeat]) -> RegionPeers {
        let link = |vm: &VmName| self.links.get(vm).cloned();
        let in_service = match region == self.shared.settings.region() {
            true => Vec::new(),
            false => {
                let candidates = heartbeats.iter().map(|heartbeat| ServiceCandidate::of(heartbeat));
                let order = ServiceOrder::of(candidates);
                order.baseline().iter().filter_map(|candidate| link(candidate.vm)).collect()
            }
        };
        RegionPeers {
            links: heartbeats.iter().filter_map(|heartbeat| link(&heartbeat.vm)).collect(),
            in_service,
            traffic: self.region_traffic.get(region).cloned().unwrap_or_default(),
        }
    }
}
