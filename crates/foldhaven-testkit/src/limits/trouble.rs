//! What callers do and what goes wrong in a play, by the time since its start.

use serde::{Deserialize, Serialize};

/// When trouble begins, in milliseconds.
pub(super) const TROUBLE_AT: u64 = 8_000;
/// How long cuts and the like last.
const TROUBLE_LASTS: u64 = 8_000;
/// How long a killed process is away.
const DOWN_FOR: u64 = 1_000;
/// After which time all are killed once more.
const KILLED_AGAIN: u64 = 3_000;
/// The share of the limit that callers want in calm.
const USUAL_LOAD: f64 = 0.5;
/// The same of an account that sends six times its usual.
const HOT_LOAD: f64 = 6.0 * USUAL_LOAD;
/// The limit after it was lowered, as a share of what it was.
const LOWERED: f64 = 0.25;

/// What happens in a play.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitTrouble {
    /// Half of the limit is wanted all the time.
    Calm,
    /// Six times the usual is wanted.
    Hot,
    /// The same, while the first region is cut off.
    RegionCut,
    /// The same, while each region is cut off from each.
    AllCut,
    /// The same, while the first two regions do not reach each other, and the third one reaches both.
    PairCut,
    /// The same, while nothing of the first region reaches others.
    OneWay,
    /// The same, while each sixth VM reaches nobody.
    VmsCut,
    /// The same, while all are killed at once, and once more after three seconds.
    KilledTwice,
    /// The same, while each tenth VM stands still for ten seconds.
    Frozen,
    /// Callers in half of the limit go from region to region within a second.
    Moving,
    /// The limit is lowered to a quarter, far below what is sent.
    Lowered,
}

impl LimitTrouble {
    /// All of them.
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

    /// What callers want, as a share of the first limit.
    pub(super) fn load(self, at: u64) -> f64 {
        match self {
            Self::Calm | Self::Moving => USUAL_LOAD,
            Self::Lowered => 1.5 * USUAL_LOAD,
            _ if at >= TROUBLE_AT => HOT_LOAD,
            _ => USUAL_LOAD,
        }
    }

    /// The share of callers that come to a region.
    pub(super) fn region_share(self, region: usize, regions: usize, at: u64) -> f64 {
        if self != Self::Moving || at < TROUBLE_AT {
            return 1.0 / regions as f64;
        }
        // Nine in ten are at one region, and at the next one two seconds later.
        let turn = ((at - TROUBLE_AT) / 2_000) as usize % regions;
        match (turn == region, regions) {
            (_, 1) => 1.0,
            (true, _) => 0.9,
            (false, _) => 0.1 / (regions - 1) as f64,
        }
    }

    /// The limit, as a share of the first one.
    pub(super) fn limit(self, at: u64) -> f64 {
        match self {
            Self::Lowered if at >= TROUBLE_AT => LOWERED,
            _ => 1.0,
        }
    }

    fn lasts(at: u64) -> bool {
        (TROUBLE_AT..TROUBLE_AT + TROUBLE_LASTS).contains(&at)
    }

    /// Whether messages of one VM, by its number and region, reach another.
    pub(super) fn reaches(self, from: (usize, usize), to: (usize, usize), at: u64) -> bool {
        if !Self::lasts(at) {
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

    /// Whether a VM is down.
    pub(super) fn is_down(self, at: u64) -> bool {
        let kills = [TROUBLE_AT, TROUBLE_AT + KILLED_AGAIN];
        self == Self::KilledTwice && kills.iter().any(|kill| (*kill..kill + DOWN_FOR).contains(&at))
    }

    /// Whether a VM stands still.
    pub(super) fn is_frozen(self, vm: usize, at: u64) -> bool {
        let span = TROUBLE_AT..TROUBLE_AT + 10_000;
        self == Self::Frozen && vm.is_multiple_of(10) && span.contains(&at)
    }
}
