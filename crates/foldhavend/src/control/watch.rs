//! The loops that watch the platform: one reader per data centre, the others only now and then.

use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::description::{SectionDigest, SectionManifest, SectionSet};

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
    let mut fetched = SectionSet::default();
    loop {
        let Ok(held) = keeper.send(ReadState).await else { return };
        let wait = shared.settings.times.platform_wait.0;
        match platform.manifest(after, wait).await {
            Ok(Some(read)) => {
                let taken = take_manifest(&keeper, platform.as_ref(), &read, &mut fetched).await;
                match taken {
                    Ok(()) => after = Some(read.revision),
                    Err(error) => report_failure(&error).await,
                }
            }
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
///
/// `fetched` keeps sections between tries: a platform that answers with old and new content in
/// turn gives them one by one.
async fn take_manifest(
    keeper: &KeeperAddress,
    platform: &dyn PlatformSource,
    read: &Revised<SectionManifest>,
    fetched: &mut SectionSet,
) -> Result<(), PlatformError> {
    let manifest = read.value.clone();
    let Ok(held) = keeper.send(ReadState).await else { return Ok(()) };
    if Some(manifest.stamp()) <= held.stamp {
        return Ok(());
    }
    let mut sections = held.sections;
    for digest in manifest.missing_from(&sections) {
        if fetched.get(&digest).is_none() {
            fetched.insert(read_section(platform, &digest).await?.into());
        }
        if let Some(content) = fetched.get(&digest) {
            sections.insert(content.clone());
        }
    }
    fetched.retain(&manifest);
    let source = "platform".to_owned();
    // The actor ends only with the process.
    let _ = keeper.send(OfferDescription { manifest, sections, source }).await;
    Ok(())
}

async fn read_section(
    platform: &dyn PlatformSource,
    digest: &SectionDigest,
) -> Result<String, PlatformError> {
    const TRIES: usize = 3;
    const PAUSE: Duration = Duration::from_millis(50);
    for _ in 1..TRIES {
        if let Ok(content) = platform.section(digest).await {
            return Ok(content);
        }
        tokio::time::sleep(PAUSE).await;
    }
    platform.section(digest).await
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
