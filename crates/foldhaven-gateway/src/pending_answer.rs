//! Remembers the request that a connection is working on, to tell whether the connection ended
//! before the answer.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use parking_lot::Mutex;

use crate::clock::BootInstant;

/// A request that was read and is not answered yet.
#[derive(Debug, Clone)]
pub struct PendingRequest {
    /// The id that its caller gave it. `None` if it has none.
    pub attempt: Option<HeaderValue>,
    started: BootInstant,
}

impl PendingRequest {
    /// Returns the time since its head was read.
    pub fn age(&self) -> Duration {
        self.started.elapsed()
    }
}

/// How a connection of a caller failed.
#[derive(Debug)]
pub struct ConnectionFailure {
    /// The error of the connection.
    pub error: hyper::Error,
    /// The request that has no answer. `None` if the connection failed between two requests, or
    /// while an answer was written.
    pub pending: Option<PendingRequest>,
}

/// The request that a connection is working on.
#[derive(Default, Clone)]
pub struct PendingAnswer {
    request: Arc<Mutex<Option<PendingRequest>>>,
}

impl PendingAnswer {
    /// Records that the head of a request was read.
    pub fn begin(&self, attempt: Option<HeaderValue>) {
        *self.request.lock() = Some(PendingRequest { attempt, started: BootInstant::now() });
    }

    /// Records that the answer was made.
    pub fn finish(&self) {
        *self.request.lock() = None;
    }

    /// Takes the request that has no answer.
    pub fn take(&self) -> Option<PendingRequest> {
        self.request.lock().take()
    }
}
