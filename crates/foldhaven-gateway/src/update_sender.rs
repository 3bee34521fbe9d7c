//! Sends updates to other VMs immediately, and resends the current state periodically, because
//! datagrams get lost and VMs start.

use std::time::Duration;

use async_trait::async_trait;
use tokio::time::{Instant, sleep, sleep_until};

/// Interval between two rounds in which the current state is resent to a few VMs each. Hundreds of
/// VMs receive it within seconds.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum random delay before an update that several VMs may send at the same time. Another VM may
/// send it first and spare the others.
const MAX_SHARED_DELAY: Duration = Duration::from_millis(80);

/// Sends one kind of state to other VMs.
#[async_trait]
pub trait UpdateSender: Send + Sync {
    /// Waits until there may be updates.
    async fn wait_for_updates(&self);

    /// Sends the updates.
    ///
    /// # Errors
    ///
    /// If the control thread has ended.
    async fn send_updates(&self) -> Result<(), xtra::Error>;

    /// Resends the current state to a few VMs.
    ///
    /// # Errors
    ///
    /// If the control thread has ended.
    async fn resend(&self) -> Result<(), xtra::Error>;
}

/// Sends updates until the control thread ends.
pub async fn run_update_sender(sender: impl UpdateSender) {
    let mut next_round = Instant::now() + RESEND_INTERVAL;
    loop {
        let result = tokio::select! {
            () = sender.wait_for_updates() => sender.send_updates().await,
            () = sleep_until(next_round) => {
                next_round = Instant::now() + RESEND_INTERVAL;
                sender.resend().await
            }
        };
        if result.is_err() {
            return;
        }
    }
}

/// Waits for a random time, so that another VM may send first what several have learned at the same
/// time.
pub async fn wait_for_other_senders() {
    sleep(MAX_SHARED_DELAY.mul_f64(rand::random())).await;
}
