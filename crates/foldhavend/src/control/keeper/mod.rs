//! The control actor: the one place where control state changes.

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

/// A load report older than this says nothing any more.
const LOAD_LIFETIME: Duration = Duration::from_secs(8);
/// An engine of which its poller says nothing for this long is not used.
const UNREPORTED_LIMIT: Duration = Duration::from_millis(1_500);
/// An engine that does not answer this many polls in a row is not used.
const FAILED_POLLS: u32 = 2;
/// The key by which the reader of the platform is ranked.
const READER_KEY: &str = "platform-reader";

/// The control state of one daemon.
#[derive(xtra::Actor)]
pub struct ControlKeeper {
    pub(super) shared: Arc<SharedState>,
    pub(super) index: Option<Arc<DescriptionIndex>>,
    pub(super) refused: Option<String>,
    /// When the description in `index` was adopted.
    adopted: MonoTime,
    /// The description that was logged last as in force for all requests.
    logged_in_force: Option<DescriptionStamp>,
    pub(super) members: MemberTable,
    pub(super) list: Option<UpstreamList>,
    pub(super) loads: BTreeMap<UpstreamName, EngineView>,
    pub(super) started: MonoTime,
    /// Whether a view has been published.
    pub(super) warm: bool,
    /// Upstreams seen leaving, with the process lifetime that leaves.
    pub(super) leaving: BTreeMap<UpstreamName, u64>,
    pub(super) summaries_written: u64,
    cache_positions: BTreeMap<UpstreamName, u64>,
    /// Polls in a row that an engine did not answer.
    failed_polls: BTreeMap<UpstreamName, u32>,
    /// The data centres of the control addresses that answered.
    answered: BTreeMap<SocketAddr, DataCentreName>,
    /// Whether the next round meets every member, because there is news for all.
    meets_all: bool,
    beats: u64,
    round: u64,
    fetching: bool,
}

impl ControlKeeper {
    pub fn new(shared: Arc<SharedState>) -> Self {
        let settings = &shared.settings;
        let times = settings.times.membership();
        let members = MemberTable::new(settings.vm.clone(), settings.data_centre.clone(), times);
        let started = shared.now();
        Self {
            shared,
            index: None,
            refused: None,
            adopted: started,
            logged_in_force: None,
            members,
            list: None,
            loads: BTreeMap::new(),
            started,
            warm: false,
            leaving: BTreeMap::new(),
            summaries_written: 0,
            cache_positions: BTreeMap::new(),
            failed_polls: BTreeMap::new(),
            answered: BTreeMap::new(),
            meets_all: true,
            beats: 0,
            round: 0,
            fetching: false,
        }
    }

    pub(super) fn now(&self) -> MonoTime {
        self.shared.now()
    }

    pub(super) fn serves(&self) -> bool {
        self.index.is_some() && !self.shared.is_leaving()
    }

    pub(super) fn stamp(&self) -> Option<DescriptionStamp> {
        self.index.as_ref().map(|index| index.stamp)
    }

    /// The description that operators may rely on: no request that waits was placed by an older one.
    pub(super) fn stamp_in_force(&self) -> Option<DescriptionStamp> {
        // Before the first view no request has been placed at all.
        self.shared.stamp_in_force().or_else(|| self.stamp())
    }

    /// The upstreams of this data centre, leaving ones included.
    pub(super) fn upstreams(&self) -> impl Iterator<Item = &UpstreamEntry> {
        let centre = &self.shared.settings.data_centre;
        let all = self.list.iter().flat_map(|list| &list.upstreams);
        all.filter(move |entry| entry.data_centre == *centre)
    }

    /// Whether an upstream gets no new work, by any input: the list, its load report, a refusal,
    /// or another member. Only a later process lifetime of it makes it good again.
    pub(super) fn is_leaving(&self, entry: &UpstreamEntry) -> bool {
        let ended = self.leaving.get(&entry.name);
        entry.leaving || ended.is_some_and(|lifetime| entry.incarnation <= *lifetime)
    }

    fn mark_leaving(&mut self, upstream: &UpstreamName, lifetime: u64) {
        let mark = self.leaving.entry(upstream.clone()).or_insert(lifetime);
        *mark = (*mark).max(lifetime);
    }

    fn lifetime_of(&self, upstream: &UpstreamName) -> u64 {
        let listed = self.upstreams().find(|entry| entry.name == *upstream);
        listed.map_or(0, |entry| entry.incarnation)
    }

    /// The loads of engines that are fresh, in the order of names.
    pub(super) fn fresh_loads(&self) -> Vec<&EngineView> {
        let now = self.now();
        let fresh = |view: &&EngineView| now.since(view.observed) < LOAD_LIFETIME;
        self.loads.values().filter(fresh).collect()
    }

    fn polled_engines(&self) -> Vec<&UpstreamEntry> {
        let serving = self.members.serving(self.serves(), self.now());
        let own = &self.shared.settings.vm;
        let engines = self.upstreams().filter(|entry| entry.kind == UpstreamKind::Engine);
        engines.filter(|entry| issuer_of(&entry.name, &serving) == Some(own)).collect()
    }

    pub(super) fn make_beat(&mut self) -> VmHeartbeat {
        self.beats += 1;
        let now = self.now();
        let polled = self.polled_engines();
        let own_loads = polled.iter().filter_map(|entry| self.loads.get(&entry.name));
        let loads = own_loads.map(|view| aged_load(view, now)).collect();
        let settings = &self.shared.settings;
        VmHeartbeat {
            vm: settings.vm.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation: self.shared.incarnation,
            sequence: self.beats,
            leaving: self.shared.is_leaving(),
            stamp: self.stamp(),
            in_flight: self.shared.in_flight(),
            addresses: settings.addresses.clone(),
            loads,
            leaving_upstreams: self.leaving.iter().map(|(name, it)| (name.clone(), *it)).collect(),
            lent_requests: self.shared.facts.lent_requests(),
            list_revision: self.list.as_ref().map_or(0, |list| list.revision),
        }
    }

    fn hear_beat(&mut self, beat: &VmHeartbeat, keeper: &xtra::Address<Self>) {
        let now = self.now();
        let source = self.shared.settings.reroute(beat.addresses.control);
        let list_revision = self.list.as_ref().map_or(0, |list| list.revision);
        let same_centre = beat.data_centre == self.shared.settings.data_centre;
        let news = beat.stamp > self.stamp();
        let list_news = same_centre && beat.list_revision > list_revision;
        if news || list_news {
            self.fetch_from(source, keeper);
        }
        if !self.members.apply_heartbeat(beat.clone(), now) {
            return;
        }
        for (upstream, lifetime) in &beat.leaving_upstreams {
            self.mark_leaving(upstream, *lifetime);
        }
        for load in &beat.loads {
            self.take_load(load.clone());
        }
        self.drop_unreported(beat);
    }

    /// Forgets engines that their poller does not report any more: they do not answer it.
    fn drop_unreported(&mut self, beat: &VmHeartbeat) {
        let serving = self.members.serving(self.serves(), self.now());
        let now = self.now();
        let is_gone = |engine: &UpstreamName, view: &EngineView| {
            issuer_of(engine, &serving) == Some(&beat.vm)
                && now.since(view.observed) > UNREPORTED_LIMIT
                && !beat.loads.iter().any(|load| load.engine == *engine)
        };
        self.loads.retain(|engine, view| !is_gone(engine, view));
    }

    fn take_load(&mut self, load: EngineLoad) {
        let age = Duration::from_millis(load.age_ms.into());
        let observed = self.now() - age;
        if load.leaving {
            self.mark_leaving(&load.engine, load.incarnation);
        }
        let view = EngineView { load, observed };
        let known = self.loads.get(&view.load.engine);
        let is_news = known.is_none_or(|known| known.load.models != view.load.models);
        match self.loads.get_mut(&view.load.engine) {
            Some(known) if known.load.incarnation > view.load.incarnation => {}
            Some(known) => {
                let restarted = view.load.incarnation > known.load.incarnation;
                if restarted {
                    self.shared.facts.clear_cache(&view.load.engine);
                }
                if restarted || view.observed > known.observed {
                    *known = view;
                }
            }
            None => drop(self.loads.insert(view.load.engine.clone(), view)),
        }
        if is_news {
            // What engines hold decides where requests can run; other news waits for the tick.
            self.publish();
        }
    }

    /// Starts one fetch of what another daemon has in force, unless one is under way.
    fn fetch_from(&mut self, source: SocketAddr, keeper: &xtra::Address<Self>) {
        if self.fetching {
            return;
        }
        self.fetching = true;
        tokio::spawn(fetch::fetch_from_peer(self.shared.clone(), keeper.clone(), source));
    }

    /// Whether this daemon is the one that reads the platform for its data centre.
    fn is_reader(&self) -> bool {
        let mut names = self.members.serving(!self.shared.is_leaving(), self.now());
        let own = &self.shared.settings.vm;
        if names.is_empty() {
            names.push(own.clone());
        }
        rank_by(READER_KEY, &names, |name| name.as_str()).first() == Some(&own)
    }

    /// Control addresses to ask for what is in force: own data centre first, then others, then
    /// seeds.
    fn peer_addresses(&self) -> Vec<SocketAddr> {
        let now = self.now();
        let members = self.members.members(now).map(|(beat, _)| beat.addresses.control);
        let summaries = self.members.summaries(now);
        let others = summaries.iter().filter_map(|seen| seen.summary.vms.first());
        let others = others.map(|brief| brief.addresses.control);
        let seeds = self.shared.settings.seeds.iter().copied();
        let mut addresses = Vec::new();
        for address in members.chain(others).chain(seeds) {
            let address = self.shared.settings.reroute(address);
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

impl Handler<PlanPolls> for ControlKeeper {
    type Return = Vec<PollTarget>;

    async fn handle(&mut self, _: PlanPolls, _: &mut Context<Self>) -> Vec<PollTarget> {
        let target = |entry: &UpstreamEntry| PollTarget {
            engine: entry.name.clone(),
            address: self.shared.settings.reroute(entry.address),
            cache_after: self.cache_positions.get(&entry.name).copied().unwrap_or_default(),
        };
        self.polled_engines().into_iter().map(target).collect()
    }
}

impl Handler<NoteLoad> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, message: NoteLoad, _: &mut Context<Self>) {
        self.failed_polls.remove(&message.load.engine);
        self.take_load(message.load);
    }
}

impl Handler<NoteLoadFailure> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, message: NoteLoadFailure, _: &mut Context<Self>) {
        let failed = self.failed_polls.entry(message.engine.clone()).or_default();
        *failed += 1;
        if *failed >= FAILED_POLLS && self.loads.remove(&message.engine).is_some() {
            tracing::warn!(step = "polling", peer = %message.engine, "the engine does not answer");
            self.publish();
        }
    }
}

impl Handler<NoteCachePosition> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, message: NoteCachePosition, _: &mut Context<Self>) {
        self.cache_positions.insert(message.engine, message.last);
    }
}

impl Handler<PlanOrders> for ControlKeeper {
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
            let address = settings.reroute(entry.address);
            Some(AddressedOrder { order, address })
        };
        orders.into_iter().filter_map(address).collect()
    }
}

impl Handler<OfferList> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, message: OfferList, _: &mut Context<Self>) {
        let held = self.list.as_ref().map(|list| list.revision);
        if Some(message.list.revision) <= held {
            return;
        }
        for entry in message.list.upstreams.iter().filter(|entry| entry.leaving) {
            self.mark_leaving(&entry.name, entry.incarnation);
        }
        self.list = Some(message.list);
        let listed: BTreeSet<UpstreamName> =
            self.upstreams().map(|entry| entry.name.clone()).collect();
        self.loads.retain(|engine, _| listed.contains(engine));
        self.publish();
    }
}

impl Handler<NoteUpstreamLeaving> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, message: NoteUpstreamLeaving, _: &mut Context<Self>) {
        let lifetime = self.lifetime_of(&message.upstream);
        self.mark_leaving(&message.upstream, lifetime);
        self.publish();
        self.shared.exchange_now.notify_one();
    }
}

impl Handler<StartLeaving> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, _: StartLeaving, _: &mut Context<Self>) {
        self.meets_all = true;
        self.publish();
        self.shared.exchange_now.notify_one();
    }
}

impl Handler<TickControl> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, _: TickControl, context: &mut Context<Self>) {
        if let Some(pause) = self.shared.tick() {
            tracing::warn!(pause_ms = pause.as_millis() as u64, "this process slept");
            let keeper = context.mailbox().address().try_upgrade().expect("it runs");
            tokio::spawn(fetch::refresh_after_pause(self.shared.clone(), keeper));
        }
        let now = self.now();
        self.members.evict_stale(now);
        self.publish();
        self.note_in_force();
    }
}

/// Whether a member gets requests of callers.
pub(super) fn takes_work(state: MemberState) -> bool {
    state == MemberState::Live
}
