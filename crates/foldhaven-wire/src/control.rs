//! The service that daemons offer each other for heartbeats, summaries and descriptions.
//!
//! It is served with tarpc over TCP, in bincode. A call that is lost is simply made again in the
//! next round; nothing here has an effect that may not happen twice.

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
    /// The summaries that the sender holds, if it asks for newer ones.
    #[serde(rename = "held")]
    pub known_summaries: Option<Vec<SummaryVersion>>,
    /// The sender's own summary of its data centre, if it is a delegate that talks to another one.
    #[serde(rename = "own")]
    pub own_summary: Option<CentreSummary>,
}

/// The answer to an [`ExchangeRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// The receiver's heartbeat.
    #[serde(rename = "beat")]
    pub heartbeat: VmHeartbeat,
    /// Summaries that are newer than those the sender holds.
    pub summaries: Vec<CentreSummary>,
}

/// What a daemon that starts, or that woke up, asks of others.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StateReply {
    /// The stamp in force at the receiver.
    pub stamp: Option<DescriptionStamp>,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// The upstreams of its data centre, as it knows them.
    pub upstreams: Option<UpstreamList>,
}

/// Calls between daemons.
#[tarpc::service]
pub trait PeerControl {
    /// Exchanges heartbeats and summaries.
    async fn exchange(request: ExchangeRequest) -> ExchangeReply;
    /// Tells what is in force at the receiver.
    async fn state() -> StateReply;
    /// Gives the manifest of the description in force.
    async fn manifest() -> Option<SectionManifest>;
    /// Gives the contents of sections of the description in force; unknown ones are left out.
    async fn sections(digests: Vec<SectionDigest>) -> Vec<String>;
}

/// Connects to the control address of a daemon.
///
/// # Errors
///
/// When the connection cannot be made.
pub async fn connect_control(
    address: SocketAddr,
    counter: Arc<ByteCounter>,
) -> io::Result<PeerControlClient> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let transport = serde_transport::new(frame(stream, counter), Bincode::default());
    Ok(PeerControlClient::new(tarpc::client::Config::default(), transport).spawn())
}

/// Serves [`PeerControl`] on an address until the returned future is dropped.
///
/// All calls run inside the returned future, so that it can be driven on the control thread.
///
/// # Errors
///
/// When the address cannot be bound.
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
