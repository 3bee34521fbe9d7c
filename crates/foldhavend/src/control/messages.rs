//! The messages that the control actor handles.

use std::net::SocketAddr;

use foldhaven_core::description::{DescriptionStamp, SectionDigest, SectionManifest, SectionSet};
use foldhaven_core::ids::{UpstreamName, VmName};
use foldhaven_core::load::EngineLoad;
use foldhaven_core::placement::EngineOrder;
use foldhaven_wire::control::{ExchangeReply, ExchangeRequest};
use foldhaven_wire::platform::UpstreamList;

/// Detects pauses of the process, removes stale members and summaries, and publishes a view. Sent
/// at a fixed interval.
pub struct TickControl;

/// Applies an exchange that a peer started and answers it.
pub struct ReceiveExchange {
    pub request: ExchangeRequest,
}

/// Records the end of an exchange that this daemon started. `reply` is `None` if it was not
/// answered.
pub struct EndExchange {
    pub target: ExchangeTarget,
    pub reply: Option<ExchangeReply>,
}

/// Returns the exchanges to start in this round.
pub struct PlanExchanges;

/// An exchange to start.
#[derive(Debug, Clone)]
pub struct ExchangeTarget {
    /// The member to call, `None` if the address belongs to another data centre or a seed.
    pub vm: Option<VmName>,
    pub address: SocketAddr,
    pub request: ExchangeRequest,
}

/// Returns the engines to poll.
pub struct PlanPolls;

/// An engine to poll.
#[derive(Debug, Clone)]
pub struct PollTarget {
    pub engine: UpstreamName,
    pub address: SocketAddr,
    /// Number of the last cache event that was read, 0 if there is none.
    pub cache_after: u64,
}

/// Records the load that an engine reported.
pub struct RecordLoad {
    pub load: EngineLoad,
}

/// Records that an engine did not answer a poll.
pub struct RecordLoadFailure {
    pub engine: UpstreamName,
}

/// Records the number of the last cache event that was read from an engine.
pub struct RecordCachePosition {
    pub engine: UpstreamName,
    pub last: u64,
}

/// Returns the orders that are due.
pub struct PlanOrders;

/// An order and the address of its engine.
#[derive(Debug, Clone)]
pub struct AddressedOrder {
    pub order: EngineOrder,
    pub address: SocketAddr,
}

/// Offers a list of upstreams. It is adopted if its revision is newer than the current one.
pub struct OfferList {
    pub list: UpstreamList,
}

/// Records that the daemon at `source` has adopted a description, which is fetched if it is newer.
pub struct RecordStamp {
    pub stamp: DescriptionStamp,
    pub source: SocketAddr,
}

/// Offers a complete description. It is adopted if it is valid and newer than the current one.
pub struct OfferDescription {
    pub manifest: SectionManifest,
    pub sections: SectionSet,
    /// Where the description comes from, for log lines and the status report.
    pub source: String,
}

/// Records that a fetch from a peer ended.
pub struct EndFetch;

/// Returns the state that is compared with other daemons and with the platform.
pub struct ReadState;

/// The answer to [`ReadState`].
pub struct ControlSnapshot {
    pub stamp: Option<DescriptionStamp>,
    pub manifest: Option<SectionManifest>,
    pub sections: SectionSet,
    pub list: Option<UpstreamList>,
    /// Whether this daemon reads the platform for its data centre.
    pub is_reader: bool,
    /// Control addresses of daemons to fetch the current state from, own data centre first.
    pub peers: Vec<SocketAddr>,
}

/// Returns the contents of sections of the adopted description. Unknown sections are left out.
pub struct ReadSections {
    pub digests: Vec<SectionDigest>,
}

/// Records that an upstream announced that it is leaving.
pub struct RecordUpstreamLeaving {
    pub upstream: UpstreamName,
}

/// Starts to drain this daemon.
pub struct StartLeaving;

/// Returns the status report for operators.
pub struct ReadStatus;
