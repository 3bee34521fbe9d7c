//! The platform state is correct in whatever order changes arrive.
//!
//! Guards against VMs that announce the newest revision and version but decide by an older
//! description. A VM that holds the newest revision does not ask for changes, so its revision must
//! never exceed the changes that it has applied. A simulated platform publishes changes. Three VMs
//! read it at different times, page by page and as changes, forward changes by messages that are
//! delayed, lost, duplicated and reordered, and request state from each other. All ways in which a
//! revision increases are covered.
//!
//! `KNOWN_ORDERS=10000` runs that many random orders instead of the few of CI.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bincode::Options;
use foldhaven_core::ids::UpstreamStartTime;
use foldhaven_core::opaque::account_table::{AccountDescription, ClientAccount, KeyFingerprint};
use foldhaven_core::opaque::route_table::{
    CallerLimits, OpaqueRoute, RepeatKind, RouteDescription, RouteVersion, WeightedService,
};
use foldhaven_core::opaque::upstream_table::UpstreamRecord;
use foldhaven_core::time::MonoTime;
use foldhaven_gateway::feed::{
    ChangeSet, ChangeSubject, FeedChange, FeedSnapshot, NumberedChange, PeerState,
};
use foldhaven_gateway::platform_state::{
    ApplyContext, EarlyChanges, PlatformState, StateFormat, StateOffer,
};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use serde::de::DeserializeOwned;

const DEFAULT_SEEDS: u64 = 300;
/// Number of events in each random order.
const EVENTS: usize = 400;
const VMS: usize = 3;
const NAMES: [&str; 4] = ["a", "b", "c", "d"];

fn seed_count() -> u64 {
    let named = std::env::var("KNOWN_ORDERS").ok().and_then(|text| text.parse().ok());
    named.unwrap_or(DEFAULT_SEEDS)
}

fn context() -> ApplyContext {
    ApplyContext { now: MonoTime::from_millis(1_000_000), lag: Duration::ZERO, is_late: false }
}

fn route(name: &str, seconds: u64) -> OpaqueRoute {
    OpaqueRoute {
        name: name.parse().unwrap(),
        host: "a.example".to_owned(),
        path_prefix: format!("/{name}/"),
        repeat: RepeatKind::Safe,
        timeout: Duration::from_secs(seconds),
        target: Duration::from_millis(400),
        event_gap: None,
        priority: 0,
        max_attempts: 1,
        services: vec![WeightedService { service: "one".parse().unwrap(), weight: 1.0 }],
        homes: Vec::new(),
        affinity: false,
    }
}

/// Returns random accounts with keys. The first route may be open.
fn accounts(random: &mut StdRng) -> AccountDescription {
    let chosen = NAMES.iter().filter(|_| random.random_bool(0.5)).copied();
    let chosen: Vec<&str> = chosen.collect();
    let make = |name: &str| {
        let account = ClientAccount {
            name: name.parse().unwrap(),
            keys: [KeyFingerprint::of(&[random.random_range(0..3)])].into(),
            priority: None,
            homes: Vec::new(),
            limit: None,
        };
        (account.name.clone(), Arc::new(account))
    };
    let accounts = chosen.into_iter().map(make).collect();
    let open = random.random_bool(0.3).then(|| NAMES[0].parse().unwrap());
    AccountDescription { accounts, open_routes: open.into_iter().collect() }
}

/// The simulated platform. It keeps all changes, but a VM whose revision is below
/// `compacted_revision` has to read a list instead of them.
#[derive(Default)]
struct Platform {
    history: Vec<NumberedChange>,
    version: u64,
    /// The revision up to which the history was compacted.
    compacted_revision: u64,
}

impl Platform {
    fn revision(&self) -> u64 {
        self.history.last().map_or(1, |last| last.revision)
    }

    fn publish(&mut self, change: FeedChange) {
        let revision = self.revision() + 1;
        self.history.push(NumberedChange { revision, change });
    }

    /// Publishes a description with random routes, each of which may be as in an earlier version.
    fn publish_description(&mut self, random: &mut StdRng) {
        self.version += random.random_range(1..4);
        let chosen = NAMES.iter().filter(|_| random.random_bool(0.5)).copied();
        let chosen: Vec<&str> = chosen.collect();
        let routes = chosen.into_iter().map(|name| route(name, random.random_range(1..3)));
        let routes: Vec<Arc<OpaqueRoute>> = routes.map(Arc::new).collect();
        let (header_bytes, body_bytes) = (random.random_range(1..3), 1);
        let (header_time, idle_time) = (Duration::ZERO, Duration::ZERO);
        let limits = CallerLimits { header_bytes, body_bytes, header_time, idle_time };
        let version = RouteVersion(self.version);
        let accounts = random.random_bool(0.8).then(|| Arc::new(accounts(random)));
        let description =
            RouteDescription { version, routes, services: Vec::new(), limits, accounts };
        self.publish(FeedChange::Description(Box::new(description)));
    }

    fn publish_any(&mut self, random: &mut StdRng) {
        let name = *NAMES.choose(random).unwrap();
        let record = UpstreamRecord {
            name: name.parse().unwrap(),
            birth: UpstreamStartTime::default(),
            service: "one".parse().unwrap(),
            address: "127.0.0.1:80".parse().unwrap(),
            data_centre: "hall".parse().unwrap(),
            slots: random.random_range(1..9),
            leaving: random.random_bool(0.4),
            cold_for: Duration::ZERO,
            software: Some("v1".parse().unwrap()),
        };
        let centre = name.parse().unwrap();
        match random.random_range(0..8) {
            0..3 => self.publish_description(random),
            3..5 => self.publish(FeedChange::UpstreamWritten(record)),
            5 => self.publish(FeedChange::UpstreamRemoved(record.name)),
            6 => self.publish(FeedChange::EvacuationStarted(centre)),
            _ => self.publish(FeedChange::EvacuationEnded(centre)),
        }
    }

    /// Returns the last change of each subject up to a revision, as the platform lists them.
    fn items_at(&self, revision: u64) -> Vec<NumberedChange> {
        let mut last: BTreeMap<ChangeSubject<'_>, &NumberedChange> = BTreeMap::new();
        for numbered in self.history.iter().filter(|numbered| numbered.revision <= revision) {
            last.insert(numbered.change.subject(), numbered);
        }
        last.into_values().cloned().collect()
    }

    /// Returns a list that names an earlier revision, but in which some items are as of now: the
    /// pages of a list are not read at one revision.
    fn paged_list(&self, random: &mut StdRng, since: u64) -> FeedSnapshot {
        let mut items: BTreeMap<String, NumberedChange> = BTreeMap::new();
        for revision in [since, self.revision()] {
            for item in self.items_at(revision) {
                let subject = format!("{:?}", item.change.subject());
                let is_late = random.random_bool(0.5);
                if revision == since || is_late {
                    items.insert(subject, item);
                }
            }
        }
        let mut snapshot = FeedSnapshot {
            revision: since,
            description: None,
            upstreams: Vec::new(),
            unusable: Default::default(),
            evacuated: Default::default(),
        };
        for item in items.into_values() {
            match item.change {
                FeedChange::Description(it) => snapshot.description = Some(*it),
                FeedChange::UpstreamWritten(record) => snapshot.upstreams.push(record),
                FeedChange::EvacuationStarted(centre) => drop(snapshot.evacuated.insert(centre)),
                _ => {}
            }
        }
        snapshot
    }

    /// Returns the changes after a revision. Only the last one of each subject is included.
    fn changes(&self, after: u64) -> ChangeSet {
        let revision = self.revision();
        let mut last: BTreeMap<ChangeSubject<'_>, &NumberedChange> = BTreeMap::new();
        for numbered in self.history.iter().filter(|numbered| numbered.revision > after) {
            last.insert(numbered.change.subject(), numbered);
        }
        let mut changes: Vec<NumberedChange> = last.into_values().cloned().collect();
        changes.sort_by_key(|numbered| numbered.revision);
        ChangeSet { after, revision: revision.max(after), changes }
    }

    /// Returns the states of a subject from a revision on: at the revision, and after each later
    /// change.
    fn states_since<'a>(
        &'a self,
        subject: ChangeSubject<'a>,
        revision: u64,
    ) -> Vec<Option<&'a FeedChange>> {
        let about = |numbered: &&NumberedChange| numbered.change.subject() == subject;
        let of = |numbered: &'a NumberedChange| Some(&numbered.change);
        let (before, after): (Vec<&NumberedChange>, Vec<&NumberedChange>) =
            self.history.iter().filter(about).partition(|numbered| numbered.revision <= revision);
        let first = before.last().copied().and_then(of);
        std::iter::once(first).chain(after.into_iter().map(of)).collect()
    }
}

/// A message in transit to a VM.
#[derive(Clone)]
enum Message {
    Announced(ChangeSet),
    Answer(PeerState),
}

impl Message {
    /// Returns the message as another process receives it.
    fn serialized(self) -> Self {
        match self {
            Self::Announced(changes) => Self::Announced(serialize_round_trip(&changes)),
            Self::Answer(state) => Self::Answer(serialize_round_trip(&state)),
        }
    }
}

fn serialize_round_trip<T: Serialize + DeserializeOwned>(value: &T) -> T {
    let codec = bincode::DefaultOptions::new();
    let bytes = codec.serialize(value).unwrap();
    bincode::DefaultOptions::new().deserialize(&bytes).unwrap()
}

struct World {
    platform: Platform,
    vms: Vec<PlatformState>,
    /// The state that other VMs can fetch from each VM, as last published.
    offers: Vec<Option<Arc<StateOffer>>>,
    /// Lists that are being read, by the revision of their first page.
    pending_lists: Vec<Option<u64>>,
    messages: Vec<(usize, Message)>,
    /// The last revision and version of each VM. They must not decrease until the VM restarts.
    previous: Vec<(u64, RouteVersion)>,
}

impl World {
    fn new() -> Self {
        Self {
            platform: Platform::default(),
            vms: (0..VMS).map(|_| PlatformState::default()).collect(),
            offers: vec![None; VMS],
            pending_lists: vec![None; VMS],
            messages: Vec::new(),
            previous: vec![Default::default(); VMS],
        }
    }

    fn step(&mut self, random: &mut StdRng) {
        let vm = random.random_range(0..VMS);
        match random.random_range(0..12) {
            0..3 => self.platform.publish_any(random),
            3..5 => self.read(vm, random),
            5 => self.offers[vm] = self.vms[vm].offer(context().now).map(Arc::new),
            6 => self.request_state(vm, random),
            7 if random.random_bool(0.1) => {
                self.platform.compacted_revision = self.platform.revision()
            }
            7 if random.random_bool(0.05) => self.restart(vm),
            _ => self.deliver(random),
        }
    }

    fn restart(&mut self, vm: usize) {
        self.vms[vm] = PlatformState::default();
        self.offers[vm] = None;
        self.pending_lists[vm] = None;
        self.previous[vm] = Default::default();
        self.messages.retain(|(to, _)| *to != vm);
    }

    /// Reads the changes, or completes a list.
    fn read(&mut self, vm: usize, random: &mut StdRng) {
        let revision = self.platform.revision();
        if let Some(since) = self.pending_lists[vm].take() {
            let list = self.platform.paged_list(random, since);
            let applied = self.vms[vm].apply_snapshot(list, context());
            return self.announce(vm, applied);
        }
        let known = self.vms[vm].revision();
        if !self.vms[vm].has_state() || known < self.platform.compacted_revision {
            self.pending_lists[vm] = Some(revision);
            return;
        }
        let applied = self.vms[vm].apply_changes(self.platform.changes(known), context());
        self.announce(vm, applied.map(|applied| applied.changes));
    }

    fn announce(&mut self, vm: usize, applied: Option<ChangeSet>) {
        let Some(changes) = applied.filter(|applied| !applied.changes.is_empty()) else { return };
        let others = (0..VMS).filter(|other| *other != vm);
        self.messages.extend(others.map(|other| (other, Message::Announced(changes.clone()))));
    }

    fn request_state(&mut self, vm: usize, random: &mut StdRng) {
        let other = random.random_range(0..VMS);
        let Some(offer) = self.offers[other].clone().filter(|_| other != vm) else { return };
        let answer =
            offer.state_after(self.vms[vm].base_revision(), format(random.random_bool(0.7)));
        self.messages.push((vm, Message::Answer(answer)));
    }

    /// Delivers a random message. It may be delivered again later, or be lost.
    fn deliver(&mut self, random: &mut StdRng) {
        if self.messages.is_empty() {
            return;
        }
        let at = random.random_range(0..self.messages.len());
        let (vm, message) = match random.random_bool(0.15) {
            true => self.messages[at].clone(),
            false => self.messages.swap_remove(at),
        };
        if !random.random_bool(0.2) {
            self.apply(vm, message.serialized());
        }
    }

    fn deliver_at(&mut self, at: usize) {
        let (vm, message) = self.messages.swap_remove(at);
        self.apply(vm, message);
    }

    fn apply(&mut self, vm: usize, message: Message) {
        let known = &mut self.vms[vm];
        let before = known.revision();
        match message {
            Message::Announced(changes) if known.can_apply(&changes) => {
                known.apply_changes(changes, context());
            }
            Message::Announced(changes) => {
                let early = changes.changes.into_iter();
                let early = early.filter(|it| EarlyChanges::may_apply_early(&it.change)).collect();
                known.apply_early_changes(early, context().now);
            }
            Message::Answer(PeerState::KeyedSnapshot(snapshot, accounts)) => {
                let answer = PeerState::Snapshot(snapshot.with_accounts(accounts));
                self.apply(vm, Message::Answer(answer));
            }
            Message::Answer(PeerState::VersionedSnapshot(told)) => {
                let answer = PeerState::Snapshot(told.into_snapshot());
                self.apply(vm, Message::Answer(answer));
            }
            Message::Answer(PeerState::Snapshot(snapshot)) => {
                let is_newer = snapshot.revision > before;
                if is_newer || known.needs_snapshot() && snapshot.revision == before {
                    known.apply_snapshot(snapshot, context());
                }
            }
            Message::Answer(PeerState::Changes(changes)) => {
                if changes.revision > before {
                    known.apply_changes(changes, context());
                }
            }
            Message::Answer(PeerState::SpanningChanges(changes, through)) => {
                if changes.revision > before {
                    known.apply_changes(changes.with_spanned_versions(&through), context());
                }
            }
        }
    }

    /// Checks that each VM holds what the platform had at the VM's revision or later.
    fn check(&mut self) -> Result<(), String> {
        for (vm, known) in self.vms.iter().enumerate() {
            let (current, previous) = ((known.revision(), known.version()), self.previous[vm]);
            if current.0 < previous.0 || current.1 < previous.1 {
                return Err(format!("VM {vm} goes back from {previous:?} to {current:?}"));
            }
            self.previous[vm] = current;
        }
        for (vm, known) in self.vms.iter().enumerate().filter(|(_, known)| known.has_state()) {
            self.check_description(known).map_err(|wrong| format!("VM {vm}: {wrong}"))?;
            self.check_others(known).map_err(|wrong| format!("VM {vm}: {wrong}"))?;
        }
        Ok(())
    }

    fn check_description(&self, known: &PlatformState) -> Result<(), String> {
        let revision = known.revision();
        let held = known.routes().map(|routes| sorted(routes.description().clone()));
        let states = self.platform.states_since(ChangeSubject::Description, revision);
        let is_held = |state: &Option<&FeedChange>| match state {
            Some(FeedChange::Description(it)) => Some(sorted((**it).clone())) == held,
            _ => held.is_none(),
        };
        match states.iter().any(is_held) {
            true => Ok(()),
            false => Err(format!("at {revision} it holds {:?}", known.version())),
        }
    }

    fn check_others(&self, known: &PlatformState) -> Result<(), String> {
        let revision = known.revision();
        let records = known.table.records(context().now);
        for name in NAMES {
            let upstream = name.parse().unwrap();
            let held = records.iter().find(|record| record.name == upstream);
            let states = self.platform.states_since(ChangeSubject::Upstream(&upstream), revision);
            let is_held = |state: &Option<&FeedChange>| match state {
                Some(FeedChange::UpstreamWritten(record)) => Some(record) == held,
                _ => held.is_none(),
            };
            if !states.iter().any(is_held) {
                return Err(format!("at {revision} upstream {name} is {held:?}"));
            }
            let centre = name.parse().unwrap();
            let held = known.table.evacuated().contains(&centre);
            let states = self.platform.states_since(ChangeSubject::Evacuation(&centre), revision);
            let is_started = |state: &Option<&FeedChange>| {
                matches!(state, Some(FeedChange::EvacuationStarted(_)))
            };
            if !states.iter().any(|state| is_started(state) == held) {
                return Err(format!("at {revision} evacuation of {name} is {held}"));
            }
        }
        Ok(())
    }
}

/// Returns the format for a VM that reads all parts of the state.
fn format(accepts_spanning: bool) -> StateFormat {
    StateFormat { accepts_spanning, accepts_software: true }
}

impl World {
    /// Brings all VMs up to date while no more changes are published: the first one reads the
    /// platform, and the others ask it.
    fn settle(&mut self, random: &mut StdRng) {
        self.messages.clear();
        while self.vms[0].revision() < self.platform.revision() {
            self.read(0, random);
        }
        self.offers[0] = self.vms[0].offer(context().now).map(Arc::new);
        for _ in 0..2 {
            for vm in 1..VMS {
                let Some(offer) = &self.offers[0] else { continue };
                let answer = offer.state_after(self.vms[vm].base_revision(), format(true));
                self.messages = vec![(vm, Message::Answer(answer))];
                self.deliver_at(0);
            }
        }
    }

    fn is_settled(&self) -> bool {
        let newest = (self.platform.revision(), RouteVersion(self.platform.version));
        self.vms.iter().all(|known| (known.revision(), known.version()) == newest)
    }
}

fn sorted(mut description: RouteDescription) -> RouteDescription {
    description.routes.sort_by(|left, right| left.name.cmp(&right.name));
    description
}

#[test]
fn revision_never_exceeds_applied_changes() {
    for seed in 0..seed_count() {
        let mut random = StdRng::seed_from_u64(seed);
        let mut world = World::new();
        world.platform.publish_description(&mut random);
        for event in 0..EVENTS {
            world.step(&mut random);
            world.check().unwrap_or_else(|wrong| panic!("seed {seed}, event {event}: {wrong}"));
        }
        world.settle(&mut random);
        world.check().unwrap_or_else(|wrong| panic!("seed {seed}, at the end: {wrong}"));
        assert!(world.is_settled(), "seed {seed}: not all is known in the end");
    }
}

/// Guards against software versions that are lost on the way to a VM that reads them, and against a
/// state that an earlier daemon cannot read.
#[test]
fn software_versions_are_sent_only_to_vms_that_read_them() {
    let versions = ["v1", "v2", "v1"];
    let record = |at: usize, software: Option<&str>| UpstreamRecord {
        name: NAMES[at].parse().unwrap(),
        birth: UpstreamStartTime::default(),
        service: "one".parse().unwrap(),
        address: "127.0.0.1:80".parse().unwrap(),
        data_centre: "hall".parse().unwrap(),
        slots: 4,
        leaving: false,
        cold_for: Duration::ZERO,
        software: software.map(|it| it.parse().unwrap()),
    };
    let all: Vec<UpstreamRecord> =
        (0..3).map(|at| record(at, Some(versions[at]))).chain([record(3, None)]).collect();
    let snapshot = FeedSnapshot {
        revision: 7,
        description: None,
        upstreams: all.clone(),
        unusable: Default::default(),
        evacuated: Default::default(),
    };
    let told = Message::Answer(PeerState::of_versioned_snapshot(snapshot.clone())).serialized();
    let Message::Answer(PeerState::VersionedSnapshot(told)) = told else { panic!("another form") };
    assert_eq!(told.into_snapshot().upstreams, all);
    let told = Message::Answer(PeerState::of_snapshot(snapshot)).serialized();
    let Message::Answer(PeerState::Snapshot(told)) = told else { panic!("another form") };
    assert!(told.upstreams.iter().all(|it| it.software.is_none()));
    let change = FeedChange::UpstreamWritten(all[1].clone());
    let set =
        ChangeSet { after: 7, revision: 8, changes: vec![NumberedChange { revision: 8, change }] };
    let told = Message::Answer(PeerState::Changes(set)).serialized();
    let Message::Answer(PeerState::Changes(told)) = told else { panic!("another form") };
    assert!(matches!(
        &told.changes[0].change,
        FeedChange::UpstreamWritten(record) if *record == all[1]
    ));
}
