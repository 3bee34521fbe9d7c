//! Writes the summary of this data centre for other data centres, and the status report for
//! operators.

use foldhaven_core::description::ModelConfig;
use foldhaven_core::ids::{DataCentreName, ModelName};
use foldhaven_core::load::{RecentWork, expected_wait};
use foldhaven_core::membership::{
    CentreSummary, MAX_SUMMARY_VMS, MemberState, ModelCapacity, VmContact,
};
use foldhaven_core::offers::{OfferDemand, SpareOffer, divide_spare};
use foldhaven_wire::operator::{
    CentreStatus, DaemonState, MemberStatus, StatusAnswer, UpstreamStatus,
};
use foldhaven_wire::platform::{UpstreamEntry, UpstreamKind};
use xtra::{Context, Handler};

use super::actor::{ControlActor, accepts_work};
use super::messages::ReadStatus;

/// Expected wait of this data centre's own requests above which lent capacity is reclaimed, in
/// milliseconds.
const RECLAIM_WAIT_MS: u32 = 50;
/// Minimum demand of a data centre, also assumed if its summary does not list the model.
const MIN_DEMAND: f64 = 0.1;

impl ControlActor {
    /// Writes a summary of this data centre. If `to` is given, it contains only the offers to that
    /// data centre.
    pub(super) fn make_summary(&mut self, to: Option<&DataCentreName>) -> CentreSummary {
        let now = self.now();
        self.summaries_written += 1;
        let models = self.model_capacities();
        let mut offers: Vec<SpareOffer> =
            models.iter().flat_map(|capacity| self.spare_offers(capacity)).collect();
        offers.retain(|offer| to.is_none_or(|to| offer.to == *to));
        let mut vms = Vec::new();
        if self.serves() {
            vms.push(self.own_contact());
        }
        let live = self.members.members(now).filter(|(_, state)| accepts_work(*state));
        vms.extend(live.map(|(heartbeat, _)| VmContact {
            vm: heartbeat.vm.clone(),
            incarnation: heartbeat.incarnation,
            addresses: heartbeat.addresses.clone(),
        }));
        vms.sort_by(|left, right| left.vm.cmp(&right.vm));
        let serving = vms.len() as u32;
        vms.truncate(MAX_SUMMARY_VMS);
        CentreSummary {
            data_centre: self.shared.settings.data_centre.clone(),
            author: self.shared.settings.vm.clone(),
            version: (self.shared.incarnation, self.summaries_written),
            age_ms: 0,
            stamps: self.stamp_range(),
            vms,
            serving,
            models,
            services: self.service_names(),
            offers,
        }
    }

    fn own_contact(&self) -> VmContact {
        VmContact {
            vm: self.shared.settings.vm.clone(),
            incarnation: self.shared.incarnation,
            addresses: self.shared.settings.addresses.clone(),
        }
    }

    fn stamp_range(
        &self,
    ) -> Option<(
        foldhaven_core::description::DescriptionStamp,
        foldhaven_core::description::DescriptionStamp,
    )> {
        let live = self.members.members(self.now()).filter(|(_, state)| accepts_work(*state));
        let stamps = live.filter_map(|(heartbeat, _)| heartbeat.stamp).chain(self.stamp());
        let stamps: Vec<_> = stamps.collect();
        Some((*stamps.iter().min()?, *stamps.iter().max()?))
    }

    fn service_names(&self) -> Vec<foldhaven_core::ids::ServiceName> {
        let accepting = self.upstreams().filter(|entry| !self.is_leaving(entry));
        let mut names: Vec<_> = accepting
            .filter_map(|entry| match &entry.kind {
                UpstreamKind::Service(name) => Some(name.clone()),
                UpstreamKind::Engine => None,
            })
            .collect();
        names.sort();
        names.dedup();
        names
    }

    fn model_capacities(&self) -> Vec<ModelCapacity> {
        let Some(index) = self.index.clone() else { return Vec::new() };
        let capacities = index.description.models.iter().map(|model| self.capacity_of(model));
        capacities.filter(|capacity| capacity.slots > 0).collect()
    }

    fn capacity_of(&self, model: &ModelConfig) -> ModelCapacity {
        let now = self.now();
        let accepting: Vec<&UpstreamEntry> =
            self.upstreams().filter(|entry| !self.is_leaving(entry)).collect();
        let loads = self.fresh_loads();
        let holding: Vec<_> = loads
            .iter()
            .filter(|view| view.load.holds(model))
            .filter(|view| accepting.iter().any(|entry| entry.name == view.load.engine))
            .collect();
        let free = |load: &foldhaven_core::load::EngineLoad| {
            load.slots.saturating_sub(load.running + load.queued)
        };
        let wait = holding.iter().map(|view| expected_wait(view, RecentWork::default(), now));
        ModelCapacity {
            model: model.name.clone(),
            slots: holding.iter().map(|view| view.load.slots).sum(),
            free: holding.iter().map(|view| free(&view.load)).sum(),
            wait_ms: wait.min().unwrap_or_default().as_millis() as u32,
        }
    }

    fn spare_offers(&self, capacity: &ModelCapacity) -> Vec<SpareOffer> {
        let model = &capacity.model;
        let lent = self.lent_slots(model);
        // While own requests wait, lent capacity is reclaimed by halves.
        let is_short = capacity.wait_ms > RECLAIM_WAIT_MS;
        let lent = if is_short { lent / 2 } else { lent };
        let spare = capacity.slots.min(capacity.free + lent);
        divide_spare(model, spare, &self.demands_for(model))
    }

    /// Returns the number of requests from other data centres in flight at all VMs of this data
    /// centre. They already use offered slots.
    fn lent_slots(&self, model: &ModelName) -> u32 {
        let own = self.shared.traffic_state.lent_requests();
        let members = self.members.members(self.now());
        let theirs = members.flat_map(|(heartbeat, _)| &heartbeat.lent_requests);
        own.iter().chain(theirs).filter(|(name, _)| name == model).map(|(_, count)| count).sum()
    }

    /// Returns the demand of each other data centre for slots here, estimated from its summary.
    fn demands_for(&self, model: &ModelName) -> Vec<OfferDemand> {
        let demand = |seen: foldhaven_core::membership::AgedSummary<'_>| {
            let capacity = seen.summary.models.iter().find(|it| it.model == *model);
            let weight = capacity.map_or(MIN_DEMAND, |it| {
                let busy = 1.0 - f64::from(it.free) / f64::from(it.slots.max(1));
                MIN_DEMAND + busy * busy + f64::from(it.wait_ms) / 500.0
            });
            OfferDemand {
                centre: seen.summary.data_centre.clone(),
                weight,
                seen_for: seen.seen_for,
            }
        };
        self.members.summaries(self.now()).into_iter().map(demand).collect()
    }

    fn member_statuses(&self) -> Vec<MemberStatus> {
        let members = self.members.members(self.now());
        members
            .map(|(heartbeat, state)| MemberStatus {
                vm: heartbeat.vm.clone(),
                state: match state {
                    MemberState::Live => "live",
                    MemberState::Leaving => "leaving",
                    MemberState::Suspect => "suspect",
                }
                .to_owned(),
                stamp: heartbeat.stamp.map(|stamp| stamp.to_string()),
                peer: heartbeat.addresses.peer.to_string(),
            })
            .collect()
    }

    fn upstream_statuses(&self) -> Vec<UpstreamStatus> {
        self.upstreams().map(|entry| self.upstream_status(entry)).collect()
    }

    fn upstream_status(&self, entry: &UpstreamEntry) -> UpstreamStatus {
        let load = self.loads.get(&entry.name).map(|view| &view.load);
        let holds = match (&entry.kind, load) {
            (UpstreamKind::Service(service), _) => vec![service.to_string()],
            (UpstreamKind::Engine, Some(load)) => {
                let ready = load.models.iter().filter(|held| held.ready);
                ready.map(|held| format!("{}@{}", held.model, held.version)).collect()
            }
            (UpstreamKind::Engine, None) => Vec::new(),
        };
        UpstreamStatus {
            name: entry.name.to_string(),
            holds,
            busy: load.map_or(0, |load| load.running + load.queued),
            slots: load.map_or(0, |load| load.slots),
            leaving: self.is_leaving(entry),
            limit: None,
            speed: None,
        }
    }

    fn centre_statuses(&self) -> Vec<CentreStatus> {
        let status = |seen: foldhaven_core::membership::AgedSummary<'_>| CentreStatus {
            data_centre: seen.summary.data_centre.clone(),
            age_ms: seen.age.as_millis() as u64,
            serving: seen.summary.serving,
            stamps: seen.summary.stamps.map(|(low, high)| (low.to_string(), high.to_string())),
            peers: seen
                .summary
                .vms
                .iter()
                .map(|contact| contact.addresses.peer.to_string())
                .collect(),
        };
        self.members.summaries(self.now()).into_iter().map(status).collect()
    }
}

impl Handler<ReadStatus> for ControlActor {
    type Return = StatusAnswer;

    async fn handle(&mut self, _: ReadStatus, _: &mut Context<Self>) -> StatusAnswer {
        let state = match (self.shared.is_leaving(), self.index.is_some()) {
            (true, _) => DaemonState::Leaving,
            (false, true) => DaemonState::Serving,
            (false, false) => DaemonState::NoDescription,
        };
        StatusAnswer {
            vm: self.shared.settings.vm.clone(),
            data_centre: self.shared.settings.data_centre.clone(),
            incarnation: self.shared.incarnation,
            state,
            stamp: self.stamp_in_force().map(|stamp| stamp.to_string()),
            content: None,
            view_staleness_ms: None,
            refused: self.last_refusal.clone(),
            in_flight: self.shared.in_flight(),
            members: self.member_statuses(),
            upstreams: self.upstream_statuses(),
            centres: self.centre_statuses(),
        }
    }
}
