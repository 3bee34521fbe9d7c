//! The VMs of a run, and the messages between them.

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

use super::experiment::DiscoveryMethod;
use super::trial::StartPlan;

/// With [`DiscoveryMethod::AskingAgain`], VMs request all heartbeats in every second round of half
/// a second.
const FULL_REQUEST_ROUNDS: u32 = 2;

/// A scheduled event.
#[derive(Debug, Clone)]
pub(super) enum StartEvent {
    /// A VM starts with a new incarnation.
    Start(usize),
    /// A VM is killed.
    Kill(usize),
    /// The next heartbeat round of an incarnation of a VM.
    Round(usize, u64),
    /// A message arrives.
    Arrive(usize, Box<PeerMessage>),
}

/// The state of one simulated VM.
pub(super) struct StartVm {
    pub name: VmName,
    pub region: RegionName,
    /// `None` while the VM is down.
    pub table: Option<PeerTable>,
    started: u64,
    incarnation: u64,
    sequence: u32,
}

/// VMs that can't reach each other for some time.
#[derive(Debug, Clone)]
pub(super) struct Partition {
    /// Start and end of the partition, in milliseconds since the beginning.
    pub from: u64,
    pub until: u64,
    /// The VMs on one side. If `is_one_way` is set, only messages from these are lost.
    pub side: BTreeSet<usize>,
    pub is_one_way: bool,
}

/// The state of one run.
pub(super) struct StartWorld {
    pub rng: SmallRng,
    pub vms: Vec<StartVm>,
    by_address: BTreeMap<SocketAddr, usize>,
    seeds: Vec<SocketAddr>,
    /// Time of each event in microseconds, its order among events of the same time, and its index
    /// in `pending`.
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    pending: Vec<Option<StartEvent>>,
    /// Microseconds since the beginning.
    now: u64,
    loss: f64,
    pub partitions: Vec<Partition>,
    method: DiscoveryMethod,
    /// Number of messages sent, and their bytes without datagram headers.
    pub sent: u64,
    pub bytes: u64,
    /// Whether bytes are counted. Encoding each message takes half of the time of a run.
    pub counts_bytes: bool,
}

impl StartWorld {
    /// Creates the VMs of a plan, all down. The first VM of each region is a seed VM.
    pub fn new(seed: u64, plan: &StartPlan) -> Self {
        let StartPlan { vms, regions, loss, method, .. } = *plan;
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
        let (events, pending) = (BinaryHeap::new(), Vec::new());
        Self {
            rng,
            vms,
            by_address,
            seeds,
            events,
            pending,
            now: 0,
            loss,
            partitions: Vec::new(),
            method,
            sent: 0,
            bytes: 0,
            counts_bytes: false,
        }
    }

    pub fn schedule(&mut self, micros: u64, event: StartEvent) {
        let number = self.pending.len();
        self.pending.push(Some(event));
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
            let event = self.pending[number].take().expect("each event comes once");
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: StartEvent) {
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
        self.schedule(started + micros(LEARNING_INTERVAL), StartEvent::Round(vm, incarnation));
    }

    fn own_heartbeat(&self, vm: usize) -> PeerHeartbeat {
        let StartVm { name, region, sequence, .. } = &self.vms[vm];
        let table = self.vms[vm].table.as_ref().expect("it is up");
        let address = address_of(vm);
        PeerHeartbeat {
            vm: name.clone(),
            incarnation: table.incarnation(),
            sequence: *sequence,
            data_centre: data_centre_of(region),
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
        let own = self.own_heartbeat(vm);
        let seeds: Vec<SocketAddr> =
            self.seeds.iter().copied().filter(|seed| *seed != own.peer).collect();
        let table = self.vms[vm].table.as_mut().expect("it is up");
        if self.method == DiscoveryMethod::AskingAgain
            && own.sequence.is_multiple_of(FULL_REQUEST_ROUNDS)
        {
            table.request_all_again();
        }
        let input = RoundInput { own: own.clone(), seeds, is_to_all: false };
        let heartbeats = table.plan_round(input, now);
        let targets = match self.method {
            DiscoveryMethod::Views => table.view_targets(&heartbeats, is_learning, now),
            DiscoveryMethod::Heartbeats | DiscoveryMethod::AskingAgain => Vec::new(),
        };
        let interval = table.round_interval(is_learning, now);
        let digest_message = ViewDigest {
            vm: VmTag::of(&own.vm),
            incarnation: own.incarnation,
            region: RegionTag::of(&own.region),
            digest: table.region_digest(now),
            known: table.known_counts(),
        };
        heartbeats
            .into_iter()
            .for_each(|(to, heartbeat)| self.send(vm, to, PeerMessage::Beat(heartbeat)));
        targets.into_iter().for_each(|to| self.send(vm, to, PeerMessage::View(digest_message)));
        let jitter = self.rng.random_range(0..2_000);
        self.schedule(self.now + micros(interval) + jitter, StartEvent::Round(vm, incarnation));
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: PeerMessage) {
        let to = self.by_address[&to];
        self.sent += 1;
        if self.counts_bytes {
            self.bytes += message.bytes().map_or(0, |bytes| bytes.len() as u64);
        }
        let is_lost = self.partitions.iter().any(|partition| {
            let is_now = (partition.from..partition.until).contains(&(self.now / 1_000));
            let crosses = partition.side.contains(&from) != partition.side.contains(&to);
            is_now && crosses && (!partition.is_one_way || partition.side.contains(&from))
        });
        if is_lost || self.rng.random_bool(self.loss) {
            return;
        }
        let delay = match self.vms[from].region == self.vms[to].region {
            true => self.rng.random_range(100..1_500),
            false => self.rng.random_range(50_000..60_000),
        };
        self.schedule(self.now + delay, StartEvent::Arrive(to, Box::new(message)));
    }

    fn arrive(&mut self, vm: usize, message: PeerMessage) {
        let now = self.time();
        if self.vms[vm].table.is_none() {
            return;
        }
        let own = self.own_heartbeat(vm);
        let table = self.vms[vm].table.as_mut().expect("it is up");
        match message {
            PeerMessage::Beat(message) => {
                table.apply_message(&message, now);
                let replies = table.reply_to(&message, &own, now);
                replies
                    .into_iter()
                    .for_each(|(to, heartbeat)| self.send(vm, to, PeerMessage::Beat(heartbeat)));
            }
            PeerMessage::View(digest_message) => {
                if let ViewAnswer::List(to, list) = table.apply_view_digest(&digest_message, now) {
                    self.send(vm, to, PeerMessage::ViewList(list));
                }
            }
            PeerMessage::ViewList(list) => {
                let replies = table.apply_view_list(&list, &own, now);
                replies
                    .into_iter()
                    .for_each(|(to, heartbeat)| self.send(vm, to, PeerMessage::Beat(heartbeat)));
            }
            _ => {}
        }
    }

    /// Returns the running VMs that lack other running VMs of their region, with up to three of
    /// those.
    pub fn incomplete_views(&self) -> Vec<String> {
        let now = self.time();
        let is_up = |vm: &&StartVm| vm.table.is_some();
        let mut incomplete_views = Vec::new();
        for vm in self.vms.iter().filter(is_up) {
            let region_vms =
                self.vms.iter().filter(is_up).filter(|other| other.region == vm.region);
            let expected: BTreeSet<&VmName> =
                region_vms.map(|other| &other.name).filter(|name| **name != vm.name).collect();
            let table = vm.table.as_ref().expect("it is up");
            let known: BTreeSet<&VmName> =
                table.live_local(now).map(|heartbeat| &heartbeat.vm).collect();
            if !expected.is_subset(&known) {
                let missing: Vec<&&VmName> = expected.difference(&known).take(3).collect();
                incomplete_views.push(format!("{} lacks {missing:?}", vm.name));
            }
        }
        incomplete_views
    }
}

fn micros(span: Duration) -> u64 {
    span.as_micros() as u64
}

fn new_table(vm_state: &StartVm) -> PeerTable {
    let own = OwnVm {
        vm: vm_state.name.clone(),
        data_centre: data_centre_of(&vm_state.region),
        region: vm_state.region.clone(),
        cores: CoreShare::ONE,
    };
    PeerTable::new(own, IncarnationId(vm_state.incarnation))
}

fn data_centre_of(region: &RegionName) -> DataCentreName {
    format!("{region}-hall").parse().expect("it is a name")
}

fn address_of(vm: usize) -> SocketAddr {
    SocketAddr::from(([127, 9, (vm >> 8) as u8, vm as u8], 7_660))
}
