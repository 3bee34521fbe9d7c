//! Exchanges the demand of limited accounts with other VMs, and sets this VM's shares of the
//! account limits by it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use foldhaven_core::ids::AccountName;
use foldhaven_core::opaque::account_demand::{AccountTag, LocalDemand, RegionDemand};
use foldhaven_core::opaque::demand_exchange::{LimitedDemand, LocalSharers};
use foldhaven_core::opaque::limit_share::{LimitShare, SharerView};
use foldhaven_core::opaque::peer_table::PeerPhase;
use foldhaven_core::time::MonoTime;
use xtra::{Context, Handler};

use super::ControlActor;

/// Requests the demand reports that this VM sends in one round.
pub struct PlanDemandReports;

/// The demand reports that are due in a round, and the VMs that they are sent to.
#[derive(Default)]
pub struct PlannedDemandReports {
    pub local_targets: Vec<SocketAddr>,
    pub local: Option<LocalDemand>,
    pub remote_targets: Vec<SocketAddr>,
    pub remote: Option<RegionDemand>,
}

/// A demand report received from another VM of the region.
pub struct ReceiveLocalDemand {
    pub demand: LocalDemand,
}

/// A demand report received from a delegate of another region.
pub struct ReceiveRegionDemand {
    pub demand: RegionDemand,
}

impl Handler<PlanDemandReports> for ControlActor {
    type Return = PlannedDemandReports;

    async fn handle(
        &mut self,
        _: PlanDemandReports,
        _: &mut Context<Self>,
    ) -> PlannedDemandReports {
        let now = self.now();
        let (names, demands) = self.limited_accounts(now);
        if demands.is_empty() {
            self.account_demands.clear_pending();
            return PlannedDemandReports::default();
        }
        let responsive = self.peers.responsive_local_vms(now);
        let view = self.sharer_view(responsive.len(), now);
        let incarnation = self.peers.incarnation();
        let local =
            self.account_demands.next_local_update(&demands, &view, &responsive, incarnation, now);
        self.update_limit_shares(names, &demands, view, now);
        let is_serving_delegate = self.phase() == PeerPhase::Serving && self.peers.is_delegate(now);
        let remote = is_serving_delegate
            .then(|| self.account_demands.next_region_update(&demands, incarnation, now))
            .flatten();
        PlannedDemandReports {
            local_targets: local.as_ref().map(|_| self.local_peers()).unwrap_or_default(),
            local,
            remote_targets: match remote.is_some() {
                true => self.peers.one_serving_per_remote_region(now),
                false => Vec::new(),
            },
            remote,
        }
    }
}

impl Handler<ReceiveLocalDemand> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveLocalDemand, _: &mut Context<Self>) {
        let now = self.now();
        self.account_demands.apply_local(&message.demand, now);
    }
}

impl Handler<ReceiveRegionDemand> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveRegionDemand, _: &mut Context<Self>) {
        let now = self.now();
        self.account_demands.apply_region(message.demand, now);
    }
}

/// Logs the share of the account with the largest local demand.
fn log_largest_demand(
    shares: &[(AccountName, LimitShare)],
    demands: &[LimitedDemand],
    view: &SharerView,
) {
    let both = shares.iter().zip(demands);
    let largest = both.max_by(|left, right| left.1.demand.total_cmp(&right.1.demand));
    let Some(((account, share), demand)) = largest.filter(|(_, demand)| demand.demand > 0.0) else {
        return;
    };
    tracing::info!(
    account = %account,
    per_s = demand.limit.per_s,
    part_per_s = share.per_s,
    burst = share.burst,
    owed = share.max_debt,
    wanted_per_s = demand.demand,
    view = ?view,
    "share of an account limit"
    );
}

impl ControlActor {
    /// Returns the accounts with limits, and the local demand of their callers.
    fn limited_accounts(&self, now: MonoTime) -> (Vec<AccountName>, Vec<LimitedDemand>) {
        let described = self.platform.routes().and_then(|it| it.description().accounts.as_ref());
        let Some(described) = described else { return Default::default() };
        let demands: BTreeMap<AccountName, f64> =
            self.shared.accounts.demands(now).into_iter().collect();
        let limited = described.accounts.values().filter_map(|account| {
            let name = account.name.clone();
            let demand = demands.get(&name).copied().unwrap_or_default();
            let demand =
                LimitedDemand { account: AccountTag::of(&name), limit: account.limit?, demand };
            Some((name, demand))
        });
        limited.unzip()
    }

    /// Returns how complete this VM's view of the VMs is that share account limits with it.
    /// `responsive` is the number of other VMs of the region that were heard from recently.
    fn sharer_view(&self, responsive: usize, now: MonoTime) -> SharerView {
        let known = self.peers.region_vm_count();
        let vms = usize::from(self.peers.assumed_counts(now).local).max(known);
        let is_informed = self.assumed_vms().is_some() && self.has_reached_seed();
        self.account_demands.view(LocalSharers { vms, responsive, is_informed }, now)
    }

    /// Recomputes this VM's shares of the account limits.
    fn update_limit_shares(
        &mut self,
        names: Vec<AccountName>,
        demands: &[LimitedDemand],
        view: SharerView,
        now: MonoTime,
    ) {
        let accounts = &self.shared.accounts;
        let exchange = &mut self.account_demands;
        let shares =
            demands.iter().map(|demand| exchange.share(demand, &view, accounts.slack(), now));
        let shares: Vec<(AccountName, LimitShare)> = names.into_iter().zip(shares).collect();
        if self.shared.quota.take(true) {
            log_largest_demand(&shares, demands, &view);
        }
        accounts.renew(view, shares, self.shared.started(), now);
    }
}
