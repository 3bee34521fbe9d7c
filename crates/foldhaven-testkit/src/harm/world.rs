//! The events of the simulation, in the order of their time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;

use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::request_fingerprint::{FingerprintParts, RequestFingerprint};
use foldhaven_core::opaque::suspects::{
    InFlightId, PROBE_EXITS, REFUSE_EXITS, RecordSource, SuspectRecord, SuspectVerdict,
};
use foldhaven_core::time::MonoTime;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};

use super::engine::MortalEngine;
use super::plan::{HarmOutcome, HarmPlan, TellPolicy};
use super::telling::REPEAT_INTERVAL;
use super::vm::HarmVm;

/// From the beginning of a deadly request to the end of its engine.
const DYING_TIME: Duration = Duration::from_millis(80);
/// From an end to the next start.
const DOWN_TIME: Duration = Duration::from_secs(3);
/// After a loss of power all is back in this time.
const DARK_TIME: Duration = Duration::from_millis(1_500);
/// One way inside a region, with what a small VM takes to act.
pub(super) const NEAR_DELAY: Duration = Duration::from_millis(3);
/// A caller whose request was lost comes back once after this.
const BACK_AFTER: Duration = Duration::from_millis(200);
/// How many VMs and engines a request tries at most.
const MOST_TRIES: usize = 4;
const MOST_ATTEMPTS: u32 = 2;
/// How many popular bodies there are.
const POPULAR_BODIES: usize = 20;
/// From so long after its third end on a body is counted as sent late.
const KNOWN_AFTER: Duration = Duration::from_secs(2);

/// Something that happens.
#[derive(Debug, Clone)]
pub(super) enum HarmEvent {
    Innocent,
    Deadly { body: usize },
    Arrive { request: usize },
    Finish { request: usize, life: u32 },
    EndUnder { request: usize, life: u32 },
    Broke { request: usize },
    Probe { vm: usize, engine: usize, life: u32 },
    StartEngine { engine: usize },
    StartVm { vm: usize },
    Crash,
    LosePower,
    Hear { vm: usize, from: usize, records: Vec<SuspectRecord> },
    TellShared { vm: usize },
    Repeat { vm: usize },
    ComeBack { request: usize },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Deadly(usize),
    Innocent { has_come_back: bool },
}

struct HarmRequest {
    kind: Kind,
    print: RequestFingerprint,
    vm: usize,
    engine: usize,
    life: u32,
    guest: Option<InFlightId>,
    attempts: u32,
    is_trial: bool,
}

/// VMs, engines and what is on its way.
pub(super) struct World {
    pub(super) plan: HarmPlan,
    pub(super) policy: TellPolicy,
    pub(super) random: StdRng,
    pub(super) now: MonoTime,
    queue: BinaryHeap<Reverse<(MonoTime, u64)>>,
    events: HashMap<u64, HarmEvent>,
    scheduled: u64,
    pub(super) vms: Vec<HarmVm>,
    engines: Vec<MortalEngine>,
    requests: Vec<HarmRequest>,
    deadly_ends: Vec<Vec<MonoTime>>,
    deadly_sends: Vec<Vec<MonoTime>>,
    /// What each VM told in each second.
    pub(super) told: BTreeMap<(usize, u64), usize>,
    innocent: usize,
    held_back: usize,
    lost: usize,
}

/// Plays one policy with one seed.
pub fn play(plan: HarmPlan, policy: TellPolicy, seed: u64) -> HarmOutcome {
    let mut world = World::new(plan, policy, seed);
    world.begin();
    world.run();
    world.outcome(seed)
}

fn print_of(body: &str) -> RequestFingerprint {
    let parts =
        FingerprintParts { host: "desk", method: "POST", target: "/x", body: body.as_bytes() };
    RequestFingerprint::of(&parts)
}

impl World {
    fn new(plan: HarmPlan, policy: TellPolicy, seed: u64) -> Self {
        Self {
            plan,
            policy,
            random: StdRng::seed_from_u64(seed),
            now: MonoTime::from_millis(1_000_000),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            scheduled: 0,
            vms: (0..plan.vms).map(|vm| HarmVm::new(vm, vm % plan.regions)).collect(),
            engines: (0..plan.engines).map(|_| MortalEngine::default()).collect(),
            requests: Vec::new(),
            deadly_ends: vec![Vec::new(); plan.deadly],
            deadly_sends: vec![Vec::new(); plan.deadly],
            told: BTreeMap::new(),
            innocent: 0,
            held_back: 0,
            lost: 0,
        }
    }

    fn begin(&mut self) {
        self.schedule(Duration::ZERO, HarmEvent::Innocent);
        for body in 0..self.plan.deadly {
            let at = self.plan.deadly_from + self.plan.deadly_pause.mul_f64(self.random.random());
            self.schedule(at, HarmEvent::Deadly { body });
        }
        self.schedule(self.plan.crash_at, HarmEvent::Crash);
        self.schedule(self.plan.loss_at, HarmEvent::LosePower);
        for vm in 0..self.plan.vms {
            let at = REPEAT_INTERVAL.mul_f64(self.random.random());
            self.schedule(at, HarmEvent::Repeat { vm });
        }
    }

    pub(super) fn schedule(&mut self, after: Duration, event: HarmEvent) {
        self.scheduled += 1;
        self.queue.push(Reverse((self.now + after, self.scheduled)));
        self.events.insert(self.scheduled, event);
    }

    fn run(&mut self) {
        let end = self.now + self.plan.length;
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at >= end {
                return;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.act(event);
            }
        }
    }

    fn act(&mut self, event: HarmEvent) {
        match event {
            HarmEvent::Innocent => self.send_innocent(),
            HarmEvent::Deadly { body } => self.send_deadly(body),
            HarmEvent::Arrive { request } => self.arrive(request),
            HarmEvent::Finish { request, life } => self.finish(request, life),
            HarmEvent::EndUnder { request, life } => self.end_under(request, life),
            HarmEvent::Broke { request } => self.note_broke(request),
            HarmEvent::Probe { vm, engine, life } => self.probe(vm, engine, life),
            HarmEvent::StartEngine { engine } => self.engines[engine].start(),
            HarmEvent::StartVm { vm } => self.start_vm(vm),
            HarmEvent::Crash => self.crash(),
            HarmEvent::LosePower => self.lose_power(),
            HarmEvent::Hear { vm, from, records } => self.hear(vm, from, &records),
            HarmEvent::TellShared { vm } => {
                let news = self.vms[vm].table.take_shared_updates();
                self.tell(vm, &news);
            }
            HarmEvent::Repeat { vm } => self.repeat(vm),
            HarmEvent::ComeBack { request } => {
                let print = self.requests[request].print;
                self.send(Kind::Innocent { has_come_back: true }, print);
            }
        }
    }

    fn send_innocent(&mut self) {
        let pause = Exp::new(self.plan.rate).expect("a positive rate").sample(&mut self.random);
        self.schedule(Duration::from_secs_f64(pause), HarmEvent::Innocent);
        self.innocent += 1;
        let body = match self.random.random_bool(self.plan.popular) {
            true => format!("popular-{}", self.random.random_range(0..POPULAR_BODIES)),
            false => format!("other-{}", self.innocent),
        };
        self.send(Kind::Innocent { has_come_back: false }, print_of(&body));
    }

    fn send_deadly(&mut self, body: usize) {
        self.schedule(self.plan.deadly_pause, HarmEvent::Deadly { body });
        self.send(Kind::Deadly(body), print_of(&format!("deadly-{body}")));
    }

    /// Sends a request to some VM that is up.
    fn send(&mut self, kind: Kind, print: RequestFingerprint) {
        let vm = loop {
            let vm = self.random.random_range(0..self.vms.len());
            if !self.vms[vm].is_down {
                break vm;
            }
        };
        let (engine, life) = (0, 0);
        let request = HarmRequest {
            kind,
            print,
            vm,
            engine,
            life,
            guest: None,
            attempts: 0,
            is_trial: false,
        };
        self.requests.push(request);
        self.place(self.requests.len() - 1);
    }

    /// Sends a request on to an engine, or refuses it.
    fn place(&mut self, request: usize) {
        let HarmRequest { print, vm, is_trial, .. } = self.requests[request];
        if self.vms[vm].is_down {
            return self.lose(request);
        }
        if !is_trial && self.policy != TellPolicy::Nothing {
            match self.vms[vm].table.decide(&print, self.now) {
                SuspectVerdict::Allowed => {}
                SuspectVerdict::Probe => self.requests[request].is_trial = true,
                SuspectVerdict::Refused { .. } => return self.hold_back(request),
            }
            self.tell_news(vm);
        }
        match self.choose(vm) {
            Some(engine) => {
                let life = self.engines[engine].life;
                let guests = self.vms[vm].guests.entry((engine, life)).or_default();
                let guest = guests.insert(print);
                let placed = &mut self.requests[request];
                placed.attempts += 1;
                (placed.engine, placed.life, placed.guest) = (engine, life, Some(guest));
                self.schedule(NEAR_DELAY, HarmEvent::Arrive { request });
            }
            None => {
                self.end_trial(request);
                self.lose(request);
            }
        }
    }

    /// The less loaded of two engines of the region; those that are down are met and left alone.
    fn choose(&mut self, vm: usize) -> Option<usize> {
        let region = self.vms[vm].region;
        let near = (region..self.plan.engines).step_by(self.plan.regions);
        let trusted: Vec<usize> = near.filter(|it| self.vms[vm].trusts(*it, self.now)).collect();
        for _ in 0..MOST_TRIES {
            let mut draw = || trusted.get(self.random.random_range(0..trusted.len().max(1)));
            let (first, second) = (*draw()?, *draw()?);
            let load = |engine: usize| self.engines[engine].load();
            let engine = if load(first) <= load(second) { first } else { second };
            if !self.engines[engine].is_down {
                return Some(engine);
            }
            self.vms[vm].eject(engine, self.now);
        }
        None
    }

    fn arrive(&mut self, request: usize) {
        let HarmRequest { kind, engine, life, .. } = self.requests[request];
        let at = &mut self.engines[engine];
        if at.is_down || at.life != life {
            return self.note_broke(request);
        }
        let (has_room, begins) = at.take(request, self.plan.slots, self.plan.places);
        if let (Kind::Deadly(body), true) = (kind, has_room) {
            self.deadly_sends[body].push(self.now);
        }
        if !has_room {
            self.leave_harmless(request);
            self.end_trial(request);
            return self.lose(request);
        }
        if begins {
            self.start_work(request);
        }
    }

    fn start_work(&mut self, request: usize) {
        let HarmRequest { kind, life, vm, engine, print, is_trial, .. } = self.requests[request];
        let is_called_back = !is_trial && self.vms[vm].table.exit_count(&print) >= REFUSE_EXITS;
        if is_called_back {
            if let Some(next) = self.engines[engine].finish(request) {
                self.start_work(next);
            }
            return self.hold_back(request);
        }
        match kind {
            Kind::Deadly(_) => self.schedule(DYING_TIME, HarmEvent::EndUnder { request, life }),
            Kind::Innocent { .. } => {
                let rate = 1.0 / self.plan.work.as_secs_f64();
                let work = Exp::new(rate).expect("a positive rate").sample(&mut self.random);
                let after = Duration::from_secs_f64(work);
                self.schedule(after, HarmEvent::Finish { request, life });
            }
        }
    }

    fn finish(&mut self, request: usize, life: u32) {
        let HarmRequest { engine, vm, print, .. } = self.requests[request];
        if self.engines[engine].is_down || self.engines[engine].life != life {
            return;
        }
        if let Some(next) = self.engines[engine].finish(request) {
            self.start_work(next);
        }
        self.leave_harmless(request);
        if !self.vms[vm].is_down && self.policy != TellPolicy::Nothing {
            self.vms[vm].table.record_success(print, self.now);
            self.tell_news(vm);
        }
    }

    fn end_under(&mut self, request: usize, life: u32) {
        let HarmRequest { engine, kind, .. } = self.requests[request];
        if self.engines[engine].is_down || self.engines[engine].life != life {
            return;
        }
        if let Kind::Deadly(body) = kind {
            self.deadly_ends[body].push(self.now);
        }
        self.end_engine(engine, DOWN_TIME);
    }

    fn end_engine(&mut self, engine: usize, down: Duration) {
        if self.engines[engine].is_down {
            return;
        }
        for request in self.engines[engine].end() {
            self.schedule(NEAR_DELAY, HarmEvent::Broke { request });
        }
        self.schedule(down, HarmEvent::StartEngine { engine });
    }

    /// A connection ended under a request.
    fn note_broke(&mut self, request: usize) {
        let HarmRequest { vm, engine, life, guest, print, attempts, is_trial, .. } =
            self.requests[request];
        if self.vms[vm].is_down {
            return self.lose(request);
        }
        let now = self.now;
        let at = &mut self.vms[vm];
        at.eject(engine, now);
        if let Some(guest) = guest {
            at.guests.entry((engine, life)).or_default().remove(guest, now);
        }
        self.schedule(NEAR_DELAY, HarmEvent::Probe { vm, engine, life });
        let ends = self.vms[vm].table.exit_count(&print);
        if attempts < MOST_ATTEMPTS && !is_trial && ends < PROBE_EXITS {
            return self.place(request);
        }
        self.lose(request);
    }

    /// A VM finds an engine ended.
    fn probe(&mut self, vm: usize, engine: usize, life: u32) {
        let is_alive = !self.engines[engine].is_down && self.engines[engine].life == life;
        if is_alive || self.vms[vm].is_down || self.policy == TellPolicy::Nothing {
            return;
        }
        let now = self.now;
        let Some(mut guests) = self.vms[vm].guests.remove(&(engine, life)) else { return };
        let tag = UpstreamTag(u32::try_from(engine).expect("few engines") << 16 | life);
        for print in guests.take_affected(now) {
            self.vms[vm].table.record_exit(print, tag, now);
        }
        self.tell_news(vm);
    }

    fn crash(&mut self) {
        for engine in 0..self.plan.engines {
            if self.random.random_bool(0.25) {
                self.end_engine(engine, DOWN_TIME);
            }
        }
    }

    /// The VMs and engines of the first region go at once, and come back.
    fn lose_power(&mut self) {
        for engine in (0..self.plan.engines).step_by(self.plan.regions) {
            self.end_engine(engine, DARK_TIME);
        }
        for vm in (0..self.plan.vms).step_by(self.plan.regions) {
            self.vms[vm].is_down = true;
            self.schedule(DARK_TIME, HarmEvent::StartVm { vm });
        }
    }

    /// A VM starts with nothing, and asks one of another region, as all of its own do the same.
    fn start_vm(&mut self, vm: usize) {
        let region = self.vms[vm].region;
        self.vms[vm] = HarmVm::new(vm, region);
        if self.policy != TellPolicy::Joined {
            return;
        }
        let asked = (vm + 1) % self.plan.vms;
        let records = self.vms[asked].table.startup_records();
        self.vms[vm].is_down = true;
        let now = self.now;
        for record in &records {
            // What the table itself made is sound.
            let _ = self.vms[vm].table.merge_record(record, RecordSource::Remote, now);
        }
        self.vms[vm].is_down = false;
    }

    fn leave_harmless(&mut self, request: usize) {
        let HarmRequest { vm, engine, life, guest, .. } = self.requests[request];
        if let (Some(guest), Some(guests)) = (guest, self.vms[vm].guests.get_mut(&(engine, life))) {
            guests.remove_harmless(guest);
        }
    }

    fn end_trial(&mut self, request: usize) {
        let HarmRequest { vm, print, is_trial, .. } = self.requests[request];
        if is_trial {
            let now = self.now;
            self.vms[vm].table.finish_probe(&print, false, now);
        }
    }

    fn hold_back(&mut self, request: usize) {
        if let Kind::Innocent { .. } = self.requests[request].kind {
            self.held_back += 1;
        }
        self.lose(request);
    }

    /// A request was not served; its caller comes back once.
    fn lose(&mut self, request: usize) {
        match self.requests[request].kind {
            Kind::Deadly(_) => {}
            Kind::Innocent { has_come_back: true } => self.lost += 1,
            Kind::Innocent { has_come_back: false } => {
                self.schedule(BACK_AFTER, HarmEvent::ComeBack { request });
            }
        }
    }

    fn outcome(&self, seed: u64) -> HarmOutcome {
        let late = |body: usize| {
            let Some(third) = self.deadly_ends[body].get(2) else { return 0 };
            let known = *third + KNOWN_AFTER;
            self.deadly_sends[body].iter().filter(|at| **at > known).count()
        };
        let bytes: usize = self.told.values().sum();
        HarmOutcome {
            policy: self.policy,
            seed,
            ends: self.deadly_ends.iter().map(Vec::len).sum(),
            late_sends: (0..self.plan.deadly).map(late).max().unwrap_or_default(),
            innocent: self.innocent,
            held_back: self.held_back,
            lost: self.lost,
            bytes_per_s: bytes as f64 / self.plan.vms as f64 / self.plan.length.as_secs_f64(),
            most_bytes: self.told.values().max().copied().unwrap_or_default(),
        }
    }
}
