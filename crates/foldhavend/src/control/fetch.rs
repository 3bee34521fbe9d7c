//! Fetches descriptions and lists of upstreams from other daemons: at the start, when a newer one
//! is announced, and after a pause of the process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::description::SectionSet;
use foldhaven_wire::control::{PeerControlClient, connect_control};
use tokio::time::timeout;

use super::ControlAddress;
use super::exchange::{CALL_TIMEOUT, call_context};
use super::messages::{EndFetch, OfferDescription, OfferList, ReadState};
use crate::shared::SharedState;

/// Timeout of one attempt to fetch the peers' state after a pause. An attempt that times out counts
/// as unanswered. If no attempt is answered, the VM may be partitioned and continues with its
/// state.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of attempts while no peer answers. On a busy machine, peers may need longer than
/// one [`REFRESH_TIMEOUT`].
const MAX_REFRESH_ATTEMPTS: u32 = 3;

/// Fetches newer state from another daemon and offers it to the actor.
pub(super) async fn fetch_from_peer(
    shared: Arc<SharedState>,
    actor: ControlAddress,
    source: SocketAddr,
) {
    let fetched = timeout(CALL_TIMEOUT * 3, fetch_newer(&shared, &actor, source)).await;
    if !matches!(fetched, Ok(Some(()))) {
        tracing::debug!(step = "fetching a description", peer = %source, "peer did not answer");
    }
    // Sending fails only when the process ends.
    let _ = actor.send(EndFetch).await;
}

/// Compares this daemon's state with a peer's and offers what is newer to the actor. Returns `None`
/// if the peer did not answer.
async fn fetch_newer(
    shared: &SharedState,
    actor: &ControlAddress,
    source: SocketAddr,
) -> Option<()> {
    let counter = shared.control_bytes.clone();
    let client = connect_control(source, counter).await.ok()?;
    let state = client.state(call_context()).await.ok()?;
    let snapshot = actor.send(ReadState).await.ok()?;
    let is_same_centre = state.data_centre == shared.settings.data_centre;
    if let Some(list) = state.upstreams.filter(|_| is_same_centre) {
        actor.send(OfferList { list }).await.ok()?;
    }
    if state.stamp > snapshot.stamp {
        fetch_description(&client, actor, snapshot.sections, source).await?;
    }
    Some(())
}

async fn fetch_description(
    client: &PeerControlClient,
    actor: &ControlAddress,
    mut sections: SectionSet,
    source: SocketAddr,
) -> Option<()> {
    let manifest = client.manifest(call_context()).await.ok()??;
    let missing = manifest.missing_from(&sections);
    for content in client.sections(call_context(), missing).await.ok()? {
        sections.insert(content.into());
    }
    let source = source.to_string();
    actor.send(OfferDescription { manifest, sections, source }).await.ok()?;
    Some(())
}

/// Fetches newer state from all known peers concurrently and stops once `enough` of them answered.
/// Returns the number of peers that answered.
pub(super) async fn ask_peers(
    shared: &Arc<SharedState>,
    actor: &ControlAddress,
    enough: usize,
) -> usize {
    let Ok(snapshot) = actor.send(ReadState).await else { return 0 };
    let mut calls = tokio::task::JoinSet::new();
    for source in snapshot.peers {
        let (shared, actor) = (shared.clone(), actor.clone());
        calls.spawn(async move { fetch_newer(&shared, &actor, source).await.is_some() });
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

/// Compares this daemon's state with its peers' after a pause of the process, before traffic
/// threads act on it again.
///
/// Asks all peers of the data centre, one VM of each other data centre, and the seeds. Each attempt
/// takes at most [`REFRESH_TIMEOUT`].
pub(super) async fn refresh_after_pause(shared: Arc<SharedState>, actor: ControlAddress) {
    for attempt in 1..=MAX_REFRESH_ATTEMPTS {
        let asked = timeout(REFRESH_TIMEOUT, ask_peers(&shared, &actor, usize::MAX)).await;
        let answered = asked.unwrap_or_default();
        let step = "refreshing after a pause";
        tracing::info!(step, answered, attempt, "state compared with peers");
        if answered > 0 {
            break;
        }
    }
    // A VM that gets no answer may be partitioned. It then has to continue with the state it has.
    shared.record_refresh();
}
