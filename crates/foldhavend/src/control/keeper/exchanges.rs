//! Whom this daemon exchanges what it knows with, and what comes of it.

use std::collections::BTreeSet;

use foldhaven_core::ids::DataCentreName;
use foldhaven_core::membership::{VmHeartbeat, exchange_partners};
use foldhaven_wire::control::{ExchangeReply, ExchangeRequest};
use xtra::{Context, Handler};

use super::ControlKeeper;
use crate::control::messages::*;

/// Seeds whose data centre is not seen are tried in every n-th round.
const SEED_ROUNDS: u64 = 4;
/// Other data centres are met in every n-th round, and less often when there are many partners.
const CENTRE_ROUNDS: u64 = 2;
const CENTRE_ROUNDS_MANY: u64 = 4;
const MANY_PARTNERS: usize = 4;

impl ControlKeeper {
    fn plan_member_exchanges(&mut self, targets: &mut Vec<ExchangeTarget>) {
        let now = self.now();
        let named = |heartbeat: &VmHeartbeat| (heartbeat.vm.clone(), heartbeat.addresses.control);
        let members: Vec<_> = match std::mem::take(&mut self.meets_all) {
            true => self.members.members(now).map(|(heartbeat, _)| named(heartbeat)).collect(),
            false => self.members.heartbeat_targets(self.round).into_iter().map(named).collect(),
        };
        for (at, (vm, address)) in members.into_iter().enumerate() {
            // One of them is asked for newer summaries; whoever has them passes them on.
            let known_summaries = (at == 0).then(|| self.members.summary_versions());
            let request =
                ExchangeRequest { heartbeat: self.make_beat(), known_summaries, own_summary: None };
            targets.push(ExchangeTarget { vm: Some(vm), address, request });
        }
    }

    /// The data centres with which this one starts exchanges.
    fn partners(&self) -> BTreeSet<DataCentreName> {
        let Some(index) = &self.index else { return BTreeSet::new() };
        let regions = index.description.regions.iter();
        let named = regions.flat_map(|it| it.data_centres.iter().map(|dc| (dc, &it.name)));
        let centres: Vec<_> = named.map(|(dc, region)| (dc.clone(), region.clone())).collect();
        exchange_partners(&self.shared.settings.data_centre, &centres)
    }

    fn plan_centre_exchanges(&mut self, targets: &mut Vec<ExchangeTarget>) {
        let now = self.now();
        if !self.members.is_delegate(self.serves(), now) {
            return;
        }
        let partners = self.partners();
        let many = partners.len() > MANY_PARTNERS;
        let rounds = if many { CENTRE_ROUNDS_MANY } else { CENTRE_ROUNDS };
        if !self.round.is_multiple_of(rounds) {
            return;
        }
        let seen = self.members.summaries(now);
        let mut addresses = Vec::new();
        for seen in seen.iter().filter(|it| partners.contains(&it.summary.data_centre)) {
            // Two delegates turn through the VMs of the partner in step with the rounds.
            let vms = &seen.summary.vms;
            let at = (self.round / rounds) as usize % vms.len().max(1);
            let centre = seen.summary.data_centre.clone();
            addresses.extend(vms.get(at).map(|brief| (centre, brief.addresses.control)));
        }
        for (centre, address) in addresses {
            let own_summary = Some(self.make_summary(Some(&centre)));
            let request =
                ExchangeRequest { heartbeat: self.make_beat(), known_summaries: None, own_summary };
            targets.push(ExchangeTarget { vm: None, address, request });
        }
    }

    fn plan_seed_exchanges(&mut self, targets: &mut Vec<ExchangeTarget>) {
        let now = self.now();
        let is_delegate = self.members.is_delegate(self.serves(), now);
        let mut missed = self.partners();
        for seen in self.members.summaries(now) {
            missed.remove(&seen.summary.data_centre);
        }
        for address in self.shared.settings.seeds.clone() {
            let due = match self.answered.get(&address) {
                None => self.index.is_none() || self.round.is_multiple_of(SEED_ROUNDS),
                Some(centre) => is_delegate && missed.contains(centre),
            };
            if !due {
                continue;
            }
            let own_summary = self.index.is_some().then(|| self.make_summary(None));
            let request =
                ExchangeRequest { heartbeat: self.make_beat(), known_summaries: None, own_summary };
            targets.push(ExchangeTarget { vm: None, address, request });
        }
    }
}

impl Handler<PlanExchanges> for ControlKeeper {
    type Return = Vec<ExchangeTarget>;

    async fn handle(&mut self, _: PlanExchanges, _: &mut Context<Self>) -> Vec<ExchangeTarget> {
        let mut targets = Vec::new();
        self.plan_member_exchanges(&mut targets);
        self.plan_centre_exchanges(&mut targets);
        self.plan_seed_exchanges(&mut targets);
        self.round += 1;
        targets
    }
}

impl Handler<HearExchange> for ControlKeeper {
    type Return = ExchangeReply;

    async fn handle(
        &mut self,
        message: HearExchange,
        context: &mut Context<Self>,
    ) -> ExchangeReply {
        let now = self.now();
        let ExchangeRequest { heartbeat, known_summaries, own_summary } = message.request;
        self.hear_beat(&heartbeat, &context.mailbox().address().try_upgrade().expect("it runs"));
        let mut summaries = Vec::new();
        if let Some(own_summary) = own_summary {
            let asker = own_summary.data_centre.clone();
            self.members.apply_summary(own_summary, now);
            if self.index.is_some() {
                summaries.push(self.make_summary(Some(&asker)));
            }
        }
        if let Some(known_summaries) = known_summaries {
            summaries.extend(self.members.summaries_newer_than(&known_summaries, now));
        }
        ExchangeReply { heartbeat: self.make_beat(), summaries }
    }
}

impl Handler<EndExchange> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, message: EndExchange, context: &mut Context<Self>) {
        let now = self.now();
        let Some(reply) = message.reply else {
            if let Some(vm) = &message.target.vm {
                self.members.record_failed_call(vm);
            }
            return;
        };
        self.answered.insert(message.target.address, reply.heartbeat.data_centre.clone());
        self.hear_beat(
            &reply.heartbeat,
            &context.mailbox().address().try_upgrade().expect("it runs"),
        );
        self.members.record_reached(&reply.heartbeat.vm, now);
        for summary in reply.summaries {
            self.members.apply_summary(summary, now);
        }
    }
}
