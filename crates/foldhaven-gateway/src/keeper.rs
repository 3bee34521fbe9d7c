//! The control actor: the one place where this daemon's beliefs change.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::{IncarnationId, ServiceName, UpstreamName, VmName};
use foldhaven_core::opaque::cold::cold_share;
use foldhaven_core::opaque::peer_table::{BeatMessage, PeerBeat, PeerPhase, PeerTable};
use foldhaven_core::opaque::route_table::{RouteDescription, RouteTable, RouteVersion};
use foldhaven_core::opaque::upstream_table::{UpstreamEntry, UpstreamTable};
use foldhaven_core::time::MonoTime;
use xtra::{Context, Handler};

use crate::connection::ConnectionPool;
use crate::feed::{FeedChange, FeedNews, FeedSnapshot};
use crate::settings::GatewaySettings;
use crate::shared::GatewayShared;
use crate::upstream::{Upstream, UpstreamIdentity};
use crate::view::{GatewayView, PeerLink};

/// Where messages to the control actor go.
pub type KeeperAddress = xtra::Address<ControlKeeper>;

/// A process that has just started does not take the VMs that it heard of for all there are.
const LEARNING_TIME: Duration = Duration::from_millis(1_500);
/// A VM that has read more of the platform's changes than this one for so long is asked for them.
const BEHIND_LIMIT: Duration = Duration::from_millis(350);

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
    beats: u32,
    behind_since: Option<MonoTime>,
    is_disturbed: bool,
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
    pub fn new(shared: Arc<GatewayShared>, incarnation: IncarnationId) -> Self {
        let peers = PeerTable::new(shared.settings.vm.clone());
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
            beats: 0,
            behind_since: None,
            is_disturbed: false,
        }
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
            busy: 0,
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
        self.table.replace(snapshot.upstreams, now);
        self.table.set_evacuated(snapshot.evacuated);
        if let Some(description) = snapshot.description {
            self.adopt(description);
        }
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

    /// Makes a new view for traffic.
    fn publish(&mut self) {
        let Some(routes) = self.routes.clone() else { return };
        let now = self.now();
        let upstreams = self.current_upstreams(&routes, now);
        let mut beats: Vec<PeerBeat> = self.peers.live(now).cloned().collect();
        let peers = self.current_links(&beats);
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
            let Some(upstream) = self.upstream_of(entry) else { continue };
            let rate = match now < entry.cold_until {
                true => self.cold_rate(entry, &upstream, routes, now),
                false => 0.0,
            };
            upstream.set_cold(entry.cold_until, rate);
            by_service.entry(upstream.service.clone()).or_default().push(upstream.clone());
            kept.insert(upstream.name.clone(), upstream);
        }
        self.upstreams = kept;
        by_service
    }

    fn upstream_of(&self, entry: &UpstreamEntry) -> Option<Arc<Upstream>> {
        let record = &entry.record;
        if let Some(known) = self.upstreams.get(&record.name)
            && known.address == record.address
        {
            return Some(known.clone());
        }
        let region = self.settings.regions.get(&record.data_centre)?;
        Some(Upstream::new(UpstreamIdentity {
            name: record.name.clone(),
            service: record.service.clone(),
            address: record.address,
            data_centre: record.data_centre.clone(),
            region: region.clone(),
            slots: record.slots,
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
        let near = self.peers.live(now).filter(|beat| beat.region == upstream.region);
        let mut live: Vec<VmName> = near.map(|beat| beat.vm.clone()).collect();
        live.push(own.clone());
        cold_share(rate, &upstream.name, own, &live)
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

    fn message(&self, asks_all: bool, heard: Vec<PeerBeat>) -> BeatMessage {
        BeatMessage { own: self.own_beat(), heard, asks_all }
    }

    /// All heartbeats for a VM that knows nobody, in messages that fit a datagram.
    fn answer_all(&self, address: SocketAddr) -> PlannedBeats {
        const PER_MESSAGE: usize = 7;
        let beats: Vec<PeerBeat> = self.peers.live(self.now()).cloned().collect();
        let chunks = beats.chunks(PER_MESSAGE);
        let mut planned: PlannedBeats =
            chunks.map(|chunk| (address, self.message(false, chunk.to_vec()))).collect();
        if planned.is_empty() {
            planned.push((address, self.message(false, Vec::new())));
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
                }
                return;
            }
            FeedNews::Snapshot(snapshot) => self.take_snapshot(snapshot),
            FeedNews::Changes { revision, changes } => {
                self.revision = self.revision.max(revision);
                for change in changes {
                    self.take_change(change);
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
        let BeatMessage { own, heard, asks_all } = message.message;
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
        let asks_all = self.peers.is_empty();
        let mut targets = match plan.to_all {
            true => self.peers.all_addresses(),
            false => self.peers.next_targets(),
        };
        let is_seed_round = asks_all || self.beats.is_multiple_of(SEED_ROUNDS);
        if is_seed_round {
            targets.extend(self.settings.seed_peers());
        }
        let targets: BTreeSet<SocketAddr> = targets.into_iter().collect();
        let message = self.message(asks_all, self.peers.relayed(self.now()));
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
