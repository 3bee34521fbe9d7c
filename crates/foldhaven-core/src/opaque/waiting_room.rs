//! Requests that wait at their VM until an upstream has room for all of them.
//!
//! A request that waits at an upstream is displaced by more urgent ones after its prompt was read,
//! and cannot go elsewhere. Requests therefore wait at the VM, in the order of their levels; within
//! a level, those that can still be in time go first, and then the one whose caller has waited
//! longest, also if it comes again after a refusal.
//!
//! VMs see free slots at the same time, in load reports of the same age. Each takes the slots that
//! its own requests have left, and of the others a part by how many of the waiting requests are its
//! own.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::opaque::priority_level::{LEVEL_COUNT, PriorityLevel};
use crate::time::MonoTime;

/// The interval between two rounds in which requests are let go.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(20);
/// The time over which the rate is measured at which requests leave the room.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// The default of [`WaitingRoom::set_floor_share`].
pub const DEFAULT_FLOOR_SHARE: f64 = 0.05;

/// Identifies a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(u64);

/// What the place of a request in the order depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Its level.
    pub level: PriorityLevel,
    /// When its caller began to wait, with an earlier try if it comes again.
    pub since: MonoTime,
    /// The last moment at which it can start and be in time.
    pub late_at: MonoTime,
}

impl WaitingRequest {
    /// Returns the key by which waiting requests are sorted.
    fn order(&self, now: MonoTime) -> (PriorityLevel, bool, MonoTime) {
        (self.level, now >= self.late_at, self.since)
    }
}

/// What a VM sees of the room at the upstreams of a service in its region.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RoomView {
    /// The free slots that a request of each level may take.
    pub free_slots: [u32; LEVEL_COUNT],
    /// The requests of this VM at these upstreams.
    pub own_in_flight: u32,
    /// The requests of each level that wait at the other VMs of the region.
    pub waiting_elsewhere: [u32; LEVEL_COUNT],
}

#[derive(Debug)]
struct Ticket {
    request: WaitingRequest,
    /// Whether it was let go and has not tried yet.
    has_turn: bool,
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
    /// When requests left the room to start, within [`RATE_WINDOW`].
    starts: VecDeque<MonoTime>,
    /// Since when the room has not been empty.
    busy_since: MonoTime,
    floor_share: f64,
    /// The slots owed to requests that more urgent ones keep from starting.
    floor_debt: f64,
}

impl Default for WaitingRoom {
    fn default() -> Self {
        Self {
            next_id: 0,
            tickets: BTreeMap::new(),
            last_round: None,
            expected_in_flight: 0,
            starts: VecDeque::new(),
            busy_since: MonoTime::default(),
            floor_share: DEFAULT_FLOOR_SHARE,
            floor_debt: 0.0,
        }
    }
}

impl WaitingRoom {
    /// Sets the share of the slots that become free which goes to the least urgent waiting
    /// request, so that no level is kept from starting for ever.
    pub fn set_floor_share(&mut self, share: f64) {
        self.floor_share = share.clamp(0.0, 1.0);
    }

    /// Adds a request.
    pub fn enter(&mut self, request: WaitingRequest, now: MonoTime) -> TicketId {
        if self.tickets.is_empty() {
            self.busy_since = now;
            self.starts.clear();
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

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Returns the number of waiting requests of each level.
    pub fn counts(&self) -> [u32; LEVEL_COUNT] {
        let mut counts = [0; LEVEL_COUNT];
        self.tickets.values().for_each(|ticket| counts[ticket.request.level.index()] += 1);
        counts
    }

    /// Returns how many waiting requests go before another one.
    pub fn ahead_of(&self, request: &WaitingRequest, now: MonoTime) -> usize {
        let order = request.order(now);
        self.tickets.values().filter(|ticket| ticket.request.order(now) < order).count()
    }

    /// Whether the next round is due.
    pub fn is_round_due(&self, now: MonoTime) -> bool {
        self.last_round.is_none_or(|last| now.since(last) >= ROUND_INTERVAL)
    }

    /// Lets the first requests go for which there is room. `draw` is a random number, uniform in
    /// 0..1.
    pub fn run_round(&mut self, view: &RoomView, draw: f64, now: MonoTime) {
        self.last_round = Some(now);
        let left = self.expected_in_flight.saturating_sub(view.own_in_flight);
        let granted = self.grant(view, left, draw, now);
        self.expected_in_flight = view.own_in_flight + granted;
    }

    /// Returns how many requests were let go. `left` slots were left by requests of this VM.
    fn grant(&mut self, view: &RoomView, left: u32, draw: f64, now: MonoTime) -> u32 {
        let own_waiting = self.counts();
        let order = self.sorted(now);
        let mut granted = 0;
        for id in &order {
            let ticket = self.tickets.get_mut(id).expect("sorted ids are of waiting requests");
            let level = ticket.request.level;
            let free = view.free_slots[level.index()];
            let elsewhere = &view.waiting_elsewhere;
            let part = VmPart { own: &own_waiting, elsewhere, level }.part();
            let shared = f64::from(free.saturating_sub(left)) * part;
            let permitted = left.min(free) + (shared + draw) as u32;
            if granted >= permitted.min(free) {
                break;
            }
            ticket.has_turn = true;
            granted += 1;
        }
        granted + self.grant_floor(&order, view, left)
    }

    /// Lets the least urgent request go if the floor owes it a slot.
    fn grant_floor(&mut self, order: &[TicketId], view: &RoomView, left: u32) -> u32 {
        let Some(ticket) = order.last().and_then(|id| self.tickets.get_mut(id)) else { return 0 };
        if ticket.has_turn {
            self.floor_debt = 0.0;
            return 0;
        }
        self.floor_debt += f64::from(left) * self.floor_share;
        if self.floor_debt < 1.0 || view.free_slots[0] == 0 {
            return 0;
        }
        self.floor_debt -= 1.0;
        ticket.has_turn = true;
        1
    }

    fn sorted(&self, now: MonoTime) -> Vec<TicketId> {
        let mut ids: Vec<TicketId> = self.tickets.keys().copied().collect();
        ids.sort_by_key(|id| (self.tickets[id].request.order(now), *id));
        ids
    }

    /// Whether a request was let go. It may try once, and waits on if it finds no room.
    pub fn take_turn(&mut self, id: TicketId) -> bool {
        let ticket = self.tickets.get_mut(&id);
        ticket.is_some_and(|ticket| std::mem::replace(&mut ticket.has_turn, false))
    }

    /// Records that a request has left the room and starts.
    pub fn record_start(&mut self, now: MonoTime) {
        self.starts.push_back(now);
        while self.starts.front().is_some_and(|at| now.since(*at) > RATE_WINDOW) {
            self.starts.pop_front();
        }
    }

    /// Returns how long a request probably waits behind `ahead` others. `None` while the rate at
    /// which requests leave is not known.
    pub fn expected_wait(&self, ahead: usize, now: MonoTime) -> Option<Duration> {
        if self.is_empty() || now.since(self.busy_since) < RATE_WINDOW {
            return None;
        }
        let recent = self.starts.iter().filter(|at| now.since(**at) <= RATE_WINDOW).count();
        Some(RATE_WINDOW.mul_f64((ahead + 1) as f64 / recent.max(1) as f64))
    }
}

/// The part of the room that one VM takes for a level.
struct VmPart<'a> {
    own: &'a [u32; LEVEL_COUNT],
    elsewhere: &'a [u32; LEVEL_COUNT],
    level: PriorityLevel,
}

impl VmPart<'_> {
    /// Returns the part, by the requests of the level and of more urgent ones that wait.
    fn part(&self) -> f64 {
        let through = |counts: &[u32; LEVEL_COUNT]| -> u32 {
            counts[..=self.level.index()].iter().fold(0, |sum, count| sum.saturating_add(*count))
        };
        let own = f64::from(through(self.own));
        own / (own + f64::from(through(self.elsewhere))).max(1.0)
    }
}
