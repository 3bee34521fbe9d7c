//! How many exits are held against a suspect, and how it is probed.

use std::time::Duration;

use super::record::SuspectRecord;

/// From this number of exits on, a suspect is told to all VMs, and a request is probed by one VM at
/// a time. A harmless request is rarely at two upstreams that exit before it was answered once.
pub const PROBE_EXITS: usize = 2;
/// From this number of exits on, a suspect is refused and probed only after long delays.
pub const REFUSE_EXITS: usize = 3;
/// The same for a segment that was answered since it became suspected. The segments that most
/// requests share are at every upstream that exits, also if many do so before any answers.
const ANSWERED_SEGMENT_EXITS: usize = 8;
/// Maximum number of exits kept per request. Some of them may be explained by a segment later.
const MAX_EXITS_OF_REQUEST: usize = 8;
const MAX_EXITS_OF_SEGMENT: usize = 16;

/// What the treatment of a suspect depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectPolicy {
    /// The number of exits from which on it is quarantined.
    quarantine_exits: usize,
    /// The number of exits from which on it is refused.
    refuse_exits: usize,
    /// The same once it was answered.
    answered_refuse_exits: usize,
    /// The maximum number of exits that are kept.
    pub max_exits: usize,
    /// How long it is refused before its first probe. The delay grows by `backoff_factor` with each
    /// further probe.
    pub first_refusal_delay: Duration,
    /// The growth of delays.
    pub backoff_factor: u32,
    /// Whether answers alone no longer exonerate it after many exits, since it seems to crash some
    /// upstreams and not others.
    pub can_be_inconclusive: bool,
    /// Whether an answer shows that it is not the cause of later exits either, until it is refused.
    pub trusts_answers: bool,
    /// Whether the exits that one refused suspect explains do not count against others.
    pub explains_exits: bool,
}

impl SuspectPolicy {
    /// The policy for whole requests. A request that is sent for ever costs at most three upstreams
    /// an hour, and one that was blamed wrongly is forwarded again within 20 s.
    pub const REQUESTS: Self = Self {
        quarantine_exits: PROBE_EXITS,
        refuse_exits: REFUSE_EXITS,
        answered_refuse_exits: REFUSE_EXITS,
        max_exits: MAX_EXITS_OF_REQUEST,
        first_refusal_delay: Duration::from_secs(10),
        backoff_factor: 3,
        can_be_inconclusive: true,
        trusts_answers: false,
        explains_exits: false,
    };

    /// The policy for segments of prompts, which many requests share. Most of these are harmless,
    /// so a segment is not held back until it is refused.
    pub const SEGMENTS: Self = Self {
        quarantine_exits: REFUSE_EXITS,
        refuse_exits: REFUSE_EXITS,
        answered_refuse_exits: ANSWERED_SEGMENT_EXITS,
        max_exits: MAX_EXITS_OF_SEGMENT,
        first_refusal_delay: Duration::from_secs(15),
        backoff_factor: 10,
        can_be_inconclusive: false,
        trusts_answers: true,
        explains_exits: true,
    };

    /// Returns the number of exits from which on a suspect is refused.
    pub fn refuse_exits(&self, record: &SuspectRecord) -> usize {
        match record.exonerations {
            0 => self.refuse_exits,
            _ => self.answered_refuse_exits,
        }
    }

    /// Returns the number of exits from which on a suspect is quarantined: refused, or probed by
    /// one VM at a time.
    pub fn quarantine_exits(&self, record: &SuspectRecord) -> usize {
        match record.exonerations {
            0 => self.quarantine_exits,
            _ => self.quarantine_exits + self.answered_refuse_exits - self.refuse_exits,
        }
    }
}
