//! The upstreams at which this VM has requests, so that a load report needs not look at all others.

use std::collections::HashMap;
use std::sync::Arc;

use foldhaven_core::ids::ServiceName;
use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::level_loads::LevelLoads;
use foldhaven_core::opaque::load_reports::UpstreamShare;
use parking_lot::Mutex;

use crate::upstream::Upstream;

/// The upstreams with requests of this VM, and those whose last one has ended since the last load
/// report.
#[derive(Default)]
pub struct BusyUpstreams(Mutex<HashMap<UpstreamTag, Arc<Upstream>>>);

impl BusyUpstreams {
    /// Adds an upstream, after a request was counted there.
    pub fn insert(&self, upstream: &Arc<Upstream>) {
        self.0.lock().entry(upstream.tag).or_insert_with(|| upstream.clone());
    }

    /// Whether this VM has had no requests since the last load report.
    pub fn is_empty(&self) -> bool {
        self.0.lock().is_empty()
    }

    /// Returns the number of requests of this VM at the upstreams of a service.
    pub fn in_flight(&self, service: &ServiceName) -> u32 {
        let busy = self.0.lock();
        let of_service = busy.values().filter(|upstream| upstream.identity.service == *service);
        of_service.map(|upstream| u32::from(upstream.load.share().in_flight)).sum()
    }

    /// Returns the requests of this VM at each upstream. Upstreams without requests are removed.
    pub fn shares(&self) -> Vec<BusyShare> {
        let mut shares = Vec::new();
        self.0.lock().retain(|tag, upstream| {
            let share = upstream.load.share();
            let is_busy = share.in_flight > 0;
            if is_busy {
                shares.push(BusyShare { tag: *tag, share, levels: upstream.load.levels() });
            }
            is_busy
        });
        shares
    }
}

/// The requests of this VM at one upstream.
pub struct BusyShare {
    pub tag: UpstreamTag,
    pub share: UpstreamShare,
    /// The requests by priority level.
    pub levels: LevelLoads,
}
