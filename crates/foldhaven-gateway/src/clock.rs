//! The clock of this process. Unlike the clocks of the standard library and of the runtime, it
//! includes the time for which the machine was suspended, so that the age of the state from before
//! is correct.

use std::ops::{Add, Sub};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use foldhaven_core::time::MonoTime;
use rustix::time::{ClockId, Timespec, clock_gettime};
use tokio::time::{Instant as TimerInstant, Sleep};

/// Offset of the first reading, so that durations can be subtracted from early readings.
const CLOCK_OFFSET: Duration = Duration::from_secs(3_600);
/// Maximum length of one timer step. The runtime's timers do not advance while the machine is
/// suspended, so a long wait is split into steps and ends at most this much late after a
/// suspension. Most requests finish within one step.
const MAX_TIMER_STEP: Duration = Duration::from_millis(500);

/// A reading of the clock, including suspended time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Returns the current time.
    pub fn now() -> Self {
        let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(tv_sec).unwrap_or_default();
        let nanos = u32::try_from(tv_nsec).unwrap_or_default();
        Self(Duration::new(seconds, nanos))
    }

    /// Returns the time since this reading.
    pub fn elapsed(&self) -> Duration {
        Self::now().saturating_duration_since(*self)
    }

    /// Returns the time since an earlier reading. Zero if that reading is later.
    pub fn saturating_duration_since(&self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }
}

impl Sub<Duration> for BootInstant {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span))
    }
}

impl Sub for BootInstant {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.saturating_duration_since(earlier)
    }
}

/// A future that completes at a given reading of the clock.
pub struct BootSleep {
    deadline: BootInstant,
    step: Pin<Box<Sleep>>,
}

impl BootSleep {
    /// Creates a future that completes at the deadline.
    pub fn until(deadline: BootInstant) -> Self {
        let step = Box::pin(tokio::time::sleep_until(next_step(deadline)));
        Self { deadline, step }
    }

    /// Changes the deadline.
    pub fn reset(&mut self, deadline: BootInstant) {
        self.deadline = deadline;
        self.step.as_mut().reset(next_step(deadline));
    }
}

impl Future for BootSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.step.as_mut().poll(context));
            if BootInstant::now() >= self.deadline {
                return Poll::Ready(());
            }
            let next = next_step(self.deadline);
            self.step.as_mut().reset(next);
        }
    }
}

fn next_step(deadline: BootInstant) -> TimerInstant {
    TimerInstant::now() + (deadline - BootInstant::now()).min(MAX_TIMER_STEP)
}

/// The deadline has passed
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct DeadlinePassed;

/// Awaits a future until a deadline.
///
/// # Errors
///
/// If the deadline passes first.
pub async fn timeout_at<T>(
    deadline: BootInstant,
    awaited: impl Future<Output = T>,
) -> Result<T, DeadlinePassed> {
    tokio::select! {
        biased;
        outcome = awaited => Ok(outcome),
        () = BootSleep::until(deadline) => Err(DeadlinePassed),
    }
}

/// Awaits a future for a limited time.
///
/// # Errors
///
/// If that time passes first.
pub async fn timeout<T>(
    span: Duration,
    awaited: impl Future<Output = T>,
) -> Result<T, DeadlinePassed> {
    timeout_at(BootInstant::now() + span, awaited).await
}

/// A monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct MonoClock {
    /// The start of the process.
    zero: BootInstant,
}

impl MonoClock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        Self { zero: BootInstant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> MonoTime {
        MonoTime::default() + (self.uptime() + CLOCK_OFFSET)
    }

    /// Returns how long the clock has run.
    pub fn uptime(&self) -> Duration {
        self.zero.elapsed()
    }
}
