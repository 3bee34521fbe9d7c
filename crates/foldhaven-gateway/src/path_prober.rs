//! Finds out when lost paths to upstreams are back, so that no request of a caller has to try.

use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::opaque::affinity::RingPosition;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::connection::LOCAL_CONNECT_TIMEOUT;
use crate::shared::GatewayShared;
use crate::upstream::Upstream;

/// Interval between two probes while no upstream can be reached.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a new connection has to stay open.
const SETTLING_TIME: Duration = Duration::from_millis(100);

/// Probes the upstreams of the region while the paths to them are lost, for as long as the process
/// runs.
pub async fn probe_lost_paths(shared: Arc<GatewayShared>) {
    let mut ticks = interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if shared.paths.is_lost() {
            tokio::spawn(probe(shared.clone()));
        }
    }
}

/// Opens a connection to a random upstream, and records success.
async fn probe(shared: Arc<GatewayShared>) {
    // VMs whose paths return at the same time do not all connect at the same time.
    sleep(PROBE_INTERVAL.mul_f64(rand::random::<f64>() / 2.0)).await;
    let Some(upstream) = random_upstream(&shared) else {
        shared.paths.record_opened(&shared);
        return;
    };
    let address = upstream.identity.address;
    let Ok(connection) = upstream.pool.open(address, LOCAL_CONNECT_TIMEOUT).await else { return };
    sleep(SETTLING_TIME).await;
    if !connection.is_closed() {
        upstream.pool.put(connection, None);
        shared.paths.record_opened(&shared);
    }
}

/// Returns a random upstream of a random service in this region. `None` if there is none.
fn random_upstream(shared: &GatewayShared) -> Option<Arc<Upstream>> {
    let view = shared.view()?;
    let own_region = shared.settings.region();
    let groups = view.upstreams.values().filter_map(|regions| regions.get(own_region));
    let groups: Vec<_> = groups.collect();
    let at = (rand::random::<f64>() * groups.len() as f64) as usize;
    groups.get(at)?.iter_from(RingPosition(rand::random())).next().cloned()
}
