//! Load changes and faults of a trial. Times are milliseconds since its start.

use serde::{Deserialize, Serialize};

/// When the load changes and faults begin, in milliseconds.
pub(super) const CHANGE_AT: u64 = 8_000;
/// How long partitions last, in milliseconds.
const FAULT_TIME: u64 = 8_000;
/// How long a killed process is down, in milliseconds.
const DOWN_TIME: u64 = 1_000;
/// Time from the first kill of all processes to the second, in milliseconds.
const SECOND_KILL_AFTER: u64 = 3_000;
/// Base demand of callers, as a share of the limit.
const BASE_LOAD: f64 = 0.5;
/// Demand of an account that sends six times its base load, as a share of the limit.
const HOT_LOAD: f64 = 6.0 * BASE_LOAD;
/// The lowered limit, as a share of the original one.
const LOWERED_LIMIT: f64 = 0.25;

/// The load change or fault of a trial. Unless noted otherwise, demand rises to six times its base.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitScenario {
    /// Demand is half of the limit all the time.
    Calm,
    /// No fault.
    Hot,
    /// The first region is partitioned from the others.
    RegionCut,
    /// All regions are partitioned from each other.
    AllCut,
    /// The first two regions are partitioned from each other; the third one reaches both.
    PairCut,
    /// Messages from the first region to others are lost, but not those in the other direction.
    OneWay,
    /// Every sixth VM is partitioned from all others.
    VmsCut,
    /// All VMs are killed at once, and again three seconds later.
    KilledTwice,
    /// Every tenth VM is frozen for ten seconds.
    Frozen,
    /// Demand is half of the limit, and 90% of it moves to the next region every two seconds.
    Moving,
    /// The limit is lowered to a quarter, far below the demand of 75% of the original limit.
    Lowered,
}

impl LimitScenario {
    /// All scenarios.
    pub const ALL: [Self; 11] = [
        Self::Calm,
        Self::Hot,
        Self::RegionCut,
        Self::AllCut,
        Self::PairCut,
        Self::OneWay,
        Self::VmsCut,
        Self::KilledTwice,
        Self::Frozen,
        Self::Moving,
        Self::Lowered,
    ];

    /// Returns the demand of callers, as a share of the original limit.
    pub(super) fn load(self, at: u64) -> f64 {
        match self {
            Self::Calm | Self::Moving => BASE_LOAD,
            Self::Lowered => 1.5 * BASE_LOAD,
            _ if at >= CHANGE_AT => HOT_LOAD,
            _ => BASE_LOAD,
        }
    }

    /// Returns the share of the demand that arrives in a region.
    pub(super) fn region_share(self, region: usize, regions: usize, at: u64) -> f64 {
        if self != Self::Moving || at < CHANGE_AT {
            return 1.0 / regions as f64;
        }
        // 90% of the demand is in one region, and moves to the next one every two seconds.
        let busy_region = ((at - CHANGE_AT) / 2_000) as usize % regions;
        match (busy_region == region, regions) {
            (_, 1) => 1.0,
            (true, _) => 0.9,
            (false, _) => 0.1 / (regions - 1) as f64,
        }
    }

    /// Returns the limit, as a share of the original one.
    pub(super) fn limit(self, at: u64) -> f64 {
        match self {
            Self::Lowered if at >= CHANGE_AT => LOWERED_LIMIT,
            _ => 1.0,
        }
    }

    fn is_fault_active(at: u64) -> bool {
        (CHANGE_AT..CHANGE_AT + FAULT_TIME).contains(&at)
    }

    /// Returns whether messages from one VM reach another; VMs are given as (number, region).
    pub(super) fn reaches(self, from: (usize, usize), to: (usize, usize), at: u64) -> bool {
        if !Self::is_fault_active(at) {
            return true;
        }
        let ((from, region), (to, other)) = (from, to);
        let is_between = region != other;
        match self {
            Self::RegionCut => !(is_between && (region == 0 || other == 0)),
            Self::AllCut => !is_between,
            Self::PairCut => !(is_between && region <= 1 && other <= 1),
            Self::OneWay => !(is_between && region == 0),
            Self::VmsCut => !(from.is_multiple_of(6) || to.is_multiple_of(6)),
            _ => true,
        }
    }

    /// Returns whether the VMs are down.
    pub(super) fn is_down(self, at: u64) -> bool {
        let kills = [CHANGE_AT, CHANGE_AT + SECOND_KILL_AFTER];
        self == Self::KilledTwice
            && kills.iter().any(|kill| (*kill..kill + DOWN_TIME).contains(&at))
    }

    /// Returns whether a VM is frozen.
    pub(super) fn is_frozen(self, vm: usize, at: u64) -> bool {
        let span = CHANGE_AT..CHANGE_AT + 10_000;
        self == Self::Frozen && vm.is_multiple_of(10) && span.contains(&at)
    }
}
