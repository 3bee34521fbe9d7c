//! The waits that requests can expect: as estimated by this VM for its own region, and as reported
//! for other regions.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::{RegionName, ServiceName};
use foldhaven_core::opaque::peer_table::{ServiceTag, ServiceWait};

use super::ControlActor;
use crate::destinations::expected_wait;
use crate::upstream::Upstream;
use crate::view::RegionWait;

/// The assumed wait in a region without a recent report, for example after a start. Requests that
/// may run only there are better sent than refused.
const UNREPORTED_WAIT: Duration = Duration::from_millis(100);

impl ControlActor {
    /// Returns the expected waits at the upstreams of this region, by service.
    pub(super) fn local_waits(&self) -> Vec<ServiceWait> {
        let now = self.now();
        let own_region = self.shared.settings.region();
        let local = self.upstreams.values().filter(|it| it.identity.region == *own_region);
        let is_open = |it: &&Arc<Upstream>| {
            let is_accepting = it.remaining_backoff(now).is_zero() && !it.is_leaving();
            is_accepting && it.allowed_rate(now).is_none() && !it.health.lock().is_ejected(now)
        };
        let open = local.filter(is_open);
        let mut by_service: BTreeMap<&ServiceName, Vec<ExpectedQueue>> = BTreeMap::new();
        for upstream in open {
            let service = &upstream.identity.service;
            let wait = expected_wait(upstream, &self.shared.measured_performance(service), now);
            let long_pauses = upstream.performance.lock().long_pause_share(now);
            let expected = ExpectedQueue { wait, load: upstream.queue().in_flight, long_pauses };
            by_service.entry(service).or_default().push(expected);
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

    /// Returns the expected waits by region and service, as reported by the delegates of other
    /// regions. A service that has no available upstream in a region has no entry.
    pub(super) fn waits_by_region(&self) -> HashMap<(RegionName, ServiceName), RegionWait> {
        let now = self.now();
        let mut waits: HashMap<(RegionName, ServiceName), RegionWait> = HashMap::new();
        for upstream in self.upstreams.values() {
            let identity = &upstream.identity;
            if self.regions.is_closed(&identity.region, &identity.service, now) {
                continue;
            }
            let key = (identity.region.clone(), identity.service.clone());
            let wait = waits.entry(key).or_insert(RegionWait {
                wait: UNREPORTED_WAIT,
                upstreams: 0,
                slots: 0,
                load: 0,
                long_pauses: 0.0,
            });
            if wait.upstreams == 0
                && let Some(reported) = self.regions.wait(&identity.region, &identity.service, now)
            {
                wait.wait = Duration::from_millis(reported.wait_ms.into());
                wait.load = reported.load.into();
                wait.long_pauses = f64::from(reported.long_pauses) / 1_000.0;
            }
            wait.upstreams += 1;
            wait.slots = identity.slots;
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
