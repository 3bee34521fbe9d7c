//! When the attempt that is under way was sent, for whoever waits for its answer beside another
//! one.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use super::RequestDriver;
use crate::clock::BootInstant;

/// The time at which an attempt was sent. `None` while none is under way.
#[derive(Debug, Default)]
pub struct SendTime(Mutex<Option<BootInstant>>);

impl SendTime {
    /// Returns how long the attempt has been under way.
    pub fn elapsed(&self) -> Option<Duration> {
        self.0.lock().map(|sent| sent.elapsed())
    }

    pub(super) fn begin(&self) {
        *self.0.lock() = Some(BootInstant::now());
    }

    pub(super) fn end(&self) {
        *self.0.lock() = None;
    }
}

impl RequestDriver {
    /// Returns the time at which the next attempt will have been sent.
    pub fn watch_sending(&self) -> Arc<SendTime> {
        self.sent.end();
        self.sent.clone()
    }

    /// Sets whether the next attempts must not go to upstreams that were tried.
    pub fn avoid_tried(&mut self, avoids_tried: bool) {
        self.avoids_tried = avoids_tried;
    }
}
