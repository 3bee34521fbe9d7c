//! The tasks that watch the platform. One daemon per data centre, the reader, watches it
//! continuously; the others read it at long intervals.

use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::description::{SectionDigest, SectionManifest, SectionSet};

use super::ControlAddress;
use super::fetch::ask_peers;
use super::messages::{OfferDescription, OfferList, ReadState};
use crate::platform::{PlatformError, PlatformSource, Revised};
use crate::shared::SharedState;

/// Time between two reads of the platform by a daemon that is not the reader.
const STANDBY_INTERVAL: Duration = Duration::from_secs(10);
/// Interval at which a daemon that is not the reader checks whether it became the reader.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a failed read of the platform.
const FAILURE_DELAY: Duration = Duration::from_millis(500);
/// Maximum time for which a starting daemon fetches state from peers before it reads the platform,
/// whose answer may be older than the peers' state.
const PEER_FETCH_TIMEOUT: Duration = Duration::from_millis(600);

/// Watches the manifest of the description and offers each new description to the actor.
pub(super) async fn manifest_loop(
    shared: Arc<SharedState>,
    actor: ControlAddress,
    platform: Arc<dyn PlatformSource>,
) {
    let _ = tokio::time::timeout(PEER_FETCH_TIMEOUT, ask_peers(&shared, &actor, usize::MAX)).await;
    let mut after = None;
    let mut fetched = SectionSet::default();
    loop {
        let Ok(snapshot) = actor.send(ReadState).await else { return };
        let wait = shared.settings.times.platform_wait.0;
        match platform.manifest(after, wait).await {
            Ok(Some(read)) => {
                let offered = offer_manifest(&actor, platform.as_ref(), &read, &mut fetched).await;
                match offered {
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
        if !snapshot.is_reader && snapshot.stamp.is_some() && !wait_standby(&actor).await {
            return;
        }
    }
}

async fn report_failure(error: &PlatformError) {
    tracing::debug!(error = %error, "reading the platform failed");
    tokio::time::sleep(FAILURE_DELAY).await;
}

/// Waits until this daemon is the reader, at most for [`STANDBY_INTERVAL`]. Returns `false` if the
/// actor has ended.
async fn wait_standby(actor: &ControlAddress) -> bool {
    let checks = STANDBY_INTERVAL.as_millis() / READER_CHECK_INTERVAL.as_millis();
    for _ in 0..checks {
        tokio::time::sleep(READER_CHECK_INTERVAL).await;
        match actor.send(ReadState).await {
            Ok(snapshot) if snapshot.is_reader => return true,
            Ok(_) => {}
            Err(_) => return false,
        }
    }
    true
}

/// Reads the missing sections of a newer manifest and offers the description to the actor. A
/// manifest that is not newer is ignored, because the platform may be stale.
///
/// `fetched` keeps sections between attempts: a platform that alternates between old and new
/// content may return only some of the sections in each attempt.
async fn offer_manifest(
    actor: &ControlAddress,
    platform: &dyn PlatformSource,
    read: &Revised<SectionManifest>,
    fetched: &mut SectionSet,
) -> Result<(), PlatformError> {
    let manifest = read.value.clone();
    let Ok(snapshot) = actor.send(ReadState).await else { return Ok(()) };
    if Some(manifest.stamp()) <= snapshot.stamp {
        return Ok(());
    }
    let mut sections = snapshot.sections;
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
    // Sending fails only when the process ends.
    let _ = actor.send(OfferDescription { manifest, sections, source }).await;
    Ok(())
}

async fn read_section(
    platform: &dyn PlatformSource,
    digest: &SectionDigest,
) -> Result<String, PlatformError> {
    const ATTEMPTS: usize = 3;
    const RETRY_DELAY: Duration = Duration::from_millis(50);
    for _ in 1..ATTEMPTS {
        if let Ok(content) = platform.section(digest).await {
            return Ok(content);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    platform.section(digest).await
}

/// Watches the list of upstreams and offers each new list to the actor.
pub(super) async fn upstream_list_loop(
    shared: Arc<SharedState>,
    actor: ControlAddress,
    platform: Arc<dyn PlatformSource>,
) {
    let centre = shared.settings.data_centre.clone();
    let mut after = None;
    loop {
        let Ok(snapshot) = actor.send(ReadState).await else { return };
        let wait = shared.settings.times.platform_wait.0;
        match platform.upstreams(&centre, after, wait).await {
            Ok(Some(list)) => {
                after = Some(list.revision);
                let _ = actor.send(OfferList { list }).await;
            }
            Ok(None) => {}
            Err(error) => {
                report_failure(&error).await;
                continue;
            }
        }
        if !snapshot.is_reader && snapshot.list.is_some() && !wait_standby(&actor).await {
            return;
        }
    }
}
