//! The traffic side of the daemon: serves callers, peers and operators, and sends requests to
//! upstreams and peers.

mod answer;
mod api;
mod call;
mod call_errors;
mod caller_api;
mod entries;
mod explain;
mod origin;
mod outgoing;
mod paths;
mod peer_api;
mod permission;
mod receiver;
mod reply;
mod request;
mod service;
mod service_result;
mod state;
mod ticketed;
mod tickets;

pub use self::call::{HttpUpstream, UpstreamClient};
pub use self::caller_api::serve_callers;
pub use self::peer_api::serve_peers;
pub use self::state::TrafficState;
pub use self::tickets::TicketRegistry;

use std::sync::Arc;

use crate::shared::SharedState;

/// The state and the client that every request handler needs.
#[derive(Clone)]
pub struct TrafficContext {
    pub shared: Arc<SharedState>,
    pub upstream: Arc<dyn UpstreamClient>,
}
