//! A simulated VM: its view of the engines, and how it chooses one.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use foldhaven_core::ids::{IncarnationId, UpstreamName, UpstreamStartTime};
use foldhaven_core::opaque::admission::{DestinationEstimate, TimeLimits, admit};
use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::choice::{ChoiceQuery, UpstreamCandidate, choose_upstream};
use foldhaven_core::opaque::load_reports::{LoadReport, LoadTable, UpstreamShare, report_interval};
use foldhaven_core::opaque::peer_table::VmTag;
use foldhaven_core::opaque::performance::{QueueState, ServicePerformance, UpstreamPerformance};
use foldhaven_core::opaque::queue_rank::QueueRank;
use foldhaven_core::opaque::report_planner::{
    ReportBatch, ReportPlanner, ReportTarget, ReportUpdates,
};
use foldhaven_core::opaque::short_slowdown::SlowdownFactor;
use foldhaven_core::time::MonoTime;
use foldhaven_core::units::CoreShare;
use rand::Rng;
use rand::rngs::StdRng;

use super::experiment::ChoicePolicy;

/// How long the gateway keeps an unused connection to an upstream.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// A VM without requests reports only in every n-th round, as in the gateway.
const IDLE_ROUNDS: u32 = 4;

/// A VM's view of one engine.
#[derive(Debug, Default)]
struct EngineView {
    own: UpstreamShare,
    others: UpstreamShare,
    performance: UpstreamPerformance,
    /// When each unused connection became idle.
    idle_since: Vec<MonoTime>,
}

/// The state of one simulated VM.
pub(super) struct SimulatedVm {
    pub tag: VmTag,
    engines: Vec<EngineView>,
    /// Index of each engine by its tag.
    engine_indexes: HashMap<UpstreamTag, usize>,
    load_table: LoadTable,
    planner: ReportPlanner,
    performance: ServicePerformance,
    sequence: u32,
    idle_rounds: u32,
    /// Number of connections that the VM has opened.
    pub opened: u64,
    /// Number of load reports that the VM has received.
    pub received_reports: u64,
}

/// The properties of a request that a VM's choice depends on.
#[derive(Debug, Clone, Copy)]
pub(super) struct VmRequest {
    pub tokens: u32,
    pub events: f64,
    pub size: u32,
    pub target: Duration,
    /// How long the caller has waited so far.
    pub waited: Duration,
    /// How much longer the caller waits.
    pub remaining: Duration,
}

/// A chosen engine, with the expected time to the first event.
#[derive(Debug, Clone, Copy)]
pub(super) struct VmChoice {
    pub engine: usize,
    pub expected: Duration,
    pub prefill_before_answer: Option<u32>,
    /// Rank of the request in the engine's queue.
    pub rank: QueueRank,
    /// The engine's queue in the view of the VM.
    pub queue: QueueState,
}

impl SimulatedVm {
    pub(super) fn new(name: &str, engines: &[UpstreamName]) -> Self {
        let engine_indexes = engines
            .iter()
            .enumerate()
            .map(|(at, name)| (UpstreamTag::of(name, UpstreamStartTime::default()), at));
        Self {
            tag: VmTag::of(&name.parse().expect("a number makes a name")),
            engines: engines.iter().map(|_| EngineView::default()).collect(),
            engine_indexes: engine_indexes.collect(),
            load_table: LoadTable::default(),
            planner: ReportPlanner::default(),
            performance: ServicePerformance::default(),
            sequence: 0,
            idle_rounds: 0,
            opened: 0,
            received_reports: 0,
        }
    }

    /// Chooses an engine. Returns `None` if admission control refuses the request.
    ///
    /// Of the actual queues, only `slots` is used unless the policy is [`ChoicePolicy::Perfect`].
    pub(super) fn choose(
        &self,
        policy: ChoicePolicy,
        request: &VmRequest,
        engine_names: &[UpstreamName],
        actual_queues: &[QueueState],
        now: MonoTime,
        random: &mut StdRng,
    ) -> Option<VmChoice> {
        let queues: Vec<QueueState> = match policy {
            ChoicePolicy::Perfect => actual_queues.to_vec(),
            _ => self
                .engines
                .iter()
                .zip(actual_queues)
                .map(|(it, actual_queues)| {
                    it.queue(actual_queues.slots, self.performance.slot_time, now)
                })
                .collect(),
        };
        let any = random.random_range(0..queues.len());
        let chosen = match policy {
            ChoicePolicy::Cost => {
                let report_age = report_interval(self.load_table.active_vms().count());
                return self.choose_cheapest(
                    request,
                    engine_names,
                    &queues,
                    report_age,
                    now,
                    random,
                );
            }
            ChoicePolicy::CostOfAll | ChoicePolicy::Perfect => {
                return self.choose_cheapest(
                    request,
                    engine_names,
                    &queues,
                    Duration::ZERO,
                    now,
                    random,
                );
            }
            ChoicePolicy::Random => any,
            ChoicePolicy::TwoChoices => {
                let other = random.random_range(0..queues.len());
                if queues[other].in_flight < queues[any].in_flight { other } else { any }
            }
            ChoicePolicy::LeastLoaded => (0..queues.len())
                .map(|step| (any + step) % queues.len())
                .min_by_key(|at| queues[*at].in_flight)
                .expect("there is an engine"),
        };
        Some(VmChoice {
            engine: chosen,
            expected: Duration::ZERO,
            prefill_before_answer: None,
            rank: QueueRank::Timely,
            queue: queues[chosen],
        })
    }

    fn choose_cheapest(
        &self,
        request: &VmRequest,
        engine_names: &[UpstreamName],
        queues: &[QueueState],
        report_age: Duration,
        now: MonoTime,
        random: &mut StdRng,
    ) -> Option<VmChoice> {
        let candidate = |at: usize| UpstreamCandidate {
            name: &engine_names[at],
            queue: queues[at],
            speed: self.engines[at].performance.speed.factors(now),
            slowdown: SlowdownFactor::default(),
            latency_factor: self.engines[at].performance.latency_factor(now),
            failure_share: self.engines[at].performance.failure_share(now),
            long_pause_share: 0.0,
            transfer_cost: 0.0,
            cached_tokens: 0,
            is_ejected: false,
            is_throttled: false,
            is_tried: false,
            has_room: true,
        };
        let candidates: Vec<UpstreamCandidate<'_>> =
            (0..engine_names.len()).map(candidate).collect();
        let query = ChoiceQuery {
            target: request.target,
            waited: request.waited,
            level: None,
            event_gap: None,
            events: request.events,
            size: request.size,
            shared_tokens: 0,
            unshared_tokens: request.tokens,
            affinity_key: None,
            report_age,
            draw: random.random(),
        };
        let choice =
            choose_upstream(&candidates, &query, &self.performance).expect("there is an engine");
        let estimate = DestinationEstimate {
            time_to_first: choice.time_to_first,
            breakdown: choice.breakdown,
            rank: choice.rank,
            queue: queues[choice.index],
            is_full: choice.is_full,
        };
        let limits = TimeLimits {
            target: request.target,
            waited: request.waited,
            remaining: request.remaining,
        };
        admit(&estimate, limits).ok()?;
        Some(VmChoice {
            engine: choice.index,
            expected: choice.time_to_first,
            prefill_before_answer: choice.prefill_before_answer,
            rank: choice.rank,
            queue: queues[choice.index],
        })
    }

    /// Counts a request that is sent to an engine, and opens a connection if none is idle.
    pub(super) fn record_request(&mut self, choice: &VmChoice, tokens: u32, now: MonoTime) {
        let view = &mut self.engines[choice.engine];
        view.own.in_flight += 1;
        view.own.on_track += u16::from(choice.rank == QueueRank::Timely);
        view.own.deferred += u16::from(choice.rank == QueueRank::Deferred);
        *prefill_backlog_of(&mut view.own, choice.rank) += tokens;
        view.idle_since.retain(|since| now.since(*since) < IDLE_TIMEOUT);
        if view.idle_since.pop().is_none() {
            self.opened += 1;
        }
    }

    /// Records the first event of an answer.
    pub(super) fn record_first_event(
        &mut self,
        choice: &VmChoice,
        tokens: u32,
        took: Duration,
        now: MonoTime,
    ) {
        let view = &mut self.engines[choice.engine];
        subtract_prefill(&mut view.own, choice.rank, tokens);
        self.performance.queue_capacity.record_accepted(choice.queue);
        if choice.rank == QueueRank::Deferred {
            view.own.deferred -= 1;
            return;
        }
        view.performance.record_time_to_first(choice.expected, took, now);
        if let Some(prefill_before_answer) = choice.prefill_before_answer {
            let speed = &mut view.performance.speed;
            self.performance.record_prefill_at(speed, prefill_before_answer, took, now);
        }
    }

    /// Records that a request has left an engine, either with its last event or refused.
    ///
    /// `refused` holds the prompt tokens of a refused request and is `None` for an answered one.
    pub(super) fn record_end(
        &mut self,
        choice: &VmChoice,
        request_duration: Duration,
        refused: Option<u32>,
        now: MonoTime,
    ) {
        let view = &mut self.engines[choice.engine];
        view.own.in_flight -= 1;
        view.own.on_track -= u16::from(choice.rank == QueueRank::Timely);
        view.idle_since.push(now);
        match refused {
            Some(tokens) => {
                subtract_prefill(&mut view.own, choice.rank, tokens);
                view.own.deferred -= u16::from(choice.rank == QueueRank::Deferred);
                self.performance.queue_capacity.record_refused(choice.queue);
                view.performance.record_queue_full(
                    self.performance.queue_capacity.full_queue_load(choice.queue),
                    now,
                );
                view.performance.record_end(true, 0.0, now);
            }
            None => self.performance.record_slot_time(request_duration),
        }
    }

    /// Returns whether the VM has requests in flight.
    fn is_active(&self) -> bool {
        self.engines.iter().any(|view| view.own.in_flight > 0)
    }

    /// Plans the load report of a round. Returns the report, its receivers, and the time until the
    /// next round.
    pub(super) fn report(
        &mut self,
        others: &[(VmTag, SocketAddr)],
        now: MonoTime,
    ) -> (LoadReport, Vec<ReportBatch>, Duration) {
        self.refresh_totals(others.len(), now);
        self.sequence += 1;
        let is_active = self.is_active();
        let active: HashSet<VmTag> = self.load_table.active_vms().collect();
        let target = |(tag, address): &(VmTag, SocketAddr)| ReportTarget {
            address: *address,
            is_active: active.contains(tag),
        };
        let targets: Vec<ReportTarget> = others.iter().map(target).collect();
        let (batches, interval) = match is_active {
            true => {
                let count = targets.iter().filter(|target| target.is_active).count();
                let interval = report_interval(count);
                (self.planner.plan_round(&targets, ReportUpdates::default(), interval), interval)
            }
            false => (self.idle_batches(&targets), report_interval(targets.len())),
        };
        self.idle_rounds = if is_active { 0 } else { self.idle_rounds + 1 };
        (self.own_report(), batches, interval)
    }

    fn idle_batches(&self, targets: &[ReportTarget]) -> Vec<ReportBatch> {
        if !self.idle_rounds.is_multiple_of(IDLE_ROUNDS) {
            return Vec::new();
        }
        let targets = targets.iter().map(|target| target.address).collect();
        vec![ReportBatch { targets, updates: ReportUpdates::default() }]
    }

    fn own_report(&self) -> LoadReport {
        let shares = self.engine_indexes.iter().map(|(tag, at)| (*tag, self.engines[*at].own));
        LoadReport {
            vm: self.tag,
            incarnation: IncarnationId(1),
            sequence: self.sequence,
            shares: shares.filter(|(_, share)| share.in_flight > 0).collect(),
            placements: Vec::new(),
            regions: Vec::new(),
            busy: CoreShare::default(),
        }
    }

    /// Applies the load report of another VM.
    pub(super) fn receive_report(&mut self, report: LoadReport, now: MonoTime) {
        self.received_reports += 1;
        for tag in self.load_table.apply(report, now).into_iter().flatten() {
            self.engines[self.engine_indexes[&tag]].others = self.load_table.total(tag);
        }
    }

    fn refresh_totals(&mut self, others: usize, now: MonoTime) {
        self.load_table.remove_stale(report_interval(others), now);
        for (tag, at) in &self.engine_indexes {
            self.engines[*at].others = self.load_table.total(*tag);
        }
    }
}

impl EngineView {
    fn queue(&self, slots: u32, slot_time: Duration, now: MonoTime) -> QueueState {
        let reported = QueueState {
            slots,
            in_flight: u32::from(self.own.in_flight) + u32::from(self.others.in_flight),
            on_track: u32::from(self.own.on_track) + u32::from(self.others.on_track),
            deferred: u32::from(self.own.deferred) + u32::from(self.others.deferred),
            prefill_backlog: self.own.prefill_backlog.plus(self.others.prefill_backlog),
            ..QueueState::default()
        };
        self.performance.queue_after_refusal(reported, slot_time, now)
    }
}

/// Returns the prefill backlog of requests of a rank.
fn prefill_backlog_of(share: &mut UpstreamShare, rank: QueueRank) -> &mut u32 {
    match rank {
        QueueRank::Timely => &mut share.prefill_backlog.timely,
        QueueRank::Deferred => &mut share.prefill_backlog.deferred,
    }
}

fn subtract_prefill(share: &mut UpstreamShare, rank: QueueRank, tokens: u32) {
    let backlog = prefill_backlog_of(share, rank);
    *backlog = backlog.saturating_sub(tokens);
}
