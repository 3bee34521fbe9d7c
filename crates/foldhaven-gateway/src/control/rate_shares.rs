//! This VM's shares of the rates at which the VMs of the region together may send to upstreams that
//! are cold or have announced a limit. A share is used only while these VMs agree on the list of
//! senders.

use std::net::SocketAddr;

use foldhaven_core::opaque::peer_table::{PeerPhase, VmTag};
use foldhaven_core::opaque::rate_share::{RateShare, SharedRate, rate_share};
use foldhaven_core::opaque::sender_agreement::AgreementNotice;
use foldhaven_core::time::MonoTime;
use xtra::{Context, Handler};

use super::ControlActor;
use crate::upstream::Upstream;

/// Factor for the rate shares of a VM that has not heard from any seed: there may be other VMs that
/// have not reached one either.
const NO_SEED_SHARE_FACTOR: f64 = 0.5;
/// Factor for the rate shares of a VM that has not heard from any other one, though there are
/// seeds: each VM of the region may be as isolated, and believes that the rate is its own. It holds
/// for eight such VMs.
const ISOLATED_SHARE_FACTOR: f64 = 0.125;

/// The notices of one round, each with the address it is sent to.
pub type AgreementMessages = Vec<(SocketAddr, AgreementNotice)>;

/// Requests the notices that tell the other senders this VM's list of senders in one round.
pub struct PlanAgreementRound;

/// A received notice of another VM's list of senders.
pub struct ReceiveAgreement {
    pub notice: AgreementNotice,
}

impl Handler<PlanAgreementRound> for ControlActor {
    type Return = AgreementMessages;

    async fn handle(&mut self, _: PlanAgreementRound, _: &mut Context<Self>) -> AgreementMessages {
        let now = self.now();
        self.refresh_senders(now);
        self.agreement.begin_round(self.peers.incarnation(), now);
        self.update_rate_shares(now);
        let notice =
            |(vm, peer): &(VmTag, SocketAddr)| (*peer, self.agreement.notice_to(*vm, true, now));
        self.senders.others.iter().map(notice).collect()
    }
}

impl Handler<ReceiveAgreement> for ControlActor {
    type Return = Option<(SocketAddr, AgreementNotice)>;

    async fn handle(&mut self, message: ReceiveAgreement, _: &mut Context<Self>) -> Self::Return {
        let now = self.now();
        let notice = message.notice;
        self.agreement.apply(&notice);
        // The list of senders is refreshed only in this VM's own rounds. Ranking a hundred VMs for
        // each of a hundred notices per second would be too expensive.
        self.update_rate_shares(now);
        let peer = self.peers.address_of(notice.vm).filter(|_| notice.requests_reply)?;
        Some((peer, self.agreement.notice_to(notice.vm, false, now)))
    }
}

impl ControlActor {
    /// Updates the list of VMs that share the region's rate limits.
    pub(super) fn refresh_senders(&mut self, now: MonoTime) {
        let has_learnt = self.assumed_vms().is_some();
        let is_serving = has_learnt && self.phase() == PeerPhase::Serving;
        self.senders = self.peers.senders(is_serving, now);
        self.agreement.set_list(self.senders.digest, now);
    }

    /// Sets this VM's share of each shared rate. It is zero while the senders do not agree.
    pub(super) fn update_rate_shares(&mut self, now: MonoTime) {
        let limited = self.rate_limited_upstreams(now);
        let is_used = !limited.is_empty();
        self.rate_watch.send_if_modified(|held| std::mem::replace(held, is_used) != is_used);
        if !is_used {
            return;
        }
        let others: Vec<VmTag> = self.senders.others.iter().map(|(vm, _)| *vm).collect();
        let until = self.agreement.agreed_until(&others, now);
        for upstream in limited {
            let share = match until {
                Some(_) => self.rate_share(&upstream, now),
                None => RateShare::default(),
            };
            log_rate_share(&upstream, share, others.len() + 1);
            upstream.set_rate_share(share, until, now);
        }
    }

    /// Returns the rate at which all VMs of the region together may send to an upstream. `None` if
    /// it is not limited.
    fn shared_rate(&self, upstream: &Upstream, now: MonoTime) -> Option<SharedRate> {
        let routes = self.platform.routes();
        let service = routes.and_then(|routes| routes.service(&upstream.identity.service));
        // A service without a description permits no requests.
        let described = service.map_or(0.0, |service| service.cold_rate);
        let cold = upstream.is_cold(now).then(|| SharedRate::of_cold(described));
        let named = self.shared.upstream_limits.limit(upstream).map(SharedRate::of_limit);
        cold.into_iter().chain(named).reduce(SharedRate::stricter)
    }

    fn rate_share(&self, upstream: &Upstream, now: MonoTime) -> RateShare {
        let Some(rate) = self.shared_rate(upstream, now) else { return RateShare::default() };
        let own = &self.shared.settings.vm;
        let share = rate_share(rate, upstream.name(), own, &self.senders.list);
        let factor = match (self.is_isolated(), self.has_reached_seed()) {
            (true, _) => ISOLATED_SHARE_FACTOR,
            (false, false) => NO_SEED_SHARE_FACTOR,
            (false, true) => return share,
        };
        RateShare { per_s: share.per_s * factor, ..share }
    }

    /// Returns whether this VM has heard from a seed, or there are no seeds besides itself.
    pub(super) fn has_reached_seed(&self) -> bool {
        let seeds = self.settings.seed_peers();
        seeds.is_empty() || seeds.iter().any(|seed| self.peers.is_known_at(*seed))
    }

    /// Returns whether this VM knows no other one although there are seeds. It may be cut off from
    /// any number of VMs.
    pub(super) fn is_isolated(&self) -> bool {
        self.peers.vm_count() == 1 && !self.settings.seed_peers().is_empty()
    }
}

/// Logs this VM's share of an upstream's rate if it has changed.
fn log_rate_share(upstream: &Upstream, share: RateShare, senders: usize) {
    let before = upstream.last_rate_share();
    if before != share.per_s {
        tracing::info!(
        upstream = %upstream.name(),
        per_s = share.per_s,
        before,
        senders,
        sent = upstream.rate_limited_sent(),
        is_limited = upstream.is_limited(),
        "share of an upstream rate"
        );
    }
}
