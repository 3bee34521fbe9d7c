//! Plans the exchanges of heartbeats and summaries with other daemons, and applies their results.

use std::collections::BTreeSet;

use foldhaven_core::ids::DataCentreName;
use foldhaven_core::membership::{VmHeartbeat, exchange_partners};
use foldhaven_wire::control::{ExchangeReply, ExchangeRequest};
use xtra::{Context, Handler};

use super::ControlActor;
use crate::control::messages::*;

/// A seed that has not answered yet is called once in this many rounds, and in every round while
/// this daemon has no description.
const ROUNDS_PER_SEED_CALL: u64 = 4;
/// Delegates exchange summaries with other data centres once in this many rounds.
const ROUNDS_PER_SUMMARY: u64 = 2;
/// Replaces [`ROUNDS_PER_SUMMARY`] if there are more than [`MANY_PARTNERS`] exchange partners.
const ROUNDS_PER_SUMMARY_MANY: u64 = 4;
const MANY_PARTNERS: usize = 4;

impl ControlActor {
    fn plan_member_exchanges(&mut self, targets: &mut Vec<ExchangeTarget>) {
        let now = self.now();
        let contact = |heartbeat: &VmHeartbeat| (heartbeat.vm.clone(), heartbeat.addresses.control);
        let members: Vec<_> = match std::mem::take(&mut self.has_update_for_all) {
            true => self.members.members(now).map(|(heartbeat, _)| contact(heartbeat)).collect(),
            false => self.members.heartbeat_targets(self.round).into_iter().map(contact).collect(),
        };
        for (at, (vm, address)) in members.into_iter().enumerate() {
            // Only one member is asked for newer summaries. They spread from member to member.
            let known_summaries = (at == 0).then(|| self.members.summary_versions());
            let request = ExchangeRequest {
                heartbeat: self.make_heartbeat(),
                known_summaries,
                own_summary: None,
            };
            targets.push(ExchangeTarget { vm: Some(vm), address, request });
        }
    }

    /// Returns the data centres with which this one starts exchanges.
    fn partners(&self) -> BTreeSet<DataCentreName> {
        let Some(index) = &self.index else { return BTreeSet::new() };
        let regions = index.description.regions.iter();
        let centre_regions = regions.flat_map(|it| it.data_centres.iter().map(|dc| (dc, &it.name)));
        let centres: Vec<_> =
            centre_regions.map(|(dc, region)| (dc.clone(), region.clone())).collect();
        exchange_partners(&self.shared.settings.data_centre, &centres)
    }

    fn plan_centre_exchanges(&mut self, targets: &mut Vec<ExchangeTarget>) {
        let now = self.now();
        if !self.members.is_delegate(self.serves(), now) {
            return;
        }
        let partners = self.partners();
        let has_many_partners = partners.len() > MANY_PARTNERS;
        let rounds = if has_many_partners { ROUNDS_PER_SUMMARY_MANY } else { ROUNDS_PER_SUMMARY };
        if !self.round.is_multiple_of(rounds) {
            return;
        }
        let seen = self.members.summaries(now);
        let mut addresses = Vec::new();
        for seen in seen.iter().filter(|it| partners.contains(&it.summary.data_centre)) {
            // Both delegates rotate through the partner's VMs by the round number.
            let vms = &seen.summary.vms;
            let at = (self.round / rounds) as usize % vms.len().max(1);
            let centre = seen.summary.data_centre.clone();
            addresses.extend(vms.get(at).map(|contact| (centre, contact.addresses.control)));
        }
        for (centre, address) in addresses {
            let own_summary = Some(self.make_summary(Some(&centre)));
            let request = ExchangeRequest {
                heartbeat: self.make_heartbeat(),
                known_summaries: None,
                own_summary,
            };
            targets.push(ExchangeTarget { vm: None, address, request });
        }
    }

    fn plan_seed_exchanges(&mut self, targets: &mut Vec<ExchangeTarget>) {
        let now = self.now();
        let is_delegate = self.members.is_delegate(self.serves(), now);
        let mut unseen_partners = self.partners();
        for seen in self.members.summaries(now) {
            unseen_partners.remove(&seen.summary.data_centre);
        }
        for address in self.shared.settings.seeds.clone() {
            let is_due = match self.answered_centres.get(&address) {
                None => self.index.is_none() || self.round.is_multiple_of(ROUNDS_PER_SEED_CALL),
                Some(centre) => is_delegate && unseen_partners.contains(centre),
            };
            if !is_due {
                continue;
            }
            let own_summary = self.index.is_some().then(|| self.make_summary(None));
            let request = ExchangeRequest {
                heartbeat: self.make_heartbeat(),
                known_summaries: None,
                own_summary,
            };
            targets.push(ExchangeTarget { vm: None, address, request });
        }
    }
}

impl Handler<PlanExchanges> for ControlActor {
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

impl Handler<ReceiveExchange> for ControlActor {
    type Return = ExchangeReply;

    async fn handle(
        &mut self,
        message: ReceiveExchange,
        context: &mut Context<Self>,
    ) -> ExchangeReply {
        let now = self.now();
        let ExchangeRequest { heartbeat, known_summaries, own_summary } = message.request;
        self.receive_heartbeat(
            &heartbeat,
            &context.mailbox().address().try_upgrade().expect("the actor is running"),
        );
        let mut summaries = Vec::new();
        if let Some(own_summary) = own_summary {
            let requester = own_summary.data_centre.clone();
            self.members.apply_summary(own_summary, now);
            if self.index.is_some() {
                summaries.push(self.make_summary(Some(&requester)));
            }
        }
        if let Some(known_summaries) = known_summaries {
            summaries.extend(self.members.summaries_newer_than(&known_summaries, now));
        }
        ExchangeReply { heartbeat: self.make_heartbeat(), summaries }
    }
}

impl Handler<EndExchange> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: EndExchange, context: &mut Context<Self>) {
        let now = self.now();
        let Some(reply) = message.reply else {
            if let Some(vm) = &message.target.vm {
                self.members.record_failed_call(vm);
            }
            return;
        };
        self.answered_centres.insert(message.target.address, reply.heartbeat.data_centre.clone());
        self.receive_heartbeat(
            &reply.heartbeat,
            &context.mailbox().address().try_upgrade().expect("the actor is running"),
        );
        self.members.record_reached(&reply.heartbeat.vm, now);
        for summary in reply.summaries {
            self.members.apply_summary(summary, now);
        }
    }
}
