//! Fetches platform state from another VM if this one cannot read it from the platform, or would
//! get it from there later.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bincode::Options;
use bytes::Bytes;
use foldhaven_core::headers::{READS_SOFTWARE, SPANS};
use http::header::HOST;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::sleep;

use crate::clock::{BootInstant, timeout};
use crate::codec::peer_codec;
use crate::connection::{Connection, REMOTE_CONNECT_TIMEOUT};
use crate::control::{
    ApplyChanges, ApplySnapshot, CatchUpStep, ControlAddress, FindNewerPeer, NewerPeer,
};
use crate::feed::PeerState;
use crate::shared::GatewayShared;

/// The path at which VMs serve the platform state to each other.
pub const PEER_STATE_PATH: &str = "/peer/v1/state";
/// The text before the revision that the requesting VM knows, in the query.
pub const PEER_STATE_REVISION_PREFIX: &str = "after=";
/// Interval between two checks whether another VM has a newer revision, if none announces one.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum time without data from a peer, before and within its answer. There is no limit on the
/// whole answer: one that takes a narrow link longer than the limit would fail again and again.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum size of a received state in bytes.
const MAX_STATE_BYTES: usize = 16 << 20;
/// Time without the beginning of an answer after which a second peer is asked as well. The first
/// answer that begins is used, so a peer that is frozen or partitioned delays the fetch by no more
/// than this.
const HEDGE_AFTER: Duration = Duration::from_millis(300);
/// Delay after a failed fetch.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Why fetching the state from a peer failed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
enum FetchError {
    /// connecting: {0}
    Connect(std::io::Error),
    /// sending the request: {0}
    Http(hyper::Error),
    /// status {0}
    Status(StatusCode),
    /// deserializing the answer: {0}
    Content(bincode::Error),
    /// timed out after {0} bytes
    TimedOut(usize),
    /// answer too large
    TooLarge,
}

/// Fetches platform state from peers that have a newer revision, until the control thread ends.
pub async fn sync_with_peers(shared: Arc<GatewayShared>, control: ControlAddress) {
    let mut avoided = None;
    loop {
        let Ok(next) = control.send(FindNewerPeer { avoided }).await else { return };
        let NewerPeer { peer, base_revision: known_revision } = match next {
            CatchUpStep::Ask(ahead) => ahead,
            CatchUpStep::Wait(pause) => {
                wait_for_newer_revision(&shared, pause.min(CHECK_INTERVAL)).await;
                continue;
            }
            CatchUpStep::UpToDate => {
                wait_for_newer_revision(&shared, CHECK_INTERVAL).await;
                continue;
            }
        };
        let started = BootInstant::now();
        let (peer, result) = fetch_hedged(&control, peer, known_revision).await;
        match result {
            Ok(FetchedState { state, bytes }) => {
                avoided = None;
                shared.metrics.record_span("state_asked", started.elapsed());
                shared.metrics.add_events("state_taken_bytes", bytes as u64);
                let is_newer = is_newer_than(&state, known_revision);
                let applied = match state {
                    PeerState::Snapshot(snapshot) => {
                        control.send(ApplySnapshot { snapshot, peer }).await
                    }
                    PeerState::KeyedSnapshot(snapshot, accounts) => {
                        let snapshot = snapshot.with_accounts(accounts);
                        control.send(ApplySnapshot { snapshot, peer }).await
                    }
                    PeerState::VersionedSnapshot(told) => {
                        control.send(ApplySnapshot { snapshot: told.into_snapshot(), peer }).await
                    }
                    PeerState::Changes(changes) => {
                        control.send(ApplyChanges { changes, peer }).await
                    }
                    PeerState::SpanningChanges(changes, through) => {
                        let changes = changes.with_spanned_versions(&through);
                        control.send(ApplyChanges { changes, peer }).await
                    }
                };
                if applied.is_err() {
                    return;
                }
                // Peers are not asked again at once if the answer had nothing new.
                if !is_newer {
                    sleep(CHECK_INTERVAL).await;
                }
            }
            Err(error) => {
                avoided = Some(peer);
                shared.metrics.count_event("state_not_taken");
                let ms = started.elapsed().as_millis() as u64;
                tracing::warn!(vm = %shared.settings.vm, peer = %peer, error = %error, ms, "fetching platform state from a peer failed");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Returns whether a state contains changes that lead beyond a revision.
fn is_newer_than(state: &PeerState, known_revision: Option<u64>) -> bool {
    match state {
        PeerState::Changes(set) | PeerState::SpanningChanges(set, _) => {
            Some(set.revision) > known_revision
        }
        PeerState::Snapshot(_) | PeerState::KeyedSnapshot(..) | PeerState::VersionedSnapshot(_) => {
            false
        }
    }
}

/// Waits until another VM announces a newer revision, but no longer than `limit`. An announcement
/// since the last wait ends it at once.
async fn wait_for_newer_revision(shared: &GatewayShared, limit: Duration) {
    // After a timeout, the caller checks for newer revisions as well.
    let _ = timeout(limit, shared.newer_revision_notify.notified()).await;
}

/// The state that a peer sent, and its serialized size.
struct FetchedState {
    state: PeerState,
    bytes: usize,
}

/// Fetches state from a peer, and from a second one as well if the first does not answer in time.
/// Returns the result with the address of the peer that it came from.
async fn fetch_hedged(
    control: &ControlAddress,
    first: SocketAddr,
    known_revision: Option<u64>,
) -> (SocketAddr, Result<FetchedState, FetchError>) {
    let mut primary = pin!(start_fetch(first, known_revision));
    tokio::select! {
    answer = &mut primary => return (first, read_answer(answer).await),
    () = sleep(HEDGE_AFTER) => {}
    }
    let other = match control.send(FindNewerPeer { avoided: Some(first) }).await {
        Ok(CatchUpStep::Ask(other)) if other.peer != first => other,
        _ => return (first, read_answer(primary.await).await),
    };
    let (second, known_revision) = (other.peer, other.base_revision);
    tracing::info!(peer = %first, other = %second, "a peer does not answer, asking another one as well");
    let mut hedge = pin!(start_fetch(second, known_revision));
    let (peer, answer) = tokio::select! {
    answer = &mut primary => (first, answer),
    answer = &mut hedge => (second, answer),
    };
    if answer.is_ok() {
        return (peer, read_answer(answer).await);
    }
    // The other peer may still answer.
    match peer == first {
        true => (second, read_answer(hedge.await).await),
        false => (first, read_answer(primary.await).await),
    }
}

/// An answer that has begun, with its connection.
struct StartedAnswer {
    response: Response<Incoming>,
    _connection: Connection,
}

async fn start_fetch(
    peer: SocketAddr,
    known_revision: Option<u64>,
) -> Result<StartedAnswer, FetchError> {
    let mut connection =
        Connection::open(peer, REMOTE_CONNECT_TIMEOUT).await.map_err(FetchError::Connect)?;
    let after = known_revision
        .map(|known_revision| format!("?{PEER_STATE_REVISION_PREFIX}{known_revision}"));
    let path = format!("{PEER_STATE_PATH}{}", after.unwrap_or_default());
    let request = Request::get(path)
        .header(HOST, peer.to_string())
        .header(SPANS, "1")
        .header(READS_SOFTWARE, "1")
        .body(Full::<Bytes>::default())
        .expect("a constant path makes a request");
    let response = timeout(IDLE_TIMEOUT, connection.sender.send_request(request)).await;
    let response = response.map_err(|_| FetchError::TimedOut(0))?.map_err(FetchError::Http)?;
    if response.status() != StatusCode::OK {
        return Err(FetchError::Status(response.status()));
    }
    Ok(StartedAnswer { response, _connection: connection })
}

async fn read_answer(
    answer: Result<StartedAnswer, FetchError>,
) -> Result<FetchedState, FetchError> {
    let answer = answer?;
    let body = read_state(answer.response.into_body()).await?;
    let state = peer_codec().deserialize(&body).map_err(FetchError::Content)?;
    Ok(FetchedState { state, bytes: body.len() })
}

/// Reads an answer to its end. Only the time between two pieces of it is limited.
async fn read_state(mut body: Incoming) -> Result<Vec<u8>, FetchError> {
    let mut bytes = Vec::new();
    loop {
        let frame = timeout(IDLE_TIMEOUT, body.frame()).await;
        let Some(frame) = frame.map_err(|_| FetchError::TimedOut(bytes.len()))? else {
            return Ok(bytes);
        };
        if let Some(data) = frame.map_err(FetchError::Http)?.data_ref() {
            bytes.extend_from_slice(data);
        }
        if bytes.len() > MAX_STATE_BYTES {
            return Err(FetchError::TooLarge);
        }
    }
}
