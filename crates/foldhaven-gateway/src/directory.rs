//! The directory: tells callers which VMs to use.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use foldhaven_core::ids::{RegionName, VmName};
use foldhaven_core::opaque::directory::{LocalService, select_vms};
use foldhaven_core::opaque::peer_table::VmTag;
use foldhaven_core::opaque::refusal::Refusal;
use http::{Request, StatusCode};
use hyper::body::Incoming;

use crate::answer::{Answer, body_answer, refuse};
use crate::front::FrontHandler;
use crate::shared::GatewayShared;
use crate::view::GatewayView;

/// How long callers may use an answer. A shorter time moves callers sooner but costs more requests.
const ANSWER_LIFETIME: Duration = Duration::from_secs(2);
/// Uptime before which a process names no VMs, because it has not had time to hear from the others.
const NAMING_DELAY: Duration = Duration::from_millis(1_200);

/// A query of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// The host of the requests that the caller is going to send.
    pub host: String,
    /// The region of the caller.
    pub region: RegionName,
}

/// The format of queries and answers.
pub trait DirectoryCodec: Send + Sync {
    /// Parses a query. `None` if the path and the query string are not a directory query.
    fn read(&self, path: &str, query: &str) -> Option<DirectoryQuery>;

    /// Serializes an answer.
    fn write(&self, addresses: &[SocketAddr], lifetime: Duration) -> Bytes;
}

/// Handles requests at the directory's address.
pub(crate) struct DirectoryHandler {
    pub shared: Arc<GatewayShared>,
    pub codec: Arc<dyn DirectoryCodec>,
}

impl DirectoryHandler {
    /// Returns the addresses of the VMs to use. `None` if this VM does not know them yet.
    fn addresses(&self, query: &DirectoryQuery) -> Option<Vec<SocketAddr>> {
        let view = self.shared.view()?;
        if self.shared.uptime() < NAMING_DELAY {
            return None;
        }
        let bound = |region: &RegionName| view.routes.bound_routes_in(&query.host, region);
        let has_bound = view.routes.has_bound_routes(&query.host);
        let settings = &self.shared.settings;
        let mut avoided = view.members.unresponsive_vms.clone();
        avoided.extend(self.vms_without_paths(&view));
        let local = LocalService {
            responder: &settings.vm,
            region: settings.region(),
            demand: view.demand,
            unresponsive: &avoided,
        };
        Some(select_vms(&view.members.heartbeats, &query.region, &local, bound, has_bound))
    }
}

impl DirectoryHandler {
    /// Returns the VMs that cannot reach the upstreams of some service. Callers are better served by
    /// others.
    fn vms_without_paths(&self, view: &GatewayView) -> Vec<VmName> {
        let paths = &self.shared.paths;
        if !paths.has_notices() {
            return Vec::new();
        }
        let vms = view.members.heartbeats.iter().map(|heartbeat| &heartbeat.vm);
        vms.filter(|vm| paths.is_any_lost_at(VmTag::of(vm))).cloned().collect()
    }
}

#[async_trait]
impl FrontHandler for DirectoryHandler {
    async fn handle(&self, request: Request<Incoming>) -> Answer {
        let uri = request.uri();
        let query = self.codec.read(uri.path(), uri.query().unwrap_or_default());
        let Some(query) = query else { return refuse(Refusal::Malformed) };
        // After a suspension, the known VMs may have exited long ago. The caller then asks another
        // directory.
        let addresses = self.shared.is_awake().then(|| self.addresses(&query)).flatten();
        match addresses {
            Some(addresses) if !addresses.is_empty() => {
                let body = self.codec.write(&addresses, ANSWER_LIFETIME);
                body_answer(StatusCode::OK, "application/json", body)
            }
            _ => refuse(Refusal::NoDescription),
        }
    }
}
