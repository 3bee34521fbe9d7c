//! Reads at which upstreams another VM has tried a request.

use std::sync::Arc;

use foldhaven_core::headers::UPSTREAM;
use foldhaven_core::ids::UpstreamName;
use http::HeaderMap;
use http::response::Parts;
use parking_lot::Mutex;

use crate::call::CallListener;

/// Processes the events of calls to another VM.
pub struct PeerListener {
    tried_upstreams: Arc<Mutex<Vec<UpstreamName>>>,
}

impl PeerListener {
    /// Creates a listener that adds the upstreams of each answer.
    pub fn new(tried_upstreams: Arc<Mutex<Vec<UpstreamName>>>) -> Self {
        Self { tried_upstreams }
    }
}

impl CallListener for PeerListener {
    fn on_connected(&self) {}

    fn on_head(&self, head: &Parts) {
        self.tried_upstreams.lock().extend(read_upstreams(&head.headers));
    }
}

/// Returns the upstreams that the headers of another VM name.
pub fn read_upstreams(headers: &HeaderMap) -> impl Iterator<Item = UpstreamName> {
    let names = headers.get_all(UPSTREAM).iter();
    names.filter_map(|name| name.to_str().ok()?.parse().ok())
}
