//! Reloads the settings while the daemon runs: on SIGHUP, and when the file has changed without a
//! signal.

use std::path::PathBuf;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

use crate::control::{ControlAddress, ReplaceSettings};
use crate::settings::GatewaySettings;

/// Interval between two checks whether the settings file has changed.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Watches the settings file and applies changes. Changes of the names and addresses of this VM and
/// of the platform's address take effect at the next start.
pub async fn watch_settings(path: PathBuf, mut current: GatewaySettings, control: ControlAddress) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            tracing::error!(error = %error, "registering the SIGHUP handler failed");
            return;
        }
    };
    loop {
        let is_signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(CHECK_INTERVAL) => false,
        };
        let reloaded = match GatewaySettings::read(&path) {
            Ok(reloaded) => reloaded,
            Err(error) => {
                tracing::warn!(error = %error, "changed settings refused, keeping the previous ones");
                continue;
            }
        };
        if reloaded == current {
            if is_signalled {
                tracing::info!("settings read again, no changes");
            }
            continue;
        }
        warn_if_restart_needed(&current, &reloaded);
        tracing::info!(told = is_signalled, seeds = reloaded.seeds.len(), "settings reloaded");
        current = reloaded.clone();
        if control.send(ReplaceSettings { settings: reloaded }).await.is_err() {
            return;
        }
    }
}

fn warn_if_restart_needed(current: &GatewaySettings, reloaded: &GatewaySettings) {
    let is_unchanged = current.vm == reloaded.vm
        && current.data_centre == reloaded.data_centre
        && current.addresses == reloaded.addresses
        && current.platform == reloaded.platform;
    if !is_unchanged {
        tracing::warn!("changed names and addresses take effect at the next start");
    }
}
