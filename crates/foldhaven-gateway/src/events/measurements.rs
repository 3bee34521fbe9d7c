//! Records what the events of a stream show: the software at which it begins, the time to its first
//! event, its pauses and the load of its upstream meanwhile.

use foldhaven_core::opaque::peer_table::ServiceTag;
use foldhaven_core::opaque::queue_rank::QueueRank;
use foldhaven_core::opaque::route_table::RepeatKind;
use foldhaven_core::opaque::software::SoftwareTag;
use foldhaven_core::opaque::stream_origins::{AttemptTag, OriginNotice, StreamOrigin};

use super::{EventRelay, RelayState};
use crate::clock::BootInstant;
use crate::destinations::RequestDestination;

impl EventRelay {
    /// Records at which software the stream begins, unless it has begun. Other VMs have to know it
    /// before the caller gets the first event, since this VM may be lost with the stream.
    pub(super) fn record_origin(&mut self, software: SoftwareTag) {
        let Some(driver) = &self.driver else { return };
        let job = &driver.job;
        let is_resumable = job.route.repeat == RepeatKind::ResumableStream;
        if !is_resumable || job.is_forwarded || job.software.is_some() {
            return;
        }
        self.upstream_number = self.upstream_number.saturating_add(1);
        let service = ServiceTag::of(&job.service);
        let origin = StreamOrigin { service, software, upstream_number: self.upstream_number };
        let attempt = AttemptTag::of(job.attempt.as_bytes());
        driver.shared.origins.record(OriginNotice { attempt, origin }, driver.shared.now());
    }

    /// Records that data was received from the upstream.
    pub(super) fn record_received(&self) {
        if let Some((driver, upstream)) = self.reading_from() {
            let now = driver.shared.now();
            upstream.record_received(now);
            driver.shared.paths.record_received(now);
        }
    }

    /// Records the first event of this upstream, and of the stream.
    pub(super) fn record_time_to_first(&mut self) {
        let (RelayState::Reading(reading), Some(driver)) = (&mut self.state, &mut self.driver)
        else {
            return;
        };
        if !std::mem::replace(&mut reading.has_received_event, true) {
            reading.load_guard.record_answered();
            if let RequestDestination::Upstream(upstream) = &reading.destination {
                reading.stream_guard = Some(upstream.enter_stream());
            }
            driver.record_time_to_first(&reading.destination, reading.expected, reading.sent);
        }
        if !std::mem::replace(&mut self.has_sent_event, true) {
            // The events of another version would not fit to this one.
            driver.job.software.get_or_insert(reading.software);
            let took = driver.job.record_time_to_first();
            driver.shared.metrics.record_time_to_first(&driver.job.route.name, took);
        }
    }

    /// Records whether the pause that ends now was longer than the target event gap.
    pub(super) fn record_pause(&mut self) {
        let (RelayState::Reading(reading), Some(driver)) = (&mut self.state, &self.driver) else {
            return;
        };
        if let (RequestDestination::Upstream(upstream), Some(target_gap), true) =
            (&reading.destination, driver.job.route.event_gap, reading.has_received_event)
        {
            let pause = self.last_received.elapsed();
            let is_long = pause > target_gap;
            if is_long {
                reading.load_guard.record_late();
            }
            upstream.performance.lock().record_pause(is_long, driver.shared.now());
            // A prompt that arrived during the pause lengthened it as much as an earlier one.
            let backlog_now = upstream.queue().prefill_backlog.ahead_of(QueueRank::Timely);
            let backlog = reading.backlog_before.max(backlog_now);
            driver.shared.record_pause(upstream, backlog, is_long);
            driver.shared.record_interval(upstream, backlog, pause);
        }
    }

    /// Samples the number of requests at the upstream and its prefill backlog.
    pub(super) fn sample_load(&mut self) {
        let RelayState::Reading(reading) = &mut self.state else { return };
        let RequestDestination::Upstream(upstream) = &reading.destination else { return };
        reading.first_event.get_or_insert_with(|| (BootInstant::now(), self.blocks.count()));
        let queue = upstream.queue();
        reading.load_samples.0 += u64::from(queue.in_flight);
        reading.load_samples.1 += 1;
        reading.backlog_before = queue.prefill_backlog.ahead_of(QueueRank::Timely);
    }
}
