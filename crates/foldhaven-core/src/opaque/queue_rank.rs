//! In which order an upstream takes up requests, and the prompts that it has not read yet by that order.

use serde::{Deserialize, Serialize};

/// The place of a request in the order of an upstream. It admits those of a smaller rank first, and those of
/// one rank as they come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueRank(u8);

impl QueueRank {
    /// How many ranks there are.
    pub const COUNT: usize = 4;
    /// The last rank of requests that can be answered within their target.
    pub const LAST_TIMELY: Self = Self(2);
    /// The rank of requests that cannot, which go behind all others.
    pub const BEHIND: Self = Self(3);

    /// The rank of a request that can be answered within its target, by the described priority of its route;
    /// 0 goes first.
    pub fn of_priority(priority: u8) -> Self {
        Self(priority).min(Self::LAST_TIMELY)
    }

    /// The ranks of requests that can be answered within their target, the first one first.
    pub fn timely() -> impl Iterator<Item = Self> {
        (0..=Self::LAST_TIMELY.0).map(Self)
    }

    /// Its place in lists by rank.
    pub fn index(self) -> usize {
        self.0.into()
    }
}

/// The prompt tokens of requests that were not answered yet, by rank.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreadTokens([u32; QueueRank::COUNT]);

impl UnreadTokens {
    /// So many tokens of one rank.
    pub fn of(rank: QueueRank, tokens: u32) -> Self {
        let mut unread = Self::default();
        unread.0[rank.index()] = tokens;
        unread
    }

    /// Those of each rank.
    pub fn from_ranks(tokens: impl Fn(usize) -> u32) -> Self {
        Self(std::array::from_fn(tokens))
    }

    /// These and others.
    pub fn plus(self, other: Self) -> Self {
        Self::from_ranks(|at| self.0[at].saturating_add(other.0[at]))
    }

    /// These times a factor.
    pub fn times(self, factor: f64) -> Self {
        Self::from_ranks(|at| (f64::from(self.0[at]) * factor) as u32)
    }

    /// The tokens that are read before those of one more request of a rank.
    pub fn ahead_of(self, rank: QueueRank) -> u32 {
        self.0[..=rank.index()].iter().fold(0, |sum, tokens| sum.saturating_add(*tokens))
    }
}
