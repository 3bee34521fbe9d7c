//! What a request is suspected by.

use std::sync::Arc;

use crate::opaque::request_fingerprint::RequestFingerprint;

/// The fingerprints by which a request is suspected of crashing upstreams.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SuspectKeys {
    /// The fingerprint of the whole request.
    pub request: RequestFingerprint,
    /// The fingerprints of those segments of its prompt that other requests may share, without
    /// duplicates.
    pub segments: Arc<[RequestFingerprint]>,
}

impl SuspectKeys {
    /// Returns the keys of a request without a prompt that others may share.
    pub fn of_request(request: RequestFingerprint) -> Self {
        Self { request, segments: Arc::new([]) }
    }
}
