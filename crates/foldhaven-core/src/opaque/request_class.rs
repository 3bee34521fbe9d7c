//! The class of a request: its place in the order of its service, and the room that it needs.

use std::time::Duration;

use crate::opaque::account_demand::AccountTag;
use crate::opaque::priority_level::PriorityLevel;

/// The room that a request takes at an upstream from its start to its end, beside one slot.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RoomNeed {
    /// The prompt tokens that the upstream has to prefill.
    pub prefill_tokens: u32,
    /// The tokens that the request will hold in memory when it ends: its own prompt and its answer.
    pub memory_tokens: u32,
}

/// How long the caller of a request has waited.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallerWait {
    /// The time since its first try.
    pub total: Duration,
    /// The part of it that passed before the present try.
    pub earlier_tries: Duration,
}

impl CallerWait {
    /// Returns how much of the time to its target the request has used. It counts from the present
    /// try, so that no caller loses what an earlier refusal or failure cost it.
    pub fn spent(self) -> Duration {
        self.total.saturating_sub(self.earlier_tries)
    }
}

/// What the admission and the order of a request depend on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestClass {
    /// The priority level.
    pub level: PriorityLevel,
    /// The account, among others of which the room of a level is shared. `None` if it has none.
    pub account: Option<AccountTag>,
    /// The room that it needs.
    pub need: RoomNeed,
    /// Whether the rules of its route or account bind it to a part of the regions.
    pub is_bound: bool,
}
