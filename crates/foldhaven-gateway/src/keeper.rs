//! The control actor: the one place where this daemon's beliefs change.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::{IncarnationId, RegionName, ServiceName, UpstreamName, VmName};
use foldhaven_core::opaque::affinity::{PromptPlacement, UpstreamTag};
use foldhaven_core::opaque::cold::cold_share;
use foldhaven_core::opaque::load_share::{LoadBook, LoadReport, share_interval};
use foldhaven_core::opaque::peer_table::{
    BeatMessage, PeerBeat, PeerPhase, PeerTable, ServiceTag, ServiceWait, VmTag,
};
use foldhaven_core::opaque::route_table::{RouteDescription, RouteTable, RouteVersion};
use foldhaven_core::opaque::upstream_table::{UpstreamEntry, UpstreamTable};
use foldhaven_core::time::MonoTime;
use tokio::sync::{mpsc, watch};
use xtra::{Context, Handler};

use crate::connection::ConnectionPool;
use crate::feed::{ChangeSet, FeedChange, FeedNews, FeedSnapshot, FeedTurn};
use crate::places::expected_wait;
use crate::settings::GatewaySettings;
use crate::shared::GatewayShared;
use crate::upstream::{Upstream, UpstreamIdentity};
use crate::view::{GatewayView, PeerLink, RegionWait};

/// Where messages to the control actor go.
pub type KeeperAddress = xtra::Address<ControlKeeper>;

/// A process that has just started does not take the VMs that it heard of for all there are.
pub const LEARNING_TIME: Duration = Duration::from_millis(1_500);
/// A VM that has read more of the platform's changes than this one for so long is asked for them.
const BEHIND_LIMIT: Duration = Duration::from_millis(350);

/// The wait in a region of which no VM has told one yet, as after a start: requests that may run only
/// there are better sent than refused.
const UNTOLD_WAIT: Duration = Duration::from_millis(100);

/// The control state.
#[derive(xtra::Actor)]
pub struct ControlKeeper {
    shared: Arc<GatewayShared>,
    /// The settings as they were read last; those of `shared` are the ones of the start.
    settings: GatewaySettings,
    incarnation: IncarnationId,
    routes: Option<Arc<RouteTable>>,
    table: UpstreamTable,
    revision: u64,
    upstreams: HashMap<UpstreamName, Arc<Upstream>>,
    peers: PeerTable,
    links: HashMap<VmName, Arc<PeerLink>>,
    loads: LoadBook,
    /// Prompts in other regions, of which the VMs of this region are still to be told.
    relayed: Vec<PromptPlacement>,
    beats: u32,
    reports: u32,
    behind_since: Option<MonoTime>,
    is_disturbed: bool,
    /// Whether a snapshot was taken in, so that changes can follow it.
    has_state: bool,
    turn: watch::Sender<FeedTurn>,
    news: mpsc::UnboundedSender<ToldChanges>,
}

/// Changes that other VMs are to be told of.
pub struct ToldChanges {
    pub targets: Vec<SocketAddr>,
    pub changes: ChangeSet,
}

/// Looks the state over: what has lapsed, who has been silent.
pub struct TickKeeper;

/// A heartbeat arrived.
pub struct HearBeat {
    pub message: BeatMessage,
}

/// Asks for the heartbeats of a round.
pub struct PlanBeats {
    /// Whether all VMs get one, because there is news.
    pub to_all: bool,
}

/// Heartbeats to be sent.
pub type PlannedBeats = Vec<(SocketAddr, BeatMessage)>;

/// Asks which VM knows more of the platform's changes.
pub struct FindAhead;

impl ControlKeeper {
    pub fn new(
        shared: Arc<GatewayShared>,
        incarnation: IncarnationId,
        news: mpsc::UnboundedSender<ToldChanges>,
    ) -> Self {
        let settings = &shared.settings;
        let peers = PeerTable::new(settings.vm.clone(), settings.region().clone());
        let settings = shared.settings.clone();
        Self {
            shared,
            settings,
            incarnation,
            routes: None,
            table: UpstreamTable::default(),
            revision: 0,
            upstreams: HashMap::new(),
            peers,
            links: HashMap::new(),
            loads: LoadBook::default(),
            relayed: Vec::new(),
            beats: 0,
            reports: 0,
            behind_since: None,
            is_disturbed: false,
            has_state: false,
            turn: watch::Sender::new(FeedTurn { reads: true, known: None }),
            news,
        }
    }

    /// When the feed is to read, and from where.
    pub fn turns(&self) -> watch::Receiver<FeedTurn> {
        self.turn.subscribe()
    }

    fn set_turn(&self) {
        let turn = FeedTurn {
            reads: !self.has_state || self.peers.is_reader(self.is_disturbed, self.now()),
            known: self.has_state.then_some(self.revision),
        };
        self.turn.send_if_modified(|held| std::mem::replace(held, turn) != turn);
    }

    fn now(&self) -> MonoTime {
        self.shared.now()
    }

    fn version(&self) -> RouteVersion {
        self.routes.as_ref().map_or(RouteVersion::default(), |routes| routes.version())
    }

    fn phase(&self) -> PeerPhase {
        match (self.shared.is_leaving(), &self.routes) {
            (true, _) => PeerPhase::Leaving,
            (false, None) => PeerPhase::Starting,
            (false, Some(_)) => PeerPhase::Serving,
        }
    }

    fn own_beat(&self) -> PeerBeat {
        let settings = &self.shared.settings;
        PeerBeat {
            vm: settings.vm.clone(),
            incarnation: self.incarnation,
            sequence: self.beats,
            data_centre: settings.data_centre.clone(),
            region: settings.region().clone(),
            caller: settings.addresses.caller,
            peer: settings.addresses.peer,
            phase: self.phase(),
            version: self.version(),
            revision: self.revision,
            is_turned_away: self.is_disturbed,
            waits: self.own_waits(),
        }
    }

    /// The waits that requests would meet at the upstreams of this region.
    fn own_waits(&self) -> Vec<ServiceWait> {
        let now = self.now();
        let own_region = self.shared.settings.region();
        let near = self.upstreams.values().filter(|it| it.identity.region == *own_region);
        let open =
            near.filter(|it| it.cold_rate(now).is_none() && !it.health.lock().is_ejected(now));
        let mut by_service: BTreeMap<&ServiceName, Vec<Duration>> = BTreeMap::new();
        for upstream in open {
            let service = &upstream.identity.service;
            let wait = expected_wait(upstream, &self.shared.measured_pace(service), now);
            by_service.entry(service).or_default().push(wait);
        }
        let of = |(service, waits): (&ServiceName, Vec<Duration>)| ServiceWait {
            service: ServiceTag::of(service),
            wait_ms: u16::try_from(lower_mean(waits).as_millis()).unwrap_or(u16::MAX),
        };
        by_service.into_iter().map(of).collect()
    }

    /// The waits in the other regions, as the mean of what the VMs there say.
    fn far_waits(&self, beats: &[PeerBeat]) -> HashMap<(RegionName, ServiceName), RegionWait> {
        let mut waits = HashMap::new();
        let mut places: BTreeMap<(RegionName, ServiceName), (usize, u32)> = BTreeMap::new();
        for upstream in self.upstreams.values() {
            let identity = &upstream.identity;
            let key = (identity.region.clone(), identity.service.clone());
            let place = places.entry(key).or_default();
            *place = (place.0 + 1, identity.slots);
        }
        for ((region, service), (upstreams, slots)) in places {
            let tag = ServiceTag::of(&service);
            let near = beats.iter().filter(|beat| beat.region == region);
            let told: Vec<u16> = near
                .flat_map(|beat| &beat.waits)
                .filter(|wait| wait.service == tag)
                .map(|wait| wait.wait_ms)
                .collect();
            let wait = match told.len() as u64 {
                0 => UNTOLD_WAIT,
                count => {
                    let sum: u64 = told.iter().map(|wait| u64::from(*wait)).sum();
                    Duration::from_millis(sum / count)
                }
            };
            waits.insert((region, service), RegionWait { wait, upstreams, slots });
        }
        waits
    }

    /// Passes changes on to the VMs of this region that do not read the platform themselves.
    fn tell_near(&self, changes: ChangeSet) {
        let targets = self.near_peers();
        if targets.len() >= PeerTable::ALL_READ {
            // Nobody takes them only when the process ends.
            let _ = self.news.send(ToldChanges { targets, changes });
        }
    }

    /// The other VMs of this region.
    fn near_peers(&self) -> Vec<SocketAddr> {
        self.peers.near(self.now()).map(|beat| beat.peer).collect()
    }

    /// One live VM of each other region, another one each time.
    fn far_targets(&self) -> Vec<SocketAddr> {
        let own_region = self.shared.settings.region();
        let mut regions: BTreeMap<&RegionName, Vec<SocketAddr>> = BTreeMap::new();
        for beat in self.peers.live(self.now()).filter(|beat| beat.region != *own_region) {
            regions.entry(&beat.region).or_default().push(beat.peer);
        }
        let turn = self.reports as usize;
        regions.into_values().map(|peers| peers[turn % peers.len()]).collect()
    }

    fn take_totals(&mut self) {
        let interval = share_interval(self.near_peers().len());
        let totals = self.loads.totals(interval, self.now());
        for upstream in self.upstreams.values() {
            upstream.set_others(totals.get(&upstream.tag).copied().unwrap_or_default());
        }
    }

    fn adopt(&mut self, description: RouteDescription) {
        let (held, offered) = (self.version(), description.version);
        if self.routes.is_some() && offered <= held {
            if offered < held {
                tracing::warn!(held = held.0, offered = offered.0, "older description ignored");
            }
            return;
        }
        let routes = description.routes.len();
        self.routes = Some(Arc::new(RouteTable::new(description)));
        tracing::info!(version = offered.0, before = held.0, routes, "description adopted");
    }

    fn take_snapshot(&mut self, snapshot: FeedSnapshot) {
        if snapshot.revision < self.revision {
            tracing::warn!(
                held = self.revision,
                offered = snapshot.revision,
                "older state ignored"
            );
            return;
        }
        let now = self.now();
        self.revision = snapshot.revision;
        self.has_state = true;
        self.table.replace(snapshot.upstreams, now);
        self.table.set_evacuated(snapshot.evacuated);
        if let Some(description) = snapshot.description {
            self.adopt(description);
        }
    }

    /// Takes in changes. Returns whether they follow what is known, or bring nothing new.
    fn take_changes(&mut self, set: ChangeSet) -> bool {
        if !self.has_state || set.after > self.revision {
            return false;
        }
        for counted in set.changes {
            if counted.revision > self.revision {
                self.take_change(counted.change);
            }
        }
        self.revision = self.revision.max(set.revision);
        true
    }

    fn take_change(&mut self, change: FeedChange) {
        let now = self.now();
        match change {
            FeedChange::Description(description) => self.adopt(*description),
            FeedChange::UpstreamWritten(record) => {
                tracing::info!(
                    upstream = %record.name,
                    leaving = record.leaving,
                    cold_ms = record.cold_for.as_millis() as u64,
                    revision = self.revision,
                    "upstream listed"
                );
                self.table.put(record, now);
            }
            FeedChange::UpstreamRemoved(name) => {
                tracing::info!(upstream = %name, revision = self.revision, "upstream unlisted");
                self.table.remove(&name, now);
            }
            FeedChange::EvacuationStarted(centre) => {
                tracing::info!(data_centre = %centre, "evacuation starts");
                let mut evacuated = self.table.evacuated().clone();
                evacuated.insert(centre);
                self.table.set_evacuated(evacuated);
            }
            FeedChange::EvacuationEnded(centre) => {
                tracing::info!(data_centre = %centre, "evacuation ends");
                let mut evacuated = self.table.evacuated().clone();
                evacuated.remove(&centre);
                self.table.set_evacuated(evacuated);
            }
        }
    }

    /// How many VMs limits are divided by; nothing while this process is learning who there is.
    fn assumed_vms(&self) -> Option<usize> {
        (self.shared.uptime() >= LEARNING_TIME).then(|| self.peers.assumed_count())
    }

    /// Makes a new view for traffic, and decides whether this daemon reads the platform.
    fn publish(&mut self) {
        self.set_turn();
        let Some(routes) = self.routes.clone() else { return };
        let now = self.now();
        let upstreams = self.current_upstreams(&routes, now);
        let mut beats: Vec<PeerBeat> = self.peers.live(now).cloned().collect();
        let peers = self.current_links(&beats);
        let waits = self.far_waits(&beats);
        beats.push(self.own_beat());
        let snapshot = FeedSnapshot {
            revision: self.revision,
            description: Some(routes.description().clone()),
            upstreams: self.table.records(now),
            evacuated: self.table.evacuated().clone(),
        };
        self.shared.publish(GatewayView {
            routes,
            upstreams,
            peers,
            waits,
            beats,
            assumed_vms: self.assumed_vms(),
            snapshot: Arc::new(snapshot),
        });
    }

    fn current_upstreams(
        &mut self,
        routes: &RouteTable,
        now: MonoTime,
    ) -> HashMap<ServiceName, Vec<Arc<Upstream>>> {
        let mut kept = HashMap::new();
        let mut by_service: HashMap<ServiceName, Vec<Arc<Upstream>>> = HashMap::new();
        for entry in self.table.usable() {
            let Some(upstream) = self.upstream_of(entry, routes) else { continue };
            let rate = match now < entry.cold_until {
                true => self.cold_rate(entry, &upstream, routes, now),
                false => 0.0,
            };
            upstream.set_cold(entry.cold_until, rate);
            by_service.entry(upstream.identity.service.clone()).or_default().push(upstream.clone());
            kept.insert(upstream.name().clone(), upstream);
        }
        for (name, _) in self.upstreams.iter().filter(|(name, _)| !kept.contains_key(*name)) {
            self.shared.hints.lock().forget(UpstreamTag::of(name));
        }
        self.upstreams = kept;
        by_service
    }

    fn upstream_of(&self, entry: &UpstreamEntry, routes: &RouteTable) -> Option<Arc<Upstream>> {
        let record = &entry.record;
        if let Some(known) = self.upstreams.get(&record.name)
            && known.identity.address == record.address
        {
            return Some(known.clone());
        }
        let region = self.settings.regions.get(&record.data_centre)?;
        let service = routes.service(&record.service);
        Some(Upstream::new(UpstreamIdentity {
            name: record.name.clone(),
            service: record.service.clone(),
            address: record.address,
            data_centre: record.data_centre.clone(),
            region: region.clone(),
            slots: record.slots,
            prompt_memory: service.and_then(|service| service.prompt_memory).unwrap_or_default(),
        }))
    }

    fn cold_rate(
        &self,
        entry: &UpstreamEntry,
        upstream: &Upstream,
        routes: &RouteTable,
        now: MonoTime,
    ) -> f64 {
        let service = routes.service(&entry.record.service);
        let rate = service.map_or(0.0, |service| service.cold_rate);
        if rate <= 0.0 {
            // No limit is stated.
            return f64::MAX;
        }
        if self.assumed_vms().is_none() {
            return 0.0;
        }
        let own = &self.shared.settings.vm;
        let near = self.peers.live(now).filter(|beat| beat.region == upstream.identity.region);
        let mut live: Vec<VmName> = near.map(|beat| beat.vm.clone()).collect();
        live.push(own.clone());
        cold_share(rate, upstream.name(), own, &live)
    }

    fn current_links(&mut self, beats: &[PeerBeat]) -> Vec<Arc<PeerLink>> {
        let mut links = HashMap::new();
        for beat in beats.iter().filter(|beat| beat.phase == PeerPhase::Serving) {
            let known = self.links.get(&beat.vm).filter(|link| link.address == beat.peer);
            let link = known.cloned().unwrap_or_else(|| {
                Arc::new(PeerLink {
                    vm: beat.vm.clone(),
                    region: beat.region.clone(),
                    address: beat.peer,
                    pool: ConnectionPool::default(),
                    load: Arc::default(),
                })
            });
            links.insert(beat.vm.clone(), link);
        }
        self.links = links;
        self.links.values().cloned().collect()
    }

    /// The VM that has read most of the platform's changes, if that is more than this one has.
    fn most_ahead(&self) -> Option<SocketAddr> {
        let now = self.now();
        let ahead = self.peers.live(now).filter(|beat| beat.revision > self.revision);
        ahead.max_by_key(|beat| beat.revision).map(|beat| beat.peer)
    }

    fn message(&self, heard: Vec<PeerBeat>) -> BeatMessage {
        BeatMessage { own: self.own_beat(), pulses: Vec::new(), heard, asks_all: false }
    }

    /// All heartbeats for a VM that knows nobody, in messages that fit a datagram.
    fn answer_all(&self, address: SocketAddr) -> PlannedBeats {
        const PER_MESSAGE: usize = 7;
        let beats: Vec<PeerBeat> = self.peers.live(self.now()).cloned().collect();
        let chunks = beats.chunks(PER_MESSAGE);
        let mut planned: PlannedBeats =
            chunks.map(|chunk| (address, self.message(chunk.to_vec()))).collect();
        if planned.is_empty() {
            planned.push((address, self.message(Vec::new())));
        }
        planned
    }
}

impl Handler<FeedNews> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, news: FeedNews, _: &mut Context<Self>) {
        match news {
            FeedNews::Disturbed { cause } => {
                let now = self.now();
                self.table.note_disturbed(now);
                if !std::mem::replace(&mut self.is_disturbed, true) {
                    tracing::warn!(cause, revision = self.revision, "platform lost");
                    self.set_turn();
                }
                return;
            }
            FeedNews::Snapshot(snapshot) => self.take_snapshot(snapshot),
            FeedNews::Changes(set) => {
                let is_empty = set.changes.is_empty();
                let told = (!is_empty).then(|| set.clone());
                if self.take_changes(set)
                    && let Some(told) = told
                {
                    self.tell_near(told);
                }
            }
        }
        if std::mem::replace(&mut self.is_disturbed, false) {
            tracing::info!(revision = self.revision, "platform regained");
        }
        self.publish();
    }
}

/// What a VM that was asked told of the platform's changes.
pub struct OfferSnapshot {
    pub snapshot: FeedSnapshot,
    pub peer: SocketAddr,
}

/// The settings have changed.
pub struct ReplaceSettings {
    pub settings: GatewaySettings,
}

impl Handler<ReplaceSettings> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, change: ReplaceSettings, _: &mut Context<Self>) {
        self.settings = change.settings;
        self.publish();
    }
}

/// Another VM of the region told of changes that it read.
pub struct HearChanges {
    pub changes: ChangeSet,
}

impl Handler<HearChanges> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, message: HearChanges, _: &mut Context<Self>) {
        let before = self.revision;
        if !self.take_changes(message.changes) {
            // Some are missing; they are asked for, like after a lost datagram.
            return;
        }
        if self.revision != before {
            self.publish();
        }
    }
}

impl Handler<OfferSnapshot> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, offer: OfferSnapshot, _: &mut Context<Self>) {
        let OfferSnapshot { snapshot, peer } = offer;
        if snapshot.revision <= self.revision {
            return;
        }
        tracing::info!(
            peer = %peer,
            revision = snapshot.revision,
            before = self.revision,
            "state taken from a peer"
        );
        self.take_snapshot(snapshot);
        self.publish();
    }
}

impl Handler<HearBeat> for ControlKeeper {
    type Return = PlannedBeats;

    async fn handle(&mut self, message: HearBeat, _: &mut Context<Self>) -> PlannedBeats {
        let BeatMessage { own, pulses, heard, asks_all } = message.message;
        let now = self.now();
        let sender = own.peer;
        let (vm, phase) = (own.vm.clone(), own.phase);
        let mut is_news = self.peers.hear(own, now);
        if is_news {
            tracing::info!(peer = %vm, phase = ?phase, "peer heard");
        }
        for beat in heard {
            is_news |= self.peers.hear(beat, now);
        }
        for pulse in pulses {
            is_news |= self.peers.hear_pulse(pulse, now);
        }
        if is_news {
            self.publish();
        }
        match asks_all {
            true => self.answer_all(sender),
            false => Vec::new(),
        }
    }
}

impl Handler<PlanBeats> for ControlKeeper {
    type Return = PlannedBeats;

    async fn handle(&mut self, plan: PlanBeats, _: &mut Context<Self>) -> PlannedBeats {
        self.beats += 1;
        let asks_all = self.peers.take_asks_all();
        let mut targets = match plan.to_all {
            true => self.peers.all_addresses(),
            false => self.peers.next_targets(),
        };
        let is_seed_round = asks_all || self.beats.is_multiple_of(SEED_ROUNDS);
        if is_seed_round {
            targets.extend(self.settings.seed_peers());
        }
        let targets: BTreeSet<SocketAddr> = targets.into_iter().collect();
        let pulses = self.peers.relayed(self.now());
        let message = BeatMessage { pulses, asks_all, ..self.message(Vec::new()) };
        targets.into_iter().map(|target| (target, message.clone())).collect()
    }
}

/// Seeds get a heartbeat in every n-th round, so that two halves that lost each other meet again.
const SEED_ROUNDS: u32 = 8;

impl Handler<TickKeeper> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, _: TickKeeper, _: &mut Context<Self>) {
        let now = self.now();
        self.peers.forget(now);
        if self.table.expire(now) {
            tracing::info!("upstreams dropped that were not listed again");
        }
        self.publish();
    }
}

impl Handler<FindAhead> for ControlKeeper {
    type Return = Option<SocketAddr>;

    async fn handle(&mut self, _: FindAhead, _: &mut Context<Self>) -> Option<SocketAddr> {
        let now = self.now();
        let Some(ahead) = self.most_ahead() else {
            self.behind_since = None;
            return None;
        };
        let since = *self.behind_since.get_or_insert(now);
        let is_due = self.routes.is_none() || now.since(since) >= BEHIND_LIMIT;
        is_due.then_some(ahead)
    }
}

/// The mean of the lower half: what a request meets that goes to one of the better places.
fn lower_mean(mut waits: Vec<Duration>) -> Duration {
    waits.sort();
    waits.truncate(waits.len().div_ceil(2));
    let count = waits.len().max(1) as u32;
    waits.into_iter().sum::<Duration>() / count
}

/// A load report of another VM of the region arrived.
pub struct HearLoad {
    pub report: LoadReport,
}

impl Handler<HearLoad> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, message: HearLoad, _: &mut Context<Self>) {
        let mut report = message.report;
        let placements = std::mem::take(&mut report.placements);
        let now = self.now();
        let (vm, incarnation) = (report.vm, report.incarnation);
        if !self.loads.hear(report, now) {
            return;
        }
        self.peers.note_report(vm, incarnation, now);
        let mut hints = self.shared.hints.lock();
        for placement in &placements {
            hints.note(placement);
        }
    }
}

/// A VM of another region told of prompts that were sent there.
pub struct HearPlacements {
    pub placements: Vec<PromptPlacement>,
}

impl Handler<HearPlacements> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, message: HearPlacements, _: &mut Context<Self>) {
        let mut hints = self.shared.hints.lock();
        for placement in &message.placements {
            hints.note(placement);
        }
        self.relayed.extend(message.placements);
    }
}

/// Asks for the load report of a round.
pub struct PlanReport;

/// A load report, whom to send it to, and when the next one is due.
pub struct PlannedReport {
    pub targets: Vec<SocketAddr>,
    pub report: LoadReport,
    /// A VM of each other region, which tells the rest there of these prompts.
    pub far_targets: Vec<SocketAddr>,
    pub far_placements: Vec<PromptPlacement>,
    pub interval: Duration,
}

impl Handler<PlanReport> for ControlKeeper {
    type Return = PlannedReport;

    async fn handle(&mut self, _: PlanReport, _: &mut Context<Self>) -> PlannedReport {
        self.reports += 1;
        self.take_totals();
        let targets = self.near_peers();
        let own = self.upstreams.values().map(|upstream| (upstream.tag, upstream.load.share()));
        let shares = own.filter(|(_, share)| share.in_flight > 0).collect();
        let far_placements = std::mem::take(&mut *self.shared.placements.lock());
        let mut placements = std::mem::take(&mut self.relayed);
        placements.extend(far_placements.iter().cloned());
        let report = LoadReport {
            vm: VmTag::of(&self.shared.settings.vm),
            incarnation: self.incarnation,
            sequence: self.reports,
            shares,
            placements,
        };
        let interval = share_interval(targets.len());
        PlannedReport { targets, report, far_targets: self.far_targets(), far_placements, interval }
    }
}
