//! This VM's parts of the limits of accounts: hears and tells what callers want, and puts the parts in force.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use foldhaven_core::ids::AccountName;
use foldhaven_core::opaque::account_demand::{AccountTag, LocalDemand, RegionDemand};
use foldhaven_core::opaque::demand_exchange::{LimitedDemand, LocalSharers};
use foldhaven_core::opaque::limit_share::{LimitShare, SharerView};
use foldhaven_core::opaque::peer_table::PeerPhase;
use foldhaven_core::time::MonoTime;
use xtra::{Context, Handler};

use super::ControlKeeper;

/// Asks for what is to be told in a round.
pub struct PlanDemands;

/// What is to be told, and to whom.
#[derive(Default)]
pub struct PlannedDemands {
    pub near_targets: Vec<SocketAddr>,
    pub near: Option<LocalDemand>,
    pub far_targets: Vec<SocketAddr>,
    pub far: Option<RegionDemand>,
}

/// Another VM of the region told what its callers want.
pub struct HearNearDemand {
    pub demand: LocalDemand,
}

/// A delegate of another region told of its region.
pub struct HearRegionDemand {
    pub demand: RegionDemand,
}

impl Handler<PlanDemands> for ControlKeeper {
    type Return = PlannedDemands;

    async fn handle(&mut self, _: PlanDemands, _: &mut Context<Self>) -> PlannedDemands {
        let now = self.now();
        let (names, wants) = self.limited_accounts(now);
        if wants.is_empty() {
            self.demands.clear_pending();
            return PlannedDemands::default();
        }
        let heard = self.peers.heard_near(now);
        let view = self.sharer_view(heard.len(), now);
        let incarnation = self.peers.incarnation();
        let near = self.demands.next_local_update(&wants, &view, &heard, incarnation, now);
        self.renew_parts(names, &wants, view, now);
        let speaks = self.phase() == PeerPhase::Serving && self.peers.is_delegate(now);
        let far =
            speaks.then(|| self.demands.next_region_update(&wants, incarnation, now)).flatten();
        PlannedDemands {
            near_targets: near.as_ref().map(|_| self.near_peers()).unwrap_or_default(),
            near,
            far_targets: match far.is_some() {
                true => self.peers.one_in_service_of_each_region(now),
                false => Vec::new(),
            },
            far,
        }
    }
}

impl Handler<HearNearDemand> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, message: HearNearDemand, _: &mut Context<Self>) {
        let now = self.now();
        self.demands.apply_local(&message.demand, now);
    }
}

impl Handler<HearRegionDemand> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, message: HearRegionDemand, _: &mut Context<Self>) {
        let now = self.now();
        self.demands.apply_region(message.demand, now);
    }
}

/// Logs the part of the account that is wanted most here.
fn log_largest(parts: &[(AccountName, LimitShare)], wants: &[LimitedDemand], view: &SharerView) {
    let both = parts.iter().zip(wants);
    let largest = both.max_by(|left, right| left.1.demand.total_cmp(&right.1.demand));
    let Some(((account, part), want)) = largest.filter(|(_, want)| want.demand > 0.0) else {
        return;
    };
    tracing::info!(
        account = %account,
        per_s = want.limit.per_s,
        part_per_s = part.per_s,
        burst = part.burst,
        owed = part.max_debt,
        wanted_per_s = want.demand,
        view = ?view,
        "part of the limit of an account"
    );
}

impl ControlKeeper {
    /// The accounts that have limits, and what their callers want here.
    fn limited_accounts(&self, now: MonoTime) -> (Vec<AccountName>, Vec<LimitedDemand>) {
        let described = self.known.routes().and_then(|it| it.description().accounts.as_ref());
        let Some(described) = described else { return Default::default() };
        let wants: BTreeMap<AccountName, f64> =
            self.shared.accounts.wants(now).into_iter().collect();
        let limited = described.accounts.values().filter_map(|account| {
            let name = account.name.clone();
            let want = wants.get(&name).copied().unwrap_or_default();
            let want = LimitedDemand {
                account: AccountTag::of(&name),
                limit: account.limit?,
                demand: want,
            };
            Some((name, want))
        });
        limited.unzip()
    }

    /// How sure this VM is of those that share limits of accounts with it, of which it heard so many a moment ago.
    fn sharer_view(&self, heard: usize, now: MonoTime) -> SharerView {
        let known = self.peers.region_count();
        let vms = usize::from(self.peers.assumed_counts(now).near).max(known);
        let is_informed = self.assumed_vms().is_some() && self.is_witnessed();
        self.demands.view(LocalSharers { vms, responsive: heard, is_informed }, now)
    }

    /// Divides the limits anew.
    fn renew_parts(
        &mut self,
        names: Vec<AccountName>,
        wants: &[LimitedDemand],
        view: SharerView,
        now: MonoTime,
    ) {
        let desk = &self.shared.accounts;
        let demands = &mut self.demands;
        let parts = wants.iter().map(|want| demands.share(want, &view, desk.slack(), now));
        let parts: Vec<(AccountName, LimitShare)> = names.into_iter().zip(parts).collect();
        if self.shared.quota.take(true) {
            log_largest(&parts, wants, &view);
        }
        desk.renew(view, parts, self.shared.started(), now);
    }
}
