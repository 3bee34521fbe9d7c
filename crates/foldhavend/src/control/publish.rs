//! Derives the view that traffic threads read from the control state.

use std::collections::BTreeMap;
use std::time::Duration;

use foldhaven_core::ids::ServiceName;
use foldhaven_core::membership::AgedSummary;
use foldhaven_core::planner::{CentreView, RouteView};
use foldhaven_core::time::MonoTime;
use foldhaven_wire::platform::{UpstreamEntry, UpstreamKind};

use super::actor::ControlActor;
use crate::views::{MemberView, PublishedView, ServiceInstance};

/// Time after the start at which a daemon accepts requests even if it knows no engine's load.
const MAX_WARM_UP_TIME: Duration = Duration::from_secs(3);

impl ControlActor {
    /// Publishes a view, unless there is no description yet or the daemon is still warming up.
    pub(super) fn publish(&mut self) {
        let Some(index) = self.index.clone() else { return };
        let now = self.now();
        if !self.update_warm_state(now) {
            return;
        }
        let settings = &self.shared.settings;
        let serving = self.members.serving(self.serves(), now);
        let accepting_entries: Vec<&UpstreamEntry> =
            self.upstreams().filter(|entry| !self.is_leaving(entry)).collect();
        let loads = self.fresh_loads();
        let engines = accepting_entries.iter().filter_map(|entry| {
            loads.iter().find(|view| view.load.engine == entry.name).map(|view| (*view).clone())
        });
        let centres = self.members.summaries(now).into_iter().map(|seen| centre_view(&seen, now));
        let route = RouteView {
            index,
            centre: settings.data_centre.clone(),
            engines: engines.collect(),
            centres: centres.collect(),
        };
        self.update_offers(&route.centres, serving.len() as u32);
        let view = PublishedView {
            route,
            published_at: now,
            engines: accepting_entries
                .iter()
                .filter(|entry| entry.kind == UpstreamKind::Engine)
                .map(|entry| (entry.name.clone(), settings.dial_address(entry.address)))
                .collect(),
            services: self.service_instances(&accepting_entries),
            members: self.member_views(now),
            serving_vms: serving.len() as u32,
        };
        self.shared.traffic_state.set_serving_vms(view.serving_vms);
        self.shared.publish(view);
    }

    /// Returns whether this daemon has warmed up. It has once it knows the list of upstreams and,
    /// if that contains engines, the load of one of them; at the latest after
    /// [`MAX_WARM_UP_TIME`]. Once warm, it stays warm.
    fn update_warm_state(&mut self, now: MonoTime) -> bool {
        let has_engines = self.upstreams().any(|entry| entry.kind == UpstreamKind::Engine);
        let knows_loads = !has_engines || !self.fresh_loads().is_empty();
        let knows_list = self.list.is_some();
        let has_waited = now.since(self.started_at) > MAX_WARM_UP_TIME;
        self.is_warm |= has_waited || (knows_list && knows_loads);
        self.is_warm
    }

    /// Passes the other data centres' offers to this data centre on to the traffic threads.
    fn update_offers(&self, centres: &[CentreView], members: u32) {
        let now = self.now();
        let own_centre = &self.shared.settings.data_centre;
        for centre in centres {
            let from = &centre.summary.data_centre;
            for offer in centre.summary.offers.iter().filter(|offer| offer.to == *own_centre) {
                let traffic_state = &self.shared.traffic_state;
                let span = (now, centre.observed);
                traffic_state.update_offer(from, &offer.model, offer.slots, members, span);
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
            let address = self.shared.settings.dial_address(entry.address);
            let instance = ServiceInstance { name: entry.name.clone(), address };
            services.entry(service.clone()).or_default().push(instance);
        }
        services
    }

    fn member_views(&self, now: MonoTime) -> Vec<MemberView> {
        let view = |(heartbeat, state): (&foldhaven_core::membership::VmHeartbeat, _)| MemberView {
            vm: heartbeat.vm.clone(),
            incarnation: heartbeat.incarnation,
            addresses: heartbeat.addresses.clone(),
            state,
            in_flight: heartbeat.in_flight,
        };
        self.members.members(now).map(view).collect()
    }
}

fn centre_view(seen: &AgedSummary<'_>, now: MonoTime) -> CentreView {
    CentreView { summary: std::sync::Arc::new(seen.summary.clone()), observed: now - seen.age }
}
