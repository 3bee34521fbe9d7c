//! The order in which the requests of a service get scarce capacity, from the priorities of their
//! accounts and routes.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The number of levels that upstreams tell apart.
pub const LEVEL_COUNT: usize = 10;

/// The position of a request among those of its service. 0 goes first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "u8", into = "u8")]
pub struct PriorityLevel(u8);

impl From<u8> for PriorityLevel {
    fn from(number: u8) -> Self {
        Self::new(number)
    }
}

impl From<PriorityLevel> for u8 {
    fn from(level: PriorityLevel) -> Self {
        level.0
    }
}

impl PriorityLevel {
    /// The least urgent level.
    pub const LAST: Self = Self(LEVEL_COUNT as u8 - 1);

    /// Returns the level with a number. Numbers beyond the last level mean the last one.
    pub fn new(number: u8) -> Self {
        Self(number.min(LEVEL_COUNT as u8 - 1))
    }

    /// Returns all levels, the most urgent one first.
    pub fn all() -> impl DoubleEndedIterator<Item = Self> {
        (0..LEVEL_COUNT as u8).map(Self)
    }

    /// Returns the number of the level.
    pub fn number(self) -> u8 {
        self.0
    }

    /// Returns the index of the level in an array of [`LEVEL_COUNT`] items.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

impl fmt::Display for PriorityLevel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// expected a level from 0 to 9
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ParseLevelError;

impl FromStr for PriorityLevel {
    type Err = ParseLevelError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number: u8 = text.parse().map_err(|_| ParseLevelError)?;
        match usize::from(number) < LEVEL_COUNT {
            true => Ok(Self(number)),
            false => Err(ParseLevelError),
        }
    }
}

/// The priorities of one request as they are declared. The priority of the account goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DeclaredPriority {
    account: u8,
    route: u8,
}

/// The levels of the requests of one service. All VMs with the same description compute the same
/// ones.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LevelTable {
    /// The distinct priorities that requests can have, in order.
    declared: Vec<DeclaredPriority>,
    /// The priority of requests without an account, or whose account declares none.
    usual_account: u8,
    /// The shortest target time to a first answer among the routes.
    shortest_target: Duration,
}

impl LevelTable {
    /// Creates the table of a service from the priorities of all accounts and of the routes that
    /// use the service.
    pub fn new(accounts: &[Option<u8>], routes: &[u8]) -> Self {
        let usual_account = usual_priority(accounts.iter().copied().flatten());
        let mut by_account: Vec<u8> =
            accounts.iter().map(|declared| declared.unwrap_or(usual_account)).collect();
        by_account.push(usual_account);
        by_account.sort_unstable();
        by_account.dedup();
        let pairs = by_account
            .iter()
            .flat_map(|account| routes.iter().map(|route| (*account, *route)))
            .map(|(account, route)| DeclaredPriority { account, route });
        let mut declared: Vec<DeclaredPriority> = pairs.collect();
        declared.sort_unstable();
        declared.dedup();
        Self { declared, usual_account, shortest_target: Duration::MAX }
    }

    /// Sets the shortest target time to a first answer among the routes of the service.
    pub fn with_shortest_target(self, shortest_target: Duration) -> Self {
        Self { shortest_target, ..self }
    }

    /// Returns the shortest target time to a first answer among the routes of the service.
    pub fn shortest_target(&self) -> Duration {
        self.shortest_target
    }

    /// Whether requests of the service differ in priority.
    pub fn is_ranked(&self) -> bool {
        self.declared.len() > 1
    }

    /// Returns the level of a request. If there are more distinct priorities than levels,
    /// neighbouring ones share a level.
    pub fn level(&self, account: Option<u8>, route: u8) -> PriorityLevel {
        let account = account.unwrap_or(self.usual_account);
        let request = DeclaredPriority { account, route };
        let position = self.declared.partition_point(|declared| *declared < request);
        let position = position.min(self.declared.len().saturating_sub(1));
        let number = match self.declared.len() > LEVEL_COUNT {
            true => position * LEVEL_COUNT / self.declared.len(),
            false => position,
        };
        PriorityLevel(number as u8)
    }
}

/// Returns the priority that is declared most often; of several, the least urgent. 0 if none is
/// declared.
pub fn usual_priority(declared: impl Iterator<Item = u8>) -> u8 {
    let mut counts: BTreeMap<u8, usize> = BTreeMap::new();
    for priority in declared {
        *counts.entry(priority).or_default() += 1;
    }
    let usual = counts.into_iter().max_by_key(|(priority, count)| (*count, *priority));
    usual.map_or(0, |(priority, _)| priority)
}
