//! The clock of this process. It counts the time for which the machine was suspended, as the clocks of the standard
//! library and of the runtime do not: what was believed before is as old as it is for everybody else.

use std::ops::{Add, Sub};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use foldhaven_core::time::MonoTime;
use rustix::time::{ClockId, Timespec, clock_gettime};
use tokio::time::{Instant as TimerInstant, Sleep};

/// Readings start well above zero, so that spans can be taken off early ones.
const HEAD_START: Duration = Duration::from_secs(3_600);
/// The runtime's timers stand still with the machine. A wait is cut into steps of this length, so that after a
/// suspension it is over this much late at most. Most requests end within one.
const LONGEST_STEP: Duration = Duration::from_millis(500);

/// A reading of the clock that counts suspension.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// The time now.
    pub fn now() -> Self {
        let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(tv_sec).unwrap_or_default();
        let nanos = u32::try_from(tv_nsec).unwrap_or_default();
        Self(Duration::new(seconds, nanos))
    }

    /// The time since this reading.
    pub fn elapsed(&self) -> Duration {
        Self::now().saturating_duration_since(*self)
    }

    /// The time since an earlier reading; zero when that is in fact later.
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

/// A wait until a reading of the clock.
pub struct BootSleep {
    deadline: BootInstant,
    step: Pin<Box<Sleep>>,
}

impl BootSleep {
    /// A wait until a moment.
    pub fn until(deadline: BootInstant) -> Self {
        let step = Box::pin(tokio::time::sleep_until(next_step(deadline)));
        Self { deadline, step }
    }

    /// Waits until another moment instead.
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
    TimerInstant::now() + (deadline - BootInstant::now()).min(LONGEST_STEP)
}

/// The time for something has passed
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct TimePassed;

/// Waits for something until a moment.
///
/// # Errors
///
/// When the moment comes first.
pub async fn timeout_at<T>(
    deadline: BootInstant,
    awaited: impl Future<Output = T>,
) -> Result<T, TimePassed> {
    tokio::select! {
        biased;
        outcome = awaited => Ok(outcome),
        () = BootSleep::until(deadline) => Err(TimePassed),
    }
}

/// Waits for something for some time.
///
/// # Errors
///
/// When that time passes first.
pub async fn timeout<T>(span: Duration, awaited: impl Future<Output = T>) -> Result<T, TimePassed> {
    timeout_at(BootInstant::now() + span, awaited).await
}

/// A clock that never steps back.
#[derive(Debug, Clone, Copy)]
pub struct MonoClock {
    /// The start of the process.
    zero: BootInstant,
}

impl MonoClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { zero: BootInstant::now() }
    }

    /// The time.
    pub fn now(&self) -> MonoTime {
        MonoTime::default() + (self.uptime() + HEAD_START)
    }

    /// How long it has run.
    pub fn uptime(&self) -> Duration {
        self.zero.elapsed()
    }
}
