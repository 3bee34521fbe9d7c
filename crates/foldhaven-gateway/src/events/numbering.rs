//! Checks the event ids of one stream by what is known about the software of its upstream.

use std::sync::Arc;

use foldhaven_core::opaque::event_sequence::{EventGap, EventSequenceChecker};
use foldhaven_core::opaque::numbering_table::NumberingKey;
use foldhaven_core::opaque::peer_table::ServiceTag;
use foldhaven_core::opaque::software::SoftwareTag;
use foldhaven_wire::sse::event_ids;

use crate::attempts::RequestDriver;
use crate::shared::GatewayShared;

/// The check of one stream.
pub(super) struct NumberingCheck {
    shared: Arc<GatewayShared>,
    key: NumberingKey,
    checker: EventSequenceChecker,
    /// The id of the request, for the log.
    request: String,
}

impl NumberingCheck {
    /// Creates the check of a stream that begins, or goes on for its caller, at this software.
    pub(super) fn new(driver: &RequestDriver, software: SoftwareTag) -> Self {
        let job = &driver.job;
        let service = ServiceTag::of(&job.service);
        let key = NumberingKey { route: job.route.name.clone(), service, software };
        let resumed_after = job.headers.get(&driver.shared.names.last_event);
        let resumed_after = resumed_after.and_then(|id| id.to_str().ok());
        let checker = driver.shared.numberings.lock().checker(&key, resumed_after);
        Self { shared: driver.shared.clone(), key, checker, request: job.id().to_owned() }
    }

    /// Replaces the check of a stream of which no event was passed on, when it starts again.
    pub(super) fn restart(&mut self, driver: &RequestDriver, software: SoftwareTag) {
        let next = Self::new(driver, software);
        *self = Self { checker: self.checker.restarted(next.checker), ..next };
    }

    /// Whether an event is missing before or among these events. None of them is relayed then,
    /// since the gap could not be reported to the caller later.
    pub(super) fn has_gap(&mut self, events: &[u8]) -> bool {
        // A checker that found a gap is discarded. The stream is resumed after the events that were
        // relayed before.
        let mut checker = self.checker;
        let gap = event_ids(events).find(|id| self.precedes(&mut checker, id));
        match gap {
            None => self.checker = checker,
            Some(id) => {
                self.checker.record_suspected(id);
                self.shared.metrics.count_event("event_gaps");
            }
        }
        gap.is_some()
    }

    /// Whether a gap precedes the event with this id, or the event is repeated.
    fn precedes(&self, checker: &mut EventSequenceChecker, id: &str) -> bool {
        match checker.check(id) {
            Ok(()) => false,
            Err(EventGap::Repeated) => {
                self.log_gap(checker, id, "repeated");
                true
            }
            Err(EventGap::Missing) => {
                if self.shared.numberings.lock().confirm_gap(&self.key, checker) {
                    self.log_gap(checker, id, "missing");
                    return true;
                }
                self.log_gap(checker, id, "unconfirmed");
                self.shared.metrics.count_event("event_gaps_unconfirmed");
                checker.expect_nothing();
                checker.check(id).is_err()
            }
        }
    }

    /// Logs an event id that deviates from the expected one, and what was concluded from it.
    fn log_gap(&self, checker: &EventSequenceChecker, id: &str, conclusion: &'static str) {
        if !self.shared.quota.take(false) {
            return;
        }
        tracing::info!(
            request = self.request,
            route = %self.key.route,
            software = %self.key.software,
            id,
            after = checker.last_id(),
            max_expected = checker.max_expected_id(),
            conclusion,
            "unexpected event id"
        );
    }

    /// Records how the events of the stream were numbered, after its end.
    pub(super) fn record_complete(&self) {
        self.shared.numberings.lock().record_stream(&self.key, &self.checker);
    }
}
