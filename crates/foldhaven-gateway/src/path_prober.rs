//! Finds out when lost paths to upstreams are back, so that no request of a caller has to try.

use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::ServiceName;
use foldhaven_core::opaque::affinity::RingPosition;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::connection::LOCAL_CONNECT_TIMEOUT;
use crate::shared::GatewayShared;
use crate::upstream::Upstream;

/// Interval between two probes of a service whose upstreams cannot be reached.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a new connection has to stay open.
const SETTLING_TIME: Duration = Duration::from_millis(100);

/// Probes the upstreams of all services whose paths are lost, for as long as the process runs.
pub async fn probe_lost_paths(shared: Arc<GatewayShared>) {
    let mut ticks = interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for service in shared.paths.lost_services() {
            tokio::spawn(probe_service(shared.clone(), service));
        }
    }
}

/// Opens a connection to a random upstream of a service, and records success.
async fn probe_service(shared: Arc<GatewayShared>, service: ServiceName) {
    // VMs whose paths return at the same time do not all connect at the same time.
    sleep(PROBE_INTERVAL.mul_f64(rand::random::<f64>() / 2.0)).await;
    let Some(upstream) = random_upstream(&shared, &service) else {
        shared.paths.record_opened(&shared, &service);
        return;
    };
    let address = upstream.identity.address;
    let Ok(connection) = upstream.pool.open(address, LOCAL_CONNECT_TIMEOUT).await else { return };
    sleep(SETTLING_TIME).await;
    if !connection.is_closed() {
        upstream.pool.put(connection, None);
        shared.paths.record_opened(&shared, &service);
    }
}

/// Returns a random upstream of a service in this region. `None` if there is none.
fn random_upstream(shared: &GatewayShared, service: &ServiceName) -> Option<Arc<Upstream>> {
    let view = shared.view()?;
    let group = view.group(service, shared.settings.region())?;
    group.iter_from(RingPosition(rand::random())).next().cloned()
}
