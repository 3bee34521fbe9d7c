//! The events of a simulated region, in the order of their time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use foldhaven_core::ids::{DataCentreName, UpstreamName, VmName};
use foldhaven_core::opaque::load_reports::LoadReport;
use foldhaven_core::opaque::peer_table::VmTag;
use foldhaven_core::opaque::performance::QueueState;
use foldhaven_core::opaque::queue_rank::QueueRank;
use foldhaven_core::opaque::service_order::{ServiceCandidate, ServiceOrder};
use foldhaven_core::time::MonoTime;
use foldhaven_core::units::CoreShare;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use serde::Serialize;

use super::engine::{EngineTimes, EngineWork, SimulatedEngine};
use super::experiment::{ChoicePolicy, Experiment, RequestMix, ServicePolicy};
use super::tally::{CountedRequest, RequestTally, SecondCounts};
use super::vm::{SimulatedVm, VmChoice, VmRequest};

/// How long VMs report to each other before callers send.
const LEAD: Duration = Duration::from_secs(2);
/// How many tokens of a prompt one event counts for in the size of a request.
const EVENT_TOKENS: u32 = 10;

/// One policy with one seed, played.
#[derive(Debug, Clone, Serialize)]
pub struct Trial {
    /// Which VMs took requests.
    pub service: ServicePolicy,
    /// How they chose.
    pub choice: ChoicePolicy,
    /// The seed.
    pub seed: u64,
    /// How many VMs took requests.
    pub in_service: usize,
    /// The share of the size of all requests that was answered within its target.
    pub worth: f64,
    /// The same of the first two seconds.
    pub first_worth: f64,
    /// The share of arrivals that engines refused.
    pub refused_arrivals: f64,
    /// The most arrivals of an engine against the mean.
    pub busiest: f64,
    /// Connections opened, for each arrival.
    pub opened: f64,
    /// Reports that a VM with requests heard in a second.
    pub heard_per_s: f64,
    /// The time to the first event that 99 in 100 answers kept within, in milliseconds.
    pub first_p99_ms: f64,
    /// By second.
    pub seconds: Vec<SecondCounts>,
}

#[derive(Debug, Clone)]
enum WorldEvent {
    Send { mix: usize },
    ReachEngine { request: usize },
    First { request: usize },
    Last { request: usize },
    Refused { request: usize },
    ComeBack { request: usize },
    Report { vm: usize },
    Hear { targets: Vec<SocketAddr>, report: Box<LoadReport> },
}

struct SimulatedRequest {
    mix: usize,
    vm: usize,
    work: EngineWork,
    size: u32,
    /// When its caller sent it first.
    asked: MonoTime,
    /// When it was sent to its engine.
    sent: MonoTime,
    choice: VmChoice,
    has_come_back: bool,
}

struct World<'a> {
    experiment: &'a Experiment,
    service: ServicePolicy,
    choice: ChoicePolicy,
    /// Draws what callers send: the same for all policies.
    traffic: StdRng,
    /// Draws what the policies leave open.
    random: StdRng,
    now: MonoTime,
    queue: BinaryHeap<Reverse<(MonoTime, u64)>>,
    events: HashMap<u64, WorldEvent>,
    scheduled: u64,
    vms: Vec<SimulatedVm>,
    addresses: Vec<(VmTag, SocketAddr)>,
    by_address: HashMap<SocketAddr, usize>,
    /// The VMs that take requests, with the share of callers that comes to each of them and all before it.
    in_service: Vec<(usize, f64)>,
    names: Vec<UpstreamName>,
    engines: Vec<SimulatedEngine>,
    requests: Vec<SimulatedRequest>,
    tally: RequestTally,
}

/// Plays one policy with one seed.
pub fn play(
    experiment: &Experiment,
    service: ServicePolicy,
    choice: ChoicePolicy,
    seed: u64,
) -> Trial {
    let mut world = World::new(experiment, service, choice, seed);
    world.begin();
    while let Some(Reverse((at, number))) = world.queue.pop() {
        world.now = at;
        let event = world.events.remove(&number).expect("each number has its event");
        world.handle(event);
    }
    world.trial(seed)
}

impl<'a> World<'a> {
    fn new(
        experiment: &'a Experiment,
        service: ServicePolicy,
        choice: ChoicePolicy,
        seed: u64,
    ) -> Self {
        let engines = &experiment.engines;
        let names: Vec<UpstreamName> = (0..engines.count)
            .map(|at| format!("engine-{at}").parse().expect("a number makes a name"))
            .collect();
        let count = experiment.vms.large + experiment.vms.small;
        let vms: Vec<SimulatedVm> =
            (0..count).map(|at| SimulatedVm::new(&vm_name(at), &names)).collect();
        let address = |at: usize| SocketAddr::from(([127, 9, (at >> 8) as u8, at as u8], 7660));
        let addresses: Vec<(VmTag, SocketAddr)> =
            vms.iter().enumerate().map(|(at, vm)| (vm.tag, address(at))).collect();
        let by_address = addresses.iter().enumerate().map(|(at, (_, it))| (*it, at)).collect();
        Self {
            experiment,
            service,
            choice,
            traffic: StdRng::seed_from_u64(seed),
            random: StdRng::seed_from_u64(!seed),
            now: MonoTime::default(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            scheduled: 0,
            vms,
            addresses,
            by_address,
            in_service: Vec::new(),
            engines: (0..engines.count).map(|_| SimulatedEngine::new(engines)).collect(),
            names,
            requests: Vec::new(),
            tally: RequestTally::new(experiment.length.0),
        }
    }

    fn schedule(&mut self, after: Duration, event: WorldEvent) {
        self.scheduled += 1;
        self.queue.push(Reverse((self.now + after, self.scheduled)));
        self.events.insert(self.scheduled, event);
    }

    /// The moment from which on callers send.
    fn zero() -> MonoTime {
        MonoTime::default() + LEAD
    }

    fn begin(&mut self) {
        self.set_service();
        for vm in 0..self.vms.len() {
            let phase = Duration::from_secs_f64(self.random.random::<f64>() * 0.3);
            self.schedule(phase, WorldEvent::Report { vm });
        }
        for mix in 0..self.experiment.requests.len() {
            let pause = self.pause(mix);
            self.schedule(LEAD + pause, WorldEvent::Send { mix });
        }
    }

    /// Sets who takes requests: by the processor time of the usual load, or everybody.
    fn set_service(&mut self) {
        let vms = &self.experiment.vms;
        let centres: [DataCentreName; 2] =
            ["hall-a", "hall-b"].map(|name| name.parse().expect("a constant makes a name"));
        let names: Vec<VmName> = (0..vms.large + vms.small)
            .map(|at| vm_name(at).parse().expect("a number makes a name"))
            .collect();
        let size = |at: usize| if at < vms.large { vms.large_cores } else { vms.small_cores };
        let order = ServiceOrder::of(names.iter().enumerate().map(|(at, vm)| ServiceCandidate {
            vm,
            data_centre: &centres[at % 2],
            cores: size(at),
        }));
        let rate: f64 = self.experiment.requests.iter().map(|mix| mix.per_s).sum();
        let demand = CoreShare::from_cores(rate * vms.request_time.0.as_secs_f64());
        let chosen: Vec<usize> = match self.service {
            ServicePolicy::All => (0..names.len()).collect(),
            ServicePolicy::Order => {
                let chosen = order.for_demand(demand).iter();
                chosen.filter_map(|it| names.iter().position(|name| name == it.vm)).collect()
            }
        };
        // The directory of before named all alike.
        let part = |at: usize| match self.service {
            ServicePolicy::All => 1.0,
            ServicePolicy::Order => size(at).as_cores(),
        };
        let mut sum = 0.0;
        let shares = chosen.into_iter().map(|at| {
            sum += part(at);
            (at, sum)
        });
        self.in_service = shares.collect();
    }

    fn mix(&self, mix: usize) -> &'a RequestMix {
        &self.experiment.requests[mix]
    }

    /// The time until the next request of a kind.
    fn pause(&mut self, mix: usize) -> Duration {
        let since = self.now.since(Self::zero());
        let rate = self.mix(mix).per_s * self.experiment.rate_at(since).max(1e-3);
        let pauses = Exp::new(rate).expect("the rate is above 0");
        Duration::from_secs_f64(pauses.sample(&mut self.traffic))
    }

    fn handle(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Send { mix } => self.send(mix),
            WorldEvent::ReachEngine { request } => self.reach(request),
            WorldEvent::First { request } => self.first(request),
            WorldEvent::Last { request } => self.last(request),
            WorldEvent::Refused { request } => self.refused(request),
            WorldEvent::ComeBack { request } => self.dispatch(request),
            WorldEvent::Report { vm } => self.report(vm),
            WorldEvent::Hear { targets, report } => {
                for target in targets {
                    let at = self.by_address[&target];
                    self.vms[at].hear((*report).clone(), self.now);
                }
            }
        }
    }

    fn is_over(&self) -> bool {
        self.now.since(Self::zero()) >= self.experiment.length.0
    }

    /// A request as the tally counts it.
    fn counted(&self, request: &SimulatedRequest) -> CountedRequest {
        let kind = self.mix(request.mix);
        CountedRequest {
            asked: request.asked.since(Self::zero()),
            size: f64::from(request.size),
            target: kind.target.0,
            patience: kind.patience.0,
        }
    }

    fn send(&mut self, mix: usize) {
        if self.is_over() {
            return;
        }
        let pause = self.pause(mix);
        self.schedule(pause, WorldEvent::Send { mix });
        let request = self.make_request(mix);
        let counted = self.counted(&request);
        self.tally.note_sent(&counted);
        self.requests.push(request);
        self.dispatch(self.requests.len() - 1);
    }

    fn make_request(&mut self, mix: usize) -> SimulatedRequest {
        let kind = self.mix(mix);
        let spread = kind.prompt_spread;
        let middle = kind.prompt_tokens.ln() - spread * spread / 2.0;
        let prompts = LogNormal::new(middle, spread).expect("the spread is finite");
        let tokens = prompts.sample(&mut self.traffic).clamp(1.0, kind.largest_prompt) as u32;
        let events = Exp::new(1.0 / kind.events.max(1.0)).expect("the mean is above 0");
        let events = events.sample(&mut self.traffic).ceil().max(1.0) as u32;
        let work =
            EngineWork { request: self.requests.len(), tokens, events, rank: QueueRank::Timely };
        SimulatedRequest {
            mix,
            vm: 0,
            work,
            size: tokens + EVENT_TOKENS * events,
            asked: self.now,
            sent: self.now,
            choice: VmChoice {
                engine: 0,
                expected: Duration::ZERO,
                prefill_before_answer: None,
                rank: QueueRank::Timely,
                queue: QueueState::default(),
            },
            has_come_back: false,
        }
    }

    /// Sends a request to a VM, and from there to an engine.
    fn dispatch(&mut self, request: usize) {
        let all = self.in_service.last().map_or(0.0, |(_, sum)| *sum);
        let draw = self.random.random::<f64>() * all;
        let at = self.in_service.partition_point(|(_, sum)| *sum <= draw);
        let vm = self.in_service[at.min(self.in_service.len() - 1)].0;
        let now = self.now;
        let truth: Vec<QueueState> = self.engines.iter_mut().map(|it| it.queue(now)).collect();
        let held = &mut self.requests[request];
        let kind = &self.experiment.requests[held.mix];
        let asked = VmRequest {
            tokens: held.work.tokens,
            events: kind.events,
            size: held.size,
            target: kind.target.0,
            waited: now.since(held.asked),
            remaining: kind.patience.0.saturating_sub(now.since(held.asked)),
        };
        let choice =
            self.vms[vm].choose(self.choice, &asked, &self.names, &truth, now, &mut self.random);
        let Some(choice) = choice else { return self.turn_away(request) };
        (held.vm, held.choice, held.sent) = (vm, choice, now);
        held.work.rank = choice.rank;
        self.vms[vm].enter(&choice, held.work.tokens, now);
        self.schedule(self.experiment.way.0, WorldEvent::ReachEngine { request });
    }

    fn reach(&mut self, request: usize) {
        let SimulatedRequest { work, choice, .. } = self.requests[request];
        let taken = self.engines[choice.engine].take(work, self.now);
        match taken {
            Ok(Some(times)) => self.schedule_answer(times),
            Ok(None) => {}
            Err(_) => {
                let way = self.experiment.way.0;
                self.schedule(way, WorldEvent::Refused { request });
            }
        }
    }

    fn schedule_answer(&mut self, times: EngineTimes) {
        let EngineTimes { request, first, last } = times;
        let way = self.experiment.way.0;
        let after = |moment: MonoTime| moment.since(self.now) + way;
        let (first, last) = (after(first), after(last));
        self.schedule(first, WorldEvent::First { request });
        self.schedule(last, WorldEvent::Last { request });
    }

    fn first(&mut self, request: usize) {
        let held = &self.requests[request];
        let (vm, choice, tokens) = (held.vm, held.choice, held.work.tokens);
        let took = self.now.since(held.sent);
        let waited = self.now.since(held.asked);
        let counted = self.counted(held);
        self.vms[vm].note_first(&choice, tokens, took, self.now);
        self.tally.note_answered(&counted, waited);
    }

    fn last(&mut self, request: usize) {
        let SimulatedRequest { vm, choice, sent, .. } = self.requests[request];
        let now = self.now;
        self.vms[vm].leave(&choice, now.since(sent), None, now);
        if let Some(times) = self.engines[choice.engine].end(now) {
            self.schedule_answer(times);
        }
    }

    fn refused(&mut self, request: usize) {
        let held = &mut self.requests[request];
        let (vm, choice, tokens) = (held.vm, held.choice, held.work.tokens);
        self.vms[vm].leave(&choice, Duration::ZERO, Some(tokens), self.now);
        self.turn_away(request);
    }

    /// A caller was refused: it comes back once, when it is told to, to another VM.
    fn turn_away(&mut self, request: usize) {
        let held = &mut self.requests[request];
        if !std::mem::replace(&mut held.has_come_back, true) {
            self.schedule(self.experiment.come_back.0, WorldEvent::ComeBack { request });
            return;
        }
        let counted = self.counted(&self.requests[request]);
        self.tally.note_refused(&counted);
    }

    fn report(&mut self, vm: usize) {
        if self.is_over() {
            return;
        }
        let mut others = self.addresses.clone();
        others.remove(vm);
        let (report, legs, interval) = self.vms[vm].report(&others, self.now);
        let way = self.experiment.way.0;
        for leg in legs {
            let report = Box::new(report.clone());
            self.schedule(way, WorldEvent::Hear { targets: leg.targets, report });
        }
        self.schedule(interval, WorldEvent::Report { vm });
    }

    fn trial(mut self, seed: u64) -> Trial {
        let arrivals: u64 = self.engines.iter().map(|engine| engine.arrivals).sum();
        let refused: u64 = self.engines.iter().map(|engine| engine.refused).sum();
        let most = self.engines.iter().map(|engine| engine.arrivals).max().unwrap_or_default();
        let opened: u64 = self.vms.iter().map(|vm| vm.opened).sum();
        let heard: u64 = self.in_service.iter().map(|(vm, _)| self.vms[*vm].heard).sum();
        let length = (self.experiment.length.0 + LEAD).as_secs_f64();
        let share = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 0.0 };
        Trial {
            service: self.service,
            choice: self.choice,
            seed,
            in_service: self.in_service.len(),
            worth: self.tally.worth(),
            first_worth: self.tally.first_worth(),
            refused_arrivals: share(refused as f64, arrivals as f64),
            busiest: share(most as f64 * self.engines.len() as f64, arrivals as f64),
            opened: share(opened as f64, arrivals as f64),
            heard_per_s: heard as f64 / length / self.in_service.len().max(1) as f64,
            first_p99_ms: self.tally.p99_ms(),
            seconds: self.tally.into_seconds(),
        }
    }
}

fn vm_name(at: usize) -> String {
    format!("vm-{at}")
}
