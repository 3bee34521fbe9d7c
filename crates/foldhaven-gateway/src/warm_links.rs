//! Keeps connections to VMs of other regions open, so that a forwarded request need not wait for
//! one, and measures the round-trip time.

use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::RegionName;
use tokio::time::{MissedTickBehavior, interval};

use crate::connection::REMOTE_CONNECT_TIMEOUT;
use crate::shared::GatewayShared;
use crate::view::{GatewayView, PeerLink, RegionPeers};

/// Number of VMs in each other region to which a connection is kept open.
const LINKS_PER_REGION: usize = 2;
/// Interval at which these connections are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Opens connections to VMs of other regions, and replaces closed ones, for as long as the process
/// runs.
pub async fn keep_links_warm(shared: Arc<GatewayShared>) {
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(view) = shared.view() else { continue };
        for link in links_to_open(&view, shared.settings.region()) {
            tokio::spawn(open_link(link));
        }
    }
}

/// Returns one link to open for each region that has too few open connections.
fn links_to_open(view: &GatewayView, own_region: &RegionName) -> Vec<Arc<PeerLink>> {
    let regions = view.members.regions.iter().filter(|(region, _)| *region != own_region);
    let link_to_open = |peers: &RegionPeers| {
        let (open, unopened): (Vec<_>, Vec<_>) =
            peers.in_service.iter().partition(|link| link.pool.has_usable_connection());
        if open.len() < LINKS_PER_REGION { pick(&unopened) } else { None }
    };
    regions.filter_map(|(_, peers)| link_to_open(peers)).collect()
}

fn pick(links: &[&Arc<PeerLink>]) -> Option<Arc<PeerLink>> {
    let at = (rand::random::<f64>() * links.len() as f64) as usize;
    links.get(at).map(|link| Arc::clone(link))
}

async fn open_link(link: Arc<PeerLink>) {
    // An unreachable VM is detected by heartbeats.
    if let Ok(connection) = link.pool.open(link.address, REMOTE_CONNECT_TIMEOUT).await {
        link.pool.put(connection, None);
    }
}
