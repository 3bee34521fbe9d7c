//! The requests at an upstream by priority level.

use serde::{Deserialize, Serialize};

use crate::opaque::priority_level::{LEVEL_COUNT, PriorityLevel};

/// The requests of one level at an upstream, as reported to other VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelShare {
    /// The level.
    pub level: PriorityLevel,
    /// Requests in flight.
    pub in_flight: u16,
    /// Prompt tokens of requests that have not been answered yet.
    pub prefill_backlog: u32,
    /// The tokens that the requests in flight will hold in memory when they end.
    pub memory_tokens: u32,
}

/// The requests at an upstream by level. Counts saturate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LevelLoads {
    in_flight: [u16; LEVEL_COUNT],
    prefill_backlog: [u32; LEVEL_COUNT],
    memory_tokens: [u32; LEVEL_COUNT],
}

impl LevelLoads {
    /// Adds the requests of one level.
    pub fn add(&mut self, share: &LevelShare) {
        let index = share.level.index();
        self.in_flight[index] = self.in_flight[index].saturating_add(share.in_flight);
        self.prefill_backlog[index] =
            self.prefill_backlog[index].saturating_add(share.prefill_backlog);
        self.memory_tokens[index] = self.memory_tokens[index].saturating_add(share.memory_tokens);
    }

    /// Removes a part of the requests of one level.
    pub fn remove(&mut self, share: &LevelShare) {
        let index = share.level.index();
        self.in_flight[index] = self.in_flight[index].saturating_sub(share.in_flight);
        self.prefill_backlog[index] =
            self.prefill_backlog[index].saturating_sub(share.prefill_backlog);
        self.memory_tokens[index] = self.memory_tokens[index].saturating_sub(share.memory_tokens);
    }

    /// Returns the sum of two loads.
    pub fn plus(mut self, other: &Self) -> Self {
        other.shares().for_each(|share| self.add(&share));
        self
    }

    /// Returns the levels with requests.
    pub fn shares(&self) -> impl Iterator<Item = LevelShare> {
        let share = |level: PriorityLevel| LevelShare {
            level,
            in_flight: self.in_flight[level.index()],
            prefill_backlog: self.prefill_backlog[level.index()],
            memory_tokens: self.memory_tokens[level.index()],
        };
        let is_used = |share: &LevelShare| share.in_flight > 0 || share.prefill_backlog > 0;
        PriorityLevel::all().map(share).filter(is_used)
    }

    /// Returns the number of requests in flight of all levels.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.iter().copied().map(u32::from).sum()
    }

    /// Returns the number of requests in flight of a level and of all more urgent ones.
    pub fn in_flight_through(&self, level: PriorityLevel) -> u32 {
        self.in_flight[..=level.index()].iter().copied().map(u32::from).sum()
    }

    /// Returns the number of requests in flight that are more urgent than a level.
    pub fn in_flight_above(&self, level: PriorityLevel) -> u32 {
        self.in_flight[..level.index()].iter().copied().map(u32::from).sum()
    }

    /// Returns the tokens that the requests of all levels will hold in memory when they end.
    pub fn memory_tokens(&self) -> u32 {
        self.memory_tokens.iter().fold(0, |sum, tokens| sum.saturating_add(*tokens))
    }

    /// Returns the prompt tokens of unanswered requests of all levels.
    pub fn prefill_backlog(&self) -> u32 {
        self.prefill_backlog.iter().fold(0, |sum, tokens| sum.saturating_add(*tokens))
    }

    /// Returns the prompt tokens of unanswered requests of a level and of all more urgent ones.
    pub fn prefill_backlog_through(&self, level: PriorityLevel) -> u32 {
        let tokens = &self.prefill_backlog[..=level.index()];
        tokens.iter().fold(0, |sum, tokens| sum.saturating_add(*tokens))
    }
}
