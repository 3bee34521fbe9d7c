//! Requests that wait at their VM until an upstream has room for all of them.
//!
//! A request that waits at an upstream is displaced by more urgent ones after its prompt was read,
//! and cannot go elsewhere. Requests therefore wait at the VM, in the order of their levels; within
//! a level, those that can still be in time go first, and then the one whose caller has waited
//! longest, also if it comes again after a refusal.
//!
//! VMs see free slots at the same time, in load reports of the same age. Each takes the slots that
//! its own requests have left, and of the others a part by how many of the waiting requests are its
//! own. It leaves what more urgent requests at other VMs need.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::opaque::account_demand::AccountTag;
use crate::opaque::account_shares::AccountShares;
use crate::opaque::expected_start::{FirstAnswerDelay, SlotLoad, SlotTimes};
use crate::opaque::priority_level::{LEVEL_COUNT, PriorityLevel};
use crate::opaque::request_class::{CallerWait, RequestClass, RoomNeed};
use crate::opaque::service_room::ServiceRoom;
use crate::time::MonoTime;

/// The interval between two rounds in which requests are let go.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(20);
/// The time in which the rate at which requests arrive follows a change by the factor e.
const RATE_TIME: Duration = Duration::from_millis(1_500);
/// With fewer requests of this VM in flight, its part of the region's requests is not known.
const MIN_OWN_IN_FLIGHT: u32 = 8;
/// The default of [`WaitingRoom::set_floor_share`].
pub const DEFAULT_FLOOR_SHARE: f64 = 0.05;

/// Identifies a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(u64);

/// What the place of a request in the order depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Its level, account and need of room.
    pub class: RequestClass,
    /// When its caller began to wait, with an earlier try if it comes again.
    pub since: MonoTime,
    /// The last moment at which it can start and be in time.
    pub late_at: MonoTime,
}

impl WaitingRequest {
    /// Creates a request that has to be answered within `target`, and needs a time for that after it
    /// has started.
    pub fn new(
        class: RequestClass,
        waited: CallerWait,
        target: Duration,
        needed: Duration,
        now: MonoTime,
    ) -> Self {
        let spare = target.saturating_sub(waited.spent() + needed);
        Self { class, since: now - waited.total, late_at: now + spare }
    }

    /// Whether the request can no longer be in time.
    fn is_late(&self, now: MonoTime) -> bool {
        now >= self.late_at
    }

    /// Returns the key by which waiting requests are sorted.
    fn order(&self, now: MonoTime) -> (PriorityLevel, bool, MonoTime) {
        (self.class.level, self.is_late(now), self.since)
    }
}

/// What a VM sees of the room at the upstreams of a service in its region.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RoomView {
    /// The room for requests of each level.
    pub room: [ServiceRoom; LEVEL_COUNT],
    /// The requests in flight at these upstreams by level, of all VMs of the region.
    pub in_flight: [u32; LEVEL_COUNT],
    /// The mean time for which requests hold a slot.
    pub slot_time: Duration,
    /// The requests of this VM at these upstreams.
    pub own_in_flight: u32,
    /// The requests of each level that wait at the other VMs of the region.
    pub waiting_elsewhere: [u32; LEVEL_COUNT],
    /// The interval between two load reports of a VM.
    pub report_interval: Duration,
}

#[derive(Debug)]
struct Ticket {
    request: WaitingRequest,
    /// Whether it was let go and has not tried yet.
    has_turn: bool,
}

/// The rate at which requests of one level arrive, per second.
#[derive(Debug, Clone, Copy, Default)]
struct ArrivalRate {
    per_s: f64,
    updated: MonoTime,
}

impl ArrivalRate {
    fn decayed(&self, now: MonoTime) -> f64 {
        self.per_s * (-now.since(self.updated).div_duration_f64(RATE_TIME)).exp()
    }

    fn record(&mut self, now: MonoTime) {
        self.per_s = self.decayed(now) + 1.0 / RATE_TIME.as_secs_f64();
        self.updated = now;
    }
}

/// The requests of one service that wait at one VM.
#[derive(Debug)]
pub struct WaitingRoom {
    next_id: u64,
    tickets: BTreeMap<TicketId, Ticket>,
    /// When the last round was. `None` before the first one.
    last_round: Option<MonoTime>,
    /// The requests of this VM at the upstreams that are expected since the last round.
    expected_in_flight: u32,
    /// What the VM saw at the last round. `None` before the first one.
    last_view: Option<RoomView>,
    arrivals: [ArrivalRate; LEVEL_COUNT],
    /// When a request of each level last started.
    last_starts: [MonoTime; LEVEL_COUNT],
    slot_times: SlotTimes,
    first_answer_delay: FirstAnswerDelay,
    floor_share: f64,
    /// The slots owed to requests that more urgent ones keep from starting.
    floor_debt: f64,
    /// What each account was granted lately.
    shares: AccountShares,
}

impl Default for WaitingRoom {
    fn default() -> Self {
        Self {
            next_id: 0,
            tickets: BTreeMap::new(),
            last_round: None,
            expected_in_flight: 0,
            last_view: None,
            arrivals: [ArrivalRate::default(); LEVEL_COUNT],
            last_starts: [MonoTime::default(); LEVEL_COUNT],
            slot_times: SlotTimes::default(),
            first_answer_delay: FirstAnswerDelay::default(),
            floor_share: DEFAULT_FLOOR_SHARE,
            floor_debt: 0.0,
            shares: AccountShares::default(),
        }
    }
}

impl WaitingRoom {
    /// Sets the share of the slots that become free which goes to requests that more urgent ones
    /// keep from starting, so that no level waits for ever.
    pub fn set_floor_share(&mut self, share: f64) {
        self.floor_share = share.clamp(0.0, 1.0);
    }

    /// Adds a request.
    pub fn enter(&mut self, request: WaitingRequest) -> TicketId {
        if self.tickets.is_empty() {
            self.last_round = None;
            self.last_view = None;
        }
        let id = TicketId(self.next_id);
        self.next_id += 1;
        self.tickets.insert(id, Ticket { request, has_turn: false });
        id
    }

    /// Removes a request, because it starts or its caller has left.
    pub fn leave(&mut self, id: TicketId) {
        self.tickets.remove(&id);
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns the number of waiting requests of a level and of all more urgent ones.
    pub fn len_through(&self, level: PriorityLevel) -> usize {
        self.tickets.values().filter(|ticket| ticket.request.class.level <= level).count()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Returns the number of waiting requests of each level, as told to other VMs: less urgent
    /// requests there leave room for them. Late ones count for the last level.
    pub fn counts(&self, now: MonoTime) -> [u32; LEVEL_COUNT] {
        let mut counts = [0; LEVEL_COUNT];
        for request in self.tickets.values().map(|ticket| &ticket.request) {
            let level =
                if request.is_late(now) { PriorityLevel::LAST } else { request.class.level };
            counts[level.index()] += 1;
        }
        counts
    }

    /// Returns the number of waiting requests of each level, late ones included.
    fn waiting(&self) -> [u32; LEVEL_COUNT] {
        let mut counts = [0; LEVEL_COUNT];
        self.tickets.values().for_each(|ticket| counts[ticket.request.class.level.index()] += 1);
        counts
    }

    /// Whether any waiting request goes before another one.
    pub fn has_ahead(&self, request: &WaitingRequest, now: MonoTime) -> bool {
        let order = request.order(now);
        self.tickets.values().any(|ticket| ticket.request.order(now) < order)
    }

    /// Whether the next round is due.
    pub fn is_round_due(&self, now: MonoTime) -> bool {
        self.last_round.is_none_or(|last| now.since(last) >= ROUND_INTERVAL)
    }

    /// Lets the first requests go for which there is room. `draw` is a random number, uniform in
    /// 0..1.
    pub fn run_round(&mut self, view: &RoomView, draw: f64, now: MonoTime) {
        let left = match self.last_round {
            Some(_) => self.expected_in_flight.saturating_sub(view.own_in_flight),
            None => 0,
        };
        self.last_round = Some(now);
        self.last_view = Some(*view);
        let granted = self.grant(view, left, draw, now);
        self.expected_in_flight = view.own_in_flight + granted;
    }

    /// Returns how many requests were let go. `left` slots were left by requests of this VM.
    fn grant(&mut self, view: &RoomView, left: u32, draw: f64, now: MonoTime) -> u32 {
        let own_waiting = self.waiting();
        let order = self.sorted(now);
        let mut spent = ServiceRoom::default();
        for id in &order {
            let ticket = self.tickets.get_mut(id).expect("sorted ids are of waiting requests");
            let need = ticket.request.class.need;
            let level = ticket.request.class.level;
            let part = RoomPart { view, own_waiting: &own_waiting, level };
            if !part.of_room(left).has_room(spent, need, draw) {
                break;
            }
            ticket.has_turn = true;
            spent = spent.plus(ServiceRoom::taken_by(need));
        }
        spent.slots + self.grant_floor(&order, view, left)
    }

    /// Lets a request go that more urgent ones keep from starting, if the floor owes it a slot: the
    /// first of the level of which none has started for longest.
    fn grant_floor(&mut self, order: &[TicketId], view: &RoomView, left: u32) -> u32 {
        let waiting = order.iter().filter(|id| !self.tickets[id].has_turn);
        let last_start =
            |id: &&TicketId| self.last_starts[self.tickets[id].request.class.level.index()];
        let Some(starved) = waiting.min_by_key(last_start).copied() else {
            self.floor_debt = 0.0;
            return 0;
        };
        self.floor_debt += f64::from(left) * self.floor_share;
        if self.floor_debt < 1.0 || view.room[0].slots == 0 {
            return 0;
        }
        self.floor_debt -= 1.0;
        self.tickets.get_mut(&starved).expect("it waits").has_turn = true;
        1
    }

    fn sorted(&self, now: MonoTime) -> Vec<TicketId> {
        let mut ids: Vec<TicketId> = self.tickets.keys().copied().collect();
        ids.sort_by_key(|id| (self.tickets[id].request.order(now), *id));
        let rank = |id: &TicketId| {
            let request = &self.tickets[id].request;
            (request.class.level, request.is_late(now))
        };
        let groups = ids.chunk_by(|first, second| rank(first) == rank(second));
        let by_account = |group: &[TicketId]| {
            let of_account = |id: &TicketId| (self.tickets[id].request.class.account, *id);
            self.shares.take_turns(&group.iter().map(of_account).collect::<Vec<_>>(), now)
        };
        groups.flat_map(by_account).collect()
    }

    /// Whether a request was let go. It may try once, and waits on if it finds no room.
    pub fn take_turn(&mut self, id: TicketId) -> bool {
        let ticket = self.tickets.get_mut(&id);
        ticket.is_some_and(|ticket| std::mem::replace(&mut ticket.has_turn, false))
    }

    /// Records that a request of a level has arrived at this VM.
    pub fn record_arrival(&mut self, level: PriorityLevel, now: MonoTime) {
        self.arrivals[level.index()].record(now);
    }

    /// Records that a request of an account starts, with or without a wait.
    pub fn record_account_start(&mut self, account: Option<AccountTag>, now: MonoTime) {
        self.shares.record(account, now);
    }

    /// Records that a request of a level has left the room and starts.
    pub fn record_start(&mut self, level: PriorityLevel, now: MonoTime) {
        self.last_starts[level.index()] = now;
    }

    /// Records how long a request of a level held a slot.
    pub fn record_slot_time(&mut self, level: PriorityLevel, held: Duration) {
        self.slot_times.record(level, held);
    }

    /// Records the time from the start of a request to its first answer, of which `prefill` was
    /// expected for the prompt.
    pub fn record_first_answer(&mut self, took: Duration, prefill: Duration) {
        self.first_answer_delay.record(took, prefill);
    }

    /// Returns the time that a request needs beside its prefill to be in time: until it is let go,
    /// and for the network and the first token.
    pub fn start_margin(&self, target: Duration) -> Duration {
        ROUND_INTERVAL + self.first_answer_delay.margin(target)
    }

    /// Returns how long a request probably waits. `None` before the first round after the room was
    /// empty.
    pub fn expected_wait(&self, request: &WaitingRequest, now: MonoTime) -> Option<Duration> {
        let view = self.last_view.as_ref()?;
        let level = request.class.level;
        let load = SlotLoad {
            free: view.room[level.index()].slots,
            in_flight: view.in_flight,
            urgent_arrivals_per_s: self.urgent_arrivals(level, view, now),
            usual_slot_time: view.slot_time,
        };
        Some(load.expected_wait(level, self.ahead(request, view, now), &self.slot_times))
    }

    /// Returns how many requests go before a request in the region. Of its own level, as many at
    /// other VMs as by their share of those that wait.
    fn ahead(&self, request: &WaitingRequest, view: &RoomView, now: MonoTime) -> f64 {
        let index = request.class.level.index();
        let own_waiting = self.waiting();
        let of_level = self.count_ahead(request, now) as f64;
        let part = of_level / f64::from(own_waiting[index].max(1));
        let more_urgent = |counts: &[u32; LEVEL_COUNT]| counts[..index].iter().sum::<u32>();
        let before = more_urgent(&own_waiting) + more_urgent(&view.waiting_elsewhere);
        f64::from(before) + of_level + part * f64::from(view.waiting_elsewhere[index])
    }

    /// Returns the number of waiting requests of the level of a request that go before it.
    fn count_ahead(&self, request: &WaitingRequest, now: MonoTime) -> usize {
        let WaitingRequest { class, .. } = request;
        let order = request.order(now);
        let of_level = self.tickets.values().map(|ticket| &ticket.request);
        let of_level = of_level.filter(|it| it.class.level == class.level);
        let (mut less_late, mut own_ahead) = (0, 0);
        let mut others: HashMap<Option<AccountTag>, usize> = HashMap::new();
        for other in of_level {
            if other.is_late(now) != request.is_late(now) {
                less_late += usize::from(!other.is_late(now));
            } else if other.class.account != class.account {
                *others.entry(other.class.account).or_default() += 1;
            } else {
                own_ahead += usize::from(other.order(now) < order);
            }
        }
        less_late + self.shares.count_ahead(class.account, own_ahead, &others, now)
    }

    /// Returns the rate at which requests more urgent than a level arrive in the region, from the
    /// arrivals at this VM and its part of the requests in flight. `None` if few of them are its
    /// own.
    fn urgent_arrivals(&self, level: PriorityLevel, view: &RoomView, now: MonoTime) -> Option<f64> {
        if view.own_in_flight < MIN_OWN_IN_FLIGHT {
            return None;
        }
        let all: u32 = view.in_flight.iter().sum();
        let scale = f64::from(all) / f64::from(view.own_in_flight);
        let urgent = &self.arrivals[..level.index()];
        Some(urgent.iter().map(|rate| rate.decayed(now)).sum::<f64>() * scale.max(1.0))
    }
}

/// The part of the room that one VM takes for requests of one level.
struct RoomPart<'a> {
    view: &'a RoomView,
    own_waiting: &'a [u32; LEVEL_COUNT],
    level: PriorityLevel,
}

impl RoomPart<'_> {
    /// Returns the room for one round. `left` slots were left by requests of this VM.
    fn of_room(&self, left: u32) -> PermittedRoom {
        let Self { view, level, .. } = self;
        let index = level.index();
        let room = view.room[index];
        let more_urgent: u32 = view.waiting_elsewhere[..index].iter().sum();
        let free = room.slots.saturating_sub(more_urgent);
        let own = f64::from(self.own_waiting[index]);
        let part = own / (own + f64::from(view.waiting_elsewhere[index])).max(1.0);
        // The room is taken in as many rounds as pass until other VMs report again.
        let pace = ROUND_INTERVAL.div_duration_f64(view.report_interval.max(ROUND_INTERVAL));
        let left = f64::from(left.min(free));
        let slots = left + (f64::from(free) - left) * part * pace;
        let share = slots / f64::from(room.slots.max(1));
        PermittedRoom {
            slots,
            prefill_tokens: f64::from(room.prefill_tokens) * share,
            memory_tokens: f64::from(room.memory_tokens) * share,
        }
    }
}

/// The room that the requests of one round may take, with fractions.
struct PermittedRoom {
    slots: f64,
    prefill_tokens: f64,
    memory_tokens: f64,
}

impl PermittedRoom {
    /// Whether a request fits after `spent` was taken. What is left over is used with a
    /// probability.
    fn has_room(&self, spent: ServiceRoom, need: RoomNeed, draw: f64) -> bool {
        let fits =
            |spent: u32, need: u32, all: f64| f64::from(spent) + f64::from(need) * draw < all;
        fits(spent.slots, 1, self.slots)
            && fits(spent.prefill_tokens, need.prefill_tokens, self.prefill_tokens)
            && fits(spent.memory_tokens, need.memory_tokens, self.memory_tokens)
    }
}
