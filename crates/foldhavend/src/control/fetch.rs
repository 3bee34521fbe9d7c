//! Fetching what other daemons have in force: at the start, on news, and after a pause.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::description::SectionSet;
use foldhaven_wire::control::{PeerControlClient, connect_control};
use tokio::time::timeout;

use super::KeeperAddress;
use super::exchange::{CALL_LIMIT, call_context};
use super::messages::{EndFetch, OfferDescription, OfferList, ReadState};
use crate::shared::SharedState;

/// After a pause, others are asked for this long; then this data centre counts as cut off and goes
/// on with what it knows.
const REFRESH_LIMIT: Duration = Duration::from_millis(1_000);
/// How often peers are asked while none answers: on a busy machine they may need longer.
const REFRESH_ATTEMPTS: u32 = 3;

/// Fetches the newer parts of what a daemon has in force and offers them to the actor.
pub(super) async fn fetch_from_peer(
    shared: Arc<SharedState>,
    keeper: KeeperAddress,
    source: SocketAddr,
) {
    let fetched = timeout(CALL_LIMIT * 3, fetch_newer(&shared, &keeper, source)).await;
    if !matches!(fetched, Ok(Some(()))) {
        tracing::debug!(step = "fetching a description", peer = %source, "not answered");
    }
    // The actor ends only with the process.
    let _ = keeper.send(EndFetch).await;
}

/// Compares the state with a peer's and takes over what is newer. Returns nothing when the peer
/// did not answer.
async fn fetch_newer(
    shared: &SharedState,
    keeper: &KeeperAddress,
    source: SocketAddr,
) -> Option<()> {
    let counter = shared.control_bytes.clone();
    let client = connect_control(source, counter).await.ok()?;
    let state = client.state(call_context()).await.ok()?;
    let held = keeper.send(ReadState).await.ok()?;
    let same_centre = state.data_centre == shared.settings.data_centre;
    if let Some(list) = state.upstreams.filter(|_| same_centre) {
        keeper.send(OfferList { list }).await.ok()?;
    }
    if state.stamp > held.stamp {
        fetch_description(&client, keeper, held.sections, source).await?;
    }
    Some(())
}

async fn fetch_description(
    client: &PeerControlClient,
    keeper: &KeeperAddress,
    mut sections: SectionSet,
    source: SocketAddr,
) -> Option<()> {
    let manifest = client.manifest(call_context()).await.ok()??;
    let missing = manifest.missing_from(&sections);
    for content in client.sections(call_context(), missing).await.ok()? {
        sections.insert(content.into());
    }
    let source = source.to_string();
    keeper.send(OfferDescription { manifest, sections, source }).await.ok()?;
    Some(())
}

/// Asks the peers, own data centre first, for what is in force, and stops once `enough` answered.
/// Returns how many answered.
pub(super) async fn ask_peers(
    shared: &Arc<SharedState>,
    keeper: &KeeperAddress,
    enough: usize,
) -> usize {
    let Ok(held) = keeper.send(ReadState).await else { return 0 };
    let mut calls = tokio::task::JoinSet::new();
    for source in held.peers {
        let (shared, keeper) = (shared.clone(), keeper.clone());
        calls.spawn(async move { fetch_newer(&shared, &keeper, source).await.is_some() });
    }
    let mut answered = 0;
    while let Some(result) = calls.join_next().await {
        answered += usize::from(result.unwrap_or(false));
        if answered >= enough {
            break;
        }
    }
    answered
}

/// After this process slept: compares its view with others' before traffic acts on it again.
///
/// All peers of the data centre and one of each other are asked; one answer of each half is not
/// waited for longer than [`REFRESH_LIMIT`].
pub(super) async fn refresh_after_pause(shared: Arc<SharedState>, keeper: KeeperAddress) {
    for attempt in 1..=REFRESH_ATTEMPTS {
        let asked = timeout(REFRESH_LIMIT, ask_peers(&shared, &keeper, usize::MAX)).await;
        let answered = asked.unwrap_or_default();
        let step = "refreshing after a pause";
        tracing::info!(step, answered, attempt, "view compared with peers");
        if answered > 0 {
            break;
        }
    }
    // A VM that nobody answers may be cut off, and then has to go on with what it has.
    shared.note_refreshed();
}
