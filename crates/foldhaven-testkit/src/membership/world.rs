//! The VMs of a simulated start, and the messages between them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use foldhaven_core::ids::{DataCentreName, IncarnationId, RegionName, VmName};
use foldhaven_core::opaque::peer_table::{
    LEARNING_INTERVAL, LEARNING_TIME, OwnVm, PeerHeartbeat, PeerPhase, PeerTable, RegionTag,
    RoundInput, ViewAnswer, ViewDigest, VmTag,
};
use foldhaven_core::opaque::route_table::RouteVersion;
use foldhaven_core::time::MonoTime;
use foldhaven_core::units::CoreShare;
use foldhaven_gateway::peer_message::PeerMessage;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::experiment::TellingWay;
use super::trial::StartPlan;

/// Those who ask for all again do so in every second round of half a second.
const ASKING_ROUNDS: u32 = 2;

/// What happens at a moment.
#[derive(Debug, Clone)]
pub(super) enum StartEvent {
    /// A VM starts, in a new lifetime.
    Start(usize),
    /// A VM is killed.
    Kill(usize),
    /// The next round of a lifetime.
    Round(usize, u64),
    /// A message arrives.
    Arrive(usize, Box<PeerMessage>),
}

/// One VM of the simulation.
pub(super) struct StartVm {
    pub name: VmName,
    pub region: RegionName,
    /// Nothing while it is down.
    pub table: Option<PeerTable>,
    started: u64,
    incarnation: u64,
    sequence: u32,
}

/// Which VMs cannot reach each other, and when.
#[derive(Debug, Clone)]
pub(super) struct LinkCut {
    /// Milliseconds since the beginning.
    pub from: u64,
    pub until: u64,
    /// The VMs on one side; one way only messages from it are lost.
    pub side: BTreeSet<usize>,
    pub is_one_way: bool,
}

/// The VMs of one play, what is to happen, and the time.
pub(super) struct StartWorld {
    pub rng: SmallRng,
    pub vms: Vec<StartVm>,
    by_address: BTreeMap<SocketAddr, usize>,
    seeds: Vec<SocketAddr>,
    /// When events are due, the order of those due at one moment, and where they are held.
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    held: Vec<Option<StartEvent>>,
    /// Microseconds since the beginning.
    now: u64,
    loss: f64,
    pub cuts: Vec<LinkCut>,
    way: TellingWay,
    /// How many messages were sent, and their bytes without the headers of their datagrams.
    pub sent: u64,
    pub bytes: u64,
    /// Whether bytes are counted: writing each message costs half of the time of a play.
    pub counts_bytes: bool,
}

impl StartWorld {
    /// The VMs of a plan, all down; the first of each region is a seed.
    pub fn new(seed: u64, plan: &StartPlan) -> Self {
        let StartPlan { vms, regions, loss, way, .. } = *plan;
        let region = |at: usize| format!("region-{}", at % regions).parse().expect("it is a name");
        let names = (0..vms).map(|at| (format!("vm-{at}"), region(at)));
        let vms: Vec<StartVm> = names
            .map(|(name, region)| StartVm {
                name: name.parse().expect("it is a name"),
                region,
                table: None,
                started: 0,
                incarnation: 0,
                sequence: 0,
            })
            .collect();
        let addresses = vms.iter().enumerate();
        let by_address: BTreeMap<SocketAddr, usize> =
            addresses.map(|(at, _)| (address_of(at), at)).collect();
        let seeds = (0..regions.min(vms.len())).map(address_of).collect();
        let rng = SmallRng::seed_from_u64(seed);
        let (events, held) = (BinaryHeap::new(), Vec::new());
        Self {
            rng,
            vms,
            by_address,
            seeds,
            events,
            held,
            now: 0,
            loss,
            cuts: Vec::new(),
            way,
            sent: 0,
            bytes: 0,
            counts_bytes: false,
        }
    }

    pub fn plan(&mut self, micros: u64, event: StartEvent) {
        let number = self.held.len();
        self.held.push(Some(event));
        self.events.push(Reverse((micros, number as u64, number)));
    }

    fn time(&self) -> MonoTime {
        MonoTime::from_millis(1_000_000) + Duration::from_micros(self.now)
    }

    pub fn run_until(&mut self, millis: u64) {
        let end = millis * 1_000;
        while let Some(Reverse((micros, _, number))) = self.events.peek().copied() {
            if micros > end {
                break;
            }
            self.events.pop();
            self.now = micros;
            let event = self.held[number].take().expect("each event comes once");
            self.play(event);
        }
        self.now = end;
    }

    fn play(&mut self, event: StartEvent) {
        match event {
            StartEvent::Start(vm) => self.start(vm),
            StartEvent::Kill(vm) => self.vms[vm].table = None,
            StartEvent::Round(vm, incarnation) => self.round(vm, incarnation),
            StartEvent::Arrive(vm, message) => self.arrive(vm, *message),
        }
    }

    fn start(&mut self, vm: usize) {
        let started = self.now;
        let vm_state = &mut self.vms[vm];
        vm_state.incarnation = started / 1_000 + 1;
        vm_state.started = started;
        vm_state.sequence = 0;
        let incarnation = vm_state.incarnation;
        vm_state.table = Some(new_table(vm_state));
        self.plan(started + micros(LEARNING_INTERVAL), StartEvent::Round(vm, incarnation));
    }

    fn own_beat(&self, vm: usize) -> PeerHeartbeat {
        let StartVm { name, region, sequence, .. } = &self.vms[vm];
        let table = self.vms[vm].table.as_ref().expect("it is up");
        let address = address_of(vm);
        PeerHeartbeat {
            vm: name.clone(),
            incarnation: table.incarnation(),
            sequence: *sequence,
            data_centre: centre_of(region),
            region: region.clone(),
            cores: CoreShare::ONE,
            caller: address,
            peer: address,
            phase: PeerPhase::Serving,
            version: RouteVersion(1),
            revision: 1,
            is_turned_away: false,
        }
    }

    fn round(&mut self, vm: usize, incarnation: u64) {
        let now = self.time();
        let vm_state = &mut self.vms[vm];
        if vm_state.table.is_none() || vm_state.incarnation != incarnation {
            return;
        }
        vm_state.sequence += 1;
        let is_learning = self.now - vm_state.started < micros(LEARNING_TIME);
        let own = self.own_beat(vm);
        let seeds: Vec<SocketAddr> =
            self.seeds.iter().copied().filter(|seed| *seed != own.peer).collect();
        let table = self.vms[vm].table.as_mut().expect("it is up");
        if self.way == TellingWay::AskingAgain && own.sequence.is_multiple_of(ASKING_ROUNDS) {
            table.request_all_again();
        }
        let call = RoundInput { own: own.clone(), seeds, is_to_all: false };
        let beats = table.plan_round(call, now);
        let targets = match self.way {
            TellingWay::Views => table.view_targets(&beats, is_learning, now),
            TellingWay::Heartbeats | TellingWay::AskingAgain => Vec::new(),
        };
        let pause = table.round_interval(is_learning, now);
        let notice = ViewDigest {
            vm: VmTag::of(&own.vm),
            incarnation: own.incarnation,
            region: RegionTag::of(&own.region),
            digest: table.region_digest(now),
            known: table.known_counts(),
        };
        beats.into_iter().for_each(|(to, beat)| self.send(vm, to, PeerMessage::Beat(beat)));
        targets.into_iter().for_each(|to| self.send(vm, to, PeerMessage::View(notice)));
        let late = self.rng.random_range(0..2_000);
        self.plan(self.now + micros(pause) + late, StartEvent::Round(vm, incarnation));
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: PeerMessage) {
        let to = self.by_address[&to];
        self.sent += 1;
        if self.counts_bytes {
            self.bytes += message.bytes().map_or(0, |bytes| bytes.len() as u64);
        }
        let is_cut = self.cuts.iter().any(|cut| {
            let is_now = (cut.from..cut.until).contains(&(self.now / 1_000));
            let crosses = cut.side.contains(&from) != cut.side.contains(&to);
            is_now && crosses && (!cut.is_one_way || cut.side.contains(&from))
        });
        if is_cut || self.rng.random_bool(self.loss) {
            return;
        }
        let way = match self.vms[from].region == self.vms[to].region {
            true => self.rng.random_range(100..1_500),
            false => self.rng.random_range(50_000..60_000),
        };
        self.plan(self.now + way, StartEvent::Arrive(to, Box::new(message)));
    }

    fn arrive(&mut self, vm: usize, message: PeerMessage) {
        let now = self.time();
        if self.vms[vm].table.is_none() {
            return;
        }
        let own = self.own_beat(vm);
        let table = self.vms[vm].table.as_mut().expect("it is up");
        match message {
            PeerMessage::Beat(message) => {
                table.apply_message(&message, now);
                let replies = table.reply_to(&message, &own, now);
                replies
                    .into_iter()
                    .for_each(|(to, beat)| self.send(vm, to, PeerMessage::Beat(beat)));
            }
            PeerMessage::View(notice) => {
                if let ViewAnswer::List(to, list) = table.apply_view_digest(&notice, now) {
                    self.send(vm, to, PeerMessage::ViewList(list));
                }
            }
            PeerMessage::ViewList(list) => {
                let replies = table.apply_view_list(&list, &own, now);
                replies
                    .into_iter()
                    .for_each(|(to, beat)| self.send(vm, to, PeerMessage::Beat(beat)));
            }
            _ => {}
        }
    }

    /// The VMs that are up and do not hold exactly those of their region to live that are up.
    pub fn strangers(&self) -> Vec<String> {
        let now = self.time();
        let is_up = |vm: &&StartVm| vm.table.is_some();
        let mut strangers = Vec::new();
        for vm in self.vms.iter().filter(is_up) {
            let near = self.vms.iter().filter(is_up).filter(|other| other.region == vm.region);
            let wanted: BTreeSet<&VmName> =
                near.map(|other| &other.name).filter(|name| **name != vm.name).collect();
            let table = vm.table.as_ref().expect("it is up");
            let known: BTreeSet<&VmName> = table.live_local(now).map(|beat| &beat.vm).collect();
            if !wanted.is_subset(&known) {
                let lacked: Vec<&&VmName> = wanted.difference(&known).take(3).collect();
                strangers.push(format!("{} lacks {lacked:?}", vm.name));
            }
        }
        strangers
    }
}

fn micros(span: Duration) -> u64 {
    span.as_micros() as u64
}

fn new_table(vm_state: &StartVm) -> PeerTable {
    let own = OwnVm {
        vm: vm_state.name.clone(),
        data_centre: centre_of(&vm_state.region),
        region: vm_state.region.clone(),
        cores: CoreShare::ONE,
    };
    PeerTable::new(own, IncarnationId(vm_state.incarnation))
}

fn centre_of(region: &RegionName) -> DataCentreName {
    format!("{region}-hall").parse().expect("it is a name")
}

fn address_of(vm: usize) -> SocketAddr {
    SocketAddr::from(([127, 9, (vm >> 8) as u8, vm as u8], 7_660))
}
