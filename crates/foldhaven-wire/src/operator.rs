//! The API for operators: JSON over HTTP at the peer address of a daemon.

use foldhaven_core::burn::BurnRow;
use foldhaven_core::ids::{DataCentreName, IncarnationId, VmName};
use foldhaven_core::opaque::choice::CostBreakdown;
use foldhaven_core::opaque::priority_level::PriorityLevel;
use foldhaven_core::planner::RoutePlan;
use serde::{Deserialize, Serialize};

/// Whether a daemon accepts requests, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DaemonState {
    /// The daemon accepts requests.
    Serving,
    /// The daemon finishes its requests and accepts no new ones.
    Leaving,
    /// The daemon cannot accept requests yet, since it has no description or is still warming up.
    NoDescription,
}

/// The status of an upstream as seen by a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// The name of the upstream.
    pub name: String,
    /// The models that the upstream has loaded, each as `name@version`, or its service.
    pub holds: Vec<String>,
    /// Number of running and queued requests in its last report.
    pub busy: u32,
    /// Number of its slots.
    pub slots: u32,
    /// Whether the upstream is leaving and gets no new requests.
    pub leaving: bool,
    /// Number of requests per second that the upstream accepts from all VMs together; `None` if it
    /// has no limit.
    #[serde(default)]
    pub limit: Option<String>,
    /// The factors by which its prefill and its decode take longer than those of an upstream of mean
    /// speed; `None` if they are not measured.
    #[serde(default)]
    pub speed: Option<String>,
}

/// The status of another data centre as seen by a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CentreStatus {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// Age of the information about the data centre, in milliseconds.
    pub age_ms: u64,
    /// Number of VMs that serve there.
    pub serving: u32,
    /// The lowest and the highest stamp of the descriptions adopted there; `None` if none is known.
    pub stamps: Option<(String, String)>,
    /// The peer addresses of some of its VMs.
    pub peers: Vec<String>,
}

/// The response of `GET /operator/v1/status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The VM that answers.
    pub vm: VmName,
    /// The data centre of the VM.
    pub data_centre: DataCentreName,
    /// The incarnation of its process; 0 if it is not known yet.
    pub incarnation: IncarnationId,
    /// Whether the daemon accepts requests.
    pub state: DaemonState,
    /// The stamp of the description in force at this VM; `None` if it has no description.
    /// `foldhavend` reports a newly adopted one only once no waiting request follows an older one
    /// (see [`foldhaven_core::waits`]).
    pub stamp: Option<String>,
    /// The digest of the content of that description. VMs with the same stamp have the same digest.
    /// `None` if not reported.
    #[serde(default)]
    pub content: Option<String>,
    /// Time since it was last confirmed that this VM has everything that is published, in
    /// milliseconds. `None` if not reported.
    #[serde(default)]
    #[serde(rename = "belief_age_ms")]
    pub view_staleness_ms: Option<u64>,
    /// Why the last offered description was refused; `None` if it was not refused.
    pub refused: Option<String>,
    /// Number of requests in flight.
    pub in_flight: u32,
    /// The other VMs of this data centre.
    pub members: Vec<MemberStatus>,
    /// The upstreams of this data centre.
    pub upstreams: Vec<UpstreamStatus>,
    /// The other data centres.
    pub centres: Vec<CentreStatus>,
}

/// The status of another VM of the same data centre as seen by a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The VM.
    pub vm: VmName,
    /// The state of the VM: `live`, `leaving` or `suspect`.
    pub state: String,
    /// The stamp of the description that the VM has adopted; `None` if none is known.
    pub stamp: Option<String>,
    /// The peer address of the VM.
    pub peer: String,
}

/// The response of `GET /operator/v1/explain`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainAnswer {
    /// The VM that answers.
    pub vm: VmName,
    /// The data centre of the VM.
    pub data_centre: DataCentreName,
    /// The stamp of the description by which the request was planned.
    pub stamp: String,
    /// The options with their prices, computed as for a real request.
    pub plan: RoutePlan,
}

/// The response of `GET /operator/v1/explain-route`: where an opaque request would be routed, and
/// why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteExplanation {
    /// The VM that answers.
    pub vm: VmName,
    /// The data centre of the VM.
    pub data_centre: DataCentreName,
    /// The version of the description by which the request was routed.
    pub version: u64,
    /// The route that matches the host and the path.
    pub route: String,
    /// The service of the route.
    pub service: String,
    /// The priority level of a request of an account with the usual priority. `None` if the
    /// requests of the service do not differ in priority.
    #[serde(default)]
    pub level: Option<PriorityLevel>,
    /// The number of requests that wait for room at this VM.
    #[serde(default)]
    pub waiting: usize,
    /// The number of refused callers for whom this VM keeps room at the time they were told.
    #[serde(default)]
    pub returning: u64,
    /// The regions in which the request may run; if empty, all regions.
    pub homes: Vec<String>,
    /// The priced destinations, cheapest first.
    #[serde(rename = "places")]
    pub destinations: Vec<DestinationPrice>,
    /// The amount by which another region must be cheaper than the best destination in this region.
    pub region_margin: f64,
}

/// The expected time and price of a destination.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DestinationPrice {
    /// The name of an upstream in the region of the VM that answers, or of another region.
    pub name: String,
    /// Whether the destination is another region.
    #[serde(rename = "is_far")]
    pub is_remote: bool,
    /// The expected time to the answer or its first event, in milliseconds.
    #[serde(rename = "first_ms")]
    pub time_to_first_ms: u64,
    /// Number of prompt tokens that need prefill, since they are not cached.
    #[serde(rename = "read_tokens")]
    pub prefill_tokens: u32,
    /// Whether the destination has room for the request. Requests with a priority level wait
    /// otherwise.
    #[serde(default)]
    pub has_room: bool,
    /// The components of the price, as fractions of the worth of the request.
    #[serde(rename = "parts")]
    pub breakdown: CostBreakdown,
}

/// A request suspected of crashing upstreams, since upstreams exited while they served it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRow {
    /// The fingerprint of the request, as in the log.
    #[serde(rename = "print")]
    pub fingerprint: String,
    /// The route of the request; `None` unless the VM that answers has quarantined it itself.
    pub route: Option<String>,
    /// The state of the request: `noted`, `on trial` (one VM at a time may send it as a probe) or
    /// `refused`.
    pub state: String,
    /// The tags of the upstream incarnations that exited; at most four are kept.
    pub upstreams: Vec<String>,
    /// Number of probes that were started.
    #[serde(rename = "trials")]
    pub probes: u8,
    /// Number of times that the request was exonerated.
    #[serde(rename = "pardons")]
    pub exonerations: u32,
    /// Time since the record of the request last changed, in milliseconds.
    pub since_ms: u64,
    /// Time after which the VM that answers may send a probe, in milliseconds; `None` if the
    /// request is not refused.
    #[serde(rename = "opens_ms")]
    pub probe_after_ms: Option<u64>,
}

/// The response of `GET /operator/v1/suspects`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectsAnswer {
    /// The VM that answers.
    pub vm: VmName,
    /// The suspected requests that the VM knows, those with the most exits first.
    pub rows: Vec<SuspectRow>,
}

/// The response of `POST /operator/v1/suspects/clear`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClearAnswer {
    /// The fingerprint of the request.
    #[serde(rename = "print")]
    pub fingerprint: String,
    /// Whether the request was suspected until now.
    pub is_cleared: bool,
}

/// The status of a client account at one VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountRow {
    /// The name of the account.
    pub account: String,
    /// Number of keys of the account. The keys themselves are not disclosed.
    pub keys: usize,
    /// The regions in which its requests may run; if empty, all regions.
    pub homes: Vec<String>,
    /// The unit of its limit: `requests` or `tokens`; `None` if the account has no limit.
    pub unit: Option<String>,
    /// The limit per second for all VMs together; `None` if the account has no limit.
    pub per_s: Option<f64>,
    /// The burst that all VMs together may admit beyond that rate; `None` if the account has no
    /// limit.
    pub burst: Option<f64>,
    /// The share of the limit that the VM that answers may use, per second. This and the following
    /// `Option` fields are `None` if the VM currently has no share for the account.
    #[serde(rename = "part_per_s")]
    pub share_per_s: Option<f64>,
    /// Time since that share took effect, in milliseconds.
    #[serde(rename = "part_age_ms")]
    pub share_age_ms: Option<u64>,
    /// The amount that the VM may admit immediately; negative if it is in debt.
    pub level: Option<f64>,
    /// The demand of callers at the VM, per second.
    #[serde(rename = "want_per_s")]
    pub demand_per_s: Option<f64>,
    /// The amount that the VM admitted since its start.
    pub let_through: f64,
    /// Number of requests that the VM refused since its start.
    pub refused: u64,
}

/// The response of `GET /operator/v1/accounts`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountsAnswer {
    /// The VM that answers.
    pub vm: VmName,
    /// Number of regions that may exist, including its own.
    pub regions: usize,
    /// Number of other regions that are not heard from, or that do not hear from its own.
    pub silent_regions: usize,
    /// Number of VMs that may exist in its region, including itself.
    pub vms: usize,
    /// Number of other VMs in its region that are not heard from.
    pub silent_vms: usize,
    /// Whether the VM has run long enough to have heard from the others.
    pub is_informed: bool,
    /// The accounts, by name.
    pub rows: Vec<AccountRow>,
}

/// The response of `GET /operator/v1/burn`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnAnswer {
    /// The VM that answers.
    pub vm: VmName,
    /// The data centre of the VM.
    pub data_centre: DataCentreName,
    /// A row per account and class, for the requests whose origin is this VM.
    pub rows: Vec<BurnRow>,
    /// The target share of requests that are answered completely and on time, by class.
    pub targets: Vec<(String, f64)>,
}
