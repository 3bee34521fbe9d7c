//! The VMs of a trial, their callers and the network between them.

use std::collections::BTreeMap;

use foldhaven_core::opaque::account_demand::DEMAND_INTERVAL;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, Poisson};

use super::experiment::LimitsPlan;
use super::vm::{DeploymentSize, LimitStrategy, RATE, SimVm, VmMessage, limit_of};

/// Length of a simulation step, in milliseconds.
const STEP_MS: u64 = 10;
/// Network delay within a region and between regions, in milliseconds.
const LOCAL_DELAY: u64 = 2;
const REMOTE_DELAY: u64 = 55;
/// Interval of heartbeats within a region, in milliseconds.
const HEARTBEAT_INTERVAL: u64 = 100;
/// Maximum number of VMs of a region that callers use.
const MAX_USED_VMS: usize = 12;
/// Number of VMs of a region that send its summary to other regions.
const DELEGATES: usize = 3;
/// Mean cost of a request: 1/500 of what the limit permits per second.
const MEAN_COST: f64 = RATE / 500.0;
/// Share of long requests, and the multiple of their cost compared with others.
const LONG_SHARE: f64 = 0.03;
const LONG_COST: f64 = 30.0;

/// Costs of the requests of one step.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StepUsage {
    /// Cost that callers requested, that VMs admitted, and that an ideal central limiter admits.
    pub requested: f64,
    pub admitted: f64,
    pub ideal: f64,
}

/// The state of a trial.
pub(super) struct LimitsWorld {
    plan: LimitsPlan,
    vms: Vec<SimVm>,
    at: u64,
    random: StdRng,
    /// Messages and their receivers by arrival time.
    in_transit: BTreeMap<u64, Vec<(usize, VmMessage)>>,
    /// Token bucket level of an ideal central limiter.
    ideal_level: f64,
    /// Number of messages sent, and of the demands in them.
    pub messages: u64,
    pub sent_demands: u64,
}

impl LimitsWorld {
    pub fn new(plan: LimitsPlan, seed: u64) -> Self {
        let region_vms = plan.vms / plan.regions;
        let size = DeploymentSize { regions: plan.regions, region_vms };
        let vm = |number: usize| SimVm::new(number, number / region_vms, size, plan.strategy, 0);
        Self {
            plan,
            vms: (0..region_vms * plan.regions).map(vm).collect(),
            at: 0,
            random: StdRng::seed_from_u64(seed),
            in_transit: BTreeMap::new(),
            ideal_level: 0.0,
            messages: 0,
            sent_demands: 0,
        }
    }

    fn region_vms(&self) -> usize {
        self.plan.vms / self.plan.regions
    }

    fn is_up(&self, vm: usize) -> bool {
        !self.plan.scenario.is_down(self.at) && !self.plan.scenario.is_frozen(vm, self.at)
    }

    /// Simulates a step of [`STEP_MS`].
    pub fn step(&mut self) -> StepUsage {
        let was_down = self.plan.scenario.is_down(self.at);
        self.at += STEP_MS;
        if was_down && !self.plan.scenario.is_down(self.at) {
            let at = self.at;
            self.vms.iter_mut().for_each(|vm| vm.restart(at));
        }
        self.deliver();
        if self.at.is_multiple_of(HEARTBEAT_INTERVAL) {
            self.send_heartbeats();
        }
        for vm in 0..self.vms.len() {
            if self.is_up(vm) {
                self.run_round(vm);
            }
        }
        self.serve()
    }

    fn deliver(&mut self) {
        let later = self.in_transit.split_off(&(self.at + 1));
        let due = std::mem::replace(&mut self.in_transit, later);
        for (to, message) in due.into_values().flatten() {
            if !self.is_up(to) {
                continue;
            }
            if let Some((receiver, answer)) = self.vms[to].receive(message, self.at) {
                self.send(to, receiver, answer);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: VmMessage) {
        let vm_and_region = |vm: usize| (vm, self.vms[vm].region);
        self.messages += 1;
        self.sent_demands += match &message {
            VmMessage::Local(demand) => {
                let regions: usize = demand.regions.iter().map(|it| it.demands.len()).sum();
                (demand.own.as_ref().map_or(0, |own| own.demands.len()) + regions) as u64
            }
            _ => 1,
        };
        if !self.plan.scenario.reaches(vm_and_region(from), vm_and_region(to), self.at) {
            return;
        }
        let delay = match self.vms[from].region == self.vms[to].region {
            true => LOCAL_DELAY,
            false => REMOTE_DELAY,
        };
        self.in_transit.entry(self.at + delay).or_default().push((to, message));
    }

    /// Sends the heartbeats of all VMs within their regions.
    fn send_heartbeats(&mut self) {
        let (size, at, scenario) = (self.region_vms(), self.at, self.plan.scenario);
        for to in 0..self.vms.len() {
            let region = self.vms[to].region;
            for from in region * size..(region + 1) * size {
                let arrives =
                    self.is_up(from) && scenario.reaches((from, region), (to, region), at);
                if from != to && arrives && self.is_up(to) {
                    self.vms[to].record_seen(from, at);
                }
            }
        }
    }

    fn run_round(&mut self, vm: usize) {
        if self.vms[vm].should_request_grant(self.at) {
            self.send_grant_request(vm);
        }
        let interval = DEMAND_INTERVAL.as_millis() as u64 / STEP_MS;
        if !(self.at / STEP_MS + vm as u64).is_multiple_of(interval) {
            return;
        }
        let limit = limit_of(self.plan.scenario.limit(self.at));
        let (local_update, region_update) = self.vms[vm].run_round(limit, self.at);
        let (size, region) = (self.region_vms(), self.vms[vm].region);
        if let Some(update) = local_update {
            let others = (region * size..(region + 1) * size).filter(|other| *other != vm);
            others.for_each(|other| self.send(vm, other, update.clone()));
        }
        // Counts go to all VMs, because each VM reports its own count.
        let is_counted = self.plan.strategy == LimitStrategy::AddedCounts;
        let is_delegate = vm % size < DELEGATES;
        let Some(update) = region_update.filter(|_| is_counted || is_delegate) else { return };
        for other in (0..self.plan.regions).filter(|other| *other != region) {
            match is_counted {
                true => (0..size).for_each(|at| self.send(vm, other * size + at, update.clone())),
                false => {
                    let at = self.random.random_range(0..size.min(MAX_USED_VMS));
                    self.send(vm, other * size + at, update.clone());
                }
            }
        }
    }

    /// Requests a grant from the first VM of all or, if a partition prevents this, of the region.
    fn send_grant_request(&mut self, vm: usize) {
        let (region, size) = (self.vms[vm].region, self.region_vms());
        let is_first_reachable = self.plan.scenario.reaches((0, 0), (vm, region), self.at);
        let owner = if is_first_reachable { 0 } else { region * size };
        self.send(vm, owner, VmMessage::GrantRequest(vm));
    }

    /// Sends the requests of a step to the VMs that are up.
    fn serve(&mut self) -> StepUsage {
        let (size, scenario, at) = (self.region_vms(), self.plan.scenario, self.at);
        let limit = limit_of(scenario.limit(at));
        let dt = STEP_MS as f64 / 1e3;
        self.ideal_level = (self.ideal_level + limit.per_s * dt).min(limit.burst);
        let mut sum = StepUsage::default();
        let base_cost = MEAN_COST / (1.0 - LONG_SHARE + LONG_SHARE * LONG_COST);
        let costs = Exp::new(1.0 / base_cost).expect("the rate is positive");
        for region in 0..self.plan.regions {
            let available = (region * size..(region + 1) * size).take(MAX_USED_VMS);
            let available: Vec<usize> = available.filter(|vm| self.is_up(*vm)).collect();
            let share = scenario.region_share(region, self.plan.regions, at);
            let mean = scenario.load(at) * RATE * share * dt / MEAN_COST;
            if available.is_empty() || mean <= 0.0 {
                continue;
            }
            let arrivals = Poisson::new(mean).expect("the mean is positive");
            for _ in 0..arrivals.sample(&mut self.random) as u64 {
                let vm = available[self.random.random_range(0..available.len())];
                let is_long = self.random.random_bool(LONG_SHARE);
                let cost = costs.sample(&mut self.random) * if is_long { LONG_COST } else { 1.0 };
                sum.requested += cost;
                if self.ideal_level > 0.0 {
                    self.ideal_level -= cost;
                    sum.ideal += cost;
                }
                if self.vms[vm].try_admit(cost, at) {
                    sum.admitted += cost;
                }
            }
        }
        sum
    }

    /// Returns the time since the start of the trial, in milliseconds.
    pub fn at(&self) -> u64 {
        self.at
    }
}
