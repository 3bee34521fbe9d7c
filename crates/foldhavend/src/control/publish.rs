//! Makes the view that traffic reads out of the control state.

use std::collections::BTreeMap;
use std::time::Duration;

use foldhaven_core::ids::ServiceName;
use foldhaven_core::membership::AgedSummary;
use foldhaven_core::planner::{CentreView, RouteView};
use foldhaven_core::time::MonoTime;
use foldhaven_wire::platform::{UpstreamEntry, UpstreamKind};

use super::keeper::ControlKeeper;
use crate::views::{MemberView, PublishedView, ServiceInstance};

/// A daemon that starts takes requests after this long even if it knows of no engine.
const WARM_LIMIT: Duration = Duration::from_secs(3);

impl ControlKeeper {
    /// Publishes a view, unless there is no description yet, or nothing to route to is known yet.
    pub(super) fn publish(&mut self) {
        let Some(index) = self.index.clone() else { return };
        let now = self.now();
        if !self.is_warm(now) {
            return;
        }
        let settings = &self.shared.settings;
        let serving = self.members.serving(self.serves(), now);
        let takes_work: Vec<&UpstreamEntry> =
            self.upstreams().filter(|entry| !self.is_leaving(entry)).collect();
        let loads = self.fresh_loads();
        let engines = takes_work.iter().filter_map(|entry| {
            loads.iter().find(|view| view.load.engine == entry.name).map(|view| (*view).clone())
        });
        let centres = self.members.summaries(now).into_iter().map(|seen| centre_view(&seen, now));
        let route = RouteView {
            index,
            centre: settings.data_centre.clone(),
            engines: engines.collect(),
            centres: centres.collect(),
        };
        self.hold_offers(&route.centres, serving.len() as u32);
        let view = PublishedView {
            route,
            made: now,
            engines: takes_work
                .iter()
                .filter(|entry| entry.kind == UpstreamKind::Engine)
                .map(|entry| (entry.name.clone(), settings.reroute(entry.address)))
                .collect(),
            services: self.service_instances(&takes_work),
            members: self.member_views(now),
            serving: serving.len() as u32,
        };
        self.shared.facts.set_serving_vms(view.serving);
        self.shared.publish(view);
    }

    /// Whether this daemon knows the load of its engines, or has waited long enough to go on
    /// without.
    fn is_warm(&mut self, now: MonoTime) -> bool {
        let has_engines = self.upstreams().any(|entry| entry.kind == UpstreamKind::Engine);
        let knows_loads = !has_engines || !self.fresh_loads().is_empty();
        let knows_list = self.list.is_some();
        let waited = now.since(self.started) > WARM_LIMIT;
        self.warm |= waited || (knows_list && knows_loads);
        self.warm
    }

    fn hold_offers(&self, centres: &[CentreView], members: u32) {
        let now = self.now();
        let here = &self.shared.settings.data_centre;
        for centre in centres {
            let from = &centre.summary.data_centre;
            for offer in centre.summary.offers.iter().filter(|offer| offer.to == *here) {
                let facts = &self.shared.facts;
                let span = (now, centre.observed);
                facts.update_offer(from, &offer.model, offer.slots, members, span);
            }
        }
    }

    fn service_instances(
        &self,
        entries: &[&UpstreamEntry],
    ) -> BTreeMap<ServiceName, Vec<ServiceInstance>> {
        let mut services: BTreeMap<ServiceName, Vec<ServiceInstance>> = BTreeMap::new();
        for entry in entries {
            let UpstreamKind::Service(service) = &entry.kind else { continue };
            let address = self.shared.settings.reroute(entry.address);
            let instance = ServiceInstance { name: entry.name.clone(), address };
            services.entry(service.clone()).or_default().push(instance);
        }
        services
    }

    fn member_views(&self, now: MonoTime) -> Vec<MemberView> {
        let view = |(beat, state): (&foldhaven_core::membership::VmHeartbeat, _)| MemberView {
            vm: beat.vm.clone(),
            incarnation: beat.incarnation,
            addresses: beat.addresses.clone(),
            state,
            in_flight: beat.in_flight,
        };
        self.members.members(now).map(view).collect()
    }
}

fn centre_view(seen: &AgedSummary<'_>, now: MonoTime) -> CentreView {
    CentreView { summary: std::sync::Arc::new(seen.summary.clone()), observed: now - seen.age }
}
