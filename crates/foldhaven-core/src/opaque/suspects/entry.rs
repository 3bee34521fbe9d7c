//! What one VM knows about one suspect, and when it may be probed.

use std::time::Duration;

use super::policy::{PROBE_EXITS, SuspectPolicy};
use super::record::SuspectRecord;
use crate::opaque::peer_table::VmTag;
use crate::opaque::request_fingerprint::RequestFingerprint;
use crate::rank::rank_hash;
use crate::time::MonoTime;

/// Delay before the second probe of a request that is not yet refused, if the first one had no
/// result; grows with each further probe. Also the minimum wait reported for a refused request.
pub(super) const PROBE_RETRY_DELAY: Duration = Duration::from_secs(1);
const MAX_BACKOFF: Duration = Duration::from_secs(600);
/// Number of slots that a delay is divided into. Each VM may probe in one of them.
const PROBE_SLOTS: u32 = 10;
/// How long a record is kept after its last change: longer than the longest refusal.
const SUSPECT_RETENTION: Duration = Duration::from_secs(1_800);
/// How long the record of an exonerated request is kept, so that updates about its earlier exits
/// that arrive late are recognized as outdated.
const EXONERATED_RETENTION: Duration = Duration::from_secs(60);
/// From this number of cleared exits on, a request is inconclusive: from then on only a probe
/// exonerates it, and each time two exits are enough to refuse it. A harmless request becomes
/// inconclusive if it was at that many upstreams that exited within half an hour; it is then
/// refused for 10 to 20 s.
const INCONCLUSIVE_CLEARED_EXITS: u8 = 8;

/// What one VM knows about one suspect.
#[derive(Debug)]
pub(super) struct SuspectEntry {
    pub(super) record: SuspectRecord,
    /// When the record last changed, or a probe of this VM turned out to be unsent.
    pub(super) changed_at: MonoTime,
    /// Whether updates about the request go to all regions.
    pub(super) is_global: bool,
    /// Whether a probe of this VM is in progress.
    pub(super) is_probing: bool,
    /// Whether this VM may probe again at once, because its last probe didn't reach an upstream.
    pub(super) is_probe_unsent: bool,
}

impl SuspectEntry {
    pub(super) fn new(fingerprint: RequestFingerprint, now: MonoTime) -> Self {
        Self {
            record: SuspectRecord::new(fingerprint),
            changed_at: now,
            is_global: false,
            is_probing: false,
            is_probe_unsent: false,
        }
    }

    /// Returns the time until a VM may probe the request. After the delay, each VM waits for a
    /// random fraction of the delay until its slot begins, so that later VMs learn of the first
    /// probe before their own. A slot lasts a tenth of the delay and recurs once per delay: if all
    /// VMs receive the request at one moment after a long pause, only a few of them probe it.
    pub(super) fn wait(&self, vm: VmTag, backoff: Duration, now: MonoTime) -> Duration {
        if self.is_probe_unsent || backoff.is_zero() {
            return Duration::ZERO;
        }
        let first_slot = self.changed_at + backoff + backoff.mul_f64(self.jitter(vm));
        if now < first_slot {
            return first_slot.since(now);
        }
        let since_slot = now.since(first_slot).as_micros() % backoff.as_micros();
        let since_slot = Duration::from_micros(u64::try_from(since_slot).unwrap_or_default());
        match since_slot < backoff / PROBE_SLOTS {
            true => Duration::ZERO,
            false => backoff - since_slot,
        }
    }

    /// Returns whether complete answers alone no longer exonerate the request, because it was
    /// cleared of so many exits that it seems to crash some upstreams and not others.
    pub(super) fn is_inconclusive(&self, policy: &SuspectPolicy) -> bool {
        policy.can_be_inconclusive && self.record.cleared_exits >= INCONCLUSIVE_CLEARED_EXITS
    }

    /// Returns the delay before the next probe, given the number of exits that count.
    pub(super) fn backoff(&self, exits: usize, policy: &SuspectPolicy) -> Duration {
        let SuspectRecord { probes, cleared_exits, .. } = &self.record;
        let grow = |backoff, times| grow_backoff(backoff, policy.backoff_factor, times);
        let probes = u32::from(*probes);
        if exits < policy.quarantine_exits(&self.record) {
            return Duration::ZERO;
        }
        if self.is_inconclusive(policy) {
            // Each further exoneration lengthens the next delay, as a probe does.
            let recurrences =
                u32::from(cleared_exits - INCONCLUSIVE_CLEARED_EXITS) / PROBE_EXITS as u32;
            return grow(policy.first_refusal_delay, probes + recurrences);
        }
        if exits >= policy.refuse_exits(&self.record) {
            return grow(policy.first_refusal_delay, probes);
        }
        match probes {
            0 => Duration::ZERO,
            probes => grow(PROBE_RETRY_DELAY, probes - 1),
        }
    }

    /// Returns a number in the range 0..1 that differs between VMs, and between probes of a VM.
    fn jitter(&self, vm: VmTag) -> f64 {
        let SuspectRecord { fingerprint, probes, .. } = &self.record;
        let hash = rank_hash(&[&fingerprint.to_string(), &vm.0.to_string(), &probes.to_string()]);
        (hash >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub(super) fn is_expired(&self, policy: &SuspectPolicy, now: MonoTime) -> bool {
        let is_cleared = self.record.exits.is_empty() && !self.is_inconclusive(policy);
        let retention = if is_cleared { EXONERATED_RETENTION } else { SUSPECT_RETENTION };
        now.since(self.changed_at) > retention
    }
}

fn grow_backoff(backoff: Duration, factor: u32, times: u32) -> Duration {
    let factor = factor.saturating_pow(times);
    backoff.saturating_mul(factor).min(MAX_BACKOFF)
}
