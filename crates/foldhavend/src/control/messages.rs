//! The messages that the control actor takes.

use std::net::SocketAddr;

use foldhaven_core::description::{DescriptionStamp, SectionDigest, SectionManifest, SectionSet};
use foldhaven_core::ids::{UpstreamName, VmName};
use foldhaven_core::load::EngineLoad;
use foldhaven_core::placement::EngineOrder;
use foldhaven_wire::control::{ExchangeReply, ExchangeRequest};
use foldhaven_wire::platform::UpstreamList;

/// Looks the state over and publishes a view.
pub struct TickControl;

/// A peer started an exchange.
pub struct HearExchange {
    pub request: ExchangeRequest,
}

/// An exchange of ours was answered, or was not.
pub struct EndExchange {
    pub target: ExchangeTarget,
    pub reply: Option<ExchangeReply>,
}

/// Asks whom to exchange with in this round.
pub struct PlanExchanges;

/// One exchange that is due.
#[derive(Debug, Clone)]
pub struct ExchangeTarget {
    pub vm: Option<VmName>,
    pub address: SocketAddr,
    pub request: ExchangeRequest,
}

/// Asks which engines to poll.
pub struct PlanPolls;

/// An engine to poll.
#[derive(Debug, Clone)]
pub struct PollTarget {
    pub engine: UpstreamName,
    pub address: SocketAddr,
    pub cache_after: u64,
}

/// An engine reported its load.
pub struct NoteLoad {
    pub load: EngineLoad,
}

/// An engine did not answer when it was polled.
pub struct NoteLoadFailure {
    pub engine: UpstreamName,
}

/// How far the cache events of an engine have been read.
pub struct NoteCachePosition {
    pub engine: UpstreamName,
    pub last: u64,
}

/// Asks which orders are due.
pub struct PlanOrders;

/// An order with the address of its engine.
#[derive(Debug, Clone)]
pub struct AddressedOrder {
    pub order: EngineOrder,
    pub address: SocketAddr,
}

/// Somebody offers a list of upstreams.
pub struct OfferList {
    pub list: UpstreamList,
}

/// Somebody has a description in force.
pub struct NoteStamp {
    pub stamp: DescriptionStamp,
    pub source: SocketAddr,
}

/// Somebody offers a whole description.
pub struct OfferDescription {
    pub manifest: SectionManifest,
    pub sections: SectionSet,
    pub source: String,
}

/// A fetch of a description ended.
pub struct EndFetch;

/// What a starting, fetching or asked daemon needs to know of the state.
pub struct ReadState;

/// The answer to [`ReadState`].
pub struct ControlDigest {
    pub stamp: Option<DescriptionStamp>,
    pub manifest: Option<SectionManifest>,
    pub sections: SectionSet,
    pub list: Option<UpstreamList>,
    pub is_reader: bool,
    /// Control addresses to ask for what is in force: own data centre first.
    pub peers: Vec<SocketAddr>,
}

/// Asks for the contents of sections in force.
pub struct ReadSections {
    pub digests: Vec<SectionDigest>,
}

/// An upstream said that it is leaving.
pub struct NoteUpstreamLeaving {
    pub upstream: UpstreamName,
}

/// This daemon starts to leave.
pub struct StartLeaving;

/// Asks for what operators are told.
pub struct MakeStatus;
