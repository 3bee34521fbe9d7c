//! The RPC service with which daemons exchange heartbeats, summaries and descriptions.
//!
//! It uses tarpc over TCP with bincode encoding. All calls are idempotent, so that a lost call is
//! repeated in the next round.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use foldhaven_core::description::{DescriptionStamp, SectionDigest, SectionManifest};
use foldhaven_core::ids::DataCentreName;
use foldhaven_core::membership::{CentreSummary, SummaryVersion, VmHeartbeat};
use futures::StreamExt;
use serde::{Deserialize, Serialize};
use tarpc::serde_transport;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpStream;
use tokio_serde::formats::Bincode;
use tokio_stream::wrappers::TcpListenerStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::counted::{ByteCounter, CountedStream};
use crate::listen::listen_at;
use crate::platform::UpstreamList;

/// One round of an exchange between two daemons.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ExchangeRequest {
    /// The sender's heartbeat.
    #[serde(rename = "beat")]
    pub heartbeat: VmHeartbeat,
    /// Versions of the summaries that the sender has; `None` if it does not request newer ones.
    #[serde(rename = "held")]
    pub known_summaries: Option<Vec<SummaryVersion>>,
    /// The summary of the sender's data centre, sent to other data centres and to seeds; `None` in
    /// other exchanges.
    #[serde(rename = "own")]
    pub own_summary: Option<CentreSummary>,
}

/// The answer to an [`ExchangeRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// The receiver's heartbeat.
    #[serde(rename = "beat")]
    pub heartbeat: VmHeartbeat,
    /// Summaries that are newer than those of the sender.
    pub summaries: Vec<CentreSummary>,
}

/// The state that a daemon requests from others after it started or resumed from suspension.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StateReply {
    /// The stamp of the description that the receiver has adopted; `None` if it has none.
    pub stamp: Option<DescriptionStamp>,
    /// The receiver's data centre.
    pub data_centre: DataCentreName,
    /// The receiver's list of the upstreams of its data centre; `None` if it has none.
    pub upstreams: Option<UpstreamList>,
}

/// The calls that a daemon makes to the control address of another one.
#[tarpc::service]
pub trait PeerControl {
    /// Exchanges heartbeats and summaries.
    async fn exchange(request: ExchangeRequest) -> ExchangeReply;
    /// Returns the receiver's current state.
    async fn state() -> StateReply;
    /// Returns the manifest of the adopted description, or `None` if there is none.
    async fn manifest() -> Option<SectionManifest>;
    /// Returns the contents of sections of the adopted description. Unknown sections are omitted.
    async fn sections(digests: Vec<SectionDigest>) -> Vec<String>;
}

/// Connects to the control address of a daemon.
///
/// # Errors
///
/// Returns an error if the connection cannot be established.
pub async fn connect_control(
    address: SocketAddr,
    counter: Arc<ByteCounter>,
) -> io::Result<PeerControlClient> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let transport = serde_transport::new(frame(stream, counter), Bincode::default());
    Ok(PeerControlClient::new(tarpc::client::Config::default(), transport).spawn())
}

/// Serves [`PeerControl`] at an address until the returned future is dropped.
///
/// All calls run inside the returned future, so that it can be polled on the control thread.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn serve_control<S>(
    address: SocketAddr,
    server: S,
    counter: Arc<ByteCounter>,
) -> io::Result<impl Future<Output = ()>>
where
    S: PeerControl + Clone,
{
    let listener = TcpListenerStream::new(listen_at(address)?);
    Ok(listener.for_each_concurrent(None, move |accepted| {
        let server = server.clone();
        let counter = counter.clone();
        async move {
            let Ok(stream) = accepted else { return };
            let transport = serde_transport::new(frame(stream, counter), Bincode::default());
            let calls = BaseChannel::with_defaults(transport).execute(server.serve());
            calls.for_each_concurrent(None, |call| call).await;
        }
    }))
}

fn frame(
    stream: TcpStream,
    counter: Arc<ByteCounter>,
) -> Framed<CountedStream, LengthDelimitedCodec> {
    Framed::new(CountedStream { stream, counter }, LengthDelimitedCodec::new())
}
