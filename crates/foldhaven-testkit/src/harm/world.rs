//! Discrete-event simulation of VMs, engines and requests.

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

use super::engine::SimulatedEngine;
use super::plan::{PoisonOutcome, PoisonPlan, SharingPolicy};
use super::record_exchange::RESEND_INTERVAL;
use super::vm::SimulatedVm;

/// Time from the start of a poison request to the crash of its engine.
const CRASH_DELAY: Duration = Duration::from_millis(80);
/// Time from an engine's crash to its restart.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Time from a power loss to the restart of all VMs and engines.
const POWER_LOSS_TIME: Duration = Duration::from_millis(1_500);
/// One-way delay inside a region, including the processing time of a small VM.
pub(super) const LOCAL_DELAY: Duration = Duration::from_millis(3);
/// Time after which a caller retries a failed request, once.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of draws for an engine that is up, at one VM.
const MAX_ENGINE_DRAWS: usize = 4;
/// Maximum number of times that a VM sends a request to an engine.
const MAX_ATTEMPTS: u32 = 2;
/// Number of popular request bodies.
const POPULAR_BODIES: usize = 20;
/// A poison body that arrives at an engine later than this after its third exit counts as late.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// A scheduled event.
#[derive(Debug, Clone)]
pub(super) enum WorldEvent {
    Innocent,
    Poison { body: usize },
    Arrive { request: usize },
    Finish { request: usize, incarnation: u32 },
    CrashUnder { request: usize, incarnation: u32 },
    ConnectionLost { request: usize },
    DetectExit { vm: usize, engine: usize, incarnation: u32 },
    StartEngine { engine: usize },
    StartVm { vm: usize },
    Crash,
    LosePower,
    ReceiveRecords { vm: usize, from: usize, records: Vec<SuspectRecord> },
    SendSharedUpdates { vm: usize },
    ResendRecords { vm: usize },
    Retry { request: usize },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestKind {
    Poison(usize),
    Innocent { is_retry: bool },
}

struct SimulatedRequest {
    kind: RequestKind,
    fingerprint: RequestFingerprint,
    vm: usize,
    engine: usize,
    incarnation: u32,
    in_flight_id: Option<InFlightId>,
    attempts: u32,
    is_probe: bool,
}

/// The state of a trial.
pub(super) struct World {
    pub(super) plan: PoisonPlan,
    pub(super) policy: SharingPolicy,
    pub(super) random: StdRng,
    pub(super) now: MonoTime,
    queue: BinaryHeap<Reverse<(MonoTime, u64)>>,
    events: HashMap<u64, WorldEvent>,
    scheduled: u64,
    pub(super) vms: Vec<SimulatedVm>,
    engines: Vec<SimulatedEngine>,
    requests: Vec<SimulatedRequest>,
    poison_exits: Vec<Vec<MonoTime>>,
    poison_sends: Vec<Vec<MonoTime>>,
    /// Bytes of records that each VM sent in each second, by VM and second.
    pub(super) sent_bytes: BTreeMap<(usize, u64), usize>,
    innocent: usize,
    quarantined: usize,
    unserved: usize,
}

/// Simulates one policy with one seed.
pub fn run_trial(plan: PoisonPlan, policy: SharingPolicy, seed: u64) -> PoisonOutcome {
    let mut world = World::new(plan, policy, seed);
    world.schedule_first_events();
    world.run();
    world.outcome(seed)
}

fn fingerprint_of(body: &str) -> RequestFingerprint {
    let parts =
        FingerprintParts { host: "desk", method: "POST", target: "/x", body: body.as_bytes() };
    RequestFingerprint::of(&parts)
}

impl World {
    fn new(plan: PoisonPlan, policy: SharingPolicy, seed: u64) -> Self {
        Self {
            plan,
            policy,
            random: StdRng::seed_from_u64(seed),
            now: MonoTime::from_millis(1_000_000),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            scheduled: 0,
            vms: (0..plan.vms).map(|vm| SimulatedVm::new(vm, vm % plan.regions)).collect(),
            engines: (0..plan.engines).map(|_| SimulatedEngine::default()).collect(),
            requests: Vec::new(),
            poison_exits: vec![Vec::new(); plan.poison_bodies],
            poison_sends: vec![Vec::new(); plan.poison_bodies],
            sent_bytes: BTreeMap::new(),
            innocent: 0,
            quarantined: 0,
            unserved: 0,
        }
    }

    fn schedule_first_events(&mut self) {
        self.schedule(Duration::ZERO, WorldEvent::Innocent);
        for body in 0..self.plan.poison_bodies {
            let at =
                self.plan.poison_start + self.plan.poison_interval.mul_f64(self.random.random());
            self.schedule(at, WorldEvent::Poison { body });
        }
        self.schedule(self.plan.crash_at, WorldEvent::Crash);
        self.schedule(self.plan.power_loss_at, WorldEvent::LosePower);
        for vm in 0..self.plan.vms {
            let at = RESEND_INTERVAL.mul_f64(self.random.random());
            self.schedule(at, WorldEvent::ResendRecords { vm });
        }
    }

    pub(super) fn schedule(&mut self, after: Duration, event: WorldEvent) {
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
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Innocent => self.send_innocent(),
            WorldEvent::Poison { body } => self.send_poison(body),
            WorldEvent::Arrive { request } => self.arrive(request),
            WorldEvent::Finish { request, incarnation } => self.finish(request, incarnation),
            WorldEvent::CrashUnder { request, incarnation } => {
                self.crash_under(request, incarnation)
            }
            WorldEvent::ConnectionLost { request } => self.handle_connection_loss(request),
            WorldEvent::DetectExit { vm, engine, incarnation } => {
                self.detect_exit(vm, engine, incarnation)
            }
            WorldEvent::StartEngine { engine } => self.engines[engine].start(),
            WorldEvent::StartVm { vm } => self.start_vm(vm),
            WorldEvent::Crash => self.crash(),
            WorldEvent::LosePower => self.lose_power(),
            WorldEvent::ReceiveRecords { vm, from, records } => {
                self.receive_records(vm, from, &records)
            }
            WorldEvent::SendSharedUpdates { vm } => {
                let updates = self.vms[vm].table.take_shared_updates();
                self.send_updates(vm, &updates);
            }
            WorldEvent::ResendRecords { vm } => self.resend_records(vm),
            WorldEvent::Retry { request } => {
                let fingerprint = self.requests[request].fingerprint;
                self.send(RequestKind::Innocent { is_retry: true }, fingerprint);
            }
        }
    }

    fn send_innocent(&mut self) {
        let pause = Exp::new(self.plan.rate).expect("a positive rate").sample(&mut self.random);
        self.schedule(Duration::from_secs_f64(pause), WorldEvent::Innocent);
        self.innocent += 1;
        let body = match self.random.random_bool(self.plan.popular_share) {
            true => format!("popular-{}", self.random.random_range(0..POPULAR_BODIES)),
            false => format!("other-{}", self.innocent),
        };
        self.send(RequestKind::Innocent { is_retry: false }, fingerprint_of(&body));
    }

    fn send_poison(&mut self, body: usize) {
        self.schedule(self.plan.poison_interval, WorldEvent::Poison { body });
        self.send(RequestKind::Poison(body), fingerprint_of(&format!("deadly-{body}")));
    }

    /// Sends a request to a random VM that is up.
    fn send(&mut self, kind: RequestKind, fingerprint: RequestFingerprint) {
        let vm = loop {
            let vm = self.random.random_range(0..self.vms.len());
            if !self.vms[vm].is_down {
                break vm;
            }
        };
        let (engine, incarnation) = (0, 0);
        let request = SimulatedRequest {
            kind,
            fingerprint,
            vm,
            engine,
            incarnation,
            in_flight_id: None,
            attempts: 0,
            is_probe: false,
        };
        self.requests.push(request);
        self.forward(self.requests.len() - 1);
    }

    /// Forwards a request to an engine, or refuses it.
    fn forward(&mut self, request: usize) {
        let SimulatedRequest { fingerprint, vm, is_probe, .. } = self.requests[request];
        if self.vms[vm].is_down {
            return self.fail(request);
        }
        if !is_probe && self.policy != SharingPolicy::Disabled {
            match self.vms[vm].table.decide(&fingerprint, self.now) {
                SuspectVerdict::Allowed => {}
                SuspectVerdict::Probe => self.requests[request].is_probe = true,
                SuspectVerdict::Refused { .. } => return self.quarantine(request),
            }
            self.send_own_updates(vm);
        }
        match self.choose(vm) {
            Some(engine) => {
                let incarnation = self.engines[engine].incarnation;
                let in_flight = self.vms[vm].in_flight.entry((engine, incarnation)).or_default();
                let in_flight_id = in_flight.insert(fingerprint);
                let sent = &mut self.requests[request];
                sent.attempts += 1;
                (sent.engine, sent.incarnation, sent.in_flight_id) =
                    (engine, incarnation, Some(in_flight_id));
                self.schedule(LOCAL_DELAY, WorldEvent::Arrive { request });
            }
            None => {
                self.finish_probe(request);
                self.fail(request);
            }
        }
    }

    /// Returns the less loaded of two random engines of the region. An engine that turns out to be
    /// down is ejected, and two others are drawn.
    fn choose(&mut self, vm: usize) -> Option<usize> {
        let region = self.vms[vm].region;
        let local_engines = (region..self.plan.engines).step_by(self.plan.regions);
        let available: Vec<usize> =
            local_engines.filter(|it| self.vms[vm].is_available(*it, self.now)).collect();
        for _ in 0..MAX_ENGINE_DRAWS {
            let mut draw = || available.get(self.random.random_range(0..available.len().max(1)));
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
        let SimulatedRequest { kind, engine, incarnation, .. } = self.requests[request];
        let at = &mut self.engines[engine];
        if at.is_down || at.incarnation != incarnation {
            return self.handle_connection_loss(request);
        }
        let (is_accepted, begins) = at.accept(request, self.plan.slots, self.plan.queue_limit);
        if let (RequestKind::Poison(body), true) = (kind, is_accepted) {
            self.poison_sends[body].push(self.now);
        }
        if !is_accepted {
            self.remove_harmless(request);
            self.finish_probe(request);
            return self.fail(request);
        }
        if begins {
            self.start_work(request);
        }
    }

    fn start_work(&mut self, request: usize) {
        let SimulatedRequest { kind, incarnation, vm, engine, fingerprint, is_probe, .. } =
            self.requests[request];
        let is_recalled = !is_probe && self.vms[vm].table.exit_count(&fingerprint) >= REFUSE_EXITS;
        if is_recalled {
            if let Some(next) = self.engines[engine].finish_request(request) {
                self.start_work(next);
            }
            return self.quarantine(request);
        }
        match kind {
            RequestKind::Poison(_) => {
                self.schedule(CRASH_DELAY, WorldEvent::CrashUnder { request, incarnation })
            }
            RequestKind::Innocent { .. } => {
                let rate = 1.0 / self.plan.mean_work_time.as_secs_f64();
                let work = Exp::new(rate).expect("a positive rate").sample(&mut self.random);
                let after = Duration::from_secs_f64(work);
                self.schedule(after, WorldEvent::Finish { request, incarnation });
            }
        }
    }

    fn finish(&mut self, request: usize, incarnation: u32) {
        let SimulatedRequest { engine, vm, fingerprint, .. } = self.requests[request];
        if self.engines[engine].is_down || self.engines[engine].incarnation != incarnation {
            return;
        }
        if let Some(next) = self.engines[engine].finish_request(request) {
            self.start_work(next);
        }
        self.remove_harmless(request);
        if !self.vms[vm].is_down && self.policy != SharingPolicy::Disabled {
            self.vms[vm].table.record_success(fingerprint, self.now);
            self.send_own_updates(vm);
        }
    }

    fn crash_under(&mut self, request: usize, incarnation: u32) {
        let SimulatedRequest { engine, kind, .. } = self.requests[request];
        if self.engines[engine].is_down || self.engines[engine].incarnation != incarnation {
            return;
        }
        if let RequestKind::Poison(body) = kind {
            self.poison_exits[body].push(self.now);
        }
        self.crash_engine(engine, RESTART_TIME);
    }

    fn crash_engine(&mut self, engine: usize, down: Duration) {
        if self.engines[engine].is_down {
            return;
        }
        for request in self.engines[engine].crash() {
            self.schedule(LOCAL_DELAY, WorldEvent::ConnectionLost { request });
        }
        self.schedule(down, WorldEvent::StartEngine { engine });
    }

    /// Handles the loss of the connection of a request: sends it again, or fails it.
    fn handle_connection_loss(&mut self, request: usize) {
        let SimulatedRequest {
            vm,
            engine,
            incarnation,
            in_flight_id,
            fingerprint,
            attempts,
            is_probe,
            ..
        } = self.requests[request];
        if self.vms[vm].is_down {
            return self.fail(request);
        }
        let now = self.now;
        let at = &mut self.vms[vm];
        at.eject(engine, now);
        if let Some(in_flight_id) = in_flight_id {
            at.in_flight.entry((engine, incarnation)).or_default().remove(in_flight_id, now);
        }
        self.schedule(LOCAL_DELAY, WorldEvent::DetectExit { vm, engine, incarnation });
        let exits = self.vms[vm].table.exit_count(&fingerprint);
        if attempts < MAX_ATTEMPTS && !is_probe && exits < PROBE_EXITS {
            return self.forward(request);
        }
        self.fail(request);
    }

    /// Records an engine's exit at a VM, unless the same incarnation is still up.
    fn detect_exit(&mut self, vm: usize, engine: usize, incarnation: u32) {
        let is_alive =
            !self.engines[engine].is_down && self.engines[engine].incarnation == incarnation;
        if is_alive || self.vms[vm].is_down || self.policy == SharingPolicy::Disabled {
            return;
        }
        let now = self.now;
        let Some(mut in_flight) = self.vms[vm].in_flight.remove(&(engine, incarnation)) else {
            return;
        };
        let tag = UpstreamTag(u32::try_from(engine).expect("few engines") << 16 | incarnation);
        for fingerprint in in_flight.take_affected(now) {
            self.vms[vm].table.record_exit(fingerprint, tag, now);
        }
        self.send_own_updates(vm);
    }

    fn crash(&mut self) {
        for engine in 0..self.plan.engines {
            if self.random.random_bool(0.25) {
                self.crash_engine(engine, RESTART_TIME);
            }
        }
    }

    /// Stops all VMs and engines of the first region and schedules their restart.
    fn lose_power(&mut self) {
        for engine in (0..self.plan.engines).step_by(self.plan.regions) {
            self.crash_engine(engine, POWER_LOSS_TIME);
        }
        for vm in (0..self.plan.vms).step_by(self.plan.regions) {
            self.vms[vm].is_down = true;
            self.schedule(POWER_LOSS_TIME, WorldEvent::StartVm { vm });
        }
    }

    /// Starts a VM without state. It requests the records of a VM of another region, because all
    /// VMs of its own region restart at the same time.
    fn start_vm(&mut self, vm: usize) {
        let region = self.vms[vm].region;
        self.vms[vm] = SimulatedVm::new(vm, region);
        if self.policy != SharingPolicy::Shared {
            return;
        }
        let source_vm = (vm + 1) % self.plan.vms;
        let records = self.vms[source_vm].table.startup_records();
        self.vms[vm].is_down = true;
        let now = self.now;
        for record in &records {
            // Records that the table itself creates are valid.
            let _ = self.vms[vm].table.merge_record(record, RecordSource::Remote, now);
        }
        self.vms[vm].is_down = false;
    }

    fn remove_harmless(&mut self, request: usize) {
        let SimulatedRequest { vm, engine, incarnation, in_flight_id, .. } = self.requests[request];
        if let (Some(in_flight_id), Some(in_flight)) =
            (in_flight_id, self.vms[vm].in_flight.get_mut(&(engine, incarnation)))
        {
            in_flight.remove_harmless(in_flight_id);
        }
    }

    fn finish_probe(&mut self, request: usize) {
        let SimulatedRequest { vm, fingerprint, is_probe, .. } = self.requests[request];
        if is_probe {
            let now = self.now;
            self.vms[vm].table.finish_probe(&fingerprint, false, now);
        }
    }

    fn quarantine(&mut self, request: usize) {
        if let RequestKind::Innocent { .. } = self.requests[request].kind {
            self.quarantined += 1;
        }
        self.fail(request);
    }

    /// Fails a request. The caller of an innocent request retries once.
    fn fail(&mut self, request: usize) {
        match self.requests[request].kind {
            RequestKind::Poison(_) => {}
            RequestKind::Innocent { is_retry: true } => self.unserved += 1,
            RequestKind::Innocent { is_retry: false } => {
                self.schedule(RETRY_DELAY, WorldEvent::Retry { request });
            }
        }
    }

    fn outcome(&self, seed: u64) -> PoisonOutcome {
        let late = |body: usize| {
            let Some(third) = self.poison_exits[body].get(2) else { return 0 };
            let known = *third + PROPAGATION_TIME;
            self.poison_sends[body].iter().filter(|at| **at > known).count()
        };
        let bytes: usize = self.sent_bytes.values().sum();
        PoisonOutcome {
            policy: self.policy,
            seed,
            exits: self.poison_exits.iter().map(Vec::len).sum(),
            late_sends: (0..self.plan.poison_bodies).map(late).max().unwrap_or_default(),
            innocent: self.innocent,
            quarantined: self.quarantined,
            unserved: self.unserved,
            bytes_per_s: bytes as f64 / self.plan.vms as f64 / self.plan.length.as_secs_f64(),
            max_bytes_per_s: self.sent_bytes.values().max().copied().unwrap_or_default(),
        }
    }
}
