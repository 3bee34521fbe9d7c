//! The loops that watch the platform: one reader per data centre, the others only now and then.

use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::description::SectionSet;

use super::KeeperAddress;
use super::fetch::ask_peers;
use super::messages::{OfferDescription, OfferList, ReadState};
use crate::platform::{PlatformError, PlatformSource, Revised};
use crate::shared::SharedState;

/// How long a daemon that is not the reader waits between looks at the platform.
const STANDBY: Duration = Duration::from_secs(10);
/// How often it looks whether it has become the reader.
const STANDBY_CHECK: Duration = Duration::from_millis(500);
/// The wait after the platform failed.
const AFTER_FAILURE: Duration = Duration::from_millis(500);
/// At the start, peers are asked for this long before the platform's word is taken.
const PEERS_FIRST: Duration = Duration::from_millis(600);

/// Watches the manifest of the description and offers each new one.
pub(super) async fn manifest_loop(
    shared: Arc<SharedState>,
    keeper: KeeperAddress,
    platform: Arc<dyn PlatformSource>,
) {
    let _ = tokio::time::timeout(PEERS_FIRST, ask_peers(&shared, &keeper, usize::MAX)).await;
    let mut after = None;
    loop {
        let Ok(held) = keeper.send(ReadState).await else { return };
        let wait = shared.settings.times.platform_wait.0;
        match platform.manifest(after, wait).await {
            Ok(Some(read)) => match take_manifest(&keeper, platform.as_ref(), &read).await {
                Ok(()) => after = Some(read.revision),
                Err(error) => report_failure(&error).await,
            },
            Ok(None) => {}
            Err(error) => {
                report_failure(&error).await;
                continue;
            }
        }
        if !held.is_reader && held.stamp.is_some() && !stand_by(&keeper).await {
            return;
        }
    }
}

async fn report_failure(error: &PlatformError) {
    tracing::debug!(error = %error, "the platform could not be read");
    tokio::time::sleep(AFTER_FAILURE).await;
}

/// Waits until this daemon is the reader, or for [`STANDBY`]. Returns whether the actor runs.
async fn stand_by(keeper: &KeeperAddress) -> bool {
    let checks = STANDBY.as_millis() / STANDBY_CHECK.as_millis();
    for _ in 0..checks {
        tokio::time::sleep(STANDBY_CHECK).await;
        match keeper.send(ReadState).await {
            Ok(held) if held.is_reader => return true,
            Ok(_) => {}
            Err(_) => return false,
        }
    }
    true
}

/// Reads the sections that a newer manifest names and offers the whole. A manifest that is not
/// newer is ignored: the platform may be stale.
async fn take_manifest(
    keeper: &KeeperAddress,
    platform: &dyn PlatformSource,
    read: &Revised<foldhaven_core::description::SectionManifest>,
) -> Result<(), PlatformError> {
    let manifest = read.value.clone();
    let Ok(held) = keeper.send(ReadState).await else { return Ok(()) };
    if Some(manifest.stamp()) <= held.stamp {
        return Ok(());
    }
    let mut sections: SectionSet = held.sections;
    for digest in manifest.missing_from(&sections) {
        sections.insert(platform.section(&digest).await?.into());
    }
    let source = "platform".to_owned();
    // The actor ends only with the process.
    let _ = keeper.send(OfferDescription { manifest, sections, source }).await;
    Ok(())
}

/// Watches the list of upstreams and offers each new one.
pub(super) async fn list_loop(
    shared: Arc<SharedState>,
    keeper: KeeperAddress,
    platform: Arc<dyn PlatformSource>,
) {
    let centre = shared.settings.data_centre.clone();
    let mut after = None;
    loop {
        let Ok(held) = keeper.send(ReadState).await else { return };
        let wait = shared.settings.times.platform_wait.0;
        match platform.upstreams(&centre, after, wait).await {
            Ok(Some(list)) => {
                after = Some(list.revision);
                let _ = keeper.send(OfferList { list }).await;
            }
            Ok(None) => {}
            Err(error) => {
                report_failure(&error).await;
                continue;
            }
        }
        if !held.is_reader && held.list.is_some() && !stand_by(&keeper).await {
            return;
        }
    }
}
