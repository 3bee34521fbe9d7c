//! VMs that start in any order learn of each other, by the code that the daemon runs, in simulated time.
//!
//! Three VMs of a region whose first one started last knew only that one, for as long as they lived: a process asked one VM
//! for all others, once, and nobody repeats in a small region what others said. Shares of limits were divided by what each
//! knew. Drawn here: starts within 50 ms, one after another, half of the VMs killed and back, a region at once,
//! messages lost, and cuts within a region that heal.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use foldhaven_core::ids::VmName;
use foldhaven_core::opaque::peer_table::{
    BeatMessage, LEARNING_INTERVAL, LEARNING_TIME, PeerBeat, PeerTable, RegionTag, RoundCall,
    ViewAnswer, ViewList, ViewNotice, VmTag,
};
use foldhaven_core::time::MonoTime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::opaque_support::{at, beat, region_table};

/// So long after the last start or the heal each VM is to know all of its region.
const COMPLETE_AFTER: u64 = 2_000;
const REGIONS: [&str; 3] = ["north", "south", "east"];

#[derive(Debug, Clone)]
enum Message {
    Beat(BeatMessage),
    View(ViewNotice),
    List(ViewList),
}

#[derive(Debug, Clone)]
enum Event {
    /// A VM starts, in a new lifetime.
    Start(usize),
    /// A VM is killed.
    Kill(usize),
    /// The next round of a lifetime.
    Round(usize, u64),
    /// A message arrives.
    Arrive(usize, Box<Message>),
}

/// One VM of the simulation.
struct SimVm {
    name: VmName,
    region: &'static str,
    /// Nothing while it is down.
    table: Option<PeerTable>,
    started: u64,
    incarnation: u64,
    sequence: u32,
}

/// Which VMs cannot reach each other, and when.
#[derive(Debug, Clone)]
struct Cut {
    from: u64,
    until: u64,
    side: BTreeSet<usize>,
    is_one_way: bool,
}

struct Sim {
    rng: SmallRng,
    vms: Vec<SimVm>,
    by_address: BTreeMap<SocketAddr, usize>,
    seeds: Vec<SocketAddr>,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    held: Vec<Option<Event>>,
    now: u64,
    loss: f64,
    cuts: Vec<Cut>,
    sent: u64,
}

impl Sim {
    /// So many VMs of a region of so many regions; the first of each region is a seed.
    fn new(seed: u64, vms: usize, regions: usize, loss: f64) -> Self {
        let names = (0..vms).map(|at| (format!("vm-{at}"), REGIONS[at % regions]));
        let vms: Vec<SimVm> = names
            .map(|(name, region)| SimVm {
                name: name.parse().unwrap(),
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
        Self { rng, vms, by_address, seeds, events, held, now: 0, loss, cuts: Vec::new(), sent: 0 }
    }

    fn plan(&mut self, micros: u64, event: Event) {
        let number = self.held.len();
        self.held.push(Some(event));
        self.events.push(Reverse((micros, number as u64, number)));
    }

    fn time(&self) -> MonoTime {
        at(0) + Duration::from_micros(self.now)
    }

    fn run_until(&mut self, millis: u64) {
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

    fn play(&mut self, event: Event) {
        match event {
            Event::Start(vm) => self.start(vm),
            Event::Kill(vm) => self.vms[vm].table = None,
            Event::Round(vm, incarnation) => self.round(vm, incarnation),
            Event::Arrive(vm, message) => self.arrive(vm, *message),
        }
    }

    fn start(&mut self, vm: usize) {
        let started = self.now;
        let sim_vm = &mut self.vms[vm];
        sim_vm.incarnation = started / 1_000 + 1;
        sim_vm.started = started;
        sim_vm.sequence = 0;
        let incarnation = sim_vm.incarnation;
        sim_vm.table = Some(region_table(sim_vm.name.as_str(), incarnation, sim_vm.region));
        self.plan(started + micros(LEARNING_INTERVAL), Event::Round(vm, incarnation));
    }

    fn own_beat(&self, vm: usize) -> PeerBeat {
        let SimVm { name, region, sequence, .. } = &self.vms[vm];
        let table = self.vms[vm].table.as_ref().expect("it is up");
        let address = address_of(vm);
        PeerBeat {
            incarnation: table.incarnation(),
            peer: address,
            caller: address,
            ..beat(name.as_str(), region, *sequence)
        }
    }

    fn round(&mut self, vm: usize, incarnation: u64) {
        let now = self.time();
        let sim_vm = &mut self.vms[vm];
        if sim_vm.table.is_none() || sim_vm.incarnation != incarnation {
            return;
        }
        sim_vm.sequence += 1;
        let is_learning = self.now - sim_vm.started < micros(LEARNING_TIME);
        let own = self.own_beat(vm);
        let seeds: Vec<SocketAddr> =
            self.seeds.iter().copied().filter(|seed| *seed != own.peer).collect();
        let table = self.vms[vm].table.as_mut().expect("it is up");
        let call = RoundCall { own: own.clone(), seeds, is_to_all: false };
        let beats = table.plan_round(call, now);
        let targets = table.view_targets(&beats, is_learning, now);
        let pause = table.round_pause(is_learning, now);
        let notice = ViewNotice {
            vm: VmTag::of(&own.vm),
            incarnation: own.incarnation,
            region: RegionTag::of(&own.region),
            lives: table.region_digest(now),
            known: table.known_counts(),
        };
        beats.into_iter().for_each(|(to, beat)| self.send(vm, to, Message::Beat(beat)));
        targets.into_iter().for_each(|to| self.send(vm, to, Message::View(notice)));
        let late = self.rng.random_range(0..2_000);
        self.plan(self.now + micros(pause) + late, Event::Round(vm, incarnation));
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let to = self.by_address[&to];
        self.sent += 1;
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
        self.plan(self.now + way, Event::Arrive(to, Box::new(message)));
    }

    fn arrive(&mut self, vm: usize, message: Message) {
        let now = self.time();
        if self.vms[vm].table.is_none() {
            return;
        }
        let own = self.own_beat(vm);
        let table = self.vms[vm].table.as_mut().expect("it is up");
        match message {
            Message::Beat(message) => {
                table.take_message(&message, now);
                let replies = table.reply_to(&message, &own, now);
                replies.into_iter().for_each(|(to, beat)| self.send(vm, to, Message::Beat(beat)));
            }
            Message::View(notice) => {
                if let ViewAnswer::List(to, list) = table.take_view(&notice, now) {
                    self.send(vm, to, Message::List(list));
                }
            }
            Message::List(list) => {
                let replies = table.take_list(&list, &own, now);
                replies.into_iter().for_each(|(to, beat)| self.send(vm, to, Message::Beat(beat)));
            }
        }
    }

    /// The VMs that are up and do not hold exactly those of their region to live that are up.
    fn strangers(&self) -> Vec<String> {
        let now = self.time();
        let is_up = |vm: &&SimVm| vm.table.is_some();
        let mut strangers = Vec::new();
        for vm in self.vms.iter().filter(is_up) {
            let near = self.vms.iter().filter(is_up).filter(|other| other.region == vm.region);
            let wanted: BTreeSet<&VmName> =
                near.map(|other| &other.name).filter(|name| **name != vm.name).collect();
            let table = vm.table.as_ref().expect("it is up");
            let known: BTreeSet<&VmName> = table.near(now).map(|beat| &beat.vm).collect();
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

fn address_of(vm: usize) -> SocketAddr {
    SocketAddr::from(([127, 9, (vm >> 8) as u8, vm as u8], 7_660))
}

/// How VMs start.
#[derive(Debug, Clone, Copy)]
enum Start {
    /// All within 50 ms.
    Together,
    /// One after another, a drawn pause of up to 300 ms between.
    Apart,
    /// The seeds 40 ms after all others.
    SeedsLast,
    /// Half of them killed after 4 s and back 0.1 to 1 s later.
    HalfBack,
    /// A region starts 3 s after the others.
    RegionLater,
    /// Two halves of each region are cut from each other from the start on, for 5 s; one direction in half of the plays.
    Cut,
}

/// Plays one start. Returns who does not know all of its region two seconds after the last start or the heal.
fn play(seed: u64, vms: usize, loss: f64, start: Start) -> Vec<String> {
    let regions = if vms < 8 { 1 } else { REGIONS.len() };
    let mut sim = Sim::new(seed, vms, regions, loss);
    let mut last = 0;
    for vm in 0..vms {
        let moment = match start {
            Start::Apart => last + sim.rng.random_range(0..300_000 / vms.min(30) as u64),
            Start::SeedsLast if vm < regions => 40_000,
            Start::RegionLater if vm % regions == 0 => 3_000_000 + sim.rng.random_range(0..50_000),
            _ => sim.rng.random_range(0..50_000),
        };
        last = last.max(moment);
        sim.plan(moment, Event::Start(vm));
    }
    if let Start::HalfBack = start {
        for vm in (0..vms).filter(|vm| vm % 2 == (seed % 2) as usize) {
            let back = 4_000_000 + sim.rng.random_range(100_000..1_000_000);
            sim.plan(4_000_000, Event::Kill(vm));
            sim.plan(back, Event::Start(vm));
            last = last.max(back);
        }
    }
    if let Start::Cut = start {
        let side = (0..vms).filter(|vm| (vm / regions).is_multiple_of(2)).collect();
        let is_one_way = seed.is_multiple_of(2);
        sim.cuts.push(Cut { from: 0, until: 5_000, side, is_one_way });
        last = 5_000_000;
    }
    sim.run_until(last / 1_000 + COMPLETE_AFTER);
    sim.strangers()
}

/// How many starts of each kind are played: some by themselves, others by hand.
fn plays(usual: u64) -> u64 {
    std::env::var("START_PLAYS").ok().and_then(|plays| plays.parse().ok()).unwrap_or(usual)
}

#[rstest]
fn vms_that_start_know_their_region_soon(
    #[values(
        Start::Together,
        Start::Apart,
        Start::SeedsLast,
        Start::HalfBack,
        Start::RegionLater,
        Start::Cut
    )]
    start: Start,
    #[values((4, 60), (9, 60), (60, 4), (295, 1))] size: (usize, u64),
    #[values(0.0, 0.05)] loss: f64,
) {
    let (vms, usual) = size;
    let plays = plays(usual);
    let failed: Vec<String> = (0..plays)
        .filter_map(|seed| {
            let strangers = play(seed, vms, loss, start);
            let few = strangers.iter().take(2).cloned().collect::<Vec<String>>().join("; ");
            (!strangers.is_empty())
                .then(|| format!("seed {seed}: {} of {vms}: {few}", strangers.len()))
        })
        .collect();
    let few = failed.iter().take(4).collect::<Vec<&String>>();
    assert!(failed.is_empty(), "{} of {plays} starts: {few:#?}", failed.len());
}
