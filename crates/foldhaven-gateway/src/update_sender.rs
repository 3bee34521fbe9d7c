//! Tells other VMs what is new at once, and what holds again and again, since datagrams are lost and VMs start.

use std::time::Duration;

use async_trait::async_trait;
use tokio::time::{Instant, sleep, sleep_until};

/// Between two rounds in which what holds is told again, to a few VMs each. Hundreds hear it within seconds.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// What several VMs have come to at once is told after a moment of up to this, unless another one tells it first.
const MAX_SHARED_DELAY: Duration = Duration::from_millis(80);

/// Something of which other VMs are told.
#[async_trait]
pub trait UpdateSender: Send + Sync {
    /// Waits until there may be something new.
    async fn wait_for_updates(&self);

    /// Tells what is new.
    ///
    /// # Errors
    ///
    /// When the control thread has ended.
    async fn send_updates(&self) -> Result<(), xtra::Error>;

    /// Tells a few VMs again what holds.
    ///
    /// # Errors
    ///
    /// When the control thread has ended.
    async fn resend(&self) -> Result<(), xtra::Error>;
}

/// Tells until the control thread ends.
pub async fn run_update_sender(teller: impl UpdateSender) {
    let mut next_round = Instant::now() + RESEND_INTERVAL;
    loop {
        let told = tokio::select! {
            () = teller.wait_for_updates() => teller.send_updates().await,
            () = sleep_until(next_round) => {
                next_round = Instant::now() + RESEND_INTERVAL;
                teller.resend().await
            }
        };
        if told.is_err() {
            return;
        }
    }
}

/// Waits for another VM to tell first what several have come to at once.
pub async fn wait_for_other_senders() {
    sleep(MAX_SHARED_DELAY.mul_f64(rand::random())).await;
}
