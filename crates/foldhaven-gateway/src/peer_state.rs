//! Asks another VM what the platform published, when this one cannot read it or reads it later.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bincode::Options;
use bytes::Bytes;
use foldhaven_core::headers::SPANS;
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

/// Where peers tell what the platform published.
pub const PEER_STATE_PATH: &str = "/peer/v1/state";
/// What goes before the revision that the asker knows, in the query.
pub const PEER_STATE_AFTER: &str = "after=";
/// How often it is looked whether another VM knows more, where none says so.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// For how long a peer may be silent, before its answer and within it. There is no limit on the whole: it would
/// be met again and again by an answer that is larger than a narrow link carries in that time.
const SILENT_LIMIT: Duration = Duration::from_millis(1_500);
/// The largest state that is taken.
const MAX_STATE_BYTES: usize = 16 << 20;
/// After this time without the beginning of an answer another peer is asked too, and who begins first is heard: one that is
/// frozen or cut off costs no more than this.
const HEDGE_AFTER: Duration = Duration::from_millis(300);
/// After a peer could not be asked.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Why a peer could not be asked.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
enum AskError {
    /// connecting: {0}
    Connect(std::io::Error),
    /// asking: {0}
    Http(hyper::Error),
    /// status {0}
    Status(StatusCode),
    /// the answer: {0}
    Content(bincode::Error),
    /// silent after {0} bytes
    Silent(usize),
    /// too large
    TooLarge,
}

/// Takes over from peers what this daemon has not read itself.
pub async fn follow_peers(shared: Arc<GatewayShared>, control: ControlAddress) {
    let mut avoided = None;
    loop {
        let Ok(next) = control.send(FindNewerPeer { avoided }).await else { return };
        let NewerPeer { peer, base_revision: known } = match next {
            CatchUpStep::Ask(ahead) => ahead,
            CatchUpStep::Wait(pause) => {
                await_news(&shared, pause.min(CHECK_INTERVAL)).await;
                continue;
            }
            CatchUpStep::UpToDate => {
                await_news(&shared, CHECK_INTERVAL).await;
                continue;
            }
        };
        let started = BootInstant::now();
        let (peer, asked) = ask_hedged(&control, peer, known).await;
        match asked {
            Ok(TakenState { state, bytes }) => {
                avoided = None;
                shared.metrics.note_span("state_asked", started.elapsed());
                shared.metrics.add_events("state_taken_bytes", bytes as u64);
                let leads_on = leads_beyond(&state, known);
                let taken = match state {
                    PeerState::Snapshot(snapshot) => {
                        control.send(ApplySnapshot { snapshot, peer }).await
                    }
                    PeerState::KeyedSnapshot(snapshot, accounts) => {
                        let snapshot = snapshot.with_accounts(accounts);
                        control.send(ApplySnapshot { snapshot, peer }).await
                    }
                    PeerState::Changes(changes) => {
                        control.send(ApplyChanges { changes, peer }).await
                    }
                    PeerState::SpanningChanges(changes, through) => {
                        let changes = changes.with_spanned_versions(&through);
                        control.send(ApplyChanges { changes, peer }).await
                    }
                };
                if taken.is_err() {
                    return;
                }
                // A peer that had nothing new is not asked again at once.
                if !leads_on {
                    sleep(CHECK_INTERVAL).await;
                }
            }
            Err(error) => {
                avoided = Some(peer);
                shared.metrics.count_event("state_not_taken");
                let ms = started.elapsed().as_millis() as u64;
                tracing::warn!(vm = %shared.settings.vm, peer = %peer, error = %error, ms, "asking a peer failed");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Whether a state holds changes that lead on from a revision.
fn leads_beyond(state: &PeerState, known: Option<u64>) -> bool {
    match state {
        PeerState::Changes(set) | PeerState::SpanningChanges(set, _) => Some(set.revision) > known,
        PeerState::Snapshot(_) | PeerState::KeyedSnapshot(..) => false,
    }
}

/// Waits until another VM says that it knows more, but no longer than this. What it said since the last wait counts.
async fn await_news(shared: &GatewayShared, limit: Duration) {
    // Without news it is looked all the same.
    let _ = timeout(limit, shared.ahead_news.notified()).await;
}

/// What a peer told, and how large it was.
struct TakenState {
    state: PeerState,
    bytes: usize,
}

/// Asks a peer, and another one beside it where the first says nothing. Returns whose answer it is.
async fn ask_hedged(
    control: &ControlAddress,
    first: SocketAddr,
    known: Option<u64>,
) -> (SocketAddr, Result<TakenState, AskError>) {
    let mut begun = pin!(begin_asking(first, known));
    tokio::select! {
        answer = &mut begun => return (first, read_answer(answer).await),
        () = sleep(HEDGE_AFTER) => {}
    }
    let other = match control.send(FindNewerPeer { avoided: Some(first) }).await {
        Ok(CatchUpStep::Ask(other)) if other.peer != first => other,
        _ => return (first, read_answer(begun.await).await),
    };
    let (second, known) = (other.peer, other.base_revision);
    tracing::info!(peer = %first, other = %second, "a peer says nothing, another one is asked too");
    let mut hedge = pin!(begin_asking(second, known));
    let (peer, answer) = tokio::select! {
        answer = &mut begun => (first, answer),
        answer = &mut hedge => (second, answer),
    };
    if answer.is_ok() {
        return (peer, read_answer(answer).await);
    }
    // The one that is left may still answer.
    match peer == first {
        true => (second, read_answer(hedge.await).await),
        false => (first, read_answer(begun.await).await),
    }
}

/// An answer that has begun, with the connection that it comes by.
struct BegunAnswer {
    response: Response<Incoming>,
    _connection: Connection,
}

async fn begin_asking(peer: SocketAddr, known: Option<u64>) -> Result<BegunAnswer, AskError> {
    let mut connection =
        Connection::open(peer, REMOTE_CONNECT_TIMEOUT).await.map_err(AskError::Connect)?;
    let after = known.map(|known| format!("?{PEER_STATE_AFTER}{known}"));
    let path = format!("{PEER_STATE_PATH}{}", after.unwrap_or_default());
    let request = Request::get(path)
        .header(HOST, peer.to_string())
        .header(SPANS, "1")
        .body(Full::<Bytes>::default())
        .expect("a constant path makes a request");
    let response = timeout(SILENT_LIMIT, connection.sender.send_request(request)).await;
    let response = response.map_err(|_| AskError::Silent(0))?.map_err(AskError::Http)?;
    if response.status() != StatusCode::OK {
        return Err(AskError::Status(response.status()));
    }
    Ok(BegunAnswer { response, _connection: connection })
}

async fn read_answer(begun: Result<BegunAnswer, AskError>) -> Result<TakenState, AskError> {
    let begun = begun?;
    let body = read_state(begun.response.into_body()).await?;
    let state = peer_codec().deserialize(&body).map_err(AskError::Content)?;
    Ok(TakenState { state, bytes: body.len() })
}

/// Reads an answer for as long as more of it comes.
async fn read_state(mut body: Incoming) -> Result<Vec<u8>, AskError> {
    let mut bytes = Vec::new();
    loop {
        let frame = timeout(SILENT_LIMIT, body.frame()).await;
        let Some(frame) = frame.map_err(|_| AskError::Silent(bytes.len()))? else {
            return Ok(bytes);
        };
        if let Some(data) = frame.map_err(AskError::Http)?.data_ref() {
            bytes.extend_from_slice(data);
        }
        if bytes.len() > MAX_STATE_BYTES {
            return Err(AskError::TooLarge);
        }
    }
}
