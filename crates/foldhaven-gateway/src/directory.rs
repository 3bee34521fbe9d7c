//! Answers callers who ask which VMs to use.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use foldhaven_core::ids::RegionName;
use foldhaven_core::opaque::directory::{LocalService, select_vms};
use http::{Request, StatusCode};
use hyper::body::Incoming;

use crate::answer::{Answer, Refusal, body_answer};
use crate::front::FrontHandler;
use crate::shared::GatewayShared;

/// How long callers may use an answer. Shorter answers move callers sooner and cost more questions.
const ANSWER_LIFETIME: Duration = Duration::from_secs(2);
/// A process that has just started names nobody until it had time to hear of the others.
const NAMING_DELAY: Duration = Duration::from_millis(1_200);

/// What a caller asks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// The host that its requests will name.
    pub host: String,
    /// Its region.
    pub region: RegionName,
}

/// The form in which callers ask and are answered.
pub trait DirectoryCodec: Send + Sync {
    /// Reads a question; nothing when it is none.
    fn read(&self, path: &str, query: &str) -> Option<DirectoryQuery>;

    /// Writes an answer.
    fn write(&self, addresses: &[SocketAddr], lifetime: Duration) -> Bytes;
}

/// Answers at the directory's address.
pub(crate) struct DirectoryHandler {
    pub shared: Arc<GatewayShared>,
    pub codec: Arc<dyn DirectoryCodec>,
}

impl DirectoryHandler {
    fn addresses(&self, query: &DirectoryQuery) -> Option<Vec<SocketAddr>> {
        let view = self.shared.view()?;
        if self.shared.uptime() < NAMING_DELAY {
            return None;
        }
        let bound = |region: &RegionName| view.routes.bound_routes_in(&query.host, region);
        let has_bound = view.routes.has_bound_routes(&query.host);
        let settings = &self.shared.settings;
        let near = LocalService {
            responder: &settings.vm,
            region: settings.region(),
            demand: view.demand,
            unresponsive: &view.unresponsive_vms,
        };
        Some(select_vms(&view.heartbeats, &query.region, &near, bound, has_bound))
    }
}

#[async_trait]
impl FrontHandler for DirectoryHandler {
    async fn handle(&self, request: Request<Incoming>) -> Answer {
        let uri = request.uri();
        let query = self.codec.read(uri.path(), uri.query().unwrap_or_default());
        let Some(query) = query else { return Refusal::Malformed.answer() };
        // After a stand-still the VMs that are known may have ended long ago; callers ask another directory.
        let addresses = self.shared.is_awake().then(|| self.addresses(&query)).flatten();
        match addresses {
            Some(addresses) if !addresses.is_empty() => {
                let body = self.codec.write(&addresses, ANSWER_LIFETIME);
                body_answer(StatusCode::OK, "application/json", body)
            }
            _ => Refusal::NoDescription.answer(),
        }
    }
}
