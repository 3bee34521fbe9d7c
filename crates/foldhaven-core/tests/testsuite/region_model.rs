//! A model of three regions whose VMs send requests to each other by told room, in steps of 10 ms.
//! Each region starts its waiting requests in the order of their levels.

use std::time::Duration;

use foldhaven_core::ids::{IncarnationId, RegionName};
use foldhaven_core::opaque::level_loads::{LevelLoads, LevelShare};
use foldhaven_core::opaque::peer_table::{ServiceTag, VmTag};
use foldhaven_core::opaque::performance::QueueState;
use foldhaven_core::opaque::priority_level::{LEVEL_COUNT, PriorityLevel};
use foldhaven_core::opaque::region_room::{BoundShares, OwnRoom, RegionQueues};
use foldhaven_core::opaque::remote_room::{RemoteRooms, SendCost};
use foldhaven_core::opaque::request_class::RequestClass;
use foldhaven_core::opaque::room_reports::LevelRoomReport;
use foldhaven_core::opaque::service_room::RoomLimits;

use crate::opaque_support::at;

pub const SERVICE: ServiceTag = ServiceTag(3);
pub const REGIONS: usize = 3;
const STEP_MS: u64 = 10;
const ONE_WAY_MS: u64 = 55;
/// The time from a report's state to its arrival at the last VM of another region.
const REPORT_DELAY_MS: u64 = 150;
const REPORT_EVERY_MS: u64 = 250;
const DELEGATES: u64 = 3;
const SLOT_TIME: Duration = Duration::from_millis(1_200);

/// A kind of requests.
pub struct Kind {
    pub level: u8,
    pub hold_ms: u64,
    pub target_ms: u64,
    pub worth: f64,
    /// The share of the demand, in slots.
    pub share: f64,
    pub permitted: [bool; REGIONS],
}

/// Urgent questions, checks bound to two regions, and long reviews.
pub const KINDS: [Kind; 3] = [
    Kind {
        level: 3,
        hold_ms: 1_300,
        target_ms: 500,
        worth: 3.7,
        share: 0.37,
        permitted: [true; 3],
    },
    Kind {
        level: 4,
        hold_ms: 200,
        target_ms: 600,
        worth: 1.1,
        share: 0.12,
        permitted: [true, true, false],
    },
    Kind {
        level: 5,
        hold_ms: 1_800,
        target_ms: 1_500,
        worth: 1.1,
        share: 0.51,
        permitted: [true; 3],
    },
];

#[derive(Clone, Copy)]
struct Request {
    kind: usize,
    home: usize,
    vm: usize,
    arrived_ms: u64,
    /// When it is at the region where it waits.
    there_ms: u64,
    is_forwarded: bool,
}

impl Request {
    fn kind(&self) -> &'static Kind {
        &KINDS[self.kind]
    }

    fn class(&self) -> RequestClass {
        let is_bound = self.kind().permitted.contains(&false);
        RequestClass {
            level: PriorityLevel::new(self.kind().level),
            is_bound,
            ..RequestClass::default()
        }
    }

    fn is_late(&self, now: u64) -> bool {
        let way = if self.is_forwarded { ONE_WAY_MS } else { 0 };
        now + way > self.arrived_ms + self.kind().target_ms
    }
}

/// Returns one running request of a kind.
fn share_of(kind: usize) -> LevelShare {
    let level = PriorityLevel::new(KINDS[kind].level);
    LevelShare { level, in_flight: 1, prefill_backlog: 0, memory_tokens: 0 }
}

struct Region {
    slots: u32,
    running: Vec<(u64, usize)>,
    levels: LevelLoads,
    waiting: Vec<Request>,
    vms: Vec<RemoteRooms>,
    bound: BoundShares,
}

impl Region {
    fn queue(&self) -> QueueState {
        let (slots, in_flight) = (self.slots, self.running.len() as u32);
        QueueState { slots, in_flight, levels: self.levels, ..QueueState::default() }
    }

    fn end_requests(&mut self, now: u64) {
        for (_, kind) in self.running.extract_if(.., |(end, _)| *end <= now) {
            self.levels.remove(&share_of(kind));
        }
    }

    fn own_room(&self, vm: usize, now: u64) -> OwnRoom {
        let count = |is_counted: &dyn Fn(&Request) -> bool| {
            let mut counts = [0; LEVEL_COUNT];
            let counted = self.waiting.iter().filter(|it| it.there_ms <= now && is_counted(it));
            counted.for_each(|it| counts[usize::from(it.kind().level)] += 1);
            counts
        };
        let (all, own) = (count(&|_| true), count(&|it| it.vm == vm));
        let queues = [self.queue()];
        let region = RegionQueues {
            queues: &queues,
            scale: 1.0,
            max_backlog: u32::MAX,
            slot_time: SLOT_TIME,
            waiting: &all,
        };
        OwnRoom::new(&region, &self.bound, &own, self.vms.len())
    }
}

/// How requests find their region.
#[derive(Clone, Copy, PartialEq)]
pub enum Scheduler {
    /// Each VM decides by the room that it was told.
    Told,
    /// Each region keeps its own unless they may not run there.
    Home,
    /// One queue knows all slots at every moment.
    Perfect,
}

/// What callers of one region asked for and got.
#[derive(Debug, Default, Clone, Copy)]
pub struct Worth {
    pub offered: f64,
    pub served: f64,
}

impl Worth {
    pub fn share(&self) -> f64 {
        if self.offered == 0.0 { 1.0 } else { self.served / self.offered }
    }
}

pub struct Model {
    scheduler: Scheduler,
    regions: Vec<Region>,
    reports: Vec<(u64, usize, LevelRoomReport)>,
    now: u64,
    random: u64,
    /// By window of two seconds of arrival, and region of the caller.
    pub windows: Vec<[Worth; REGIONS]>,
    /// The number of requests of callers.
    pub arrived: usize,
    /// By sender, receiver, level and quarter of a second.
    pub sent: Vec<(usize, usize, u8, u64)>,
    /// Whether reports of a region are lost on the way to another one.
    pub is_cut: fn(from: usize, to: usize, now: u64) -> bool,
    /// When a region is lost, with its waiting requests and slots.
    pub lost: Option<(usize, u64)>,
}

pub fn region_name(index: usize) -> RegionName {
    ["bengal", "deccan", "gulf"][index].parse().unwrap()
}

impl Model {
    pub fn new(scheduler: Scheduler, slots: [u32; REGIONS], vms: [usize; REGIONS]) -> Self {
        let region = |index: usize| Region {
            slots: slots[index],
            running: Vec::new(),
            levels: LevelLoads::default(),
            waiting: Vec::new(),
            vms: (0..vms[index]).map(|_| RemoteRooms::default()).collect(),
            bound: BoundShares::default(),
        };
        Self {
            scheduler,
            regions: (0..REGIONS).map(region).collect(),
            reports: Vec::new(),
            now: 0,
            random: 0x9e37_79b9,
            windows: Vec::new(),
            arrived: 0,
            sent: Vec::new(),
            is_cut: |_, _, _| false,
            lost: None,
        }
    }

    fn draw(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Runs until a time. `demand` returns the demand of each region's callers, in its slots.
    pub fn run(&mut self, until_ms: u64, demand: impl Fn(u64) -> [f64; REGIONS]) {
        while self.now < until_ms {
            self.lose_region();
            self.arrive(demand(self.now));
            for region in &mut self.regions {
                region.end_requests(self.now);
                region.waiting.retain(|request| !request.is_late(self.now));
            }
            if self.scheduler == Scheduler::Told {
                self.report();
                self.send_away();
            }
            match self.scheduler {
                Scheduler::Perfect => self.start_perfectly(),
                _ => (0..REGIONS).for_each(|region| self.start(region)),
            }
            self.now += STEP_MS;
        }
    }

    fn lose_region(&mut self) {
        if let Some((region, _)) = self.lost.filter(|(_, time)| *time <= self.now) {
            let region = &mut self.regions[region];
            region.slots = 0;
            region.end_requests(u64::MAX);
            region.waiting.clear();
        }
    }

    fn is_lost(&self, region: usize) -> bool {
        self.lost.is_some_and(|(lost, time)| lost == region && time <= self.now)
    }

    fn arrive(&mut self, demand: [f64; REGIONS]) {
        for home in (0..REGIONS).filter(|home| demand[*home] > 0.0) {
            for (kind, it) in KINDS.iter().enumerate() {
                let per_ms = demand[home] * f64::from(self.regions[home].slots) * it.share
                    / it.hold_ms as f64;
                let expected = per_ms * STEP_MS as f64;
                for _ in 0..(expected + self.draw()) as u32 {
                    self.add(kind, home);
                }
            }
        }
    }

    fn add(&mut self, kind: usize, home: usize) {
        // Bound requests go to the nearest region that may run them.
        let permitted = (home..REGIONS).chain(0..home).find(|at| KINDS[kind].permitted[*at]);
        let at = permitted.unwrap_or(home);
        let is_forwarded = at != home;
        let way = if is_forwarded { ONE_WAY_MS } else { 0 };
        let vm = (self.draw() * self.regions[at].vms.len() as f64) as usize;
        let request = Request {
            kind,
            home,
            vm,
            arrived_ms: self.now,
            there_ms: self.now + way,
            is_forwarded,
        };
        let window = (self.now / 2_000) as usize;
        self.windows.resize(self.windows.len().max(window + 1), [Worth::default(); REGIONS]);
        self.arrived += 1;
        self.windows[window][home].offered += KINDS[kind].worth;
        let class = request.class();
        self.regions[at].bound.record(class.level, class.is_bound);
        self.regions[at].waiting.push(request);
    }

    fn report(&mut self) {
        let (phase, now) = (REPORT_EVERY_MS / DELEGATES, self.now);
        for from in 0..REGIONS {
            if self.is_lost(from) {
                continue;
            }
            let due =
                (0..DELEGATES).filter(|it| now % REPORT_EVERY_MS == it * phase / STEP_MS * STEP_MS);
            let reports = due.map(|delegate| {
                let region = &self.regions[from];
                let own = region.own_room(0, now);
                let rooms = region.vms[0].reported_rooms(SERVICE, &own, at(now));
                LevelRoomReport {
                    region: region_name(from),
                    delegate: VmTag(delegate as _),
                    incarnation: IncarnationId(1),
                    sequence: (now / REPORT_EVERY_MS) as u32 + 1,
                    is_relayed: false,
                    rooms: vec![(SERVICE, rooms)],
                }
            });
            let reports: Vec<_> = reports.collect();
            let arrive = |report| (now + REPORT_DELAY_MS, from, report);
            self.reports.extend(reports.into_iter().map(arrive));
        }
        let arrived: Vec<_> = self.reports.extract_if(.., |(time, ..)| *time <= now).collect();
        for (_, from, report) in arrived {
            for to in (0..REGIONS).filter(|to| *to != from) {
                if !(self.is_cut)(from, to, now) {
                    self.apply(to, &report);
                }
            }
        }
    }

    fn apply(&mut self, to: usize, report: &LevelRoomReport) {
        for vm in 0..self.regions[to].vms.len() {
            let own = self.regions[to].own_room(vm, self.now);
            let draw = self.draw();
            let rooms = &mut self.regions[to].vms[vm];
            rooms.apply(report, |_| Some(own), draw, at(self.now));
        }
    }

    fn send_away(&mut self) {
        let cost = SendCost {
            round_trip: Duration::from_millis(2 * ONE_WAY_MS),
            slot_time: SLOT_TIME,
            bytes: 0.05,
        };
        for from in 0..REGIONS {
            let mut stay = Vec::new();
            for mut request in std::mem::take(&mut self.regions[from].waiting) {
                let class = request.class();
                let vm = &mut self.regions[from].vms[request.vm];
                let to = (0..REGIONS).find(|to| {
                    let is_open = *to != from && request.kind().permitted[*to];
                    let (name, now) = (region_name(*to), at(self.now));
                    is_open
                        && !request.is_forwarded
                        && vm.may_send(&name, SERVICE, &class, cost, now)
                });
                let Some(to) = to else {
                    stay.push(request);
                    continue;
                };
                vm.take(&region_name(to), SERVICE, class.level, at(self.now));
                self.sent.push((from, to, class.level.number(), self.now / 250));
                request.is_forwarded = true;
                request.there_ms = self.now + ONE_WAY_MS;
                request.vm = self.now as usize / 10 % self.regions[to].vms.len();
                self.regions[to].waiting.push(request);
            }
            self.regions[from].waiting.append(&mut stay);
        }
    }

    fn start(&mut self, region: usize) {
        let now = self.now;
        self.regions[region].waiting.sort_by_key(|it| (it.kind().level, it.arrived_ms));
        let mut stay = Vec::new();
        for request in std::mem::take(&mut self.regions[region].waiting) {
            let queue = self.regions[region].queue();
            let limits = RoomLimits::new(request.class().level, &[queue], u32::MAX);
            let has_room = request.there_ms <= now && limits.room(queue).slots > 0;
            if !has_room || !self.run_request(region, &request) {
                stay.push(request);
            }
        }
        self.regions[region].waiting = stay;
    }

    /// Starts a request. Returns whether the region has a slot for it.
    fn run_request(&mut self, region: usize, request: &Request) -> bool {
        let Region { slots, running, levels, .. } = &mut self.regions[region];
        if running.len() >= *slots as usize {
            return false;
        }
        running.push((self.now + request.kind().hold_ms, request.kind));
        levels.add(&share_of(request.kind));
        let window = (request.arrived_ms / 2_000) as usize;
        self.windows[window][request.home].served += request.kind().worth;
        true
    }

    fn start_perfectly(&mut self) {
        let mut all: Vec<Request> = Vec::new();
        self.regions.iter_mut().for_each(|region| all.append(&mut region.waiting));
        all.sort_by_key(|it| (it.kind().level, it.arrived_ms));
        for request in all {
            // The region without bound requests is filled first.
            let permitted = (0..REGIONS).rev().filter(|at| request.kind().permitted[*at]);
            if !permitted.into_iter().any(|region| self.run_request(region, &request)) {
                self.regions[request.home].waiting.push(request);
            }
        }
    }

    /// Returns what all callers got of what they asked for in some windows.
    pub fn served(&self, windows: std::ops::Range<usize>) -> f64 {
        let all = self.windows[windows].iter().flatten();
        let sum = all.fold(Worth::default(), |sum, it| Worth {
            offered: sum.offered + it.offered,
            served: sum.served + it.served,
        });
        sum.share()
    }

    /// Returns the difference between the best and the worst region in a window.
    pub fn spread(&self, window: usize) -> f64 {
        let shares = self.windows[window].iter().map(Worth::share);
        let (low, high) =
            shares.fold((1.0_f64, 0.0_f64), |(low, high), it| (low.min(it), high.max(it)));
        high - low
    }
}
