//! The traffic side: callers, peers and operators in front, upstreams and peers behind.

mod answer;
mod call;
mod caller_front;
mod ends;
mod entries;
mod explain;
mod facts;
mod faults;
mod front;
mod origin;
mod outgoing;
mod paths;
mod peer_front;
mod permission;
mod receiver;
mod reply;
mod request;
mod service;
mod ticketed;
mod tickets;

pub use self::call::{HttpUpstream, UpstreamClient};
pub use self::caller_front::serve_callers;
pub use self::facts::TrafficState;
pub use self::peer_front::serve_peers;
pub use self::tickets::TicketRegistry;

use std::sync::Arc;

use crate::shared::SharedState;

/// What every request handler needs.
#[derive(Clone)]
pub struct TrafficContext {
    pub shared: Arc<SharedState>,
    pub upstream: Arc<dyn UpstreamClient>,
}
