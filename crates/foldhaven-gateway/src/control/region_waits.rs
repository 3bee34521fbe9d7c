//! The waits that requests can expect: as estimated by this VM for its own region, and as reported
//! for other regions.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::{RegionName, ServiceName};
use foldhaven_core::opaque::affinity::RingPosition;
use foldhaven_core::opaque::peer_table::{ServiceTag, ServiceWait};

use super::ControlActor;
use crate::destinations::expected_wait;
use crate::upstream::Upstream;
use crate::view::RegionWait;

/// The assumed wait in a region without a recent report, for example after a start. Requests that
/// may run only there are better sent than refused.
const UNREPORTED_WAIT: Duration = Duration::from_millis(100);
/// The maximum number of upstreams of a service from which the wait in a region is estimated.
const MAX_SAMPLE: usize = 128;

impl ControlActor {
    /// Returns the expected waits at the upstreams of this region, by service.
    pub(super) fn local_waits(&self) -> Vec<ServiceWait> {
        let now = self.now();
        let own_region = self.shared.settings.region();
        let is_open = |it: &&Arc<Upstream>| {
            let is_accepting = it.remaining_backoff(now).is_zero() && !it.is_leaving();
            is_accepting && it.allowed_rate(now).is_none()
        };
        let mut by_service: BTreeMap<&ServiceName, Vec<ExpectedQueue>> = BTreeMap::new();
        for (service, group) in self.upstreams.groups_in(own_region) {
            let performance = self.shared.measured_performance(service);
            let expected_queue = |upstream: &Arc<Upstream>| ExpectedQueue {
                wait: expected_wait(upstream, &performance, now),
                load: upstream.queue().in_flight,
                long_pauses: upstream.performance.lock().long_pause_share(now),
            };
            // What this VM cannot reach itself may be open to others.
            let is_lost = self.shared.paths.is_lost();
            if is_lost && !self.has_local_peer_with_paths(service) {
                continue;
            }
            let is_usable = |it: &&Arc<Upstream>| is_open(it) && (is_lost || !it.is_ejected(now));
            let open =
                group.iter_from(RingPosition(rand::random())).filter(is_usable).take(MAX_SAMPLE);
            let expected: Vec<ExpectedQueue> = open.map(expected_queue).collect();
            if !expected.is_empty() {
                by_service.insert(service, expected);
            }
        }
        let service_wait = |(service, expected): (&ServiceName, Vec<ExpectedQueue>)| {
            let usual = better_half_mean(expected);
            ServiceWait {
                service: ServiceTag::of(service),
                wait_ms: u16::try_from(usual.wait.as_millis()).unwrap_or(u16::MAX),
                load: u16::try_from(usual.load).unwrap_or(u16::MAX),
                long_pauses: (usual.long_pauses * 1_000.0) as u16,
            }
        };
        by_service.into_iter().map(service_wait).collect()
    }

    /// Whether another VM of this region can probably reach the upstreams of a service.
    fn has_local_peer_with_paths(&self, service: &ServiceName) -> bool {
        let own_region = self.shared.settings.region();
        let mut local = self.links.values().filter(|link| link.region == *own_region);
        local.any(|link| !self.shared.paths.is_lost_at(link.tag, service))
    }

    /// Returns the expected waits by region and service, as reported by the delegates of other
    /// regions. A service that has no available upstream in a region has no entry.
    pub(super) fn waits_by_region(&self) -> HashMap<(RegionName, ServiceName), RegionWait> {
        let now = self.now();
        let mut waits: HashMap<(RegionName, ServiceName), RegionWait> = HashMap::new();
        for (service, regions) in self.upstreams.groups() {
            for (region, group) in regions {
                let Some(first) = group.iter().next() else { continue };
                if self.regions.is_closed(region, service, now) {
                    continue;
                }
                let reported = self.regions.wait(region, service, now);
                let wait = RegionWait {
                    wait: reported.map_or(UNREPORTED_WAIT, |reported| {
                        Duration::from_millis(reported.wait_ms.into())
                    }),
                    upstreams: group.len(),
                    slots: first.identity.slots,
                    load: reported.map_or(0, |reported| reported.load.into()),
                    long_pauses: reported
                        .map_or(0.0, |reported| f64::from(reported.long_pauses) / 1_000.0),
                };
                waits.insert((region.clone(), service.clone()), wait);
            }
        }
        waits
    }
}

/// The expected wait and load of a request at one upstream.
struct ExpectedQueue {
    wait: Duration,
    load: u32,
    long_pauses: f64,
}

/// Returns the mean of the better half of the upstreams, since requests are sent to one of the
/// better ones.
fn better_half_mean(mut expected: Vec<ExpectedQueue>) -> ExpectedQueue {
    expected.sort_by_key(|expected| (expected.wait, expected.load));
    expected.truncate(expected.len().div_ceil(2));
    let count = expected.len().max(1) as u32;
    let wait: Duration = expected.iter().map(|expected| expected.wait).sum();
    let load: u32 = expected.iter().map(|expected| expected.load).sum();
    let long_pauses: f64 = expected.iter().map(|expected| expected.long_pauses).sum();
    ExpectedQueue {
        wait: wait / count,
        load: load / count,
        long_pauses: long_pauses / f64::from(count),
    }
}
