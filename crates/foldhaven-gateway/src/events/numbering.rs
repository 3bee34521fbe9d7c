//! Checks the event ids of one stream by what is known about the software of its upstream.

use std::sync::Arc;

use foldhaven_core::opaque::event_sequence::{EventGap, EventSequenceChecker};
use foldhaven_core::opaque::numbering_table::NumberingKey;
use foldhaven_core::opaque::peer_table::ServiceTag;
use foldhaven_core::opaque::software::SoftwareTag;
use foldhaven_wire::sse::event_ids;

use crate::attempts::RequestDriver;
use crate::shared::GatewayShared;

/// What the ids of events show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SequenceVerdict {
    /// They rise, and no more than was expected.
    Rising,
    /// An event is repeated.
    Repeated,
    /// They rise by more than those of other streams, so that an event may be missing.
    Suspected {
        /// Whether it is likely enough to open another upstream.
        is_likely: bool,
    },
}

/// The check of one stream.
pub(super) struct NumberingCheck {
    shared: Arc<GatewayShared>,
    key: NumberingKey,
    checker: EventSequenceChecker,
    /// The check including the events since a suspected gap. `None` if no gap is suspected.
    held: Option<EventSequenceChecker>,
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
        let request = job.id().to_owned();
        Self { shared: driver.shared.clone(), key, checker, held: None, request }
    }

    /// Replaces the check of a stream of which no event was passed on, when it starts again.
    pub(super) fn restart(&mut self, driver: &RequestDriver, software: SoftwareTag) {
        let next = Self::new(driver, software);
        *self = Self { checker: self.checker.restarted(next.checker), ..next };
    }

    /// Checks the ids of the next events. After a suspected gap, the check of them and of the events
    /// that follow is provisional until [`Self::accept_held`] or [`Self::discard_held`]. With
    /// `is_verified`, no event can be missing, and ids only have to rise.
    pub(super) fn check(&mut self, events: &[u8], is_verified: bool) -> SequenceVerdict {
        let mut checker = self.held.unwrap_or(self.checker);
        let mut verdict = SequenceVerdict::Rising;
        for id in event_ids(events) {
            match checker.check(id) {
                Ok(()) => {}
                Err(EventGap::Repeated) => {
                    self.log_gap(&checker, id, "repeated");
                    self.shared.metrics.count_event("event_gaps");
                    return SequenceVerdict::Repeated;
                }
                Err(EventGap::Missing) => {
                    let suspicion = (!is_verified).then(|| self.suspect(&checker, id));
                    if let Some(suspicion) = suspicion.flatten() {
                        verdict = suspicion;
                        self.checker.record_suspected(id);
                    }
                    checker.expect_nothing();
                    if checker.check(id).is_err() {
                        return SequenceVerdict::Repeated;
                    }
                }
            }
        }
        let is_held = self.held.is_some() || matches!(verdict, SequenceVerdict::Suspected { .. });
        match is_held {
            true => self.held = Some(checker),
            false => self.checker = checker,
        }
        verdict
    }

    /// Returns the suspicion that an event is missing before this id; `None` if other streams do not
    /// support it.
    fn suspect(&self, checker: &EventSequenceChecker, id: &str) -> Option<SequenceVerdict> {
        let mut numberings = self.shared.numberings.lock();
        let is_suspected = numberings.suspects_gap(&self.key, checker);
        let is_likely = is_suspected && numberings.confirm_gap(&self.key, checker);
        drop(numberings);
        let conclusion = match (is_suspected, is_likely) {
            (false, _) => "unconfirmed",
            (true, false) => "suspected",
            (true, true) => "likely",
        };
        self.log_gap(checker, id, conclusion);
        if !is_suspected {
            self.shared.metrics.count_event("event_gaps_unconfirmed");
        }
        is_suspected.then_some(SequenceVerdict::Suspected { is_likely })
    }

    /// Accepts the events since a suspected gap.
    pub(super) fn accept_held(&mut self) {
        if let Some(held) = self.held.take() {
            self.shared.metrics.count_event("event_gaps_unconfirmed");
            self.checker = held;
        }
    }

    /// Discards the events since a suspected gap, after which the stream goes on at another upstream or
    /// ends.
    pub(super) fn discard_held(&mut self) {
        if self.held.take().is_some() {
            self.shared.metrics.count_event("event_gaps");
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
