//! Tells other VMs what is new at once, and what holds again and again, since datagrams are lost and VMs start.

use std::time::Duration;

use async_trait::async_trait;
use tokio::time::{Instant, sleep, sleep_until};

/// Between two rounds in which what holds is told again, to a few VMs each. Hundreds hear it within seconds.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
/// What several VMs have come to at once is told after a moment of up to this, unless another one tells it first.
const SHARED_PAUSE: Duration = Duration::from_millis(80);

/// Something of which other VMs are told.
#[async_trait]
pub trait NewsTeller: Send + Sync {
    /// Waits until there may be something new.
    async fn await_news(&self);

    /// Tells what is new.
    ///
    /// # Errors
    ///
    /// When the control thread has ended.
    async fn tell_news(&self) -> Result<(), xtra::Error>;

    /// Tells a few VMs again what holds.
    ///
    /// # Errors
    ///
    /// When the control thread has ended.
    async fn repeat(&self) -> Result<(), xtra::Error>;
}

/// Tells until the control thread ends.
pub async fn tell_until_end(teller: impl NewsTeller) {
    let mut next_round = Instant::now() + REPEAT_INTERVAL;
    loop {
        let told = tokio::select! {
            () = teller.await_news() => teller.tell_news().await,
            () = sleep_until(next_round) => {
                next_round = Instant::now() + REPEAT_INTERVAL;
                teller.repeat().await
            }
        };
        if told.is_err() {
            return;
        }
    }
}

/// Waits for another VM to tell first what several have come to at once.
pub async fn await_others() {
    sleep(SHARED_PAUSE.mul_f64(rand::random())).await;
}
