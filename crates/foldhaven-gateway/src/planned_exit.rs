//! When the process exits after a planned stop, for requests that may not be finished by then.

use std::time::Duration;

use tokio::sync::watch;

use crate::clock::{BootInstant, BootSleep};

/// The time of the planned exit, once a planned stop has begun.
pub struct PlannedExit(watch::Sender<Option<BootInstant>>);

impl Default for PlannedExit {
    fn default() -> Self {
        Self(watch::Sender::new(None))
    }
}

impl PlannedExit {
    /// Sets the time by which all requests must be answered.
    pub fn set(&self, last_answer: BootInstant) {
        self.0.send_replace(Some(last_answer));
    }

    /// Returns the time that is left for answers. `None` unless a planned stop has begun.
    pub fn time_left(&self) -> Option<Duration> {
        let last_answer = *self.0.borrow();
        last_answer.map(|last_answer| last_answer - BootInstant::now())
    }

    /// Waits until no time is left for answers.
    pub async fn reached(&self) {
        let set = self.0.subscribe().wait_for(Option::is_some).await.map(|set| *set);
        // The sender exists as long as this value.
        if let Ok(Some(last_answer)) = set {
            BootSleep::until(last_answer).await;
        }
    }
}
