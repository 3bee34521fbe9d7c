//! What this data centre says of itself to others, and to operators.

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

use super::keeper::{ControlKeeper, takes_work};
use super::messages::MakeStatus;

/// Own requests that wait for longer than this take lent capacity back, in milliseconds.
const SHORT_WAIT_MS: u32 = 50;
/// The demand that a data centre is taken to have when it shows none.
const LEAST_DEMAND: f64 = 0.1;

impl ControlKeeper {
    /// Writes a summary, with only the offers for `to` when that is given.
    pub(super) fn make_summary(&mut self, to: Option<&DataCentreName>) -> CentreSummary {
        let now = self.now();
        self.summaries_written += 1;
        let models = self.model_capacities();
        let mut offers: Vec<SpareOffer> =
            models.iter().flat_map(|capacity| self.offers_of(capacity)).collect();
        offers.retain(|offer| to.is_none_or(|to| offer.to == *to));
        let mut vms = Vec::new();
        if self.serves() {
            vms.push(self.own_brief());
        }
        let live = self.members.members(now).filter(|(_, state)| takes_work(*state));
        vms.extend(live.map(|(beat, _)| VmContact {
            vm: beat.vm.clone(),
            incarnation: beat.incarnation,
            addresses: beat.addresses.clone(),
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

    fn own_brief(&self) -> VmContact {
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
        let live = self.members.members(self.now()).filter(|(_, state)| takes_work(*state));
        let stamps = live.filter_map(|(beat, _)| beat.stamp).chain(self.stamp());
        let stamps: Vec<_> = stamps.collect();
        Some((*stamps.iter().min()?, *stamps.iter().max()?))
    }

    fn service_names(&self) -> Vec<foldhaven_core::ids::ServiceName> {
        let open = self.upstreams().filter(|entry| !self.is_leaving(entry));
        let mut names: Vec<_> = open
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
        let open: Vec<&UpstreamEntry> =
            self.upstreams().filter(|entry| !self.is_leaving(entry)).collect();
        let loads = self.fresh_loads();
        let holding: Vec<_> = loads
            .iter()
            .filter(|view| view.load.holds(model))
            .filter(|view| open.iter().any(|entry| entry.name == view.load.engine))
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

    fn offers_of(&self, capacity: &ModelCapacity) -> Vec<SpareOffer> {
        let model = &capacity.model;
        let lent = self.lent_of(model);
        // While own requests wait, what is lent is taken back by halves.
        let is_short = capacity.wait_ms > SHORT_WAIT_MS;
        let lent = if is_short { lent / 2 } else { lent };
        let spare = capacity.slots.min(capacity.free + lent);
        divide_spare(model, spare, &self.demands_for(model))
    }

    /// Requests of other data centres under way at all members, which the offers cover already.
    fn lent_of(&self, model: &ModelName) -> u32 {
        let own = self.shared.facts.lent_requests();
        let members = self.members.members(self.now());
        let theirs = members.flat_map(|(beat, _)| &beat.lent_requests);
        own.iter().chain(theirs).filter(|(name, _)| name == model).map(|(_, count)| count).sum()
    }

    /// How much each other data centre would like to send here, by its own summary.
    fn demands_for(&self, model: &ModelName) -> Vec<OfferDemand> {
        let demand = |seen: foldhaven_core::membership::AgedSummary<'_>| {
            let capacity = seen.summary.models.iter().find(|it| it.model == *model);
            let weight = capacity.map_or(LEAST_DEMAND, |it| {
                let busy = 1.0 - f64::from(it.free) / f64::from(it.slots.max(1));
                LEAST_DEMAND + busy * busy + f64::from(it.wait_ms) / 500.0
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
            .map(|(beat, state)| MemberStatus {
                vm: beat.vm.clone(),
                state: match state {
                    MemberState::Live => "live",
                    MemberState::Leaving => "leaving",
                    MemberState::Suspect => "suspect",
                }
                .to_owned(),
                stamp: beat.stamp.map(|stamp| stamp.to_string()),
                peer: beat.addresses.peer.to_string(),
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
        }
    }

    fn centre_statuses(&self) -> Vec<CentreStatus> {
        let status = |seen: foldhaven_core::membership::AgedSummary<'_>| CentreStatus {
            data_centre: seen.summary.data_centre.clone(),
            age_ms: seen.age.as_millis() as u64,
            serving: seen.summary.serving,
            stamps: seen.summary.stamps.map(|(low, high)| (low.to_string(), high.to_string())),
            peers: seen.summary.vms.iter().map(|brief| brief.addresses.peer.to_string()).collect(),
        };
        self.members.summaries(self.now()).into_iter().map(status).collect()
    }
}

impl Handler<MakeStatus> for ControlKeeper {
    type Return = StatusAnswer;

    async fn handle(&mut self, _: MakeStatus, _: &mut Context<Self>) -> StatusAnswer {
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
            refused: self.refused.clone(),
            in_flight: self.shared.in_flight(),
            members: self.member_statuses(),
            upstreams: self.upstream_statuses(),
            centres: self.centre_statuses(),
        }
    }
}
