//! The queues of this VM for its share of the slots of brittle upstreams, one for each service.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::ServiceName;
use foldhaven_core::opaque::slot_queue::{SlotQueue, SlotTicketId};
use foldhaven_core::time::MonoTime;
use parking_lot::Mutex;

/// The queues by service.
#[derive(Default)]
pub struct SlotQueues(Mutex<HashMap<ServiceName, Arc<Mutex<SlotQueue>>>>);

impl SlotQueues {
    /// Whether a request of a service waits.
    pub fn has_waiting(&self, service: &ServiceName) -> bool {
        self.0.lock().get(service).is_some_and(|queue| !queue.lock().is_empty())
    }

    /// Adds a request to the queue of its service until the ticket is dropped.
    pub fn enter(&self, service: &ServiceName, now: MonoTime) -> SlotTicket {
        let queue = self.0.lock().entry(service.clone()).or_default().clone();
        let id = queue.lock().enter();
        SlotTicket { queue, id, entered: now }
    }
}

/// Keeps a request in the queue of its service until dropped.
pub struct SlotTicket {
    queue: Arc<Mutex<SlotQueue>>,
    id: SlotTicketId,
    entered: MonoTime,
}

impl SlotTicket {
    /// Whether the request is at the front and may look for a slot.
    pub fn is_at_front(&self) -> bool {
        self.queue.lock().is_at_front(self.id)
    }

    /// Returns how long the request probably waits still. `None` if this VM has no share.
    pub fn expected_wait(&self, share: u32, slot_time: Duration) -> Option<Duration> {
        self.queue.lock().expected_wait(self.id, share, slot_time)
    }

    /// Returns how long the request has waited.
    pub fn held(&self, now: MonoTime) -> Duration {
        now.since(self.entered)
    }
}

impl Drop for SlotTicket {
    fn drop(&mut self) {
        self.queue.lock().leave(self.id);
    }
}
