//! The load that an upstream tells in its answers.
//!
//! It shows requests of VMs that this one does not hear, and how slow the machine of the upstream is
//! at this moment. Both change many times per second, so a reading counts for a short time only, and
//! never against what this VM has measured since.

use std::str::FromStr;
use std::time::Duration;

use crate::opaque::performance::QueueState;
use crate::opaque::short_slowdown::{SlowdownFactor, SlowdownMonitor};
use crate::opaque::upstream_signals::AnswerTiming;
use crate::time::MonoTime;

/// The time after which a told slowdown no longer counts. Until then it counts less and less.
const SLOWDOWN_VALIDITY: Duration = Duration::from_millis(250);
/// The time after which told requests no longer count, also at an upstream that ends none.
const COUNT_VALIDITY: Duration = Duration::from_secs(1);
/// The maximum of plausible slots.
const MAX_SLOTS: u32 = 10_000;
/// The maximum number of requests that plausibly wait per slot. More could not be answered before
/// their callers leave.
const MAX_WAITING_PER_SLOT: u32 = 16;
/// The plausible percentages of the usual time that work takes.
const PLAUSIBLE_PERCENT: std::ops::RangeInclusive<f64> = 10.0..=2_000.0;

/// The load of an upstream, as one answer tells it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReading {
    /// The requests that run.
    pub running: u32,
    /// The requests that wait.
    pub waiting: u32,
    /// The number of requests that can run at the same time.
    pub slots: u32,
    /// How long work takes, relative to the usual time. `None` if not told.
    pub slowness: Option<f64>,
}

/// Why the load in an answer is ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum ParseLoadError {
    /// expected the running requests, the waiting ones, the slots, and optionally a percentage
    FieldCount,
    /// a figure is not a number
    NotANumber,
    /// a figure is not plausible
    Implausible,
}

impl FromStr for LoadReading {
    type Err = ParseLoadError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let fields: Vec<&str> = text.split(',').map(str::trim).collect();
        let (counts, percent) = match fields.as_slice() {
            [counts @ .., percent] if counts.len() == 3 => (counts, Some(*percent)),
            counts if counts.len() == 3 => (counts, None),
            _ => return Err(ParseLoadError::FieldCount),
        };
        let count = |index: usize| counts[index].parse().map_err(|_| ParseLoadError::NotANumber);
        let (running, waiting, slots): (u32, u32, u32) = (count(0)?, count(1)?, count(2)?);
        let has_slots = (1..=MAX_SLOTS).contains(&slots);
        if !has_slots || running > slots || waiting > slots * MAX_WAITING_PER_SLOT {
            return Err(ParseLoadError::Implausible);
        }
        let percent = percent.map(str::parse::<f64>).transpose();
        let percent = percent.map_err(|_| ParseLoadError::NotANumber)?;
        if percent.is_some_and(|percent| !PLAUSIBLE_PERCENT.contains(&percent)) {
            return Err(ParseLoadError::Implausible);
        }
        let slowness = percent.map(|percent| percent / 100.0);
        Ok(Self { running, waiting, slots, slowness })
    }
}

/// The newest load that an upstream has told this VM.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReportedLoad {
    newest: Option<(LoadReading, AnswerTiming)>,
}

impl ReportedLoad {
    /// Records a reading. One in an answer to a request that was sent earlier than that of the
    /// reading held is ignored, since answers on several connections may arrive out of order.
    /// Returns whether it counts.
    pub fn record(&mut self, reading: LoadReading, timing: AnswerTiming) -> bool {
        let is_newer = self.newest.is_none_or(|(_, held)| timing.sent >= held.sent);
        if is_newer {
            self.newest = Some((reading, timing));
        }
        is_newer
    }

    /// Returns the known queue of the upstream, with the number of requests raised to those told,
    /// less those that have probably ended since: `slots` per slot time.
    pub fn queue(&self, known: QueueState, slot_time: Duration, now: MonoTime) -> QueueState {
        let Some((reading, timing)) = self.newest else { return known };
        let age = now.since(timing.received);
        if age >= COUNT_VALIDITY {
            return known;
        }
        let turns = age.div_duration_f64(slot_time.max(Duration::from_millis(1)));
        let ended = f64::from(reading.slots) * turns;
        let told = (reading.running + reading.waiting).saturating_sub(ended as u32);
        QueueState { in_flight: known.in_flight.max(told), ..known }
    }

    /// Returns the present slowdown of the upstream, which has `streams` streams of this VM. A
    /// measurement that is newer than the reading counts alone.
    pub fn slowdown(
        &self,
        measured: &SlowdownMonitor,
        streams: u32,
        now: MonoTime,
    ) -> SlowdownFactor {
        let by_measure = measured.factor(streams, now);
        let Some((reading, timing)) = self.newest else { return by_measure };
        let age = now.since(timing.received);
        if measured.has_event_since(timing.received) || age >= SLOWDOWN_VALIDITY {
            return by_measure;
        }
        let trust = 1.0 - age.div_duration_f64(SLOWDOWN_VALIDITY);
        let told = 1.0 + (reading.slowness.unwrap_or(1.0) - 1.0) * trust;
        by_measure.or_reported(told)
    }
}
