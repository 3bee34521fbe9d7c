//! Discrete-event simulation of one region.

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

/// How long VMs exchange reports before the load starts.
const WARM_UP_TIME: Duration = Duration::from_secs(2);
/// Prompt tokens that one event of the answer counts for in the size of a request.
const EVENT_TOKENS: u32 = 10;

/// The results of one run with one pair of policies and one seed.
#[derive(Debug, Clone, Serialize)]
pub struct Trial {
    /// Policy that selected the VMs in service.
    pub service: ServicePolicy,
    /// Policy by which VMs chose engines.
    pub choice: ChoicePolicy,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Number of VMs in service.
    pub in_service: usize,
    /// Share of the size of all requests that was answered within the target.
    #[serde(rename = "worth")]
    pub on_time_share: f64,
    /// The same share for requests of the first two seconds.
    #[serde(rename = "first_worth")]
    pub startup_on_time_share: f64,
    /// Share of arrivals that engines refused.
    pub refused_arrivals: f64,
    /// Arrivals at the busiest engine, divided by the mean over all engines.
    #[serde(rename = "busiest")]
    pub busiest_ratio: f64,
    /// Connections opened per arrival.
    pub opened: f64,
    /// Mean number of reports per second that a VM in service received.
    #[serde(rename = "heard_per_s")]
    pub received_reports_per_s: f64,
    /// 99th percentile of the time to the first event, in milliseconds.
    pub first_p99_ms: f64,
    /// Request counts of each second of the load.
    pub seconds: Vec<SecondCounts>,
}

#[derive(Debug, Clone)]
enum WorldEvent {
    Send { mix: usize },
    ReachEngine { request: usize },
    FirstEvent { request: usize },
    LastEvent { request: usize },
    Refused { request: usize },
    Retry { request: usize },
    Report { vm: usize },
    ReceiveReport { targets: Vec<SocketAddr>, report: Box<LoadReport> },
}

struct SimulatedRequest {
    mix: usize,
    vm: usize,
    work: EngineWork,
    size: u32,
    /// When the caller first sent it.
    first_sent: MonoTime,
    /// When it was last sent to an engine.
    sent: MonoTime,
    choice: VmChoice,
    has_retried: bool,
}

struct World<'a> {
    experiment: &'a Experiment,
    service: ServicePolicy,
    choice: ChoicePolicy,
    /// Generator of the load; separate, so that all policies get the same requests.
    traffic: StdRng,
    /// Generator for all other random choices.
    random: StdRng,
    now: MonoTime,
    queue: BinaryHeap<Reverse<(MonoTime, u64)>>,
    events: HashMap<u64, WorldEvent>,
    scheduled: u64,
    vms: Vec<SimulatedVm>,
    addresses: Vec<(VmTag, SocketAddr)>,
    by_address: HashMap<SocketAddr, usize>,
    /// The VMs in service, each with the cumulative weight of itself and all before it.
    in_service: Vec<(usize, f64)>,
    names: Vec<UpstreamName>,
    engines: Vec<SimulatedEngine>,
    requests: Vec<SimulatedRequest>,
    tally: RequestTally,
}

/// Simulates one pair of policies with one seed.
pub fn run_trial(
    experiment: &Experiment,
    service: ServicePolicy,
    choice: ChoicePolicy,
    seed: u64,
) -> Trial {
    let mut world = World::new(experiment, service, choice, seed);
    world.schedule_first_events();
    while let Some(Reverse((at, number))) = world.queue.pop() {
        world.now = at;
        let event = world.events.remove(&number).expect("each number has its event");
        world.handle(event);
    }
    world.into_trial(seed)
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

    /// Returns the time at which the load starts.
    fn start_of_load() -> MonoTime {
        MonoTime::default() + WARM_UP_TIME
    }

    fn schedule_first_events(&mut self) {
        self.set_service();
        for vm in 0..self.vms.len() {
            let phase = Duration::from_secs_f64(self.random.random::<f64>() * 0.3);
            self.schedule(phase, WorldEvent::Report { vm });
        }
        for mix in 0..self.experiment.requests.len() {
            let pause = self.pause(mix);
            self.schedule(WARM_UP_TIME + pause, WorldEvent::Send { mix });
        }
    }

    /// Selects the VMs in service: all, or as many as the processor time of the base load needs.
    fn set_service(&mut self) {
        let vms = &self.experiment.vms;
        let data_centres: [DataCentreName; 2] =
            ["hall-a", "hall-b"].map(|name| name.parse().expect("a constant makes a name"));
        let names: Vec<VmName> = (0..vms.large + vms.small)
            .map(|at| vm_name(at).parse().expect("a number makes a name"))
            .collect();
        let size = |at: usize| if at < vms.large { vms.large_cores } else { vms.small_cores };
        let order = ServiceOrder::of(names.iter().enumerate().map(|(at, vm)| ServiceCandidate {
            vm,
            data_centre: &data_centres[at % 2],
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
        // Without a service order, the directory lists all VMs with equal weight.
        let weight = |at: usize| match self.service {
            ServicePolicy::All => 1.0,
            ServicePolicy::Order => size(at).as_cores(),
        };
        let mut sum = 0.0;
        let shares = chosen.into_iter().map(|at| {
            sum += weight(at);
            (at, sum)
        });
        self.in_service = shares.collect();
    }

    fn mix(&self, mix: usize) -> &'a RequestMix {
        &self.experiment.requests[mix]
    }

    /// Draws the time until the next request of a kind.
    fn pause(&mut self, mix: usize) -> Duration {
        let since = self.now.since(Self::start_of_load());
        let rate = self.mix(mix).per_s * self.experiment.rate_at(since).max(1e-3);
        let pauses = Exp::new(rate).expect("the rate is above 0");
        Duration::from_secs_f64(pauses.sample(&mut self.traffic))
    }

    fn handle(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Send { mix } => self.send(mix),
            WorldEvent::ReachEngine { request } => self.reach_engine(request),
            WorldEvent::FirstEvent { request } => self.on_first_event(request),
            WorldEvent::LastEvent { request } => self.on_last_event(request),
            WorldEvent::Refused { request } => self.on_refused(request),
            WorldEvent::Retry { request } => self.dispatch(request),
            WorldEvent::Report { vm } => self.report(vm),
            WorldEvent::ReceiveReport { targets, report } => {
                for target in targets {
                    let at = self.by_address[&target];
                    self.vms[at].receive_report((*report).clone(), self.now);
                }
            }
        }
    }

    fn is_over(&self) -> bool {
        self.now.since(Self::start_of_load()) >= self.experiment.length.0
    }

    /// Returns the properties of a request that the tally needs.
    fn counted_request(&self, request: &SimulatedRequest) -> CountedRequest {
        let kind = self.mix(request.mix);
        CountedRequest {
            first_sent: request.first_sent.since(Self::start_of_load()),
            size: f64::from(request.size),
            target: kind.target.0,
            max_wait: kind.max_wait.0,
        }
    }

    fn send(&mut self, mix: usize) {
        if self.is_over() {
            return;
        }
        let pause = self.pause(mix);
        self.schedule(pause, WorldEvent::Send { mix });
        let request = self.make_request(mix);
        let counted = self.counted_request(&request);
        self.tally.record_sent(&counted);
        self.requests.push(request);
        self.dispatch(self.requests.len() - 1);
    }

    fn make_request(&mut self, mix: usize) -> SimulatedRequest {
        let kind = self.mix(mix);
        let spread = kind.prompt_spread;
        let middle = kind.prompt_tokens.ln() - spread * spread / 2.0;
        let prompts = LogNormal::new(middle, spread).expect("the spread is finite");
        let tokens = prompts.sample(&mut self.traffic).clamp(1.0, kind.max_prompt_tokens) as u32;
        let events = Exp::new(1.0 / kind.events.max(1.0)).expect("the mean is above 0");
        let events = events.sample(&mut self.traffic).ceil().max(1.0) as u32;
        let work =
            EngineWork { request: self.requests.len(), tokens, events, rank: QueueRank::Timely };
        SimulatedRequest {
            mix,
            vm: 0,
            work,
            size: tokens + EVENT_TOKENS * events,
            first_sent: self.now,
            sent: self.now,
            choice: VmChoice {
                engine: 0,
                expected: Duration::ZERO,
                prefill_before_answer: None,
                rank: QueueRank::Timely,
                queue: QueueState::default(),
            },
            has_retried: false,
        }
    }

    /// Sends a request to a random VM in service, and from there to an engine.
    fn dispatch(&mut self, request: usize) {
        let all = self.in_service.last().map_or(0.0, |(_, sum)| *sum);
        let draw = self.random.random::<f64>() * all;
        let at = self.in_service.partition_point(|(_, sum)| *sum <= draw);
        let vm = self.in_service[at.min(self.in_service.len() - 1)].0;
        let now = self.now;
        let actual_queues: Vec<QueueState> =
            self.engines.iter_mut().map(|it| it.queue(now)).collect();
        let state = &mut self.requests[request];
        let kind = &self.experiment.requests[state.mix];
        let vm_request = VmRequest {
            tokens: state.work.tokens,
            events: kind.events,
            size: state.size,
            target: kind.target.0,
            waited: now.since(state.first_sent),
            remaining: kind.max_wait.0.saturating_sub(now.since(state.first_sent)),
        };
        let choice = self.vms[vm].choose(
            self.choice,
            &vm_request,
            &self.names,
            &actual_queues,
            now,
            &mut self.random,
        );
        let Some(choice) = choice else { return self.handle_refusal(request) };
        (state.vm, state.choice, state.sent) = (vm, choice, now);
        state.work.rank = choice.rank;
        self.vms[vm].record_request(&choice, state.work.tokens, now);
        self.schedule(self.experiment.one_way_latency.0, WorldEvent::ReachEngine { request });
    }

    fn reach_engine(&mut self, request: usize) {
        let SimulatedRequest { work, choice, .. } = self.requests[request];
        let accepted = self.engines[choice.engine].accept(work, self.now);
        match accepted {
            Ok(Some(times)) => self.schedule_answer(times),
            Ok(None) => {}
            Err(_) => {
                let one_way_latency = self.experiment.one_way_latency.0;
                self.schedule(one_way_latency, WorldEvent::Refused { request });
            }
        }
    }

    fn schedule_answer(&mut self, times: EngineTimes) {
        let EngineTimes { request, first, last } = times;
        let one_way_latency = self.experiment.one_way_latency.0;
        let after = |moment: MonoTime| moment.since(self.now) + one_way_latency;
        let (first, last) = (after(first), after(last));
        self.schedule(first, WorldEvent::FirstEvent { request });
        self.schedule(last, WorldEvent::LastEvent { request });
    }

    fn on_first_event(&mut self, request: usize) {
        let state = &self.requests[request];
        let (vm, choice, tokens) = (state.vm, state.choice, state.work.tokens);
        let took = self.now.since(state.sent);
        let waited = self.now.since(state.first_sent);
        let counted = self.counted_request(state);
        self.vms[vm].record_first_event(&choice, tokens, took, self.now);
        self.tally.record_answered(&counted, waited);
    }

    fn on_last_event(&mut self, request: usize) {
        let SimulatedRequest { vm, choice, sent, .. } = self.requests[request];
        let now = self.now;
        self.vms[vm].record_end(&choice, now.since(sent), None, now);
        if let Some(times) = self.engines[choice.engine].end(now) {
            self.schedule_answer(times);
        }
    }

    fn on_refused(&mut self, request: usize) {
        let state = &mut self.requests[request];
        let (vm, choice, tokens) = (state.vm, state.choice, state.work.tokens);
        self.vms[vm].record_end(&choice, Duration::ZERO, Some(tokens), self.now);
        self.handle_refusal(request);
    }

    /// Handles a refusal: the first one schedules a retry, at any VM; the second one is counted.
    fn handle_refusal(&mut self, request: usize) {
        let state = &mut self.requests[request];
        if !std::mem::replace(&mut state.has_retried, true) {
            self.schedule(self.experiment.retry_after.0, WorldEvent::Retry { request });
            return;
        }
        let counted = self.counted_request(&self.requests[request]);
        self.tally.record_refused(&counted);
    }

    fn report(&mut self, vm: usize) {
        if self.is_over() {
            return;
        }
        let mut others = self.addresses.clone();
        others.remove(vm);
        let (report, batches, interval) = self.vms[vm].report(&others, self.now);
        let one_way_latency = self.experiment.one_way_latency.0;
        for batch in batches {
            let report = Box::new(report.clone());
            self.schedule(
                one_way_latency,
                WorldEvent::ReceiveReport { targets: batch.targets, report },
            );
        }
        self.schedule(interval, WorldEvent::Report { vm });
    }

    fn into_trial(mut self, seed: u64) -> Trial {
        let arrivals: u64 = self.engines.iter().map(|engine| engine.arrivals).sum();
        let refused: u64 = self.engines.iter().map(|engine| engine.refused).sum();
        let most = self.engines.iter().map(|engine| engine.arrivals).max().unwrap_or_default();
        let opened: u64 = self.vms.iter().map(|vm| vm.opened).sum();
        let received_reports: u64 =
            self.in_service.iter().map(|(vm, _)| self.vms[*vm].received_reports).sum();
        let length = (self.experiment.length.0 + WARM_UP_TIME).as_secs_f64();
        let share = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 0.0 };
        Trial {
            service: self.service,
            choice: self.choice,
            seed,
            in_service: self.in_service.len(),
            on_time_share: self.tally.on_time_share(),
            startup_on_time_share: self.tally.startup_on_time_share(),
            refused_arrivals: share(refused as f64, arrivals as f64),
            busiest_ratio: share(most as f64 * self.engines.len() as f64, arrivals as f64),
            opened: share(opened as f64, arrivals as f64),
            received_reports_per_s: received_reports as f64
                / length
                / self.in_service.len().max(1) as f64,
            first_p99_ms: self.tally.p99_ms(),
            seconds: self.tally.into_seconds(),
        }
    }
}

fn vm_name(at: usize) -> String {
    format!("vm-{at}")
}
