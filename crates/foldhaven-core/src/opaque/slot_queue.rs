//! The order in which requests without a priority level wait at a VM for its share of the slots of
//! brittle upstreams.
//!
//! The load that it answers: upstreams that let no request wait, and more requests at a moment than
//! the VM's share. Most slots become free within a fraction of the target.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of requests at the front that look for a slot. The others would only look in vain.
const FRONT_LEN: usize = 8;

/// Identifies a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotTicketId(u64);

/// The requests that wait, in order of arrival.
#[derive(Debug, Default)]
pub struct SlotQueue {
    waiting: VecDeque<SlotTicketId>,
    next: u64,
}

impl SlotQueue {
    /// Adds a request at the end.
    pub fn enter(&mut self) -> SlotTicketId {
        let id = SlotTicketId(self.next);
        self.next += 1;
        self.waiting.push_back(id);
        id
    }

    /// Removes a request.
    pub fn leave(&mut self, id: SlotTicketId) {
        self.waiting.retain(|it| *it != id);
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether a request is at the front and may look for a slot.
    pub fn is_at_front(&self, id: SlotTicketId) -> bool {
        self.waiting.iter().take(FRONT_LEN).any(|it| *it == id)
    }

    /// Returns how long a request probably waits still, if the VM has `share` slots, each of which
    /// becomes free after `slot_time`. `None` if it has none.
    pub fn expected_wait(
        &self,
        id: SlotTicketId,
        share: u32,
        slot_time: Duration,
    ) -> Option<Duration> {
        let ahead = self.waiting.iter().position(|it| *it == id)? as u32;
        (share > 0).then(|| slot_time.mul_f64(f64::from(ahead + 1) / f64::from(share)))
    }
}
