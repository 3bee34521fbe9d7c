//! A simulated VM: what it knows of engines, and how it chooses one.

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
use foldhaven_core::time::MonoTime;
use foldhaven_core::units::CoreShare;
use rand::Rng;
use rand::rngs::StdRng;

use super::experiment::ChoicePolicy;

/// How long the gateway keeps an unused connection to an upstream.
const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// A VM without requests reports in every n-th round, as the gateway does.
const IDLE_ROUNDS: u32 = 4;

/// What a VM knows of one engine.
#[derive(Debug, Default)]
struct KnownEngine {
    own: UpstreamShare,
    others: UpstreamShare,
    pace: UpstreamPerformance,
    /// Since when each unused connection has been so.
    idle: Vec<MonoTime>,
}

/// One VM.
pub(super) struct SimulatedVm {
    pub tag: VmTag,
    engines: Vec<KnownEngine>,
    /// The place of each engine by its tag.
    tags: HashMap<UpstreamTag, usize>,
    book: LoadTable,
    plan: ReportPlanner,
    pace: ServicePerformance,
    sequence: u32,
    idle_rounds: u32,
    /// Connections that it has opened.
    pub opened: u64,
    /// Reports that it has heard.
    pub heard: u64,
}

/// What it needs to know of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct VmRequest {
    pub tokens: u32,
    pub events: f64,
    pub size: u32,
    pub target: Duration,
    /// How long its caller has waited.
    pub waited: Duration,
    /// How long it will still wait.
    pub remaining: Duration,
}

/// A chosen engine, and the time that was expected of it.
#[derive(Debug, Clone, Copy)]
pub(super) struct VmChoice {
    pub engine: usize,
    pub expected: Duration,
    pub prefill_before_answer: Option<u32>,
    /// Its rank there.
    pub rank: QueueRank,
    /// The queue that it saw there.
    pub queue: QueueState,
}

impl SimulatedVm {
    pub(super) fn new(name: &str, engines: &[UpstreamName]) -> Self {
        let tags = engines
            .iter()
            .enumerate()
            .map(|(at, name)| (UpstreamTag::of(name, UpstreamStartTime::default()), at));
        Self {
            tag: VmTag::of(&name.parse().expect("a number makes a name")),
            engines: engines.iter().map(|_| KnownEngine::default()).collect(),
            tags: tags.collect(),
            book: LoadTable::default(),
            plan: ReportPlanner::default(),
            pace: ServicePerformance::default(),
            sequence: 0,
            idle_rounds: 0,
            opened: 0,
            heard: 0,
        }
    }

    /// Chooses an engine; none when the request is better refused at once. `truth` is what the queues are, of which it sees `slots` alone unless the policy is
    /// [`ChoicePolicy::Perfect`].
    pub(super) fn choose(
        &self,
        policy: ChoicePolicy,
        request: &VmRequest,
        names: &[UpstreamName],
        truth: &[QueueState],
        now: MonoTime,
        random: &mut StdRng,
    ) -> Option<VmChoice> {
        let queues: Vec<QueueState> = match policy {
            ChoicePolicy::Perfect => truth.to_vec(),
            _ => self
                .engines
                .iter()
                .zip(truth)
                .map(|(it, truth)| it.queue(truth.slots, self.pace.slot_time, now))
                .collect(),
        };
        let any = random.random_range(0..queues.len());
        let chosen = match policy {
            ChoicePolicy::Cost => {
                let report_age = report_interval(self.book.active_vms().count());
                return self.cheapest(request, names, &queues, report_age, now, random);
            }
            ChoicePolicy::CostOfAll | ChoicePolicy::Perfect => {
                return self.cheapest(request, names, &queues, Duration::ZERO, now, random);
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

    fn cheapest(
        &self,
        request: &VmRequest,
        names: &[UpstreamName],
        queues: &[QueueState],
        report_age: Duration,
        now: MonoTime,
        random: &mut StdRng,
    ) -> Option<VmChoice> {
        let facts = |at: usize| UpstreamCandidate {
            name: &names[at],
            queue: queues[at],
            latency_factor: self.engines[at].pace.latency_factor(now),
            failure_share: self.engines[at].pace.failure_share(now),
            long_pause_share: 0.0,
            transfer_cost: 0.0,
            cached_tokens: 0,
            is_ejected: false,
            is_throttled: false,
            is_tried: false,
        };
        let candidates: Vec<UpstreamCandidate<'_>> = (0..names.len()).map(facts).collect();
        let query = ChoiceQuery {
            target: request.target,
            waited: request.waited,
            event_gap: None,
            events: request.events,
            size: request.size,
            shared_tokens: 0,
            unshared_tokens: request.tokens,
            affinity_key: None,
            report_age,
            draw: random.random(),
        };
        let choice = choose_upstream(&candidates, &query, &self.pace).expect("there is an engine");
        let offer = DestinationEstimate {
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
        admit(&offer, limits).ok()?;
        Some(VmChoice {
            engine: choice.index,
            expected: choice.time_to_first,
            prefill_before_answer: choice.prefill_before_answer,
            rank: choice.rank,
            queue: queues[choice.index],
        })
    }

    /// Counts a request at an engine, over a connection that is open or not.
    pub(super) fn enter(&mut self, choice: &VmChoice, tokens: u32, now: MonoTime) {
        let known = &mut self.engines[choice.engine];
        known.own.in_flight += 1;
        known.own.on_track += u16::from(choice.rank == QueueRank::Timely);
        known.own.deferred += u16::from(choice.rank == QueueRank::Deferred);
        *unread_of(&mut known.own, choice.rank) += tokens;
        known.idle.retain(|since| now.since(*since) < IDLE_LIMIT);
        if known.idle.pop().is_none() {
            self.opened += 1;
        }
    }

    /// Notes the first event of an answer.
    pub(super) fn note_first(
        &mut self,
        choice: &VmChoice,
        tokens: u32,
        took: Duration,
        now: MonoTime,
    ) {
        let known = &mut self.engines[choice.engine];
        take_off(&mut known.own, choice.rank, tokens);
        self.pace.queue_capacity.record_accepted(choice.queue);
        if choice.rank == QueueRank::Deferred {
            known.own.deferred -= 1;
            return;
        }
        known.pace.record_time_to_first(choice.expected, took, now);
        if let Some(prefill_before_answer) = choice.prefill_before_answer {
            self.pace.record_prefill(prefill_before_answer, took);
        }
    }

    /// Notes that a request has left an engine: with its last event, or refused.
    pub(super) fn leave(
        &mut self,
        choice: &VmChoice,
        held: Duration,
        refused: Option<u32>,
        now: MonoTime,
    ) {
        let known = &mut self.engines[choice.engine];
        known.own.in_flight -= 1;
        known.own.on_track -= u16::from(choice.rank == QueueRank::Timely);
        known.idle.push(now);
        match refused {
            Some(tokens) => {
                take_off(&mut known.own, choice.rank, tokens);
                known.own.deferred -= u16::from(choice.rank == QueueRank::Deferred);
                self.pace.queue_capacity.record_refused(choice.queue);
                known
                    .pace
                    .record_queue_full(self.pace.queue_capacity.full_queue_load(choice.queue), now);
                known.pace.record_end(true, 0.0, now);
            }
            None => self.pace.record_slot_time(held),
        }
    }

    /// Whether it has requests.
    fn is_active(&self) -> bool {
        self.engines.iter().any(|known| known.own.in_flight > 0)
    }

    /// Plans its report of a round: what it tells, whom, and when the next one is due.
    pub(super) fn report(
        &mut self,
        others: &[(VmTag, SocketAddr)],
        now: MonoTime,
    ) -> (LoadReport, Vec<ReportBatch>, Duration) {
        self.take_totals(others.len(), now);
        self.sequence += 1;
        let is_active = self.is_active();
        let active: HashSet<VmTag> = self.book.active_vms().collect();
        let target = |(tag, address): &(VmTag, SocketAddr)| ReportTarget {
            address: *address,
            is_active: active.contains(tag),
        };
        let targets: Vec<ReportTarget> = others.iter().map(target).collect();
        let (legs, interval) = match is_active {
            true => {
                let count = targets.iter().filter(|target| target.is_active).count();
                let interval = report_interval(count);
                (self.plan.plan_round(&targets, ReportUpdates::default(), interval), interval)
            }
            false => (self.idle_legs(&targets), report_interval(targets.len())),
        };
        self.idle_rounds = if is_active { 0 } else { self.idle_rounds + 1 };
        (self.own_report(), legs, interval)
    }

    fn idle_legs(&self, targets: &[ReportTarget]) -> Vec<ReportBatch> {
        if !self.idle_rounds.is_multiple_of(IDLE_ROUNDS) {
            return Vec::new();
        }
        let targets = targets.iter().map(|target| target.address).collect();
        vec![ReportBatch { targets, updates: ReportUpdates::default() }]
    }

    fn own_report(&self) -> LoadReport {
        let shares = self.tags.iter().map(|(tag, at)| (*tag, self.engines[*at].own));
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

    /// Takes in the report of another VM.
    pub(super) fn hear(&mut self, report: LoadReport, now: MonoTime) {
        self.heard += 1;
        for tag in self.book.apply(report, now).into_iter().flatten() {
            self.engines[self.tags[&tag]].others = self.book.total(tag);
        }
    }

    fn take_totals(&mut self, others: usize, now: MonoTime) {
        self.book.remove_stale(report_interval(others), now);
        for (tag, at) in &self.tags {
            self.engines[*at].others = self.book.total(*tag);
        }
    }
}

impl KnownEngine {
    fn queue(&self, slots: u32, hold: Duration, now: MonoTime) -> QueueState {
        let told = QueueState {
            slots,
            in_flight: u32::from(self.own.in_flight) + u32::from(self.others.in_flight),
            on_track: u32::from(self.own.on_track) + u32::from(self.others.on_track),
            deferred: u32::from(self.own.deferred) + u32::from(self.others.deferred),
            prefill_backlog: self.own.prefill_backlog.plus(self.others.prefill_backlog),
        };
        self.pace.queue_after_refusal(told, hold, now)
    }
}

/// The tokens that are still to be read of requests of a rank.
fn unread_of(share: &mut UpstreamShare, rank: QueueRank) -> &mut u32 {
    match rank {
        QueueRank::Timely => &mut share.prefill_backlog.timely,
        QueueRank::Deferred => &mut share.prefill_backlog.deferred,
    }
}

fn take_off(share: &mut UpstreamShare, rank: QueueRank, tokens: u32) {
    let unread = unread_of(share, rank);
    *unread = unread.saturating_sub(tokens);
}
