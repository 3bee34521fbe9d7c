//! The open connections of callers and other VMs, and what each of them is used for.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use parking_lot::Mutex;
use tokio::sync::Notify;

/// Maximum number of bytes of an attempt id that are kept for logs.
const MAX_ATTEMPT_BYTES: usize = 64;

/// The state of the current request on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RequestPhase {
    /// Nothing was received since the last answer was written.
    #[default]
    Idle,
    /// A part of the head was received.
    Arriving,
    /// The request is being handled, and its body may still be arriving.
    Handled,
    /// The end of the answer was generated, but not written yet.
    Flushing,
}

/// What a connection is used for.
#[derive(Default)]
pub struct ConnectionActivity {
    current: Mutex<CurrentRequest>,
    request_started: Notify,
    /// Whether the current answer ends with the connection. It is the last one.
    has_closing_answer: AtomicBool,
    /// Whether the end of that answer was generated.
    is_closing_answer_complete: AtomicBool,
}

#[derive(Default)]
struct CurrentRequest {
    phase: RequestPhase,
    /// The attempt id of the last request. Empty if there was no request or it has no id. It is a
    /// copy, since a header value would keep the buffer of its head allocated.
    attempt: Vec<u8>,
}

impl ConnectionActivity {
    /// Returns the state of the current request.
    pub fn phase(&self) -> RequestPhase {
        self.current.lock().phase
    }

    /// Whether a close must reset the connection, since its orderly end would complete an answer that
    /// is incomplete. `is_all_written` tells whether everything generated so far was written.
    pub fn is_reset_on_close(&self, is_all_written: bool) -> bool {
        let is_complete = self.is_closing_answer_complete.load(Ordering::Acquire);
        self.has_closing_answer.load(Ordering::Acquire) && !(is_all_written && is_complete)
    }

    /// Records that a close must reset the connection until the answer is complete and written.
    pub fn start_closing_answer(self: &Arc<Self>) -> ClosingAnswer {
        self.has_closing_answer.store(true, Ordering::Release);
        ClosingAnswer { activity: self.clone() }
    }

    /// Records that data was received.
    pub fn record_read(&self) {
        self.advance(RequestPhase::Idle, RequestPhase::Arriving);
    }

    /// Records that everything generated so far was written.
    pub fn record_flush(&self) {
        self.advance(RequestPhase::Flushing, RequestPhase::Idle);
    }

    /// Records that the head of a request was received. The request is handled until the guard is
    /// dropped.
    pub fn start_request(self: &Arc<Self>, attempt: &[u8]) -> RequestGuard {
        let mut current = self.current.lock();
        current.phase = RequestPhase::Handled;
        current.attempt.clear();
        current.attempt.extend(attempt.iter().take(MAX_ATTEMPT_BYTES));
        drop(current);
        self.request_started.notify_one();
        RequestGuard { activity: self.clone() }
    }

    /// Waits for the head of a request.
    pub async fn wait_request(&self) {
        while self.phase() == RequestPhase::Arriving {
            self.request_started.notified().await;
        }
    }

    fn advance(&self, from: RequestPhase, to: RequestPhase) {
        let mut current = self.current.lock();
        if current.phase == from {
            current.phase = to;
        }
    }
}

/// Guard of a request whose answer is not generated completely.
pub struct RequestGuard {
    activity: Arc<ConnectionActivity>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.activity.advance(RequestPhase::Handled, RequestPhase::Flushing);
    }
}

/// An answer that ends with its connection. Until it is complete and written, any other end of the
/// connection is a reset, also if the process is killed.
pub struct ClosingAnswer {
    activity: Arc<ConnectionActivity>,
}

impl ClosingAnswer {
    /// Records that the end of the answer was generated.
    pub fn complete(self) {
        self.activity.is_closing_answer_complete.store(true, Ordering::Release);
    }
}

/// The open connections.
#[derive(Default)]
pub struct ConnectionTracker {
    open: Mutex<OpenConnections>,
    /// Notified when no connection is open any more.
    closed: Notify,
}

#[derive(Default)]
struct OpenConnections {
    by_number: HashMap<u64, Arc<ConnectionActivity>>,
    next_number: u64,
}

impl ConnectionTracker {
    /// Counts a connection as open until the guard is dropped.
    pub fn open(self: &Arc<Self>) -> ConnectionGuard {
        let activity = Arc::new(ConnectionActivity::default());
        let mut open = self.open.lock();
        let number = open.next_number;
        open.next_number += 1;
        open.by_number.insert(number, activity.clone());
        ConnectionGuard { tracker: self.clone(), number, activity }
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.open.lock().by_number.len()
    }

    /// Waits until no connection is open.
    pub async fn wait_closed(&self) {
        loop {
            let closed = self.closed.notified();
            if self.count() == 0 {
                return;
            }
            closed.await;
        }
    }

    /// Describes the last requests on at most `limit` of the open connections.
    pub fn describe(&self, limit: usize) -> String {
        let open = self.open.lock();
        let described = open.by_number.values().take(limit).map(|activity| {
            let current = activity.current.lock();
            format!("{} {:?}", String::from_utf8_lossy(&current.attempt), current.phase)
        });
        described.collect::<Vec<_>>().join(", ")
    }
}

/// Guard of an open connection.
pub struct ConnectionGuard {
    tracker: Arc<ConnectionTracker>,
    number: u64,
    pub activity: Arc<ConnectionActivity>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut open = self.tracker.open.lock();
        open.by_number.remove(&self.number);
        if open.by_number.is_empty() {
            self.tracker.closed.notify_waiters();
        }
    }
}
