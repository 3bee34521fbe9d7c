//! The waiting rooms of this VM, one for each service whose requests have priority levels.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::ServiceName;
use foldhaven_core::opaque::peer_table::ServiceTag;
use foldhaven_core::opaque::priority_level::PriorityLevel;
use foldhaven_core::opaque::waiting_memory::WaitingBytes;
use foldhaven_core::opaque::waiting_room::{RoomView, TicketId, WaitingRequest, WaitingRoom};
use foldhaven_core::time::MonoTime;
use parking_lot::Mutex;

/// The number of requests that wait at a VM, by service and level.
pub type WaitingCounts = Vec<(ServiceTag, Vec<(PriorityLevel, u16)>)>;

/// The waiting rooms by service.
pub struct WaitingRooms {
    rooms: Mutex<HashMap<ServiceName, Arc<Mutex<WaitingRoom>>>>,
    floor_share: f64,
}

impl WaitingRooms {
    /// Creates no rooms yet. `floor_share` is that of each room.
    pub fn new(floor_share: f64) -> Self {
        Self { rooms: Mutex::default(), floor_share }
    }

    /// Returns the room of a service.
    pub fn room(&self, service: &ServiceName) -> Arc<Mutex<WaitingRoom>> {
        let mut rooms = self.rooms.lock();
        if let Some(room) = rooms.get(service) {
            return room.clone();
        }
        let mut room = WaitingRoom::default();
        room.set_floor_share(self.floor_share);
        let room = Arc::new(Mutex::new(room));
        rooms.insert(service.clone(), room.clone());
        room
    }

    /// Returns the number of waiting requests by service and level.
    pub fn counts(&self, now: MonoTime) -> WaitingCounts {
        let rooms = self.rooms.lock();
        let counted = rooms.iter().map(|(service, room)| {
            let counts = room.lock().counts(now);
            let levels = PriorityLevel::all().zip(counts).filter(|(_, count)| *count > 0);
            let levels = levels.map(|(level, it)| (level, u16::try_from(it).unwrap_or(u16::MAX)));
            (ServiceTag::of(service), levels.collect::<Vec<_>>())
        });
        counted.filter(|(_, levels)| !levels.is_empty()).collect()
    }
}

/// Keeps a request in the waiting room of its service until dropped.
pub struct WaitingTicket {
    room: Arc<Mutex<WaitingRoom>>,
    id: TicketId,
    request: WaitingRequest,
    entered: MonoTime,
    /// The memory that the request takes while it waits.
    _memory: WaitingBytes,
}

impl WaitingTicket {
    /// Adds a request to a room.
    pub fn enter(
        room: Arc<Mutex<WaitingRoom>>,
        request: WaitingRequest,
        memory: WaitingBytes,
        now: MonoTime,
    ) -> Self {
        let id = room.lock().enter(request);
        Self { room, id, request, entered: now, _memory: memory }
    }

    /// Runs the next round of the room if it is due, and returns whether it is the turn of this
    /// request.
    pub fn take_turn(&self, view_room: impl FnOnce() -> RoomView, now: MonoTime) -> bool {
        let is_due = self.room.lock().is_round_due(now);
        if is_due {
            let view = view_room();
            self.room.lock().run_round(&view, rand::random(), now);
        }
        self.room.lock().take_turn(self.id)
    }

    /// Returns how long the request probably waits still. `None` if that is not known.
    pub fn expected_wait(&self, now: MonoTime) -> Option<Duration> {
        self.room.lock().expected_wait(&self.request, now)
    }

    /// Returns the last moment at which the request can start and be in time.
    pub fn late_at(&self) -> MonoTime {
        self.request.late_at
    }

    /// Returns how long the request has waited.
    pub fn held(&self, now: MonoTime) -> Duration {
        now.since(self.entered)
    }
}

impl Drop for WaitingTicket {
    fn drop(&mut self) {
        self.room.lock().leave(self.id);
    }
}
