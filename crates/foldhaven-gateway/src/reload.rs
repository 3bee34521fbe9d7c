//! Takes over changed settings while the daemon runs: on SIGHUP, and when the file changes unsaid.

use std::path::PathBuf;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

use crate::control::{ControlAddress, ReplaceSettings};
use crate::settings::GatewaySettings;

/// How often the file is compared with what was read of it last.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Follows the settings file. What names this VM and its addresses holds until the next start; the
/// rest is taken over.
pub async fn watch_settings(path: PathBuf, mut held: GatewaySettings, control: ControlAddress) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            tracing::error!(error = %error, "SIGHUP cannot be watched");
            return;
        }
    };
    loop {
        let is_told = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(CHECK_INTERVAL) => false,
        };
        let read = match GatewaySettings::read(&path) {
            Ok(read) => read,
            Err(error) => {
                tracing::warn!(error = %error, "changed settings refused, the earlier ones stay");
                continue;
            }
        };
        if read == held {
            if is_told {
                tracing::info!("settings read again, nothing changed");
            }
            continue;
        }
        warn_if_restart_needed(&held, &read);
        tracing::info!(told = is_told, seeds = read.seeds.len(), "settings reloaded");
        held = read.clone();
        if control.send(ReplaceSettings { settings: read }).await.is_err() {
            return;
        }
    }
}

fn warn_if_restart_needed(held: &GatewaySettings, read: &GatewaySettings) {
    let is_fixed = held.vm == read.vm
        && held.data_centre == read.data_centre
        && held.addresses == read.addresses
        && held.platform == read.platform;
    if !is_fixed {
        tracing::warn!("a changed name or address holds from the next start");
    }
}
