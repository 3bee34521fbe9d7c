//! The control actor, the only owner of the control state.

mod descriptions;
mod exchanges;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::description::{DescriptionIndex, DescriptionStamp};
use foldhaven_core::ids::{DataCentreName, UpstreamName};
use foldhaven_core::load::{EngineLoad, EngineView};
use foldhaven_core::membership::{MemberState, MemberTable, VmHeartbeat};
use foldhaven_core::placement::{EngineOrder, due_orders, issuer_of};
use foldhaven_core::rank::rank_by;
use foldhaven_core::time::MonoTime;
use foldhaven_wire::platform::{UpstreamEntry, UpstreamKind, UpstreamList};
use xtra::{Context, Handler};

use crate::control::fetch;
use crate::control::messages::*;
use crate::shared::SharedState;

/// Maximum age of a load report. Older ones are ignored.
const MAX_LOAD_AGE: Duration = Duration::from_secs(8);
/// Time after which an engine's load is removed if the VM that polls it no longer reports it.
const MAX_UNREPORTED_TIME: Duration = Duration::from_millis(1_500);
/// Number of consecutive unanswered polls after which an engine gets no requests.
const MAX_FAILED_POLLS: u32 = 2;
/// The key by which the VMs of a data centre are ranked to choose the reader of the platform.
const READER_KEY: &str = "platform-reader";

/// The control state of one daemon.
#[derive(xtra::Actor)]
pub struct ControlActor {
    pub(super) shared: Arc<SharedState>,
    pub(super) index: Option<Arc<DescriptionIndex>>,
    /// The last description that was refused since one was adopted, with its source and the reason.
    pub(super) last_refusal: Option<String>,
    /// When the description in `index` was adopted.
    adopted_at: MonoTime,
    /// The description that was last logged as in force for all requests.
    logged_in_force: Option<DescriptionStamp>,
    pub(super) members: MemberTable,
    pub(super) list: Option<UpstreamList>,
    /// The last load report of each engine.
    pub(super) loads: BTreeMap<UpstreamName, EngineView>,
    pub(super) started_at: MonoTime,
    /// Whether the daemon has warmed up and publishes views.
    pub(super) is_warm: bool,
    /// Upstreams that were seen leaving, each with its leaving incarnation.
    pub(super) leaving: BTreeMap<UpstreamName, u64>,
    pub(super) summaries_written: u64,
    /// Number of the last cache event that was read from each engine.
    cache_positions: BTreeMap<UpstreamName, u64>,
    /// Number of consecutive unanswered polls of each engine.
    failed_polls: BTreeMap<UpstreamName, u32>,
    /// Control addresses that answered an exchange, with their data centres.
    answered_centres: BTreeMap<SocketAddr, DataCentreName>,
    /// Whether the next round exchanges with every member, because all of them need an update.
    has_update_for_all: bool,
    /// Sequence number of the last heartbeat, 0 before the first one.
    heartbeat_sequence: u64,
    /// Number of exchange rounds planned.
    round: u64,
    /// Whether a fetch from a peer is in flight.
    is_fetching: bool,
}

impl ControlActor {
    pub fn new(shared: Arc<SharedState>) -> Self {
        let settings = &shared.settings;
        let times = settings.times.membership();
        let members = MemberTable::new(settings.vm.clone(), settings.data_centre.clone(), times);
        let started_at = shared.now();
        Self {
            shared,
            index: None,
            last_refusal: None,
            adopted_at: started_at,
            logged_in_force: None,
            members,
            list: None,
            loads: BTreeMap::new(),
            started_at,
            is_warm: false,
            leaving: BTreeMap::new(),
            summaries_written: 0,
            cache_positions: BTreeMap::new(),
            failed_polls: BTreeMap::new(),
            answered_centres: BTreeMap::new(),
            has_update_for_all: true,
            heartbeat_sequence: 0,
            round: 0,
            is_fetching: false,
        }
    }

    pub(super) fn now(&self) -> MonoTime {
        self.shared.now()
    }

    /// Returns whether this daemon accepts requests of callers.
    pub(super) fn serves(&self) -> bool {
        self.index.is_some() && !self.shared.is_leaving()
    }

    /// Returns the stamp of the adopted description.
    pub(super) fn stamp(&self) -> Option<DescriptionStamp> {
        self.index.as_ref().map(|index| index.stamp)
    }

    /// Returns the description that operators can rely on: no waiting request was routed by an
    /// older one.
    pub(super) fn stamp_in_force(&self) -> Option<DescriptionStamp> {
        // Before the first view, no request has been routed.
        self.shared.stamp_in_force().or_else(|| self.stamp())
    }

    /// Returns the upstreams of this data centre, including leaving ones.
    pub(super) fn upstreams(&self) -> impl Iterator<Item = &UpstreamEntry> {
        let centre = &self.shared.settings.data_centre;
        let all = self.list.iter().flat_map(|list| &list.upstreams);
        all.filter(move |entry| entry.data_centre == *centre)
    }

    /// Returns whether an upstream gets no new work because the list, its load report, a refusal or
    /// another member said that it is leaving. Only a later incarnation of it gets work again.
    pub(super) fn is_leaving(&self, entry: &UpstreamEntry) -> bool {
        let ended = self.leaving.get(&entry.name);
        entry.leaving || ended.is_some_and(|incarnation| entry.incarnation <= *incarnation)
    }

    fn record_leaving(&mut self, upstream: &UpstreamName, incarnation: u64) {
        let mark = self.leaving.entry(upstream.clone()).or_insert(incarnation);
        *mark = (*mark).max(incarnation);
    }

    /// Returns an upstream's incarnation according to the list, 0 if it is not listed.
    fn listed_incarnation(&self, upstream: &UpstreamName) -> u64 {
        let listed = self.upstreams().find(|entry| entry.name == *upstream);
        listed.map_or(0, |entry| entry.incarnation)
    }

    /// Returns the load reports that are younger than [`MAX_LOAD_AGE`], sorted by engine name.
    pub(super) fn fresh_loads(&self) -> Vec<&EngineView> {
        let now = self.now();
        let is_fresh = |view: &&EngineView| now.since(view.observed) < MAX_LOAD_AGE;
        self.loads.values().filter(is_fresh).collect()
    }

    /// Returns the engines that this daemon polls.
    fn polled_engines(&self) -> Vec<&UpstreamEntry> {
        let serving = self.members.serving(self.serves(), self.now());
        let own = &self.shared.settings.vm;
        let engines = self.upstreams().filter(|entry| entry.kind == UpstreamKind::Engine);
        engines.filter(|entry| issuer_of(&entry.name, &serving) == Some(own)).collect()
    }

    pub(super) fn make_heartbeat(&mut self) -> VmHeartbeat {
        self.heartbeat_sequence += 1;
        let now = self.now();
        let polled = self.polled_engines();
        let own_loads = polled.iter().filter_map(|entry| self.loads.get(&entry.name));
        let loads = own_loads.map(|view| aged_load(view, now)).collect();
        let settings = &self.shared.settings;
        VmHeartbeat {
            vm: settings.vm.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation: self.shared.incarnation,
            sequence: self.heartbeat_sequence,
            leaving: self.shared.is_leaving(),
            stamp: self.stamp(),
            in_flight: self.shared.in_flight(),
            addresses: settings.addresses.clone(),
            loads,
            leaving_upstreams: self.leaving.iter().map(|(name, it)| (name.clone(), *it)).collect(),
            lent_requests: self.shared.traffic_state.lent_requests(),
            list_revision: self.list.as_ref().map_or(0, |list| list.revision),
        }
    }

    fn receive_heartbeat(&mut self, heartbeat: &VmHeartbeat, actor: &xtra::Address<Self>) {
        let now = self.now();
        let source = self.shared.settings.dial_address(heartbeat.addresses.control);
        let list_revision = self.list.as_ref().map_or(0, |list| list.revision);
        let is_same_centre = heartbeat.data_centre == self.shared.settings.data_centre;
        let is_newer_description = heartbeat.stamp > self.stamp();
        let is_newer_list = is_same_centre && heartbeat.list_revision > list_revision;
        if is_newer_description || is_newer_list {
            self.fetch_from(source, actor);
        }
        if !self.members.apply_heartbeat(heartbeat.clone(), now) {
            return;
        }
        for (upstream, incarnation) in &heartbeat.leaving_upstreams {
            self.record_leaving(upstream, *incarnation);
        }
        for load in &heartbeat.loads {
            self.apply_load(load.clone());
        }
        self.remove_unreported(heartbeat);
    }

    /// Removes the loads of engines that the sender polls but no longer reports, because they do
    /// not answer it.
    fn remove_unreported(&mut self, heartbeat: &VmHeartbeat) {
        let serving = self.members.serving(self.serves(), self.now());
        let now = self.now();
        let is_gone = |engine: &UpstreamName, view: &EngineView| {
            issuer_of(engine, &serving) == Some(&heartbeat.vm)
                && now.since(view.observed) > MAX_UNREPORTED_TIME
                && !heartbeat.loads.iter().any(|load| load.engine == *engine)
        };
        self.loads.retain(|engine, view| !is_gone(engine, view));
    }

    fn apply_load(&mut self, load: EngineLoad) {
        let age = Duration::from_millis(load.age_ms.into());
        let observed = self.now() - age;
        if load.leaving {
            self.record_leaving(&load.engine, load.incarnation);
        }
        let view = EngineView { load, observed };
        let known = self.loads.get(&view.load.engine);
        let has_new_models = known.is_none_or(|known| known.load.models != view.load.models);
        match self.loads.get_mut(&view.load.engine) {
            Some(known) if known.load.incarnation > view.load.incarnation => {}
            Some(known) => {
                let is_restart = view.load.incarnation > known.load.incarnation;
                if is_restart {
                    self.shared.traffic_state.clear_cache(&view.load.engine);
                }
                if is_restart || view.observed > known.observed {
                    *known = view;
                }
            }
            None => drop(self.loads.insert(view.load.engine.clone(), view)),
        }
        if has_new_models {
            // The models that engines hold determine where requests can run, so that a change is
            // published at once. Other updates are published at the next tick.
            self.publish();
        }
    }

    /// Starts to fetch newer state from another daemon, unless a fetch is already in flight.
    fn fetch_from(&mut self, source: SocketAddr, actor: &xtra::Address<Self>) {
        if self.is_fetching {
            return;
        }
        self.is_fetching = true;
        tokio::spawn(fetch::fetch_from_peer(self.shared.clone(), actor.clone(), source));
    }

    /// Returns whether this daemon reads the platform for its data centre.
    fn is_reader(&self) -> bool {
        let mut names = self.members.serving(!self.shared.is_leaving(), self.now());
        let own = &self.shared.settings.vm;
        if names.is_empty() {
            names.push(own.clone());
        }
        rank_by(READER_KEY, &names, |name| name.as_str()).first() == Some(&own)
    }

    /// Returns the control addresses of daemons to fetch state from: members of the own data
    /// centre, then one VM of each other data centre, then seeds.
    fn peer_addresses(&self) -> Vec<SocketAddr> {
        let now = self.now();
        let members = self.members.members(now).map(|(heartbeat, _)| heartbeat.addresses.control);
        let summaries = self.members.summaries(now);
        let others = summaries.iter().filter_map(|seen| seen.summary.vms.first());
        let others = others.map(|contact| contact.addresses.control);
        let seeds = self.shared.settings.seeds.iter().copied();
        let mut addresses = Vec::new();
        for address in members.chain(others).chain(seeds) {
            let address = self.shared.settings.dial_address(address);
            if !addresses.contains(&address) {
                addresses.push(address);
            }
        }
        addresses
    }
}

fn aged_load(view: &EngineView, now: MonoTime) -> EngineLoad {
    let age_ms = now.since(view.observed).as_millis() as u32;
    EngineLoad { age_ms, ..view.load.clone() }
}

impl Handler<PlanPolls> for ControlActor {
    type Return = Vec<PollTarget>;

    async fn handle(&mut self, _: PlanPolls, _: &mut Context<Self>) -> Vec<PollTarget> {
        let target = |entry: &UpstreamEntry| PollTarget {
            engine: entry.name.clone(),
            address: self.shared.settings.dial_address(entry.address),
            cache_after: self.cache_positions.get(&entry.name).copied().unwrap_or_default(),
        };
        self.polled_engines().into_iter().map(target).collect()
    }
}

impl Handler<RecordLoad> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: RecordLoad, _: &mut Context<Self>) {
        self.failed_polls.remove(&message.load.engine);
        self.apply_load(message.load);
    }
}

impl Handler<RecordLoadFailure> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: RecordLoadFailure, _: &mut Context<Self>) {
        let failed = self.failed_polls.entry(message.engine.clone()).or_default();
        *failed += 1;
        if *failed >= MAX_FAILED_POLLS && self.loads.remove(&message.engine).is_some() {
            tracing::warn!(step = "polling", peer = %message.engine, "engine does not answer polls");
            self.publish();
        }
    }
}

impl Handler<RecordCachePosition> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: RecordCachePosition, _: &mut Context<Self>) {
        self.cache_positions.insert(message.engine, message.last);
    }
}

impl Handler<PlanOrders> for ControlActor {
    type Return = Vec<AddressedOrder>;

    async fn handle(&mut self, _: PlanOrders, _: &mut Context<Self>) -> Vec<AddressedOrder> {
        let Some(index) = self.index.clone() else { return Vec::new() };
        if !self.serves() {
            return Vec::new();
        }
        let settings = &self.shared.settings;
        let serving = self.members.serving(true, self.now());
        let loads: Vec<EngineLoad> =
            self.fresh_loads().into_iter().map(|view| view.load.clone()).collect();
        let issuer = (&settings.vm, self.shared.incarnation);
        let orders = due_orders(&index, &settings.data_centre, &loads, issuer, &serving);
        let address = |order: EngineOrder| {
            let entry = self.upstreams().find(|entry| entry.name == order.engine)?;
            let address = settings.dial_address(entry.address);
            Some(AddressedOrder { order, address })
        };
        orders.into_iter().filter_map(address).collect()
    }
}

impl Handler<OfferList> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: OfferList, _: &mut Context<Self>) {
        let held = self.list.as_ref().map(|list| list.revision);
        if Some(message.list.revision) <= held {
            return;
        }
        for entry in message.list.upstreams.iter().filter(|entry| entry.leaving) {
            self.record_leaving(&entry.name, entry.incarnation);
        }
        self.list = Some(message.list);
        let listed: BTreeSet<UpstreamName> =
            self.upstreams().map(|entry| entry.name.clone()).collect();
        self.loads.retain(|engine, _| listed.contains(engine));
        self.publish();
    }
}

impl Handler<RecordUpstreamLeaving> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: RecordUpstreamLeaving, _: &mut Context<Self>) {
        let incarnation = self.listed_incarnation(&message.upstream);
        self.record_leaving(&message.upstream, incarnation);
        self.publish();
        self.shared.exchange_wakeup.notify_one();
    }
}

impl Handler<StartLeaving> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _: StartLeaving, _: &mut Context<Self>) {
        self.has_update_for_all = true;
        self.publish();
        self.shared.exchange_wakeup.notify_one();
    }
}

impl Handler<TickControl> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _: TickControl, context: &mut Context<Self>) {
        if let Some(pause) = self.shared.tick() {
            tracing::warn!(pause_ms = pause.as_millis() as u64, "the process was suspended");
            let actor = context.mailbox().address().try_upgrade().expect("the actor is running");
            tokio::spawn(fetch::refresh_after_pause(self.shared.clone(), actor));
        }
        let now = self.now();
        self.members.evict_stale(now);
        self.publish();
        self.log_in_force();
    }
}

/// Returns whether a member gets requests.
pub(super) fn accepts_work(state: MemberState) -> bool {
    state == MemberState::Live
}
