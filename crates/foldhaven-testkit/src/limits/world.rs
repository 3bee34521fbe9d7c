//! The VMs of a play, their callers and the ways between them.

use std::collections::BTreeMap;

use foldhaven_core::opaque::account_demand::DEMAND_INTERVAL;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, Poisson};

use super::experiment::LimitsPlan;
use super::vm::{LimitWay, PlaySize, RATE, SimVm, Telling, limit_of};

/// The step of a play, in milliseconds.
const STEP: u64 = 10;
/// How long messages take within a region and between regions.
const NEAR_WAY: u64 = 2;
const FAR_WAY: u64 = 55;
/// Between two signs of life within a region.
const LIFE_INTERVAL: u64 = 100;
/// How many VMs of a region callers use at most.
const MOST_USED: usize = 12;
/// How many VMs of a region tell the others of it.
const DELEGATES: usize = 3;
/// The mean cost of a request, as a part of what the limit permits a second.
const MEAN_COST: f64 = RATE / 500.0;
/// The share of requests that are long, and how much longer they are than others.
const LONG_SHARE: f64 = 0.03;
const LONG_COST: f64 = 30.0;

/// A moment of a play.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StepUse {
    /// What callers asked for, what was let through, and what one count of all would have let through.
    pub asked: f64,
    pub used: f64,
    pub owed: f64,
}

/// A play under way.
pub(super) struct LimitsWorld {
    plan: LimitsPlan,
    vms: Vec<SimVm>,
    at: u64,
    random: StdRng,
    /// Messages by when they arrive.
    under_way: BTreeMap<u64, Vec<(usize, Telling)>>,
    /// What one count of all would let through at once.
    perfect: f64,
    /// Messages that were sent, and the wants in them.
    pub messages: u64,
    pub wants: u64,
}

impl LimitsWorld {
    pub fn new(plan: LimitsPlan, seed: u64) -> Self {
        let region_vms = plan.vms / plan.regions;
        let size = PlaySize { regions: plan.regions, region_vms };
        let vm = |number: usize| SimVm::new(number, number / region_vms, size, plan.way, 0);
        Self {
            plan,
            vms: (0..region_vms * plan.regions).map(vm).collect(),
            at: 0,
            random: StdRng::seed_from_u64(seed),
            under_way: BTreeMap::new(),
            perfect: 0.0,
            messages: 0,
            wants: 0,
        }
    }

    fn region_vms(&self) -> usize {
        self.plan.vms / self.plan.regions
    }

    fn is_up(&self, vm: usize) -> bool {
        !self.plan.trouble.is_down(self.at) && !self.plan.trouble.is_frozen(vm, self.at)
    }

    /// Plays a step of [`STEP`].
    pub fn step(&mut self) -> StepUse {
        let was_down = self.plan.trouble.is_down(self.at);
        self.at += STEP;
        if was_down && !self.plan.trouble.is_down(self.at) {
            let at = self.at;
            self.vms.iter_mut().for_each(|vm| vm.restart(at));
        }
        self.deliver();
        if self.at.is_multiple_of(LIFE_INTERVAL) {
            self.tell_lives();
        }
        for vm in 0..self.vms.len() {
            if self.is_up(vm) {
                self.round(vm);
            }
        }
        self.serve()
    }

    fn deliver(&mut self) {
        let later = self.under_way.split_off(&(self.at + 1));
        let due = std::mem::replace(&mut self.under_way, later);
        for (to, telling) in due.into_values().flatten() {
            if !self.is_up(to) {
                continue;
            }
            if let Some((back, answer)) = self.vms[to].hear(telling, self.at) {
                self.send(to, back, answer);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, telling: Telling) {
        let place = |vm: usize| (vm, self.vms[vm].region);
        self.messages += 1;
        self.wants += match &telling {
            Telling::Near(demand) => {
                let regions: usize = demand.regions.iter().map(|it| it.demands.len()).sum();
                (demand.own.as_ref().map_or(0, |own| own.demands.len()) + regions) as u64
            }
            _ => 1,
        };
        if !self.plan.trouble.reaches(place(from), place(to), self.at) {
            return;
        }
        let way = match self.vms[from].region == self.vms[to].region {
            true => NEAR_WAY,
            false => FAR_WAY,
        };
        self.under_way.entry(self.at + way).or_default().push((to, telling));
    }

    /// Each VM shows those of its region that it lives.
    fn tell_lives(&mut self) {
        let (size, at, trouble) = (self.region_vms(), self.at, self.plan.trouble);
        for to in 0..self.vms.len() {
            let region = self.vms[to].region;
            for from in region * size..(region + 1) * size {
                let is_heard =
                    self.is_up(from) && trouble.reaches((from, region), (to, region), at);
                if from != to && is_heard && self.is_up(to) {
                    self.vms[to].note_heard(from, at);
                }
            }
        }
    }

    fn round(&mut self, vm: usize) {
        if self.vms[vm].wants_grant(self.at) {
            self.send_ask(vm);
        }
        let interval = DEMAND_INTERVAL.as_millis() as u64 / STEP;
        if !(self.at / STEP + vm as u64).is_multiple_of(interval) {
            return;
        }
        let limit = limit_of(self.plan.trouble.limit(self.at));
        let (near, far) = self.vms[vm].round(limit, self.at);
        let (size, region) = (self.region_vms(), self.vms[vm].region);
        if let Some(near) = near {
            let others = (region * size..(region + 1) * size).filter(|other| *other != vm);
            others.for_each(|other| self.send(vm, other, near.clone()));
        }
        // Counts go to all: each VM has one of its own.
        let is_counted = self.plan.way == LimitWay::AddedCounts;
        let speaks = vm % size < DELEGATES;
        let Some(far) = far.filter(|_| is_counted || speaks) else { return };
        for other in (0..self.plan.regions).filter(|other| *other != region) {
            match is_counted {
                true => (0..size).for_each(|at| self.send(vm, other * size + at, far.clone())),
                false => {
                    let at = self.random.random_range(0..size.min(MOST_USED));
                    self.send(vm, other * size + at, far.clone());
                }
            }
        }
    }

    /// Asks the first VM of all, and of those that are cut off the first one of their region.
    fn send_ask(&mut self, vm: usize) {
        let (region, size) = (self.vms[vm].region, self.region_vms());
        let is_open = self.plan.trouble.reaches((0, 0), (vm, region), self.at);
        let owner = if is_open { 0 } else { region * size };
        self.send(vm, owner, Telling::Ask(vm));
    }

    /// Callers send their requests to the VMs that are up.
    fn serve(&mut self) -> StepUse {
        let (size, trouble, at) = (self.region_vms(), self.plan.trouble, self.at);
        let limit = limit_of(trouble.limit(at));
        let dt = STEP as f64 / 1e3;
        self.perfect = (self.perfect + limit.per_s * dt).min(limit.burst);
        let mut sum = StepUse::default();
        let usual = MEAN_COST / (1.0 - LONG_SHARE + LONG_SHARE * LONG_COST);
        let costs = Exp::new(1.0 / usual).expect("the rate is positive");
        for region in 0..self.plan.regions {
            let open = (region * size..(region + 1) * size).take(MOST_USED);
            let open: Vec<usize> = open.filter(|vm| self.is_up(*vm)).collect();
            let share = trouble.region_share(region, self.plan.regions, at);
            let mean = trouble.load(at) * RATE * share * dt / MEAN_COST;
            if open.is_empty() || mean <= 0.0 {
                continue;
            }
            let arrivals = Poisson::new(mean).expect("the mean is positive");
            for _ in 0..arrivals.sample(&mut self.random) as u64 {
                let vm = open[self.random.random_range(0..open.len())];
                let is_long = self.random.random_bool(LONG_SHARE);
                let cost = costs.sample(&mut self.random) * if is_long { LONG_COST } else { 1.0 };
                sum.asked += cost;
                if self.perfect > 0.0 {
                    self.perfect -= cost;
                    sum.owed += cost;
                }
                if self.vms[vm].ask(cost, at) {
                    sum.used += cost;
                }
            }
        }
        sum
    }

    /// The time of the play, in milliseconds.
    pub fn at(&self) -> u64 {
        self.at
    }
}
