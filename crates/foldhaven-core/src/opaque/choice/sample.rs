//! Limits a choice to a random sample of the upstreams if load reports are stale.
//!
//! VMs choose independently on the same load reports. If each took the cheapest upstream, all of
//! them would pick the same few until the next report. At 3,600 requests a second, 46 upstreams and
//! 26 VMs with reports 80 ms old, upstreams that were reported with 14 requests had 48, and one in
//! five requests was refused, although the queues were 0.6 full overall.
//!
//! If few requests arrive between two reports, the cheapest of all upstreams is the best choice. If
//! many do, it is the cheapest of a small sample that each VM draws anew for every request
//! (Mitzenmacher, "How Useful Is Old Information?").

use std::time::Duration;

use super::UpstreamCandidate;

/// Minimum sample size. The less loaded of two is far better than a random upstream; a larger
/// sample adds little.
const MIN_SAMPLE: usize = 2;
/// Upstreams with at least this many tokens of the shared segments cached are always in the sample,
/// as prefilling the tokens again takes longer than waiting in a queue.
const LONG_PREFIX_TOKENS: u32 = 512;

/// How old the load reports are, and how fast the queues of the service change.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReportStaleness {
    /// The age of the load reports of other VMs.
    pub(super) age: Duration,
    /// The time for which a request occupies a slot.
    pub(super) slot_time: Duration,
}

impl ReportStaleness {
    /// Returns how many of the `usable` upstreams to sample: all of them while less than one
    /// request per upstream arrives between two reports, and proportionally fewer the more arrive.
    pub(super) fn sample_size(
        &self,
        usable: &[usize],
        candidates: &[UpstreamCandidate<'_>],
    ) -> usize {
        let in_flight: u32 = usable.iter().map(|index| candidates[*index].queue.in_flight).sum();
        let unreported = f64::from(in_flight) * self.age.div_duration_f64(self.slot_time);
        let count = usable.len();
        if unreported <= count as f64 {
            return count;
        }
        let size = (count as f64 * count as f64 / unreported) as usize;
        size.clamp(MIN_SAMPLE.min(count), count)
    }
}

/// Samples `size` of the `usable` upstreams by `draw`, a random number that is uniform in 0..1.
/// Adds the upstreams with a long cached prefix and those in `always`.
pub(super) fn sample_candidates(
    usable: &[usize],
    candidates: &[UpstreamCandidate<'_>],
    size: usize,
    draw: f64,
    always: [Option<usize>; 2],
) -> Vec<usize> {
    let count = usable.len();
    let first = (draw * count as f64) as usize;
    if size >= count {
        return (0..count).map(|step| usable[(first + step) % count]).collect();
    }
    // The fractional part of the scaled draw sets the distance between sampled upstreams.
    let fraction = (draw * count as f64).fract();
    let stride = 1 + (fraction * (count - 1) as f64) as usize;
    let mut sample: Vec<usize> =
        (0..size).map(|step| usable[(first + step * stride) % count]).collect();
    let has_long_prefix = |index: &usize| candidates[*index].cached_tokens >= LONG_PREFIX_TOKENS;
    let required =
        usable.iter().copied().filter(has_long_prefix).chain(always.into_iter().flatten());
    sample.extend(required);
    sample.sort_unstable();
    sample.dedup();
    sample
}
